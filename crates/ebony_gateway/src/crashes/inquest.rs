//! Finding out whether a target whose answer broke off has ended.
//!
//! Its port tells: nothing listens where a process ended, while a target that reset a connection or spoilt an answer takes
//! the next one. A target that drains or has left the list ends as planned, and no request is to blame.
//!
//! A target may also fall silent, and its connections with it. Calls that got no whole answer are remembered for a while, and
//! are suspects as well if their target turns out to have ended.

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

/// The wait before the first look at a target. A process that ends may close its connections a moment before its port.
const FIRST_LOOK: Duration = Duration::from_millis(25);

/// Looks at a target; the wait doubles with each, so that they cover 3 seconds: a target is back after some seconds.
const MOST_LOOKS: u32 = 7;

/// Requests that are named at one end of a target: more than the slots of today's engines. Further ones are left out.
const MOST_SUSPECTS: usize = 64;

/// How long a call without a whole answer is remembered: the list drops a silent target after three heartbeats of 1.2 s, and
/// the rest is room for a store that is slow.
const SILENCE_MEMORY: Duration = Duration::from_secs(10);

/// Calls without a whole answer that are remembered of one target. The latest ones count.
const MOST_SILENT: usize = 16;

/// What became of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TargetFate {
    /// Its process ended.
    Ended,
    /// It takes connections.
    Alive,
    /// Its port neither took nor refused a connection, as beyond a cut.
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

/// A target that is looked at, and the requests that it broke off.
struct OpenInquest {
    record: TargetRecord,
    suspects: BTreeSet<RequestDigest>,
}

/// A target with calls that got no whole answer.
struct SilentCalls {
    record: TargetRecord,
    /// The requests, and when each was given up.
    suspects: VecDeque<(RequestDigest, ClockTime)>,
}

impl SilentCalls {
    fn add(&mut self, suspect: RequestDigest, now: ClockTime) {
        if self.suspects.len() == MOST_SILENT {
            self.suspects.pop_front();
        }
        self.suspects.push_back((suspect, now));
    }

    fn forget_old(&mut self, now: ClockTime) {
        self.suspects
            .retain(|(_, given_up)| now.since(*given_up) < SILENCE_MEMORY);
    }

    fn digests(&self) -> impl Iterator<Item = RequestDigest> {
        self.suspects.iter().map(|(digest, _)| *digest)
    }
}

/// The targets that are looked at. Bounded by the targets on the board.
#[derive(Default)]
pub(crate) struct TargetInquests {
    open: RefCell<SecondaryMap<TargetKey, OpenInquest>>,
    silent: RefCell<SecondaryMap<TargetKey, SilentCalls>>,
}

impl TargetInquests {
    /// Looks at a target that broke off a request.
    pub(crate) fn look_into(gateway: &Rc<Gateway>, target: TargetKey, suspect: RequestDigest) {
        let mut open = gateway.inquests.open.borrow_mut();
        if let Some(inquest) = open.get_mut(target) {
            if inquest.suspects.len() < MOST_SUSPECTS {
                inquest.suspects.insert(suspect);
            }
            return;
        }
        let board = gateway.board.borrow();
        let listed = board.target(target).map(|entry| &entry.record);
        let Some(record) = listed.filter(|record| record.phase == TargetPhase::Ready) else {
            return;
        };
        let inquest = OpenInquest {
            record: record.clone(),
            suspects: BTreeSet::from([suspect]),
        };
        let address = record.address;
        open.insert(target, inquest);
        let gateway = Rc::clone(gateway);
        tokio::task::spawn_local(async move {
            let fate = look(&gateway, target, address).await;
            let closed = gateway.inquests.open.borrow_mut().remove(target);
            if let Some(mut inquest) = closed {
                if fate == TargetFate::Ended {
                    inquest.suspects.extend(gateway.inquests.take_silent(target));
                }
                inquest.close(&gateway, fate);
            }
        });
    }

    /// Remembers a request that got no whole answer, as from a target that fell silent. The target may have left the list
    /// since it got the request.
    pub(crate) fn note_silence(
        gateway: &Gateway,
        target: TargetKey,
        record: &TargetRecord,
        suspect: RequestDigest,
    ) {
        let mut silent = gateway.inquests.silent.borrow_mut();
        if let Some(entry) = silent.entry(target) {
            let calls = entry.or_insert_with(|| SilentCalls {
                record: record.clone(),
                suspects: VecDeque::new(),
            });
            calls.add(suspect, gateway.clock.now());
        }
    }

    fn take_silent(&self, target: TargetKey) -> BTreeSet<RequestDigest> {
        let calls = self.silent.borrow_mut().remove(target);
        calls.iter().flat_map(SilentCalls::digests).collect()
    }

    /// Looks at the targets that fell silent and have left the list since.
    pub(crate) fn review_silent(gateway: &Rc<Gateway>) {
        let now = gateway.clock.now();
        let mut gone = Vec::new();
        {
            let board = gateway.board.borrow();
            let mut silent = gateway.inquests.silent.borrow_mut();
            silent.retain(|target, calls| {
                calls.forget_old(now);
                match board.target(target) {
                    _ if calls.suspects.is_empty() => false,
                    Some(entry) => entry.record.phase == TargetPhase::Ready,
                    None => {
                        gone.push(OpenInquest {
                            record: calls.record.clone(),
                            suspects: calls.digests().collect(),
                        });
                        false
                    }
                }
            });
        }
        for inquest in gone {
            let gateway = Rc::clone(gateway);
            tokio::task::spawn_local(async move {
                let fate = look_at_gone(&gateway, &inquest.record).await;
                inquest.close(&gateway, fate);
            });
        }
    }
}

/// Looks at a target that is no longer listed. One whose entry was removed ahead of its end still takes connections.
async fn look_at_gone(gateway: &Gateway, record: &TargetRecord) -> TargetFate {
    let successor = {
        let board = gateway.board.borrow();
        let mut listed = board.targets().map(|(_, entry)| &entry.record);
        listed
            .find(|other| other.address == record.address || other.name == record.name)
            .map(TargetRecord::life)
    };
    match successor {
        // Its entry had lapsed and is back.
        Some(life) if life == record.life() => return TargetFate::Alive,
        Some(_) => return TargetFate::Ended,
        None => {}
    }
    match probe(record.address).await {
        ProbeOutcome::Open => TargetFate::Alive,
        ProbeOutcome::Refused | ProbeOutcome::Unknown => TargetFate::Ended,
    }
}

impl OpenInquest {
    fn close(self, gateway: &Gateway, fate: TargetFate) {
        gateway
            .metrics
            .target_fates
            .with_label_values(&[fate.as_str()])
            .inc();
        if gateway.decisions.admits(LineKind::Belief) {
            let digests: Vec<String> = self.suspects.iter().map(RequestDigest::short).collect();
            info!(gateway.logger, "target broke off";
                "target" => self.record.name.as_str(), "life" => self.record.born, "fate" => fate.as_str(),
                "requests" => digests.join(" "));
        }
        if fate == TargetFate::Ended {
            let record = &self.record;
            gateway
                .crashes
                .record_end(&record.name, record.born, &self.suspects);
        }
    }
}

/// Looks at a target until its fate is certain or the looks are used up.
async fn look(gateway: &Gateway, target: TargetKey, address: SocketAddr) -> TargetFate {
    for look in 0..MOST_LOOKS {
        sleep(FIRST_LOOK * (1 << look)).await;
        // Connections at rest close with the process that holds their other end.
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
