//! The targets of the platform's list, with what the entry's own calls showed of them.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

use ebony_types::{ClockTime, DomainName, ServiceName, TargetName};
use slotmap::{SlotMap, new_key_type};

use crate::fault::TargetFault;
use crate::load::{LoadNotice, TargetLoad};
use crate::options::DispatchOptions;
use crate::prompt::{PromptCache, PromptPart};

/// Parts that a target without a stated memory is expected to hold, in tokens.
const DEFAULT_MEMORY_TOKENS: u64 = 100_000;

/// Lives of targets that are remembered to leave, of listed and unlisted ones together. A release replaces each target of a
/// deployment once, and the largest of today has a few hundred.
const MOST_LEAVING: usize = 1_024;

new_key_type! {
    /// A target on the board. A target that comes again under its name gets a new key.
    pub struct TargetKey;
    /// A call under way on a target.
    pub struct RunKey;
}

/// Whether a target takes new calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetPhase {
    /// It takes calls.
    Ready,
    /// It finishes what it has.
    Draining,
}

/// A target as the platform lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetRecord {
    /// The name, unique among live targets.
    pub name: TargetName,
    /// The service that the target serves.
    pub service: ServiceName,
    /// The address.
    pub address: SocketAddr,
    /// The failure domain.
    pub domain: DomainName,
    /// Calls that it runs at once.
    pub slots: u32,
    /// Whether it takes new calls.
    pub phase: TargetPhase,
    /// The time of its start; another value under the same name is another life of the target.
    pub born: u64,
}

/// One life of a target, from a start to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetLife {
    /// The time of its start.
    pub born: u64,
    /// The address.
    pub address: SocketAddr,
}

impl TargetRecord {
    /// Returns the life that the record is of.
    pub fn life(&self) -> TargetLife {
        TargetLife {
            born: self.born,
            address: self.address,
        }
    }
}

/// What a new record changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetChange {
    /// The target is new, or started again.
    Added(TargetKey),
    /// The target takes no more calls.
    Draining(TargetKey),
    /// Nothing that matters to calls.
    Unchanged(TargetKey),
    /// Nothing: the record is of an earlier life of the target, whose last write came late.
    Outdated(TargetKey),
}

/// A target on the board.
#[derive(Clone, Debug)]
pub struct TargetEntry {
    /// What the platform says.
    pub record: TargetRecord,
    /// The load.
    pub load: TargetLoad,
    /// Failures.
    pub fault: TargetFault,
    /// Prompt parts that it is expected to hold.
    pub cache: PromptCache,
    /// Until when a target that the platform's list lost may come back; `None` while it is listed.
    pub lapses_at: Option<ClockTime>,
}

#[derive(Clone, Debug)]
struct TargetRun {
    target: TargetKey,
    prefill: u64,
}

/// The targets that an entry may send calls to.
///
/// ```
/// use ebony_dispatch::{TargetBoard, TargetChange, TargetPhase, TargetRecord};
/// use ebony_types::{ClockTime, DomainName, ServiceName, TargetName};
///
/// let record = TargetRecord {
///     name: TargetName::parse("engine-1")?,
///     service: ServiceName::parse("models")?,
///     address: "10.0.0.1:8080".parse()?,
///     domain: DomainName::parse("a")?,
///     slots: 8,
///     phase: TargetPhase::Ready,
///     born: 1,
/// };
/// let mut board = TargetBoard::default();
/// assert!(matches!(board.apply(record.clone()), TargetChange::Added(_)));
/// let draining = TargetRecord { phase: TargetPhase::Draining, ..record };
/// assert!(matches!(board.apply(draining), TargetChange::Draining(_)));
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct TargetBoard {
    targets: SlotMap<TargetKey, TargetEntry>,
    names: HashMap<TargetName, TargetKey>,
    runs: SlotMap<RunKey, TargetRun>,
    leaving: LeavingLives,
}

