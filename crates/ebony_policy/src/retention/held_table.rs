//! Table of the programs whose KV cache one target holds, kept by its side process.
//!
//! A program is running, paused, exported or being released. Paused and exported programs have a lease that their
//! owner renews; when it expires they are released. A release is repeated until the engine confirms it or no longer
//! lists the program.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use ebony_types::{ClockTime, ProgramId};
use slotmap::SlotMap;

use super::RetentionOptions;
use crate::speed::clamp_tokens;

use super::held_state::{HeldEntry, HeldState, PendingRelease};

slotmap::new_key_type! {
    /// Key of a program in the table.
    struct HeldKey;
}

/// Maximum doublings of the time between two attempts of a release.
const MAX_REPEAT_DOUBLINGS: u32 = 10;

/// An order to the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeldOrder {
    /// Protects the program's KV cache from eviction.
    Pin(ProgramId),
    /// Lets the engine evict the program's KV cache again.
    Unpin(ProgramId),
    /// Exports the program's KV cache, after which it is released.
    Export(ProgramId),
    /// Imports the exported KV cache before the program's call runs. This consumes the exported copy even if the engine
    /// does not accept it.
    Import(ProgramId),
    /// Deletes the exported copy.
    DropExport(ProgramId),
    /// Releases the program's KV cache.
    Release(ProgramId),
}

/// A program that the engine lists as held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListedProgram {
    /// The program.
    pub program: ProgramId,
    /// Tokens of KV cache held.
    pub tokens: u64,
}

/// Eviction rank of a paused program, highest first: unpinned programs, then those with the latest expected return.
type EvictionRank = (bool, ClockTime, HeldKey);

/// The programs whose KV cache one target holds.
///
/// ```
/// use std::time::Duration;
/// use ebony_policy::retention::{HeldOrder, HeldTable, RetentionOptions};
/// use ebony_types::{ClockTime, ProgramId, ShardKey};
///
/// let mut table = HeldTable::open(RetentionOptions::default());
/// let program = ProgramId::from_parts(ShardKey(0), [1; 14]);
/// let now = ClockTime::from_millis(0);
/// table.start_call(program, now);
/// table.end_call(program, 5_000, now);
/// assert_eq!(table.release(program, now), vec![HeldOrder::Release(program)]);
/// // The order is lost, so it is repeated until it is confirmed.
/// assert_eq!(table.poll(now + Duration::from_secs(2)), vec![HeldOrder::Release(program)]);
/// table.confirm_release(program);
/// assert_eq!(table.held_programs(), 0);
/// ```
#[derive(Debug)]
pub struct HeldTable {
    options: RetentionOptions,
    entries: SlotMap<HeldKey, HeldEntry>,
    by_program: HashMap<ProgramId, HeldKey>,
    eviction_order: BTreeSet<EvictionRank>,
    by_due: BTreeSet<(ClockTime, HeldKey)>,
    exported_tokens: u64,
}

impl HeldTable {
    /// Creates an empty table.
    pub fn open(options: RetentionOptions) -> Self {
        Self {
            options,
            entries: SlotMap::with_key(),
            by_program: HashMap::new(),
            eviction_order: BTreeSet::new(),
            by_due: BTreeSet::new(),
            exported_tokens: 0,
        }
    }

    /// Returns the number of programs with KV cache on the engine or in the export store.
    pub fn held_programs(&self) -> usize {
        self.entries.len()
    }

    /// Returns the tokens of exported KV cache, including exports in progress.
    pub fn exported_tokens(&self) -> u64 {
        self.exported_tokens
    }

    /// Records that a call of the program starts on the engine. Returns the orders that must precede it.
    pub fn start_call(&mut self, program: ProgramId, now: ClockTime) -> Vec<HeldOrder> {
        let key = self.find_or_insert(program, now);
        let (state, lease_until) = (self.entries[key].state, now + self.lease_duration());
        let calls = match state {
            HeldState::Running { calls } => calls + 1,
            _ => 1,
        };
        self.update(key, |entry| {
            entry.state = HeldState::Running { calls };
            entry.lease_until = lease_until;
            entry.is_release_requested = false;
        });
        match state {
            HeldState::Exported { .. } => vec![HeldOrder::Import(program)],
            HeldState::Paused {
                pinned_until: Some(_),
                ..
            } => vec![HeldOrder::Unpin(program)],
            _ => Vec::new(),
        }
    }

