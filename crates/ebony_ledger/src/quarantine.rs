//! Which calls run on each target, and whether another may start beside them.
//!
//! A crash suspect runs alone on its target, so that a second crash shows which request is at fault. While a suspect
//! waits for its target to become free, no other call starts there; otherwise a busy target would never be free.

use std::collections::{BTreeMap, BTreeSet};

use ebony_types::{CallId, ProcessIncarnation, RequestDigest, TargetName};

use crate::crash_tracker::CrashSite;

/// Whether a call may start on its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartPermit {
    /// The call was added to the running ones.
    Start,
    /// The call has to wait until another one stops.
    Hold,
    /// The target is not behind this side process.
    UnknownTarget,
}

/// The calls that were running when a target crashed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashScene {
    /// The crash.
    pub site: CrashSite,
    /// The running calls and their requests.
    pub running: Vec<(CallId, RequestDigest)>,
}

#[derive(Clone, Debug)]
struct TargetRun {
    incarnation: ProcessIncarnation,
    running: BTreeMap<CallId, RequestDigest>,
    suspect: Option<CallId>,
    waiting_suspect: Option<CallId>,
}

impl TargetRun {
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

    fn admits_suspect(&self, call: CallId, companions: usize) -> bool {
        let is_next = self.waiting_suspect.is_none_or(|waiting| waiting == call);
        is_next && self.suspect.is_none() && self.running.len() <= companions
    }

    fn admits_other(&self, companions: usize) -> bool {
        if self.suspect.is_some() {
            // The suspect itself is among the running calls.
            return self.running.len() <= companions;
        }
        self.waiting_suspect.is_none() || self.running.len() < companions
    }
}

/// The running calls of the targets behind one side process. Bounded by the targets and the ledger's open calls.
#[derive(Clone, Debug, Default)]
pub struct TargetQuarantine {
    targets: BTreeMap<TargetName, TargetRun>,
    companions: usize,
}

impl TargetQuarantine {
    /// Creates a table that lets `companions` calls run beside a suspect.
    pub fn open(companions: usize) -> Self {
        Self {
            targets: BTreeMap::new(),
            companions,
        }
    }

    /// Adds a target. A target that is known keeps its running calls.
    pub fn add_target(&mut self, target: &TargetName, incarnation: ProcessIncarnation) {
        let run = TargetRun::open(incarnation);
        self.targets.entry(target.clone()).or_insert(run);
    }

    /// Forgets the targets that are not in `targets` and have no running call.
    pub fn retain_targets(&mut self, targets: &BTreeSet<TargetName>) {
        self.targets
            .retain(|target, run| targets.contains(target) || !run.running.is_empty());
    }

    /// Starts a call if it may run now. A call that still runs under the same identifier has to stop first.
    pub fn start(
        &mut self,
        target: &TargetName,
        call: CallId,
        digest: RequestDigest,
        is_suspect: bool,
    ) -> StartPermit {
        let Some(run) = self.targets.get_mut(target) else {
            return StartPermit::UnknownTarget;
        };
        if run.running.contains_key(&call) {
            return StartPermit::Hold;
        }
        if is_suspect && !run.admits_suspect(call, self.companions) {
            run.waiting_suspect.get_or_insert(call);
            return StartPermit::Hold;
        }
        if !is_suspect {
            // The call may have been cleared while it waited.
            run.stop_waiting(call);
        }
        if !is_suspect && !run.admits_other(self.companions) {
            return StartPermit::Hold;
        }
        if is_suspect {
            run.suspect = Some(call);
            run.waiting_suspect = None;
        }
        run.running.insert(call, digest);
        StartPermit::Start
    }

    /// Notes that a call no longer runs on, or waits for, its target.
    pub fn stop(&mut self, target: &TargetName, call: CallId) {
        let Some(run) = self.targets.get_mut(target) else {
            return;
        };
        run.running.remove(&call);
        run.suspect = run.suspect.filter(|suspect| *suspect != call);
        run.stop_waiting(call);
    }

    /// Notes that a target crashed and runs as `next` from now on; `None` if it is unknown or runs as `next` already.
    pub fn crash(&mut self, target: &TargetName, next: ProcessIncarnation) -> Option<CrashScene> {
        let run = self.targets.get_mut(target)?;
        if run.incarnation == next {
            return None;
        }
        let waiting_suspect = run.waiting_suspect;
        let ended = std::mem::replace(run, TargetRun::open(next));
        run.waiting_suspect = waiting_suspect;
        let site = CrashSite {
            target: target.clone(),
            incarnation: ended.incarnation,
        };
        Some(CrashScene {
            site,
            running: ended.running.into_iter().collect(),
        })
    }

    /// Returns the number of calls that run on a target.
    pub fn running_on(&self, target: &TargetName) -> usize {
        self.targets.get(target).map_or(0, |run| run.running.len())
    }
}
