//! The decoded header fields of a target's answer.

use std::time::Duration;

use ebony_dispatch::load::LoadNotice;
use ebony_limit::RequestRate;

/// A target's notice that it is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeavingNotice {
    /// The target is leaving and accepts no new work.
    Leaves,
    /// The value of the notice could not be decoded.
    Unreadable,
}

/// The request rate to which a target limits all gateways together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitNotice {
    /// The target names this rate.
    Limited(RequestRate),
    /// The value could not be decoded.
    Unreadable,
}

/// What was wrong with a report of a target's load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadFault {
    /// The figures could not be decoded, and the report is ignored.
    Unreadable,
    /// The slow-down could not be decoded; the other figures count.
    UnreadableSlowdown,
    /// The slow-down was beyond its bounds and counts as the nearest bound.
    UnboundedSlowdown,
    /// There were more figures than known, and the further ones are ignored.
    ExtraFigures,
}

impl LoadFault {
    /// Returns the label of the fault.
    ///
    /// ```
    /// assert_eq!(ebony_dialect::LoadFault::Unreadable.as_str(), "unreadable");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unreadable => "unreadable",
            Self::UnreadableSlowdown => "unreadable_slowdown",
            Self::UnboundedSlowdown => "unbounded_slowdown",
            Self::ExtraFigures => "extra_figures",
        }
    }
}

/// The decoded header fields of a target's answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerHead {
    /// The caller's identifier of the call that is answered.
    pub call: Option<String>,
    /// Whether the target states that it did not run the call.
    pub is_not_run: bool,
    /// Whether the answer has the stamp that a target sets on the answer to every call that it ran.
    pub has_server_stamp: bool,
    /// The target's notice that it is leaving; `None` if the answer has none.
    pub leaving: Option<LeavingNotice>,
    /// The limit that the target names; `None` if the answer has none.
    pub limit: Option<LimitNotice>,
    /// The target's load, if it was reported.
    pub load: Option<LoadNotice>,
    /// What was wrong with the report of the load.
    pub load_fault: Option<LoadFault>,
    /// The time for which the target keeps the connection open while it is idle.
    pub keep_alive_timeout: Option<Duration>,
}
