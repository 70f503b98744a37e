//! What each engine holds of each program's prefix, as far as one entry can tell.
//!
//! The model follows the entry's own dispatches and corrects itself by cache events, which arrive late and with gaps.
//! A gap lowers the confidence in every entry of the target that was not confirmed since. Each target's part is a
//! bounded least-recently-used list, bounded both by programs and by the tokens that fit into the engine.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use ebony_types::{ClockTime, ProgramId};
use serde::{Deserialize, Serialize};
use slotmap::SecondaryMap;

use crate::placement::TargetKey;
use crate::speed::bounded_tokens;

/// Options of a [`CacheModel`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CacheOptions {
    /// Whether placement knows of cached prefixes at all.
    pub enabled: bool,
    /// Whether cache events correct the model; otherwise it follows the entry's own dispatches alone.
    pub events: bool,
    /// The most programs that are remembered for each target.
    pub programs_per_target: usize,
    /// The probability that an entry is still right after one lost event.
    pub trust_per_lost_event: f64,
    /// Milliseconds by which events may lag. An event that arrives within this time of the program's last call may
    /// describe the state before the call.
    pub event_lag_ms: u32,
}

impl Default for CacheOptions {
    fn default() -> Self {
        Self {
            enabled: true,
            events: true,
            programs_per_target: 1_024,
            trust_per_lost_event: 0.98,
            event_lag_ms: 1_000,
        }
    }
}

/// The expected part of a prompt that a target holds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CachedPrefix {
    /// Tokens that the target held when it was last heard of.
    pub tokens: u64,
    /// The probability that it still holds them, in 0..=1.
    pub confidence: f64,
}

impl CachedPrefix {
    /// Returns the expected tokens of a prompt that need no prefill.
    pub fn expected_tokens(&self, prompt_tokens: u64) -> u64 {
        (self.tokens.min(prompt_tokens) as f64 * self.confidence) as u64
    }
}

#[derive(Clone, Copy, Debug)]
struct PrefixEntry {
    tokens: u64,
    touched: ClockTime,
    use_number: u64,
    event_sequence: u64,
    losses_at_confirmation: u64,
    is_ambiguous: bool,
}

#[derive(Clone, Debug, Default)]
struct TargetPrefixes {
    entries: HashMap<ProgramId, PrefixEntry>,
    by_use: BTreeMap<u64, ProgramId>,
    tokens: u64,
    capacity_tokens: Option<u64>,
    last_sequence: Option<u64>,
    lost_events: u64,
    next_use: u64,
}

/// The prefix caches of all targets that an entry uses.
///
/// ```
/// use ebony_policy::cache_model::{CacheModel, CacheOptions};
/// use ebony_policy::placement::TargetKey;
/// use ebony_types::{ClockTime, ProgramId, ShardKey};
/// use slotmap::SlotMap;
///
/// let mut targets: SlotMap<TargetKey, ()> = SlotMap::with_key();
/// let target = targets.insert(());
/// let program = ProgramId::from_parts(ShardKey(0), [1; 14]);
/// let mut model = CacheModel::open(CacheOptions::default());
/// model.record_call(target, program, 5_000, ClockTime::from_millis(0));
/// assert_eq!(model.prefix(target, program).expected_tokens(6_000), 5_000);
/// ```
#[derive(Clone, Debug)]
pub struct CacheModel {
    options: CacheOptions,
    targets: SecondaryMap<TargetKey, TargetPrefixes>,
}

impl CacheModel {
    /// Creates an empty model.
    pub fn open(options: CacheOptions) -> Self {
        Self {
            options,
            targets: SecondaryMap::new(),
        }
    }

    /// Returns what a target is expected to hold of a program's prefix.
    pub fn prefix(&self, target: TargetKey, program: ProgramId) -> CachedPrefix {
        let Some(prefixes) = self.targets.get(target) else {
            return CachedPrefix::default();
        };
        let Some(entry) = prefixes.entries.get(&program) else {
            return CachedPrefix::default();
        };
        let losses = prefixes.lost_events - entry.losses_at_confirmation;
        let trust = self.options.trust_per_lost_event.powf(losses as f64);
        CachedPrefix {
            tokens: entry.tokens,
            confidence: if entry.is_ambiguous { trust / 2.0 } else { trust },
        }
    }

    /// Returns the number of programs that are remembered for a target.
    pub fn programs_of(&self, target: TargetKey) -> usize {
        self.targets
            .get(target)
            .map_or(0, |prefixes| prefixes.entries.len())
    }

