//! The prefix cache of an engine: one entry per program, bounded in tokens, with eviction of the least recently used.

use std::collections::{BTreeMap, HashMap};

use ebony_types::ProgramId;
use serde::{Deserialize, Serialize};

use super::echo::PromptSegment;

/// Token counters of the prefix cache.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CacheCounters {
    /// Tokens of prompts and answers that were computed and stored.
    pub filled: u64,
    /// Tokens that calls found in the cache.
    pub reused: u64,
    /// Tokens that were imported from another engine.
    pub imported: u64,
    /// Tokens that were not stored because the cache was full of pinned programs and programs in use.
    pub not_stored: u64,
    /// Tokens that were evicted, or dropped because a call's messages differed from the stored ones or an import
    /// replaced them.
    pub evicted: u64,
    /// Evicted tokens that no call had reused.
    pub evicted_unused: u64,
    /// Tokens that were released by an order.
    pub released: u64,
    /// Released tokens that no call had reused.
    pub released_unused: u64,
    /// Tokens that were lost in a crash.
    pub lost: u64,
}

/// The number of tokens that a program holds after a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CacheChange {
    pub(crate) program: ProgramId,
    pub(crate) held_tokens: u64,
}

#[derive(Clone, Copy)]
struct StoredSegment {
    segment: PromptSegment,
    is_reused: bool,
}

#[derive(Default)]
struct CacheEntry {
    segments: Vec<StoredSegment>,
    used_at: u64,
    is_pinned: bool,
    users: u32,
}

impl CacheEntry {
    fn tokens(&self) -> u64 {
        self.segments.iter().map(|stored| stored.segment.tokens).sum()
    }

    fn unused_tokens(&self) -> u64 {
        self.segments
            .iter()
            .filter(|stored| !stored.is_reused)
            .map(|stored| stored.segment.tokens)
            .sum()
    }

    fn can_be_evicted(&self) -> bool {
        !self.is_pinned && self.users == 0
    }
}

/// The prefix cache. The capacity in tokens also bounds the number of entries, because every stored message has at
/// least one token.
#[derive(Default)]
pub(crate) struct PrefixCache {
    entries: HashMap<ProgramId, CacheEntry>,
    // Programs by last use, least recently used first.
    order: BTreeMap<u64, ProgramId>,
    clock: u64,
    generation: u64,
    held_tokens: u64,
    counters: CacheCounters,
    changes: Vec<CacheChange>,
}

impl PrefixCache {
    pub(crate) fn counters(&self) -> CacheCounters {
        self.counters
    }

    /// Returns the number of crashes so far.
    pub(crate) fn generation(&self) -> u64 {
        self.generation
    }

    pub(crate) fn held_tokens(&self) -> u64 {
        self.held_tokens
    }

    /// Returns all programs with the number of tokens that they hold.
    pub(crate) fn held(&self) -> Vec<CacheChange> {
        let mut held: Vec<CacheChange> = self
            .entries
            .iter()
            .map(|(program, entry)| CacheChange {
                program: *program,
                held_tokens: entry.tokens(),
            })
            .collect();
        held.sort_unstable_by_key(|change| change.program);
        held
    }

    /// Returns the pinned programs.
    pub(crate) fn pinned(&self) -> Vec<ProgramId> {
        let pinned = self.entries.iter().filter(|(_, entry)| entry.is_pinned);
        let mut programs: Vec<ProgramId> = pinned.map(|(program, _)| *program).collect();
        programs.sort_unstable();
        programs
    }

    /// Returns and clears the changes since the last call.
    pub(crate) fn take_changes(&mut self) -> Vec<CacheChange> {
        std::mem::take(&mut self.changes)
    }

    /// Begins a call: reuses the common prefix of the stored segments and the prompt, drops the remaining stored
    /// segments and stores the rest of the prompt. Returns the number of reused tokens. The program is not evicted
    /// before [`PrefixCache::end`].
    pub(crate) fn begin(&mut self, program: ProgramId, prompt: &[PromptSegment], capacity: u64) -> u64 {
        let entry = self.entries.entry(program).or_default();
        entry.users += 1;
        let common = entry
            .segments
            .iter()
            .zip(prompt)
            .take_while(|(stored, segment)| stored.segment == **segment)
            .count();
        let mut reused = 0;
        for stored in &mut entry.segments[..common] {
            stored.is_reused = true;
            reused += stored.segment.tokens;
        }
        self.counters.reused += reused;
        self.truncate(program, common);
        self.touch(program);
        self.append(program, &prompt[common..], capacity);
        reused
    }

