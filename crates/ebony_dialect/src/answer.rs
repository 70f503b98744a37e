//! The head of a target's answer.

use std::time::Duration;

use ebony_dispatch::load::LoadNotice;

/// What a target says of leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeavingNotice {
    /// It leaves and takes no new work.
    Leaves,
    /// Something that is not understood.
    Unreadable,
}

/// What the header fields of a target's answer say.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerHead {
    /// The call that is answered.
    pub call: Option<String>,
    /// Whether the target states that it did not run the call.
    pub is_not_run: bool,
    /// Whether the target vouches for the answer, as it does for every call that it ran.
    pub is_stamped: bool,
    /// What the target says of leaving; absent as long as it stays.
    pub leaving: Option<LeavingNotice>,
    /// The target's load.
    pub load: Option<LoadNotice>,
    /// How long the target keeps the idle connection.
    pub keeps_idle: Option<Duration>,
}
