//! The values that the system adds to a call before it is sent to a target.

use std::time::Duration;

use ebony_types::{CustomerName, TargetName};

/// The values that the system adds to a call before it is sent to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptHead<'a> {
    /// The intended target. If another target runs at its address, that one rejects the call.
    pub target: &'a TargetName,
    /// The time that the target has for the call.
    pub time_left: Duration,
    /// The urgency, from 0 (most urgent) to 9; `None` means the target's default.
    pub urgency: Option<u8>,
    /// The customer that the call is made for.
    pub customer: Option<&'a CustomerName>,
    /// The last event that the caller has received, if the system resumes a stream.
    pub resumes_after: Option<u64>,
}