    /// Records that a call of the program ended, after which the engine holds `tokens`. When its last call has ended,
    /// the program counts as paused for one lease, until the owner decides.
    pub fn end_call(&mut self, program: ProgramId, tokens: u64, now: ClockTime) -> Vec<HeldOrder> {
        let Some(key) = self.by_program.get(&program).copied() else {
            return Vec::new();
        };
        let lease_until = now + self.lease_duration();
        let HeldState::Running { calls } = self.entries[key].state else {
            return Vec::new();
        };
        if calls > 1 {
            self.update(key, |entry| entry.state = HeldState::Running { calls: calls - 1 });
            return Vec::new();
        }
        self.update(key, |entry| {
            entry.tokens = clamp_tokens(tokens);
            entry.lease_until = lease_until;
            entry.state = HeldState::Paused {
                expected_return: lease_until,
                pinned_until: None,
            };
        });
        if self.entries[key].is_release_requested {
            return self.start_release(key, now);
        }
        Vec::new()
    }

    /// Pins a paused program's KV cache for at most `expires`. The program is expected to return after `expected`,
    /// which determines the eviction order; pass `expires` if that is unknown.
    pub fn retain(
        &mut self,
        program: ProgramId,
        expected: Duration,
        expires: Duration,
        now: ClockTime,
    ) -> Vec<HeldOrder> {
        let Some(key) = self.by_program.get(&program).copied() else {
            return Vec::new();
        };
        let HeldState::Paused { pinned_until, .. } = self.entries[key].state else {
            return Vec::new();
        };
        self.update(key, |entry| {
            entry.state = HeldState::Paused {
                expected_return: now + expected,
                pinned_until: Some(now + expires),
            };
        });
        if pinned_until.is_some() {
            Vec::new()
        } else {
            vec![HeldOrder::Pin(program)]
        }
    }

    /// Exports a paused program if the export store has room; otherwise releases it.
    pub fn export(&mut self, program: ProgramId, now: ClockTime) -> Vec<HeldOrder> {
        let Some(key) = self.by_program.get(&program).copied() else {
            return Vec::new();
        };
        if !matches!(self.entries[key].state, HeldState::Paused { .. }) {
            return Vec::new();
        }
        let tokens = self.entries[key].tokens;
        if !self.options.export || self.exported_tokens + tokens > self.options.export_tokens {
            return self.start_release(key, now);
        }
        self.update(key, |entry| entry.state = HeldState::Exporting);
        vec![HeldOrder::Export(program)]
    }

    /// Records whether the export of a program was stored. The engine's copy is released in either case.
    pub fn finish_export(&mut self, program: ProgramId, is_stored: bool, now: ClockTime) -> Vec<HeldOrder> {
        let Some(key) = self.by_program.get(&program).copied() else {
            return vec![HeldOrder::DropExport(program)];
        };
        let state = self.entries[key].state;
        if state == HeldState::Exporting && is_stored {
            let release = Some(self.pending_release(0, now));
            self.update(key, |entry| entry.state = HeldState::Exported { release });
            return vec![HeldOrder::Release(program)];
        }
        let mut orders = Vec::new();
        if is_stored {
            orders.push(HeldOrder::DropExport(program));
        }
        if state == HeldState::Exporting {
            orders.extend(self.start_release(key, now));
        }
        orders
    }

    /// Releases a program that ended, was cancelled or exhausted its budget. If a call of it still runs, the release
    /// is deferred to the end of the call.
    pub fn release(&mut self, program: ProgramId, now: ClockTime) -> Vec<HeldOrder> {
        match self.by_program.get(&program).copied() {
            Some(key) => self.start_release(key, now),
            None => Vec::new(),
        }
    }

    /// Renews the leases of programs at the request of their owner.
    pub fn renew_leases(&mut self, programs: &[ProgramId], now: ClockTime) {
        let lease_until = now + self.lease_duration();
        for program in programs {
            if let Some(key) = self.by_program.get(program).copied() {
                self.update(key, |entry| entry.lease_until = lease_until);
            }
        }
    }

    /// Records that the engine confirmed a release.
    pub fn confirm_release(&mut self, program: ProgramId) {
        let Some(key) = self.by_program.get(&program).copied() else {
            return;
        };
        match self.entries[key].state {
            HeldState::Releasing(_) => self.remove(key),
            HeldState::Exported { .. } => {
                self.update(key, |entry| entry.state = HeldState::Exported { release: None });
            }
            _ => {}
        }
    }