/// Lives of targets that said that they leave. They are remembered by name, so that an entry that lapsed and comes back does
/// not bring a target back into use.
#[derive(Clone, Debug, Default)]
struct LeavingLives {
    lives: HashMap<TargetName, TargetLife>,
    /// The names in the order in which they were noted.
    order: VecDeque<TargetName>,
}

impl LeavingLives {
    fn contains(&self, name: &TargetName, life: TargetLife) -> bool {
        self.lives.get(name) == Some(&life)
    }

    /// Notes a life; returns whether it is news.
    fn insert(&mut self, name: &TargetName, life: TargetLife) -> bool {
        match self.lives.get(name) {
            // News of an earlier life may come late.
            Some(known) if known.born >= life.born => false,
            Some(_) => {
                self.lives.insert(name.clone(), life);
                true
            }
            None => {
                self.lives.insert(name.clone(), life);
                self.order.push_back(name.clone());
                if self.order.len() > MOST_LEAVING
                    && let Some(oldest) = self.order.pop_front()
                {
                    self.lives.remove(&oldest);
                }
                true
            }
        }
    }
}

impl TargetBoard {
    /// Takes over a record of the platform's list. A target that said that it leaves stays so in this life, whatever the list
    /// says.
    pub fn apply(&mut self, mut record: TargetRecord) -> TargetChange {
        if self.leaving.contains(&record.name, record.life()) {
            record.phase = TargetPhase::Draining;
        }
        let known = self.names.get(&record.name).copied();
        if let Some(key) = known.filter(|key| self.is_later_life(*key, &record)) {
            return TargetChange::Outdated(key);
        }
        let Some(key) = known.filter(|key| self.is_same_life(*key, &record)) else {
            if let Some(key) = known {
                self.targets.remove(key);
            }
            let name = record.name.clone();
            let key = self.targets.insert(TargetEntry {
                record,
                load: TargetLoad::default(),
                fault: TargetFault::default(),
                cache: PromptCache::default(),
                lapses_at: None,
            });
            self.names.insert(name, key);
            return TargetChange::Added(key);
        };
        let target = &mut self.targets[key];
        let was_ready = target.record.phase == TargetPhase::Ready;
        let is_draining = record.phase == TargetPhase::Draining;
        target.record = record;
        target.lapses_at = None;
        if was_ready && is_draining {
            TargetChange::Draining(key)
        } else {
            TargetChange::Unchanged(key)
        }
    }

    /// Notes that a life of a target leaves, as the target itself says. It takes no calls from now on.
    ///
    /// Returns whether that was not known. The life may be listed later or again.
    pub fn leave(&mut self, name: &TargetName, life: TargetLife) -> bool {
        let is_news = self.leaving.insert(name, life);
        let key = self.names.get(name);
        if let Some(target) = key.and_then(|key| self.targets.get_mut(*key))
            && target.record.life() == life
        {
            target.record.phase = TargetPhase::Draining;
        }
        is_news
    }

    /// Removes a target. Calls that it runs go on.
    pub fn remove(&mut self, name: &TargetName) -> Option<TargetKey> {
        let key = self.names.remove(name)?;
        self.targets.remove(key);
        Some(key)
    }

    /// Notes that the list lost a target, which may come back until a time.
    pub fn lapse(&mut self, name: &TargetName, until: ClockTime) {
        let key = self.names.get(name);
        if let Some(target) = key.and_then(|key| self.targets.get_mut(*key)) {
            target.lapses_at.get_or_insert(until);
        }
    }

    /// Removes targets that did not come back in time, and returns their names.
    pub fn remove_lapsed(&mut self, now: ClockTime) -> Vec<TargetName> {
        let is_over = |target: &TargetEntry| target.lapses_at.is_some_and(|until| now >= until);
        let over = self.targets.values().filter(|target| is_over(target));
        let names: Vec<TargetName> = over.map(|target| target.record.name.clone()).collect();
        for name in &names {
            self.remove(name);
        }
        names
    }

