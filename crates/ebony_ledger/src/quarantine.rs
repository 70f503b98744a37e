//! The running calls of each target, and whether another call may start.
//!
//! A crash suspect runs alone on its target, so that a second crash shows which request is at fault. While a suspect
//! waits, no other call starts on its target, because a busy target would otherwise never become free.

use std::collections::{BTreeMap, BTreeSet};

use ebony_types::{CallId, ProcessIncarnation, RequestDigest, TargetName};

use crate::crash_tracker::CrashSite;

/// Whether a call may start on its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartPermit {
    /// The call may start, and was added to the running calls.
    Start,
    /// The call has to wait until another call stops.
    Hold,
    /// The target is not behind this side process.
    UnknownTarget,
}

/// A crash of a target, with the calls that were running there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetCrash {
    /// The target and the incarnation that crashed.
    pub site: CrashSite,
    /// The running calls and the digests of their requests.
    pub running: Vec<(CallId, RequestDigest)>,
}

#[derive(Clone, Debug)]
struct TargetCalls {
    incarnation: ProcessIncarnation,
    running: BTreeMap<CallId, RequestDigest>,
    suspect: Option<CallId>,
    waiting_suspect: Option<CallId>,
}

impl TargetCalls {
    fn open(incarnation: ProcessIncarnation) -> Self {
        Self {
            incarnation,
            running: BTreeMap::new(),
            suspect: None,
            waiting_suspect: None,
        }
    }

    fn stop_waiting(&mut self, call: CallId) {
        self.waiting_suspect = self.waiting_suspect.filter(|waiting| *waiting != call);
    }

    fn admits_suspect(&self, call: CallId, calls_beside_suspect: usize) -> bool {
        let is_next = self.waiting_suspect.is_none_or(|waiting| waiting == call);
        is_next && self.suspect.is_none() && self.running.len() <= calls_beside_suspect
    }

    fn admits_other(&self, calls_beside_suspect: usize) -> bool {
        if self.suspect.is_some() {
            // The suspect itself is one of the running calls.
            return self.running.len() <= calls_beside_suspect;
        }
        self.waiting_suspect.is_none() || self.running.len() < calls_beside_suspect
    }
}

/// The running calls of the targets behind one side process. Its size is limited by the number of targets and by the
/// ledger's limit on open calls.
#[derive(Clone, Debug, Default)]
pub struct TargetQuarantine {
    targets: BTreeMap<TargetName, TargetCalls>,
    calls_beside_suspect: usize,
}

impl TargetQuarantine {
    /// Creates a table that lets at most `calls_beside_suspect` other calls run together with a suspect.
    pub fn open(calls_beside_suspect: usize) -> Self {
        Self {
            targets: BTreeMap::new(),
            calls_beside_suspect,
        }
    }

    /// Adds a target. A known target is left unchanged.
    pub fn add_target(&mut self, target: &TargetName, incarnation: ProcessIncarnation) {
        let calls = TargetCalls::open(incarnation);
        self.targets.entry(target.clone()).or_insert(calls);
    }

    /// Removes the targets that are not in `targets` and have no running call.
    pub fn retain_targets(&mut self, targets: &BTreeSet<TargetName>) {
        self.targets
            .retain(|target, calls| targets.contains(target) || !calls.running.is_empty());
    }

    /// Starts a call if it may run now. It is held while an earlier attempt under the same identifier is still running.
    pub fn start(
        &mut self,
        target: &TargetName,
        call: CallId,
        digest: RequestDigest,
        is_suspect: bool,
    ) -> StartPermit {
        let Some(calls) = self.targets.get_mut(target) else {
            return StartPermit::UnknownTarget;
        };
        if calls.running.contains_key(&call) {
            return StartPermit::Hold;
        }
        if is_suspect && !calls.admits_suspect(call, self.calls_beside_suspect) {
            calls.waiting_suspect.get_or_insert(call);
            return StartPermit::Hold;
        }
        if !is_suspect {
            // The request may have been cleared of its crashes while the call waited.
            calls.stop_waiting(call);
        }
        if !is_suspect && !calls.admits_other(self.calls_beside_suspect) {
            return StartPermit::Hold;
        }
        if is_suspect {
            calls.suspect = Some(call);
            calls.waiting_suspect = None;
        }
        calls.running.insert(call, digest);
        StartPermit::Start
    }

    /// Records that a call no longer runs on its target or waits for it.
    pub fn stop(&mut self, target: &TargetName, call: CallId) {
        let Some(calls) = self.targets.get_mut(target) else {
            return;
        };
        calls.running.remove(&call);
        calls.suspect = calls.suspect.filter(|suspect| *suspect != call);
        calls.stop_waiting(call);
    }

    /// Records that a target crashed and was restarted as incarnation `next`. Returns `None` if the target is unknown
    /// or already runs as `next`.
    pub fn crash(&mut self, target: &TargetName, next: ProcessIncarnation) -> Option<TargetCrash> {
        let calls = self.targets.get_mut(target)?;
        if calls.incarnation == next {
            return None;
        }
        let waiting_suspect = calls.waiting_suspect;
        let previous = std::mem::replace(calls, TargetCalls::open(next));
        calls.waiting_suspect = waiting_suspect;
        let site = CrashSite {
            target: target.clone(),
            incarnation: previous.incarnation,
        };
        Some(TargetCrash {
            site,
            running: previous.running.into_iter().collect(),
        })
    }

    /// Returns the number of calls that run on a target.
    pub fn running_on(&self, target: &TargetName) -> usize {
        self.targets.get(target).map_or(0, |calls| calls.running.len())
    }
}
