//! Errors of external systems, each with a verdict on whether the request may have run.

use ebony_types::RunVerdict;

/// The reason why a request to an external system failed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum PlatformError {
    /// A conditional write failed: the row exists, or has another version.
    #[error("the row exists or has another version")]
    Conflict,
    /// The requested changes are no longer retained; the caller has to read the whole table again.
    #[error("the history is no longer kept")]
    HistoryLost,
    /// The system refused the request or could not be reached; the request did not run.
    #[error("refused: {0}")]
    Refused(String),
    /// The system refused an order because of its fencing token.
    #[error("the fencing token is too low; the highest seen is {highest}")]
    Fenced {
        /// The highest token that the system has received.
        highest: u64,
    },
    /// The request was sent, and its outcome is unknown.
    #[error("outcome unknown: {0}")]
    Unknown(String),
    /// The reply could not be decoded; the request may have run.
    #[error("malformed reply: {0}")]
    Malformed(String),
}

impl PlatformError {
    /// Returns whether the request may have run.
    pub fn verdict(&self) -> RunVerdict {
        match self {
            Self::Conflict | Self::HistoryLost | Self::Refused(_) | Self::Fenced { .. } => RunVerdict::NotRun,
            Self::Unknown(_) | Self::Malformed(_) => RunVerdict::MayHaveRun,
        }
    }
}

/// The result of a request to an external system.
pub type Result<T, E = PlatformError> = std::result::Result<T, E>;
