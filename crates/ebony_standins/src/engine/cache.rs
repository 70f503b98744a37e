//! The prefix cache of an engine: limited in tokens, by program, with eviction of the least recently used.

use std::collections::{BTreeMap, HashMap};

use ebony_types::ProgramId;
use serde::{Deserialize, Serialize};

use super::echo::PromptSegment;

/// Tokens that went through the prefix cache.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CacheCounters {
    /// Tokens that were computed and stored, prompts and answers.
    pub filled: u64,
    /// Tokens that a call found in the cache.
    pub reused: u64,
    /// Tokens that came from another engine.
    pub imported: u64,
    /// Tokens for which there was no room, because all others were pinned or in use.
    pub not_stored: u64,
    /// Tokens that were evicted, or dropped because a call's messages departed from the stored ones or an import
    /// replaced them.
    pub evicted: u64,
    /// Of the evicted tokens, those that no call had reused.
    pub evicted_unused: u64,
    /// Tokens that were released by an order.
    pub released: u64,
    /// Of the released tokens, those that no call had reused.
    pub released_unused: u64,
    /// Tokens that were lost in a crash.
    pub lost: u64,
}

/// The tokens that a program holds after a change.
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

/// The prefix cache. The capacity bounds it, since every stored message has at least one token.
#[derive(Default)]
pub(crate) struct PrefixCache {
    entries: HashMap<ProgramId, CacheEntry>,
    // Programs by their last use, the oldest first.
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

    /// Returns all programs with the tokens that they hold.
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

    /// Returns and forgets the changes since the last time.
    pub(crate) fn take_changes(&mut self) -> Vec<CacheChange> {
        std::mem::take(&mut self.changes)
    }

    /// Begins a call: reuses the stored start of its prompt, drops what departs from it and stores the rest. Returns
    /// the reused tokens. The
    /// program cannot be evicted until [`PrefixCache::end`].
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
        self.cut(program, common);
        self.touch(program);
        self.append(program, &prompt[common..], capacity);
        reused
    }

    /// Ends a call and stores its answer.
    pub(crate) fn end(&mut self, program: ProgramId, answer: Option<PromptSegment>, capacity: u64) {
        // The program may be gone by an order or a crash.
        let Some(entry) = self.entries.get_mut(&program) else {
            return;
        };
        entry.users = entry.users.saturating_sub(1);
        if let Some(segment) = answer {
            self.append(program, &[segment], capacity);
        }
        self.drop_if_empty(program);
    }

    /// Releases what a program holds.
    pub(crate) fn release(&mut self, program: ProgramId) {
        if let Some(entry) = self.remove(program) {
            self.counters.released += entry.tokens();
            self.counters.released_unused += entry.unused_tokens();
        }
    }

    /// Pins a program or ends its pin. Returns whether the program holds anything.
    pub(crate) fn set_pinned(&mut self, program: ProgramId, is_pinned: bool) -> bool {
        match self.entries.get_mut(&program) {
            Some(entry) => {
                entry.is_pinned = is_pinned;
                true
            }
            None => false,
        }
    }

    /// Returns what a program holds, for another engine.
    pub(crate) fn export(&self, program: ProgramId) -> Option<Vec<PromptSegment>> {
        let entry = self.entries.get(&program)?;
        Some(entry.segments.iter().map(|stored| stored.segment).collect())
    }

    /// Takes what another engine held. Returns whether there was room.
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

    /// Loses everything.
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
        self.note(program);
    }

    /// Evicts other programs until the tokens fit.
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

    /// Drops the end of what a program holds.
    fn cut(&mut self, program: ProgramId, kept: usize) {
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
        self.note(program);
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

    fn note(&mut self, program: ProgramId) {
        let held_tokens = self.entries.get(&program).map_or(0, CacheEntry::tokens);
        self.changes.push(CacheChange { program, held_tokens });
    }
}
