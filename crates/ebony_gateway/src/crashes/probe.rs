//! Decides whether a target crashed after calls broke off there or got no answer.
//!
//! A target crashed if a later incarnation of it is listed, or if its port refuses connections. An open port alone does
//! not show that the process is the same: a crashed target may be back before the list or the probe shows that it was
//! gone. Calls without a complete answer are therefore kept for some time after an open port too, and become suspects
//! once a later incarnation is listed. A target that is draining or announced that it is leaving ends as planned, and no
//! request is suspected.

use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ebony_dispatch::{TargetBoard, TargetIncarnation, TargetKey, TargetPhase, TargetRecord};
use ebony_ledger::{CallLoss, LifeStanding, LifeVerdict, TargetLife, UnansweredTable};
use ebony_platform::{ProbeOutcome, probe};
use ebony_types::{RequestDigest, TargetName};
use slog::info;
use slotmap::SecondaryMap;
use tokio::time::sleep;

use super::RequestFingerprint;
use crate::decision_log::LineKind;
use crate::gateway::Gateway;

/// The delay before the first probe. A process that ends may close its connections a moment before its port.
const FIRST_PROBE_DELAY: Duration = Duration::from_millis(25);

/// The maximum number of probes. The delay doubles with each, so that they cover 3 s, and a crashed target is back only
/// after some seconds.
const MAX_PROBES: u32 = 7;

/// The maximum number of suspects of one crash, which is more than the slots of the engines. Further ones are ignored.
const MAX_SUSPECTS: usize = 64;

/// The maximum number of targets with calls without a complete answer. Beyond it, those of other targets are not kept.
const MAX_UNANSWERED_TARGETS: usize = 1_024;

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
    life: TargetLife,
    suspects: BTreeSet<RequestDigest>,
}

/// The listed targets by name and by address.
struct ListedLives<'b> {
    by_name: HashMap<&'b TargetName, &'b TargetRecord>,
    /// The latest target at each address. Entries of earlier ones are listed until they lapse.
    by_address: HashMap<SocketAddr, &'b TargetRecord>,
}

impl<'b> ListedLives<'b> {
    fn open(board: &'b TargetBoard) -> Self {
        let mut lives = Self {
            by_name: HashMap::new(),
            by_address: HashMap::new(),
        };
        for (_, entry) in board.targets() {
            let record = &entry.record;
            lives.by_name.insert(&record.name, record);
            let latest = lives.by_address.entry(record.address).or_insert(record);
            if latest.born < record.born {
                *latest = record;
            }
        }
        lives
    }

    fn standing(&self, life: &TargetLife) -> LifeStanding {
        let named = self.by_name.get(&life.target);
        let mut others = named.into_iter().chain(self.by_address.get(&life.address));
        let incarnation = incarnation_of(life);
        let is_replaced = others.any(|other| other.incarnation() != incarnation && other.born >= life.born);
        match named {
            _ if is_replaced => LifeStanding::Replaced,
            Some(_) => LifeStanding::Current,
            None => LifeStanding::Missing,
        }
    }
}

fn life_of(record: &TargetRecord) -> TargetLife {
    TargetLife {
        target: record.name.clone(),
        born: record.born,
        address: record.address,
    }
}

fn incarnation_of(life: &TargetLife) -> TargetIncarnation {
    TargetIncarnation {
        born: life.born,
        address: life.address,
    }
}

/// The running probes, bounded by the targets on the board, and the calls without a complete answer.
pub(crate) struct TargetProbes {
    open: RefCell<SecondaryMap<TargetKey, OpenProbe>>,
    unanswered: RefCell<UnansweredTable>,
}

impl Default for TargetProbes {
    fn default() -> Self {
        Self {
            open: RefCell::default(),
            unanswered: RefCell::new(UnansweredTable::open(MAX_UNANSWERED_TARGETS)),
        }
    }
}

