//! Callers and their programs at the gate: in progress and waiting.
//!
//! The next program to admit is the first of the caller with the fewest programs in progress for its weight, which
//! gives max-min fairness. Among the programs of one caller smaller ones go first, with ageing. Each operation costs
//! a logarithm of the number of programs.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use ebony_types::{CallerName, ClockTime, ProgramId};
use slotmap::SlotMap;

use crate::queue::DEFAULT_WEIGHT;

slotmap::new_key_type! {
    /// Names a caller at the gate.
    pub(crate) struct CallerKey;
}

/// The most callers with a weight of their own; further ones keep the default.
const MAX_WEIGHTS: usize = 4_096;

/// A program that waits for admission.
#[derive(Clone, Debug)]
pub(crate) struct WaitingProgram {
    pub(crate) program: ProgramId,
    pub(crate) prompt_tokens: u64,
    pub(crate) deadline: ClockTime,
    /// The program's place among those of its caller, in microseconds: its arrival, and a delay for its size.
    pub(crate) due_micros: u64,
}

/// The share of a caller: programs in progress over weight, in fixed point, and the first waiting program.
type ShareRank = (u64, WaitRank, CallerKey);

/// The place of a waiting program, with the order of arrival between equals.
type WaitRank = (u64, u64);

#[derive(Debug)]
struct CallerShare {
    name: CallerName,
    weight: u32,
    in_progress: u32,
    waiting: BTreeMap<WaitRank, WaitingProgram>,
}

#[derive(Debug)]
pub(crate) struct WaitingRoom {
    callers: SlotMap<CallerKey, CallerShare>,
    by_name: HashMap<CallerName, CallerKey>,
    weights: HashMap<CallerName, u32>,
    order: BTreeSet<ShareRank>,
    waiting: usize,
    next_sequence: u64,
    is_fair: bool,
}

impl WaitingRoom {
    pub(crate) fn open(is_fair: bool) -> Self {
        Self {
            callers: SlotMap::with_key(),
            by_name: HashMap::new(),
            weights: HashMap::new(),
            order: BTreeSet::new(),
            waiting: 0,
            next_sequence: 0,
            is_fair,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.waiting
    }

    pub(crate) fn callers_waiting(&self) -> usize {
        self.order.len()
    }

    pub(crate) fn waiting_of(&self, caller: &CallerName) -> usize {
        let key = self.by_name.get(caller);
        key.map_or(0, |key| self.callers[*key].waiting.len())
    }

    pub(crate) fn push(&mut self, caller: &CallerName, waiting: WaitingProgram) {
        let key = self.caller(caller);
        self.next_sequence += 1;
        let rank = (waiting.due_micros, self.next_sequence);
        self.change(key, |share| share.waiting.insert(rank, waiting));
        self.waiting += 1;
    }

    /// Takes the next program to admit and counts it as in progress.
    pub(crate) fn pop(&mut self) -> Option<(CallerKey, WaitingProgram)> {
        let (_, _, key) = self.order.first().copied()?;
        let program = self.change(key, |share| {
            share.in_progress += 1;
            share.waiting.pop_first()
        });
        let (_, program) = program?;
        self.waiting -= 1;
        Some((key, program))
    }

    /// Takes the programs whose deadline has passed.
    pub(crate) fn take_expired(&mut self, now: ClockTime) -> Vec<ProgramId> {
        let keys: Vec<CallerKey> = self.order.iter().map(|(_, _, key)| *key).collect();
        let mut expired = Vec::new();
        for key in keys {
            self.change(key, |share| {
                let is_over = |waiting: &WaitingProgram| waiting.deadline <= now;
                let programs = share.waiting.values().filter(|waiting| is_over(waiting));
                expired.extend(programs.map(|waiting| waiting.program));
                share.waiting.retain(|_, waiting| !is_over(waiting));
            });
        }
        self.waiting -= expired.len();
        expired
    }

    /// Removes a program that was cancelled while it waited.
    pub(crate) fn remove(&mut self, caller: &CallerName, program: ProgramId) -> bool {
        let Some(key) = self.by_name.get(caller).copied() else {
            return false;
        };
        let was_waiting = self.change(key, |share| {
            let length = share.waiting.len();
            share.waiting.retain(|_, waiting| waiting.program != program);
            share.waiting.len() < length
        });
        self.waiting -= usize::from(was_waiting);
        was_waiting
    }

    /// Counts a program as in progress that does not wait.
    pub(crate) fn enter(&mut self, caller: &CallerName) -> CallerKey {
        let key = self.caller(caller);
        self.change(key, |share| share.in_progress += 1);
        key
    }

    /// Counts a program as ended.
    pub(crate) fn leave(&mut self, key: CallerKey) {
        if self.callers.contains_key(key) {
            self.change(key, |share| {
                share.in_progress = share.in_progress.saturating_sub(1);
            });
        }
    }

    pub(crate) fn set_weight(&mut self, caller: &CallerName, weight: u32) -> bool {
        let weight = weight.max(1);
        if weight == DEFAULT_WEIGHT {
            self.weights.remove(caller);
        } else if self.weights.len() < MAX_WEIGHTS || self.weights.contains_key(caller) {
            self.weights.insert(caller.clone(), weight);
        } else {
            return false;
        }
        if let Some(key) = self.by_name.get(caller).copied() {
            self.change(key, |share| share.weight = weight);
        }
        true
    }

    fn caller(&mut self, name: &CallerName) -> CallerKey {
        if let Some(key) = self.by_name.get(name) {
            return *key;
        }
        let key = self.callers.insert(CallerShare {
            name: name.clone(),
            weight: self.weights.get(name).copied().unwrap_or(DEFAULT_WEIGHT),
            in_progress: 0,
            waiting: BTreeMap::new(),
        });
        self.by_name.insert(name.clone(), key);
        key
    }

    /// Changes a caller and keeps the order. A caller that neither waits nor runs anything is forgotten, which bounds
    /// the table by the programs at the gate.
    fn change<T>(&mut self, key: CallerKey, apply: impl FnOnce(&mut CallerShare) -> T) -> T {
        if let Some(rank) = self.rank(key) {
            self.order.remove(&rank);
        }
        let share = &mut self.callers[key];
        let result = apply(share);
        if share.waiting.is_empty() && share.in_progress == 0 {
            self.by_name.remove(&share.name);
            self.callers.remove(key);
        } else if let Some(rank) = self.rank(key) {
            self.order.insert(rank);
        }
        result
    }

    fn rank(&self, key: CallerKey) -> Option<ShareRank> {
        let share = &self.callers[key];
        let (first, _) = share.waiting.first_key_value()?;
        let programs = u64::from(share.in_progress) << 16;
        let standing = if self.is_fair {
            programs / u64::from(share.weight)
        } else {
            0
        };
        Some((standing, *first, key))
    }
}