    /// Ends a call and stores its answer, if it has one.
    pub(crate) fn end(&mut self, program: ProgramId, answer: Option<PromptSegment>, capacity: u64) {
        // An order or a crash may have removed the program.
        let Some(entry) = self.entries.get_mut(&program) else {
            return;
        };
        entry.users = entry.users.saturating_sub(1);
        if let Some(segment) = answer {
            self.append(program, &[segment], capacity);
        }
        self.drop_if_empty(program);
    }

    /// Removes the tokens of a program because of an order.
    pub(crate) fn release(&mut self, program: ProgramId) {
        if let Some(entry) = self.remove(program) {
            self.counters.released += entry.tokens();
            self.counters.released_unused += entry.unused_tokens();
        }
    }

    /// Pins or unpins a program. Returns `false` if the program is not in the cache.
    pub(crate) fn set_pinned(&mut self, program: ProgramId, is_pinned: bool) -> bool {
        match self.entries.get_mut(&program) {
            Some(entry) => {
                entry.is_pinned = is_pinned;
                true
            }
            None => false,
        }
    }

    /// Returns the segments of a program, for import by another engine.
    pub(crate) fn export(&self, program: ProgramId) -> Option<Vec<PromptSegment>> {
        let entry = self.entries.get(&program)?;
        Some(entry.segments.iter().map(|stored| stored.segment).collect())
    }

    /// Stores segments exported by another engine. Returns whether any tokens were stored.
    pub(crate) fn import(&mut self, program: ProgramId, segments: &[PromptSegment], capacity: u64) -> bool {
        self.evict(program);
        self.entries.entry(program).or_default();
        self.touch(program);
        let filled = self.counters.filled;
        self.append(program, segments, capacity);
        let stored = self.counters.filled - filled;
        self.counters.filled = filled;
        self.counters.imported += stored;
        self.drop_if_empty(program);
        stored > 0
    }

    /// Clears the cache and counts its tokens as lost.
    pub(crate) fn crash(&mut self) {
        self.counters.lost += self.held_tokens;
        *self = Self {
            generation: self.generation + 1,
            counters: self.counters,
            ..Self::default()
        };
    }

    fn append(&mut self, program: ProgramId, segments: &[PromptSegment], capacity: u64) {
        let tokens: u64 = segments.iter().map(|segment| segment.tokens).sum();
        if !self.make_room(program, tokens, capacity) {
            self.counters.not_stored += tokens;
            return;
        }
        let Some(entry) = self.entries.get_mut(&program) else {
            return;
        };
        entry
            .segments
            .extend(segments.iter().map(|segment| StoredSegment {
                segment: *segment,
                is_reused: false,
            }));
        self.held_tokens += tokens;
        self.counters.filled += tokens;
        self.push_change(program);
    }

    /// Evicts other programs until the tokens fit. Returns `false` if they cannot fit.
    fn make_room(&mut self, program: ProgramId, tokens: u64, capacity: u64) -> bool {
        while self.held_tokens + tokens > capacity {
            let oldest = self.order.values().find(|candidate| {
                let entry = self.entries.get(candidate);
                **candidate != program && entry.is_some_and(CacheEntry::can_be_evicted)
            });
            let Some(oldest) = oldest.copied() else {
                return false;
            };
            self.evict(oldest);
        }
        true
    }

    fn evict(&mut self, program: ProgramId) {
        if let Some(entry) = self.remove(program) {
            self.counters.evicted += entry.tokens();
            self.counters.evicted_unused += entry.unused_tokens();
        }
    }

    /// Drops the segments of a program after the first `kept` ones.
    fn truncate(&mut self, program: ProgramId, kept: usize) {
        let Some(entry) = self.entries.get_mut(&program) else {
            return;
        };
        for stored in entry.segments.drain(kept..) {
            self.held_tokens -= stored.segment.tokens;
            self.counters.evicted += stored.segment.tokens;
            if !stored.is_reused {
                self.counters.evicted_unused += stored.segment.tokens;
            }
        }
    }

    fn remove(&mut self, program: ProgramId) -> Option<CacheEntry> {
        let entry = self.entries.remove(&program)?;
        self.order.remove(&entry.used_at);
        self.held_tokens -= entry.tokens();
        self.push_change(program);
        Some(entry)
    }

    fn drop_if_empty(&mut self, program: ProgramId) {
        let entry = self.entries.get(&program);
        if entry.is_some_and(|entry| entry.users == 0 && entry.segments.is_empty()) {
            self.remove(program);
        }
    }

    fn touch(&mut self, program: ProgramId) {
        self.clock += 1;
        if let Some(entry) = self.entries.get_mut(&program) {
            self.order.remove(&entry.used_at);
            entry.used_at = self.clock;
            self.order.insert(self.clock, program);
        }
    }

    fn push_change(&mut self, program: ProgramId) {
        let held_tokens = self.entries.get(&program).map_or(0, CacheEntry::tokens);
        self.changes.push(CacheChange { program, held_tokens });
    }
}
