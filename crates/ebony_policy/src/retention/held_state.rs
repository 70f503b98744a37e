//! State of one program's KV cache on a target.

use ebony_types::{ClockTime, ProgramId};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeldState {
    /// The program has running calls.
    Running { calls: u32 },
    /// The program is paused and expected to return at `expected_return`. Its KV cache is pinned until `pinned_until`,
    /// if that is set.
    Paused {
        expected_return: ClockTime,
        pinned_until: Option<ClockTime>,
    },
    /// An export was ordered.
    Exporting,
    /// The exported copy exists. `release` is the release of the engine's copy, `None` once it is confirmed.
    Exported { release: Option<PendingRelease> },
    /// A release was ordered.
    Releasing(PendingRelease),
}

/// A release that was ordered `attempts` times but is not confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PendingRelease {
    pub(crate) attempts: u32,
    pub(crate) repeat_at: ClockTime,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct HeldEntry {
    pub(crate) program: ProgramId,
    pub(crate) tokens: u64,
    pub(crate) state: HeldState,
    pub(crate) lease_until: ClockTime,
    pub(crate) is_release_requested: bool,
}

impl HeldEntry {
    /// Returns the time at which [`HeldTable::poll`](super::HeldTable::poll) must handle the entry.
    pub(crate) fn next_due(&self) -> ClockTime {
        match self.state {
            HeldState::Paused {
                pinned_until: Some(until),
                ..
            } => self.lease_until.min(until),
            HeldState::Releasing(pending) => pending.repeat_at,
            HeldState::Exported {
                release: Some(pending),
            } => self.lease_until.min(pending.repeat_at),
            _ => self.lease_until,
        }
    }
}
