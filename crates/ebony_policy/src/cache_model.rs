//! Estimates which program prefixes each engine has cached, from the view of one entry.
//!
//! The model is updated by the entry's own calls and corrected by cache events, which arrive late and with gaps. A gap
//! in the event numbers lowers the confidence in all prefixes of the target that are not confirmed after it. The
//! prefixes of a target are a least-recently-used list, bounded by the number of programs and by the tokens that fit
//! into the engine.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use ebony_types::{ClockTime, ProgramId};
use serde::{Deserialize, Serialize};
use slotmap::SecondaryMap;

use crate::placement::TargetKey;
use crate::speed::clamp_tokens;

/// Options of a [`CacheModel`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CacheOptions {
    /// Whether cached prefixes are tracked for placement.
    pub enabled: bool,
    /// Whether cache events correct the model; otherwise only the entry's own calls update it.
    pub events: bool,
    /// Maximum programs tracked for each target.
    pub programs_per_target: usize,
    /// Probability that a tracked prefix is still correct after one lost event.
    pub trust_per_lost_event: f64,
    /// Maximum lag of events, in milliseconds. An event that arrives within this time after the program's last call may
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

/// The prefix of a program that a target is expected to have cached.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CachedPrefix {
    /// Tokens cached according to the last call or event.
    pub tokens: u64,
    /// Probability that they are still cached, in 0..=1.
    pub confidence: f64,
}

impl CachedPrefix {
    /// Returns the expected number of prompt tokens that need no prefill.
    pub fn expected_tokens(&self, prompt_tokens: u64) -> u64 {
        (self.tokens.min(prompt_tokens) as f64 * self.confidence) as u64
    }
}

#[derive(Clone, Copy, Debug)]
struct PrefixEntry {
    tokens: u64,
    updated_at: ClockTime,
    use_sequence: u64,
    event_sequence: u64,
    lost_events_at_update: u64,
    /// Whether a recent event reported fewer tokens, possibly from before the last call.
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
    last_use_sequence: u64,
}

/// Model of the prefix caches of all targets that an entry uses.
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

    /// Returns the prefix of a program that a target is expected to have cached.
    pub fn prefix(&self, target: TargetKey, program: ProgramId) -> CachedPrefix {
        let Some(prefixes) = self.targets.get(target) else {
            return CachedPrefix::default();
        };
        let Some(entry) = prefixes.entries.get(&program) else {
            return CachedPrefix::default();
        };
        let lost_events = prefixes.lost_events - entry.lost_events_at_update;
        let trust = self.options.trust_per_lost_event.powf(lost_events as f64);
        CachedPrefix {
            tokens: entry.tokens,
            confidence: if entry.is_ambiguous { trust / 2.0 } else { trust },
        }
    }

    /// Returns the number of programs tracked for a target.
    pub fn program_count(&self, target: TargetKey) -> usize {
        self.targets
            .get(target)
            .map_or(0, |prefixes| prefixes.entries.len())
    }

    /// Records that a call ended, after which the target has `held_tokens` of its program cached.
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
        prefixes.insert(program, held_tokens, now, event_sequence, false);
        self.evict_excess(target);
    }

    /// Applies a cache event with the engine's event number. Events of programs that this entry did not send to the
    /// target are ignored, because programs of other entries would displace its own. An entry that adopts a program
    /// must record the program's last call.
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
        prefixes.count_lost_events(sequence);
        let Some(entry) = prefixes.entries.get(&program).copied() else {
            return;
        };
        if entry.event_sequence > sequence {
            return;
        }
        if entry.tokens > held_tokens && now.since(entry.updated_at) < lag {
            prefixes.insert(program, entry.tokens, entry.updated_at, sequence, true);
        } else if held_tokens == 0 {
            prefixes.remove(program);
        } else {
            prefixes.insert(program, held_tokens, now, sequence, false);
        }
        self.evict_excess(target);
    }

    /// Sets the number of tokens that fit into a target's cache, from its load reports.
    pub fn set_capacity(&mut self, target: TargetKey, capacity_tokens: u64) {
        if let Some(prefixes) = self.prefixes_of(target) {
            prefixes.capacity_tokens = Some(capacity_tokens);
        }
        self.evict_excess(target);
    }

    /// Removes a program that has ended.
    pub fn forget_program(&mut self, target: TargetKey, program: ProgramId) {
        if let Some(prefixes) = self.targets.get_mut(target) {
            prefixes.remove(program);
        }
    }

    /// Removes a target that was removed, failed or restarted.
    pub fn forget_target(&mut self, target: TargetKey) {
        self.targets.remove(target);
    }

    fn prefixes_of(&mut self, target: TargetKey) -> Option<&mut TargetPrefixes> {
        let entry = self.targets.entry(target)?;
        Some(entry.or_default())
    }

    fn evict_excess(&mut self, target: TargetKey) {
        let max_programs = self.options.programs_per_target;
        if let Some(prefixes) = self.targets.get_mut(target) {
            prefixes.evict_excess(max_programs);
        }
    }
}

impl TargetPrefixes {
    fn insert(
        &mut self,
        program: ProgramId,
        tokens: u64,
        updated_at: ClockTime,
        sequence: u64,
        is_ambiguous: bool,
    ) {
        self.remove(program);
        self.last_use_sequence += 1;
        let tokens = clamp_tokens(tokens);
        let entry = PrefixEntry {
            tokens,
            updated_at,
            use_sequence: self.last_use_sequence,
            event_sequence: sequence,
            lost_events_at_update: self.lost_events,
            is_ambiguous,
        };
        self.by_use.insert(entry.use_sequence, program);
        self.tokens += tokens;
        self.entries.insert(program, entry);
    }

    fn remove(&mut self, program: ProgramId) {
        if let Some(entry) = self.entries.remove(&program) {
            self.by_use.remove(&entry.use_sequence);
            self.tokens -= entry.tokens;
        }
    }

    /// Counts the events between the last number and this one as lost. A restarted engine restarts its event numbers;
    /// [`CacheModel::forget_target`] resets the count.
    fn count_lost_events(&mut self, sequence: u64) {
        match self.last_sequence {
            Some(last) if sequence > last => {
                self.lost_events = self.lost_events.saturating_add(sequence - last - 1);
                self.last_sequence = Some(sequence);
            }
            Some(_) => {}
            None => self.last_sequence = Some(sequence),
        }
    }

    fn evict_excess(&mut self, max_programs: usize) {
        let capacity = self.capacity_tokens.unwrap_or(u64::MAX);
        while self.entries.len() > max_programs || (self.tokens > capacity && self.entries.len() > 1) {
            let Some((_, program)) = self.by_use.first_key_value() else {
                return;
            };
            let program = *program;
            self.remove(program);
        }
    }
}