    /// Returns a target.
    pub fn target(&self, key: TargetKey) -> Option<&TargetEntry> {
        self.targets.get(key)
    }

    /// Returns all targets.
    pub fn targets(&self) -> impl Iterator<Item = (TargetKey, &TargetEntry)> {
        self.targets.iter()
    }

    /// Returns the names of all targets.
    pub fn names(&self) -> Vec<TargetName> {
        self.names.keys().cloned().collect()
    }

    /// Returns whether the target takes new calls.
    pub fn is_ready(&self, key: TargetKey) -> bool {
        let target = self.targets.get(key);
        target.is_some_and(|target| target.record.phase == TargetPhase::Ready)
    }

    /// Notes that a call is sent to a target.
    pub fn begin(&mut self, target: TargetKey, prompt: &[PromptPart], memory_tokens: Option<u64>) -> RunKey {
        let mut prefill = 0;
        if let Some(entry) = self.targets.get_mut(target) {
            let total: u64 = prompt.iter().map(|part| u64::from(part.tokens)).sum();
            prefill = total.saturating_sub(entry.cache.held_tokens(prompt));
            entry.load.begin(prefill);
            entry
                .cache
                .record(prompt, memory_tokens.unwrap_or(DEFAULT_MEMORY_TOKENS));
        }
        self.runs.insert(TargetRun { target, prefill })
    }

    /// Notes that the first part of the answer arrived, so that the prompt has been read.
    pub fn end_prefill(&mut self, run: RunKey) {
        let Some(run) = self.runs.get_mut(run) else { return };
        let prefill = std::mem::take(&mut run.prefill);
        if let Some(target) = self.targets.get_mut(run.target) {
            target.load.end_prefill(prefill);
        }
    }

    /// Notes the end of a call.
    pub fn end(&mut self, run: RunKey) {
        self.end_prefill(run);
        let Some(run) = self.runs.remove(run) else { return };
        if let Some(target) = self.targets.get_mut(run.target) {
            target.load.end();
        }
    }

    /// Notes what a target said of its load.
    pub fn record_notice(&mut self, key: TargetKey, notice: LoadNotice, now: ClockTime) {
        if let Some(target) = self.targets.get_mut(key) {
            target.load.record_notice(notice, now);
        }
    }

    /// Notes a whole answer of a target.
    ///
    /// Returns how many calls in a row had failed before.
    pub fn record_success(&mut self, key: TargetKey) -> u32 {
        let Some(target) = self.targets.get_mut(key) else {
            return 0;
        };
        let failures = target.fault.failures();
        target.fault.record_success();
        failures
    }

    /// Notes that a call failed on the way to a target, or that its answer broke off.
    ///
    /// Returns how many calls in a row have failed.
    pub fn record_failure(&mut self, key: TargetKey, options: &DispatchOptions, now: ClockTime) -> u32 {
        let Some(target) = self.targets.get_mut(key) else {
            return 0;
        };
        target.fault.record_failure(options, now);
        target.fault.failures()
    }

    /// Notes that a target turned a call away.
    pub fn record_full(&mut self, key: TargetKey, options: &DispatchOptions, now: ClockTime) {
        if let Some(target) = self.targets.get_mut(key) {
            target.fault.record_full(options, now);
        }
    }

    /// Returns whether the target on the board started after the one of the record.
    fn is_later_life(&self, key: TargetKey, record: &TargetRecord) -> bool {
        let target = self.targets.get(key);
        target.is_some_and(|target| target.record.born > record.born)
    }

    fn is_same_life(&self, key: TargetKey, record: &TargetRecord) -> bool {
        self.targets.get(key).is_some_and(|target| {
            let known = &target.record;
            known.born == record.born && known.address == record.address && known.service == record.service
        })
    }
}
