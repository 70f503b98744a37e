//! What the system adds to a call for a target.

use std::time::Duration;

use ebony_types::TargetName;

/// What the system adds to a call for a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptHead<'a> {
    /// The target that is meant. Another one at its address turns the call away.
    pub target: &'a TargetName,
    /// How long the target may work on the call.
    pub time_left: Duration,
    /// The urgency, from 0 for the most urgent to 9; `None` leaves the target's default.
    pub urgency: Option<u8>,
    /// The last event that the caller has, if the system resumes a stream.
    pub resumes_after: Option<u64>,
}
