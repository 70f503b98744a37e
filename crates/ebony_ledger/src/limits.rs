//! Bounds of the ledger's tables.

use std::time::Duration;

use crate::crash_tracker::MAX_TRACKED_REQUESTS;

/// Bounds of a [`CallLedger`](crate::CallLedger).
///
/// The defaults are meant to fit the 32 MB that a process of the control plane may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LedgerLimits {
    /// Calls that wait or run; further calls are refused as not run.
    pub open_calls: usize,
    /// Ended calls that the owner has not settled; the oldest is forgotten first.
    pub ended_calls: usize,
    /// Idempotency keys, of open calls and tombstones together; further keyed calls are refused as not run.
    pub known_keys: usize,
    /// Bytes of answers. Running calls may exceed it by what their entries have not taken over.
    pub answer_bytes: usize,
    /// The time for which an ended call that nobody settles is kept. Partitions between regions last an hour.
    pub answer_lifetime: Duration,
    /// The time for which a key is known after its call ended.
    pub key_lifetime: Duration,
    /// Requests whose crashes are tracked.
    pub tracked_requests: usize,
    /// Calls that may run on a target beside a crash suspect; 0 runs a suspect alone.
    pub suspect_companions: usize,
}

impl Default for LedgerLimits {
    fn default() -> Self {
        Self {
            open_calls: 1_024,
            ended_calls: 4_096,
            known_keys: 65_536,
            answer_bytes: 8 * 1024 * 1024,
            answer_lifetime: Duration::from_secs(3_600),
            key_lifetime: Duration::from_secs(24 * 3_600),
            tracked_requests: MAX_TRACKED_REQUESTS,
            suspect_companions: 0,
        }
    }
}