    /// Reconciles the table with the engine's list of held programs, periodically and after a restart of either side.
    /// Programs that the engine no longer lists are removed, except for running and exported ones. While the table has
    /// room, unknown programs are added with one lease, within which their owner must renew it. The list must have been
    /// requested after all earlier orders were answered.
    pub fn reconcile(&mut self, listed: &[ListedProgram], now: ClockTime) {
        let listed_programs: BTreeSet<ProgramId> = listed.iter().map(|listed| listed.program).collect();
        let is_unlisted = |entry: &HeldEntry| {
            let is_on_engine = matches!(
                entry.state,
                HeldState::Paused { .. } | HeldState::Exporting | HeldState::Releasing(_)
            );
            is_on_engine && !listed_programs.contains(&entry.program)
        };
        let entries = self.entries.iter().filter(|(_, entry)| is_unlisted(entry));
        let unlisted: Vec<HeldKey> = entries.map(|(key, _)| key).collect();
        for key in unlisted {
            self.remove(key);
        }
        for listed in listed {
            let has_room = self.entries.len() < self.options.held_programs;
            if has_room && !self.by_program.contains_key(&listed.program) {
                let key = self.find_or_insert(listed.program, now);
                self.update(key, |entry| entry.tokens = clamp_tokens(listed.tokens));
            }
        }
    }

    /// Frees memory for a call of `program` that has waited for the given time, by exporting or releasing other paused
    /// programs: unpinned programs first, then those with the latest expected return. A pinned program that is expected
    /// to return within [`RetentionOptions::break_even_ms`] is evicted only for a call that has waited for
    /// [`RetentionOptions::patience_ms`].
    ///
    /// Returns no orders if this cannot free enough memory. The call then waits and may be bypassed.
    pub fn make_room(
        &mut self,
        program: ProgramId,
        tokens: u64,
        waited: Duration,
        now: ClockTime,
    ) -> Vec<HeldOrder> {
        let break_even = Duration::from_millis(u64::from(self.options.break_even_ms));
        let max_wait = Duration::from_millis(u64::from(self.options.patience_ms));
        let mut freed = 0;
        let mut chosen = Vec::new();
        for (is_unpinned, expected_return, key) in self.eviction_order.iter().rev() {
            let is_evictable = *is_unpinned || waited >= max_wait || expected_return.since(now) >= break_even;
            if freed >= tokens || !is_evictable {
                break;
            }
            let entry = self.entries[*key];
            if entry.program != program {
                freed += entry.tokens;
                chosen.push(entry.program);
            }
        }
        if freed < tokens {
            return Vec::new();
        }
        let orders = chosen.into_iter().flat_map(|program| self.export(program, now));
        orders.collect()
    }

    /// Returns the orders that are due: expired pins, releases after expired leases, and repeated releases.
    pub fn poll(&mut self, now: ClockTime) -> Vec<HeldOrder> {
        let due = self.by_due.iter().take_while(|(due, _)| *due <= now);
        let keys: Vec<HeldKey> = due.map(|(_, key)| *key).collect();
        keys.into_iter()
            .flat_map(|key| self.handle_due(key, now))
            .collect()
    }

    /// Handles one due program.
    fn handle_due(&mut self, key: HeldKey, now: ClockTime) -> Vec<HeldOrder> {
        let HeldEntry {
            program,
            state,
            lease_until,
            ..
        } = self.entries[key];
        let is_leased = lease_until > now;
        match state {
            // A running call shows that the program still exists, so its lease is renewed.
            HeldState::Running { .. } => {
                let lease_until = now + self.lease_duration();
                self.update(key, |entry| entry.lease_until = lease_until);
                Vec::new()
            }
            HeldState::Paused { expected_return, .. } if is_leased => {
                self.update(key, |entry| {
                    entry.state = HeldState::Paused {
                        expected_return,
                        pinned_until: None,
                    };
                });
                vec![HeldOrder::Unpin(program)]
            }
            HeldState::Exported {
                release: Some(pending),
            } if is_leased => {
                let release = Some(self.pending_release(pending.attempts, now));
                self.update(key, |entry| entry.state = HeldState::Exported { release });
                vec![HeldOrder::Release(program)]
            }
            _ => self.start_release(key, now),
        }
    }

