//! Table of callers with their programs, both in progress and waiting for admission.
//!
//! The next program to admit is the first of the caller with the fewest programs in progress relative to its weight,
//! which gives max-min fairness. Within a caller, smaller programs go first, with ageing. Small and large programs
//! wait in separate lists, because memory may be available for one class only. Operations take logarithmic time in
//! the number of programs.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use ebony_types::{CallerName, ClockTime, ProgramId};
use slotmap::SlotMap;

use crate::queue::DEFAULT_WEIGHT;

slotmap::new_key_type! {
    /// Key of a caller.
    pub(crate) struct CallerKey;
}

const CLASSES: [SizeClass; 2] = [SizeClass::Small, SizeClass::Large];

/// Maximum callers with a weight other than the default; further ones keep the default.
const MAX_WEIGHTS: usize = 4_096;

/// Class of a program by the tokens of its first prompt, which determine the memory that it needs.
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
    /// Rank among the programs of its caller, in microseconds: arrival time plus a delay for its size.
    pub(crate) due_micros: u64,
}

/// Rank of a caller: programs in progress over weight in fixed point, then the rank of its first waiting program.
type CallerRank = (u64, WaitRank, CallerKey);

/// Rank of a waiting program: due time in microseconds, then the order of arrival.
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
pub(crate) struct CallerTable {
    callers: SlotMap<CallerKey, CallerShare>,
    by_name: HashMap<CallerName, CallerKey>,
    weights: HashMap<CallerName, u32>,
    order: [BTreeSet<CallerRank>; 2],
    waiting: usize,
    next_sequence: u64,
    is_fair: bool,
}

impl CallerTable {
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

    pub(crate) fn waiting_programs(&self) -> usize {
        self.waiting
    }

    /// Returns an upper bound of the number of callers with waiting programs: a caller counts once for each class.
    pub(crate) fn max_waiting_callers(&self) -> usize {
        self.order.iter().map(BTreeSet::len).sum()
    }

    pub(crate) fn waiting_programs_of(&self, caller: &CallerName) -> usize {
        let key = self.by_name.get(caller);
        key.map_or(0, |key| self.callers[*key].waiting_programs())
    }

    pub(crate) fn has_waiting(&self, class: SizeClass) -> bool {
        !self.order[class as usize].is_empty()
    }

    pub(crate) fn add_waiting(&mut self, caller: &CallerName, waiting: WaitingProgram) {
        let key = self.find_or_insert(caller);
        self.next_sequence += 1;
        let rank = (waiting.due_micros, self.next_sequence);
        self.update(key, |share| {
            share.waiting[waiting.class as usize].insert(rank, waiting)
        });
        self.waiting += 1;
    }

    /// Removes the next program of a class to admit and counts it as in progress.
    pub(crate) fn admit_next(&mut self, class: SizeClass) -> Option<(CallerKey, WaitingProgram)> {
        let (_, _, key) = self.order[class as usize].first().copied()?;
        let program = self.update(key, |share| {
            share.in_progress += 1;
            share.waiting[class as usize].pop_first()
        });
        let (_, program) = program?;
        self.waiting -= 1;
        Some((key, program))
    }

    /// Removes the waiting programs whose deadline has passed.
    pub(crate) fn take_expired(&mut self, now: ClockTime) -> Vec<ProgramId> {
        let ranks = self.order.iter().flatten();
        let keys: BTreeSet<CallerKey> = ranks.map(|(_, _, key)| *key).collect();
        let mut expired = Vec::new();
        for key in keys {
            self.update(key, |share| {
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

    /// Removes a waiting program. Returns `false` if it does not wait.
    pub(crate) fn remove_waiting(&mut self, caller: &CallerName, program: ProgramId) -> bool {
        let Some(key) = self.by_name.get(caller).copied() else {
            return false;
        };
        let was_waiting = self.update(key, |share| {
            let count = share.waiting_programs();
            for programs in &mut share.waiting {
                programs.retain(|_, waiting| waiting.program != program);
            }
            share.waiting_programs() < count
        });
        self.waiting -= usize::from(was_waiting);
        was_waiting
    }

    /// Counts a program that was admitted without waiting as in progress.
    pub(crate) fn record_start(&mut self, caller: &CallerName) -> CallerKey {
        let key = self.find_or_insert(caller);
        self.update(key, |share| share.in_progress += 1);
        key
    }

    /// Counts a program as ended.
    pub(crate) fn record_end(&mut self, key: CallerKey) {
        if self.callers.contains_key(key) {
            self.update(key, |share| {
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
            self.update(key, |share| share.weight = weight);
        }
        true
    }

    fn find_or_insert(&mut self, name: &CallerName) -> CallerKey {
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

    /// Updates a caller and the order of callers. Callers without programs are removed, which bounds the table by the
    /// number of programs.
    fn update<T>(&mut self, key: CallerKey, apply: impl FnOnce(&mut CallerShare) -> T) -> T {
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

    fn rank(&self, key: CallerKey, class: SizeClass) -> Option<CallerRank> {
        let share = &self.callers[key];
        let (first, _) = share.waiting[class as usize].first_key_value()?;
        let programs = u64::from(share.in_progress) << 16;
        let weighted_programs = if self.is_fair {
            programs / u64::from(share.weight)
        } else {
            0
        };
        Some((weighted_programs, *first, key))
    }
}
