//! The verdict on whether a request may have run on a target.

use serde::{Deserialize, Serialize};

/// Whether a request may have run.
///
/// Every error that a caller receives has a verdict. [`RunVerdict::NotRun`] is a guarantee that no target has received
/// the request and none will.
///
/// ```
/// use ebony_types::RunVerdict;
///
/// assert!(RunVerdict::NotRun.is_safe_to_retry());
/// assert!(!RunVerdict::MayHaveRun.is_safe_to_retry());
/// assert_eq!(RunVerdict::Ran.as_str(), "ran");
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunVerdict {
    /// No target has received the request, and none will.
    NotRun,
    /// A target may have received the request; its outcome is unknown.
    MayHaveRun,
    /// A target ran the request.
    Ran,
}

impl RunVerdict {
    /// Returns `true` if sending the request again cannot run it twice.
    pub fn is_safe_to_retry(self) -> bool {
        self == Self::NotRun
    }

    /// Returns the stable name that appears in the `run` member of a problem body.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::MayHaveRun => "may_have_run",
            Self::Ran => "ran",
        }
    }
}
