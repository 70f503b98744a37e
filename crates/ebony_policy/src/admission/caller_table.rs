//! Callers and their programs at the gate: in progress and waiting.
//!
//! The next program to admit is the first of the caller with the fewest programs in progress for its weight, which
//! gives max-min fairness. Among the programs of one caller smaller ones go first, with ageing. Small and large
//! programs wait apart, because one class may have memory when the other has not. Each operation costs a logarithm of
//! the number of programs.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use ebony_types::{CallerName, ClockTime, ProgramId};
use slotmap::SlotMap;

use crate::queue::DEFAULT_WEIGHT;

slotmap::new_key_type! {
    /// Names a caller at the gate.
    pub(crate) struct CallerKey;
}

const CLASSES: [SizeClass; 2] = [SizeClass::Small, SizeClass::Large];

/// The most callers with a weight of their own; further ones keep the default.
const MAX_WEIGHTS: usize = 4_096;

/// The classes of programs by the memory that they need.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SizeClass {
    Small = 0,
    Large = 1,
}

/// A program that waits for admission.
#[derive(Clone, Debug)]
pub(crate) struct WaitingProgram {
    pub(crate) program: ProgramId,
    pub(crate) prompt_tokens: u64,
    pub(crate) class: SizeClass,
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
    waiting: [BTreeMap<WaitRank, WaitingProgram>; 2],
}

impl CallerShare {
    fn waiting_programs(&self) -> usize {
        self.waiting.iter().map(BTreeMap::len).sum()
    }
}

#[derive(Debug)]
pub(crate) struct WaitingRoom {
    callers: SlotMap<CallerKey, CallerShare>,
    by_name: HashMap<CallerName, CallerKey>,
    weights: HashMap<CallerName, u32>,
    order: [BTreeSet<ShareRank>; 2],
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
            order: Default::default(),
            waiting: 0,
            next_sequence: 0,
            is_fair,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.waiting
    }

    /// Returns an upper bound of the callers that wait.
    pub(crate) fn callers_waiting(&self) -> usize {
        self.order.iter().map(BTreeSet::len).sum()
    }

    pub(crate) fn waiting_of(&self, caller: &CallerName) -> usize {
        let key = self.by_name.get(caller);
        key.map_or(0, |key| self.callers[*key].waiting_programs())
    }

    pub(crate) fn is_empty(&self, class: SizeClass) -> bool {
        self.order[class as usize].is_empty()
    }

    pub(crate) fn push(&mut self, caller: &CallerName, waiting: WaitingProgram) {
        let key = self.caller(caller);
        self.next_sequence += 1;
        let rank = (waiting.due_micros, self.next_sequence);
        self.change(key, |share| {
            share.waiting[waiting.class as usize].insert(rank, waiting)
        });
        self.waiting += 1;
    }

    /// Takes the next program of a class to admit and counts it as in progress.
    pub(crate) fn pop(&mut self, class: SizeClass) -> Option<(CallerKey, WaitingProgram)> {
        let (_, _, key) = self.order[class as usize].first().copied()?;
        let program = self.change(key, |share| {
            share.in_progress += 1;
            share.waiting[class as usize].pop_first()
        });
        let (_, program) = program?;
        self.waiting -= 1;
        Some((key, program))
    }

    /// Takes the programs whose deadline has passed.
    pub(crate) fn take_expired(&mut self, now: ClockTime) -> Vec<ProgramId> {
        let ranks = self.order.iter().flatten();
        let keys: BTreeSet<CallerKey> = ranks.map(|(_, _, key)| *key).collect();
        let mut expired = Vec::new();
        for key in keys {
            self.change(key, |share| {
                for programs in &mut share.waiting {
                    let over = programs.values().filter(|waiting| waiting.deadline <= now);
                    expired.extend(over.map(|waiting| waiting.program));
                    programs.retain(|_, waiting| waiting.deadline > now);
                }
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
            let count = share.waiting_programs();
            for programs in &mut share.waiting {
                programs.retain(|_, waiting| waiting.program != program);
            }
            share.waiting_programs() < count
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
            waiting: Default::default(),
        });
        self.by_name.insert(name.clone(), key);
        key
    }

    /// Changes a caller and keeps the order. A caller that neither waits nor runs anything is forgotten, which bounds
    /// the table by the programs at the gate.
    fn change<T>(&mut self, key: CallerKey, apply: impl FnOnce(&mut CallerShare) -> T) -> T {
        for class in CLASSES {
            if let Some(rank) = self.rank(key, class) {
                self.order[class as usize].remove(&rank);
            }
        }
        let share = &mut self.callers[key];
        let result = apply(share);
        if share.waiting_programs() == 0 && share.in_progress == 0 {
            self.by_name.remove(&share.name);
            self.callers.remove(key);
            return result;
        }
        for class in CLASSES {
            if let Some(rank) = self.rank(key, class) {
                self.order[class as usize].insert(rank);
            }
        }
        result
    }

    fn rank(&self, key: CallerKey, class: SizeClass) -> Option<ShareRank> {
        let share = &self.callers[key];
        let (first, _) = share.waiting[class as usize].first_key_value()?;
        let programs = u64::from(share.in_progress) << 16;
        let standing = if self.is_fair {
            programs / u64::from(share.weight)
        } else {
            0
        };
        Some((standing, *first, key))
    }
}
