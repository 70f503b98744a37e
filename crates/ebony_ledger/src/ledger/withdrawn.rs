//! Calls that were cancelled in the queue or detached, and unknown calls that were reported as not run.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use ebony_types::limits::MAX_TIMEOUT_MS;
use ebony_types::{CallId, ClockTime, ProblemReport};

/// How long frames about a call can arrive: the longest timeout of a call, plus a minute for late delivery by links.
pub(super) const MAX_CALL_AGE: Duration = Duration::from_millis(MAX_TIMEOUT_MS as u64 + 60_000);

/// The most withdrawn calls that are kept; beyond that, the oldest is dropped.
///
/// Dropping one is safe as long as the shell ignores frames of an entry's older links. The table is an additional
/// safeguard.
const MAX_WITHDRAWN_CALLS: usize = 4_096;

/// Calls whose orders must not run if they arrive late, with the problem that was reported to their entry.
#[derive(Clone, Debug, Default)]
pub(super) struct WithdrawnCalls {
    calls: BTreeMap<CallId, ProblemReport>,
    order: VecDeque<(ClockTime, CallId)>,
}

impl WithdrawnCalls {
    pub(super) fn insert(&mut self, call: CallId, problem: ProblemReport, now: ClockTime) {
        if self.calls.insert(call, problem).is_some() {
            return;
        }
        self.order.push_back((now, call));
        if self.order.len() > MAX_WITHDRAWN_CALLS {
            self.remove_oldest();
        }
    }

    pub(super) fn problem(&self, call: CallId) -> Option<&ProblemReport> {
        self.calls.get(&call)
    }

    /// Removes a call that was attached to another call with the same key after all.
    pub(super) fn remove(&mut self, call: CallId) {
        if self.calls.remove(&call).is_some() {
            self.order.retain(|(_, withdrawn)| *withdrawn != call);
        }
    }

    pub(super) fn expire(&mut self, now: ClockTime) {
        while let Some((since, _)) = self.order.front() {
            if now.since(*since) < MAX_CALL_AGE {
                return;
            }
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some((_, call)) = self.order.pop_front() {
            self.calls.remove(&call);
        }
    }
}
