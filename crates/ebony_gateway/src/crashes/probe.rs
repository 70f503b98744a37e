//! Probes that determine whether a target crashed after an answer of it broke off.
//!
//! The port of a process that ended refuses connections, while a target that only reset a connection or sent a
//! malformed answer accepts the next one. A target that is draining or was removed from the list ends as planned, and
//! no request is suspected.
//!
//! A target may also stop answering without closing its connections. Calls without a complete answer are kept for a
//! while, and become suspects as well if their target turns out to have ended.

use std::cell::RefCell;
use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ebony_dispatch::{TargetKey, TargetPhase, TargetRecord};
use ebony_platform::{ProbeOutcome, probe};
use ebony_types::{ClockTime, RequestDigest};
use slog::info;
use slotmap::SecondaryMap;
use tokio::time::sleep;

use crate::decision_log::LineKind;
use crate::gateway::Gateway;

/// The delay before the first probe. A process that ends may close its connections a moment before its port.
const FIRST_PROBE_DELAY: Duration = Duration::from_millis(25);

/// The maximum number of probes. The delay doubles with each, so that they cover 3 s, and a crashed target is back only
/// after some seconds.
const MAX_PROBES: u32 = 7;

/// The maximum number of suspects of one crash, which is more than the slots of the engines. Further ones are ignored.
const MAX_SUSPECTS: usize = 64;

/// How long a call without a complete answer is kept. The list drops a silent target after three heartbeats of 1.2 s;
/// the rest allows for a slow store.
const UNANSWERED_CALL_RETENTION: Duration = Duration::from_secs(10);

/// The maximum number of calls without a complete answer that are kept for one target. The oldest ones are dropped.
const MAX_UNANSWERED_CALLS: usize = 16;

/// The state of a target after it broke off a call.
///
/// Named as in the `gateway_target_fates_total` metric and its `fate` label, and in the `fate` log key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TargetFate {
    /// Its process ended.
    Ended,
    /// It accepts connections.
    Alive,
    /// Its port neither accepted nor refused a connection, as in a network partition.
    Unknown,
}

impl TargetFate {
    fn as_str(self) -> &'static str {
        match self {
            Self::Ended => "ended",
            Self::Alive => "alive",
            Self::Unknown => "unknown",
        }
    }
}

/// A target that is being probed, and the requests that it broke off.
struct OpenProbe {
    record: TargetRecord,
    suspects: BTreeSet<RequestDigest>,
}

/// The calls of one target that got no complete answer.
struct UnansweredCalls {
    record: TargetRecord,
    /// The requests, and when each was abandoned.
    suspects: VecDeque<(RequestDigest, ClockTime)>,
}

impl UnansweredCalls {
    fn add(&mut self, suspect: RequestDigest, now: ClockTime) {
        if self.suspects.len() == MAX_UNANSWERED_CALLS {
            self.suspects.pop_front();
        }
        self.suspects.push_back((suspect, now));
    }

    fn drop_old(&mut self, now: ClockTime) {
        self.suspects
            .retain(|(_, abandoned)| now.since(*abandoned) < UNANSWERED_CALL_RETENTION);
    }

    fn digests(&self) -> impl Iterator<Item = RequestDigest> {
        self.suspects.iter().map(|(digest, _)| *digest)
    }
}

/// The running probes and the unanswered calls of all targets. Bounded by the targets on the board.
#[derive(Default)]
pub(crate) struct TargetProbes {
    open: RefCell<SecondaryMap<TargetKey, OpenProbe>>,
    unanswered: RefCell<SecondaryMap<TargetKey, UnansweredCalls>>,
}

impl TargetProbes {
    /// Starts to probe a target that broke off a request, or adds the request to the probe that is running.
    pub(crate) fn probe_after_break(gateway: &Rc<Gateway>, target: TargetKey, suspect: RequestDigest) {
        let mut open = gateway.probes.open.borrow_mut();
        if let Some(probe) = open.get_mut(target) {
            if probe.suspects.len() < MAX_SUSPECTS {
                probe.suspects.insert(suspect);
            }
            return;
        }
        let board = gateway.board.borrow();
        let listed = board.target(target).map(|entry| &entry.record);
        let Some(record) = listed.filter(|record| record.phase == TargetPhase::Ready) else {
            return;
        };
        let probe = OpenProbe {
            record: record.clone(),
            suspects: BTreeSet::from([suspect]),
        };
        let address = record.address;
        open.insert(target, probe);
        let gateway = Rc::clone(gateway);
        tokio::task::spawn_local(async move {
            let fate = probe_listed(&gateway, target, address).await;
            let closed = gateway.probes.open.borrow_mut().remove(target);
            if let Some(mut probe) = closed {
                if fate == TargetFate::Ended {
                    probe.suspects.extend(gateway.probes.take_unanswered(target));
                }
                probe.close(&gateway, fate);
            }
        });
    }

