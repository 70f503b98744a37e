//! Limits of the ledger's tables.

use std::time::Duration;

use crate::crash_tracker::MAX_TRACKED_REQUESTS;

/// Limits of a [`CallLedger`](crate::CallLedger).
///
/// The defaults are sized for the 32 MB of memory that a control-plane process may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LedgerLimits {
    /// The most queued and running calls; further calls are refused as not run.
    pub open_calls: usize,
    /// The most ended calls that their owners have not settled; beyond that, the oldest is dropped.
    pub ended_calls: usize,
    /// The most idempotency keys, of calls and tombstones together; calls with further keys are refused as not run.
    pub known_keys: usize,
    /// The most bytes of stored answers. Running calls may exceed it by the bytes that their entries have not
    /// confirmed.
    pub answer_bytes: usize,
    /// How long an ended call that is not settled is kept. Partitions between regions last an hour.
    pub answer_lifetime: Duration,
    /// How long a key is remembered after its call ended.
    pub key_lifetime: Duration,
    /// The most requests whose crashes are tracked.
    pub tracked_requests: usize,
    /// The most other calls that may run on a target together with a crash suspect; with 0, a suspect runs alone.
    pub calls_beside_suspect: usize,
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
            calls_beside_suspect: 0,
        }
    }
}