impl TargetProbes {
    /// Keeps a request that a target broke off, and probes the target unless a probe is running or it is not listed.
    pub(crate) fn probe_after_break(
        gateway: &Rc<Gateway>,
        target: TargetKey,
        record: &TargetRecord,
        suspect: RequestDigest,
    ) {
        Self::keep(gateway, record, suspect, CallLoss::Broken);
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
            life: life_of(record),
            suspects: BTreeSet::from([suspect]),
        };
        let address = record.address;
        open.insert(target, probe);
        let gateway = Rc::clone(gateway);
        tokio::task::spawn_local(async move {
            let fate = probe_listed(&gateway, target, address).await;
            let closed = gateway.probes.open.borrow_mut().remove(target);
            if let Some(probe) = closed {
                probe.close(&gateway, fate);
            }
        });
    }

    /// Keeps a request that got no complete answer in time. Its target may have been removed from the list meanwhile.
    pub(crate) fn record_silence(gateway: &Gateway, record: &TargetRecord, suspect: RequestDigest) {
        Self::keep(gateway, record, suspect, CallLoss::Silent);
    }

    fn keep(gateway: &Gateway, record: &TargetRecord, suspect: RequestDigest, loss: CallLoss) {
        let mut unanswered = gateway.probes.unanswered.borrow_mut();
        unanswered.keep(&life_of(record), suspect, loss, gateway.clock.now());
    }

    /// Drops the calls of a request that was completed.
    pub(crate) fn record_completion(&self, fingerprint: &RequestFingerprint) {
        let mut unanswered = self.unanswered.borrow_mut();
        if !unanswered.is_empty() {
            unanswered.record_completion(fingerprint.digest());
        }
    }

    /// Decides on targets with unanswered calls, by the list. Silent ones that are not listed are probed.
    pub(crate) fn probe_unanswered(gateway: &Rc<Gateway>) {
        let verdicts = {
            let mut unanswered = gateway.probes.unanswered.borrow_mut();
            if unanswered.is_empty() {
                return;
            }
            let board = gateway.board.borrow();
            let lives = ListedLives::open(&board);
            unanswered.decide(gateway.clock.now(), |life| {
                match board.is_planned_end(&life.target, incarnation_of(life)) {
                    true => LifeStanding::Leaving,
                    false => lives.standing(life),
                }
            })
        };
        for (life, verdict) in verdicts {
            let suspects = BTreeSet::new();
            let probe = OpenProbe { life, suspects };
            if verdict == LifeVerdict::Ended {
                probe.close(gateway, TargetFate::Ended);
                continue;
            }
            let gateway = Rc::clone(gateway);
            tokio::task::spawn_local(async move {
                let fate = probe_delisted(probe.life.address).await;
                probe.close(&gateway, fate);
            });
        }
    }
}

/// Probes a target that is no longer listed. One whose entry was removed before its process ended still accepts
/// connections.
async fn probe_delisted(address: SocketAddr) -> TargetFate {
    match probe(address).await {
        ProbeOutcome::Open => TargetFate::Alive,
        ProbeOutcome::Refused | ProbeOutcome::Unknown => TargetFate::Ended,
    }
}

impl OpenProbe {
    /// Counts and logs the fate of the target. If it ended, all requests without an answer there are suspects.
    fn close(mut self, gateway: &Gateway, fate: TargetFate) {
        if fate == TargetFate::Ended {
            let unanswered = gateway.probes.unanswered.borrow_mut().take(&self.life);
            self.suspects.extend(unanswered);
        }
        gateway
            .metrics
            .target_fates
            .with_label_values(&[fate.as_str()])
            .inc();
        if gateway.decisions.admits(LineKind::State) {
            let digests: Vec<String> = self.suspects.iter().map(RequestDigest::short).collect();
            info!(gateway.logger, "target broke off";
                "target" => self.life.target.as_str(), "life" => self.life.born, "fate" => fate.as_str(),
                "requests" => digests.join(" "));
        }
        if fate == TargetFate::Ended {
            let life = &self.life;
            gateway
                .crashes
                .record_target_crash(&life.target, life.born, &self.suspects);
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