    /// Records that a call ended, after which the target holds `held_tokens` of its program.
    pub fn record_call(&mut self, target: TargetKey, program: ProgramId, held_tokens: u64, now: ClockTime) {
        if !self.options.enabled {
            return;
        }
        let Some(prefixes) = self.prefixes_of(target) else {
            return;
        };
        let event_sequence = prefixes
            .entries
            .get(&program)
            .map_or(0, |entry| entry.event_sequence);
        prefixes.put(program, held_tokens, now, event_sequence, false);
        self.trim(target);
    }

    /// Applies a cache event with the engine's event number. Only programs that this entry sent to the target are
    /// followed: those of other entries would crowd them out. An entry that adopts a program records its last call.
    pub fn apply_event(
        &mut self,
        target: TargetKey,
        program: ProgramId,
        sequence: u64,
        held_tokens: u64,
        now: ClockTime,
    ) {
        if !self.options.enabled || !self.options.events {
            return;
        }
        let lag = Duration::from_millis(u64::from(self.options.event_lag_ms));
        let Some(prefixes) = self.prefixes_of(target) else {
            return;
        };
        prefixes.count_losses(sequence);
        let Some(entry) = prefixes.entries.get(&program).copied() else {
            return;
        };
        if entry.event_sequence > sequence {
            return;
        }
        if entry.tokens > held_tokens && now.since(entry.touched) < lag {
            prefixes.put(program, entry.tokens, entry.touched, sequence, true);
        } else if held_tokens == 0 {
            prefixes.forget(program);
        } else {
            prefixes.put(program, held_tokens, now, sequence, false);
        }
        self.trim(target);
    }

    /// Sets the tokens that fit into a target's cache, from its load reports.
    pub fn set_capacity(&mut self, target: TargetKey, capacity_tokens: u64) {
        if let Some(prefixes) = self.prefixes_of(target) {
            prefixes.capacity_tokens = Some(capacity_tokens);
        }
        self.trim(target);
    }

    /// Forgets a program that has ended.
    pub fn forget_program(&mut self, target: TargetKey, program: ProgramId) {
        if let Some(prefixes) = self.targets.get_mut(target) {
            prefixes.forget(program);
        }
    }

    /// Forgets a target that was removed, failed or restarted.
    pub fn forget_target(&mut self, target: TargetKey) {
        self.targets.remove(target);
    }

    fn prefixes_of(&mut self, target: TargetKey) -> Option<&mut TargetPrefixes> {
        let entry = self.targets.entry(target)?;
        Some(entry.or_default())
    }

    fn trim(&mut self, target: TargetKey) {
        let bound = self.options.programs_per_target;
        if let Some(prefixes) = self.targets.get_mut(target) {
            prefixes.trim(bound);
        }
    }
}

impl TargetPrefixes {
    fn put(
        &mut self,
        program: ProgramId,
        tokens: u64,
        touched: ClockTime,
        sequence: u64,
        is_ambiguous: bool,
    ) {
        self.forget(program);
        self.next_use += 1;
        let tokens = bounded_tokens(tokens);
        let entry = PrefixEntry {
            tokens,
            touched,
            use_number: self.next_use,
            event_sequence: sequence,
            losses_at_confirmation: self.lost_events,
            is_ambiguous,
        };
        self.by_use.insert(entry.use_number, program);
        self.tokens += tokens;
        self.entries.insert(program, entry);
    }

    fn forget(&mut self, program: ProgramId) {
        if let Some(entry) = self.entries.remove(&program) {
            self.by_use.remove(&entry.use_number);
            self.tokens -= entry.tokens;
        }
    }

    /// Adds the events between the last number and this one to the lost ones. An engine that restarts numbers its
    /// events anew; [`CacheModel::forget_target`] resets the count.
    fn count_losses(&mut self, sequence: u64) {
        match self.last_sequence {
            Some(last) if sequence > last => {
                self.lost_events = self.lost_events.saturating_add(sequence - last - 1);
                self.last_sequence = Some(sequence);
            }
            Some(_) => {}
            None => self.last_sequence = Some(sequence),
        }
    }

    fn trim(&mut self, programs: usize) {
        let capacity = self.capacity_tokens.unwrap_or(u64::MAX);
        while self.entries.len() > programs || (self.tokens > capacity && self.entries.len() > 1) {
            let Some((_, program)) = self.by_use.first_key_value() else {
                return;
            };
            let program = *program;
            self.forget(program);
        }
    }
}