    /// Keeps a request that got no complete answer. Its target may have been removed from the list meanwhile.
    pub(crate) fn record_unanswered(
        gateway: &Gateway,
        target: TargetKey,
        record: &TargetRecord,
        suspect: RequestDigest,
    ) {
        let mut unanswered = gateway.probes.unanswered.borrow_mut();
        if let Some(entry) = unanswered.entry(target) {
            let calls = entry.or_insert_with(|| UnansweredCalls {
                record: record.clone(),
                suspects: VecDeque::new(),
            });
            calls.add(suspect, gateway.clock.now());
        }
    }

    fn take_unanswered(&self, target: TargetKey) -> BTreeSet<RequestDigest> {
        let calls = self.unanswered.borrow_mut().remove(target);
        calls.iter().flat_map(UnansweredCalls::digests).collect()
    }

    /// Probes targets with unanswered calls that have been removed from the list.
    pub(crate) fn probe_unanswered(gateway: &Rc<Gateway>) {
        let now = gateway.clock.now();
        let mut gone = Vec::new();
        {
            let board = gateway.board.borrow();
            let mut unanswered = gateway.probes.unanswered.borrow_mut();
            unanswered.retain(|target, calls| {
                calls.drop_old(now);
                match board.target(target) {
                    _ if calls.suspects.is_empty() => false,
                    Some(entry) => entry.record.phase == TargetPhase::Ready,
                    None => {
                        gone.push(OpenProbe {
                            record: calls.record.clone(),
                            suspects: calls.digests().collect(),
                        });
                        false
                    }
                }
            });
        }
        for probe in gone {
            let gateway = Rc::clone(gateway);
            tokio::task::spawn_local(async move {
                let fate = probe_delisted(&gateway, &probe.record).await;
                probe.close(&gateway, fate);
            });
        }
    }
}

/// Probes a target that is no longer listed. One whose entry was removed before its process ended still accepts
/// connections.
async fn probe_delisted(gateway: &Gateway, record: &TargetRecord) -> TargetFate {
    let successor = {
        let board = gateway.board.borrow();
        let mut listed = board.targets().map(|(_, entry)| &entry.record);
        listed
            .find(|other| other.address == record.address || other.name == record.name)
            .map(TargetRecord::incarnation)
    };
    match successor {
        // The same process is listed again, because its entry had only lapsed.
        Some(incarnation) if incarnation == record.incarnation() => return TargetFate::Alive,
        Some(_) => return TargetFate::Ended,
        None => {}
    }
    match probe(record.address).await {
        ProbeOutcome::Open => TargetFate::Alive,
        ProbeOutcome::Refused | ProbeOutcome::Unknown => TargetFate::Ended,
    }
}

impl OpenProbe {
    fn close(self, gateway: &Gateway, fate: TargetFate) {
        gateway
            .metrics
            .target_fates
            .with_label_values(&[fate.as_str()])
            .inc();
        if gateway.decisions.admits(LineKind::State) {
            let digests: Vec<String> = self.suspects.iter().map(RequestDigest::short).collect();
            info!(gateway.logger, "target broke off";
                "target" => self.record.name.as_str(), "life" => self.record.born, "fate" => fate.as_str(),
                "requests" => digests.join(" "));
        }
        if fate == TargetFate::Ended {
            let record = &self.record;
            gateway
                .crashes
                .record_target_crash(&record.name, record.born, &self.suspects);
        }
    }
}

/// Probes a listed target until its state is certain, [`MAX_PROBES`] times at most.
async fn probe_listed(gateway: &Gateway, target: TargetKey, address: SocketAddr) -> TargetFate {
    for attempt in 0..MAX_PROBES {
        sleep(FIRST_PROBE_DELAY * (1 << attempt)).await;
        // An idle connection is closed when the process at its other end exits, so an open one shows that it runs.
        if gateway.client.has_idle(target) {
            return TargetFate::Alive;
        }
        match probe(address).await {
            ProbeOutcome::Open => return TargetFate::Alive,
            ProbeOutcome::Refused => return TargetFate::Ended,
            ProbeOutcome::Unknown => {}
        }
    }
    TargetFate::Unknown
}