    /// Returns the time at which [`HeldTable::poll`] must be called next; `None` if the table is empty.
    pub fn next_poll(&self) -> Option<ClockTime> {
        self.by_due.first().map(|(due, _)| *due)
    }

    fn lease_duration(&self) -> Duration {
        Duration::from_millis(u64::from(self.options.lease_ms))
    }

    /// Returns the entry of a program, adding a paused one with one lease if it is missing. If the table is full, the
    /// paused program with the highest eviction rank loses its entry; [`HeldTable::reconcile`] adds it again if it is
    /// still held. Without paused programs the table may exceed its bound by the running calls, which the engine's
    /// slots limit.
    fn find_or_insert(&mut self, program: ProgramId, now: ClockTime) -> HeldKey {
        if let Some(key) = self.by_program.get(&program) {
            return *key;
        }
        if self.entries.len() >= self.options.held_programs
            && let Some((_, _, key)) = self.eviction_order.last().copied()
        {
            self.remove(key);
        }
        let lease_until = now + self.lease_duration();
        let key = self.entries.insert(HeldEntry {
            program,
            tokens: 0,
            state: HeldState::Paused {
                expected_return: lease_until,
                pinned_until: None,
            },
            lease_until,
            is_release_requested: false,
        });
        self.by_program.insert(program, key);
        self.add_to_sets(key);
        key
    }

    fn start_release(&mut self, key: HeldKey, now: ClockTime) -> Vec<HeldOrder> {
        let HeldEntry { program, state, .. } = self.entries[key];
        let mut orders = Vec::new();
        let attempts = match state {
            HeldState::Running { .. } => {
                self.update(key, |entry| entry.is_release_requested = true);
                return orders;
            }
            HeldState::Exported { release: None } => {
                self.remove(key);
                return vec![HeldOrder::DropExport(program)];
            }
            HeldState::Exported {
                release: Some(pending),
            } => {
                orders.push(HeldOrder::DropExport(program));
                pending.attempts
            }
            HeldState::Releasing(pending) => pending.attempts,
            HeldState::Paused { .. } | HeldState::Exporting => 0,
        };
        let pending = self.pending_release(attempts, now);
        self.update(key, |entry| {
            entry.is_release_requested = true;
            entry.state = HeldState::Releasing(pending);
        });
        orders.push(HeldOrder::Release(program));
        orders
    }

    /// Returns a pending release after one more attempt than `attempts`.
    fn pending_release(&self, attempts: u32, now: ClockTime) -> PendingRelease {
        let doublings = attempts.min(MAX_REPEAT_DOUBLINGS);
        let millis = u64::from(self.options.repeat_ms) << doublings;
        let wait = Duration::from_millis(millis.min(u64::from(self.options.max_repeat_ms)));
        PendingRelease {
            attempts: attempts.saturating_add(1),
            repeat_at: now + wait,
        }
    }

    fn update(&mut self, key: HeldKey, apply: impl FnOnce(&mut HeldEntry)) {
        self.remove_from_sets(key);
        apply(&mut self.entries[key]);
        self.add_to_sets(key);
    }

    fn remove(&mut self, key: HeldKey) {
        self.remove_from_sets(key);
        if let Some(entry) = self.entries.remove(key) {
            self.by_program.remove(&entry.program);
        }
    }

    fn remove_from_sets(&mut self, key: HeldKey) {
        let entry = self.entries[key];
        self.by_due.remove(&(entry.next_due(), key));
        match entry.state {
            HeldState::Paused {
                expected_return,
                pinned_until,
            } => {
                self.eviction_order
                    .remove(&(pinned_until.is_none(), expected_return, key));
            }
            HeldState::Exporting | HeldState::Exported { .. } => self.exported_tokens -= entry.tokens,
            HeldState::Running { .. } | HeldState::Releasing(_) => {}
        }
    }

    fn add_to_sets(&mut self, key: HeldKey) {
        let entry = self.entries[key];
        self.by_due.insert((entry.next_due(), key));
        match entry.state {
            HeldState::Paused {
                expected_return,
                pinned_until,
            } => {
                self.eviction_order
                    .insert((pinned_until.is_none(), expected_return, key));
            }
            HeldState::Exporting | HeldState::Exported { .. } => self.exported_tokens += entry.tokens,
            HeldState::Running { .. } | HeldState::Releasing(_) => {}
        }
    }
}
