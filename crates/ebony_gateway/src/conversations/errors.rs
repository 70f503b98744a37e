//! Why a turn cannot be found or recorded.

use ebony_types::ProblemCode;

use crate::accounts::UNCOVERED_RETRY_AFTER;
use crate::refusal::CallRefusal;

/// The result of a step of a conversation.
pub(crate) type Result<T, E = FindError> = std::result::Result<T, E>;

/// Why a conversation cannot be continued from a turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub(crate) enum FindError {
    /// The store has no such turn.
    #[error("no turn of this name was kept")]
    Absent,
    /// The turn belongs to another customer. The caller is told that it does not exist.
    #[error("the turn of this name belongs to another customer")]
    Foreign,
    /// Neither the store nor another gateway answered in time.
    #[error("the store of conversations does not answer")]
    StoreUnavailable,
    /// The conversation is larger than targets accept.
    #[error("the conversation is too large to be continued")]
    TooLarge,
}

impl FindError {
    /// Returns the refusal of a turn that was sent to no target.
    pub(crate) fn into_refusal(self) -> CallRefusal {
        match self {
            Self::Absent | Self::Foreign => {
                CallRefusal::not_run(ProblemCode::UnknownTurn, "the previous turn was not kept")
            }
            Self::StoreUnavailable => CallRefusal::not_run(
                ProblemCode::PlatformUnavailable,
                "the store of conversations does not answer",
            )
            .retry_after(UNCOVERED_RETRY_AFTER),
            Self::TooLarge => CallRefusal::not_run(
                ProblemCode::BodyTooLarge,
                "the conversation is too large to be continued",
            ),
        }
    }
}

/// Why a turn was not recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub(crate) enum KeepError {
    /// Another turn has the same name.
    #[error("another turn has the same name")]
    NameTaken,
}
