//! The KV cache that one target holds, as its side process knows it.
//!
//! A program is running, paused, exported or being released. Paused and exported programs have a lease that the
//! owner's vouching extends; without it they are released. A release is repeated until the engine confirms it or
//! no longer lists the program.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use ebony_types::{ClockTime, ProgramId};
use slotmap::SlotMap;

use super::RetentionOptions;
use crate::speed::bounded_tokens;

use super::held_state::{HeldEntry, HeldState, PendingRelease};

slotmap::new_key_type! {
    /// Names a program in the table.
    struct HeldKey;
}

/// The most doublings of the time between two repeats of a release.
const MAX_REPEAT_DOUBLINGS: u32 = 10;

/// An order to the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeldOrder {
    /// Keeps the program's KV cache from eviction.
    Pin(ProgramId),
    /// Leaves the program's KV cache to the engine's own eviction.
    Unpin(ProgramId),
    /// Exports the program's KV cache, after which it is released.
    Export(ProgramId),
    /// Imports the exported KV cache before the program's call runs. The order uses up the exported copy, whether or
    /// not the engine takes it.
    Import(ProgramId),
    /// Drops the exported copy.
    DropExport(ProgramId),
    /// Releases the program's KV cache.
    Release(ProgramId),
}

/// A program that the engine lists as held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListedProgram {
    /// The program.
    pub program: ProgramId,
    /// Tokens held.
    pub tokens: u64,
}

/// The order in which paused programs make room, last first: those that are not pinned, then those that are expected
/// back last.
type ReturnRank = (bool, ClockTime, HeldKey);

/// The programs that one target holds KV cache for.
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
/// // The order was lost: it is repeated until confirmed.
/// assert_eq!(table.poll(now + Duration::from_secs(2)), vec![HeldOrder::Release(program)]);
/// table.confirm_release(program);
/// assert_eq!(table.held_programs(), 0);
/// ```
#[derive(Debug)]
pub struct HeldTable {
    options: RetentionOptions,
    entries: SlotMap<HeldKey, HeldEntry>,
    by_program: HashMap<ProgramId, HeldKey>,
    by_return: BTreeSet<ReturnRank>,
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
            by_return: BTreeSet::new(),
            by_due: BTreeSet::new(),
            exported_tokens: 0,
        }
    }

    /// Returns the number of programs that the engine or the export store holds something for.
    pub fn held_programs(&self) -> usize {
        self.entries.len()
    }

    /// Returns the tokens that are exported.
    pub fn exported_tokens(&self) -> u64 {
        self.exported_tokens
    }

    /// Records that a call of the program is given to the engine. Returns the orders that must come before it.
    pub fn start_call(&mut self, program: ProgramId, now: ClockTime) -> Vec<HeldOrder> {
        let key = self.entry(program, now);
        let (state, lease_until) = (self.entries[key].state, now + self.lease());
        let calls = match state {
            HeldState::Running { calls } => calls + 1,
            _ => 1,
        };
        self.change(key, |entry| {
            entry.state = HeldState::Running { calls };
            entry.lease_until = lease_until;
            entry.has_ended = false;
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

    /// Records that a call of the program ended, after which the engine holds `tokens`. Until the owner decides, the
    /// program counts as paused for the length of a lease.
    pub fn end_call(&mut self, program: ProgramId, tokens: u64, now: ClockTime) -> Vec<HeldOrder> {
        let Some(key) = self.by_program.get(&program).copied() else {
            return Vec::new();
        };
        let lease_until = now + self.lease();
        let HeldState::Running { calls } = self.entries[key].state else {
            return Vec::new();
        };
        if calls > 1 {
            self.change(key, |entry| entry.state = HeldState::Running { calls: calls - 1 });
            return Vec::new();
        }
        self.change(key, |entry| {
            entry.tokens = bounded_tokens(tokens);
            entry.lease_until = lease_until;
            entry.state = HeldState::Paused {
                back_at: lease_until,
                pinned_until: None,
            };
        });
        if self.entries[key].has_ended {
            return self.begin_release(key, now);
        }
        Vec::new()
    }

    /// Pins a paused program's KV cache for at most `expires`. The program is expected back after `expected`, which
    /// decides who makes room first; a caller that does not know passes `expires`.
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
        self.change(key, |entry| {
            entry.state = HeldState::Paused {
                back_at: now + expected,
                pinned_until: Some(now + expires),
            };
        });
        if pinned_until.is_some() {
            Vec::new()
        } else {
            vec![HeldOrder::Pin(program)]
        }
    }

    /// Exports a paused program if the export store has room, and releases it otherwise.
    pub fn export(&mut self, program: ProgramId, now: ClockTime) -> Vec<HeldOrder> {
        let Some(key) = self.by_program.get(&program).copied() else {
            return Vec::new();
        };
        if !matches!(self.entries[key].state, HeldState::Paused { .. }) {
            return Vec::new();
        }
        let tokens = self.entries[key].tokens;
        if !self.options.export || self.exported_tokens + tokens > self.options.export_tokens {
            return self.begin_release(key, now);
        }
        self.change(key, |entry| entry.state = HeldState::Exporting);
        vec![HeldOrder::Export(program)]
    }

    /// Records that the export of a program succeeded or failed. The engine's copy is released either way.
    pub fn finish_export(&mut self, program: ProgramId, is_stored: bool, now: ClockTime) -> Vec<HeldOrder> {
        let Some(key) = self.by_program.get(&program).copied() else {
            return vec![HeldOrder::DropExport(program)];
        };
        let state = self.entries[key].state;
        if state == HeldState::Exporting && is_stored {
            let release = Some(self.pending_release(0, now));
            self.change(key, |entry| entry.state = HeldState::Exported { release });
            return vec![HeldOrder::Release(program)];
        }
        let mut orders = Vec::new();
        if is_stored {
            orders.push(HeldOrder::DropExport(program));
        }
        if state == HeldState::Exporting {
            orders.extend(self.begin_release(key, now));
        }
        orders
    }

    /// Releases a program that ended, was cancelled or exhausted its budget. If a call of it still runs, the release
    /// follows the call's end.
    pub fn release(&mut self, program: ProgramId, now: ClockTime) -> Vec<HeldOrder> {
        match self.by_program.get(&program).copied() {
            Some(key) => self.begin_release(key, now),
            None => Vec::new(),
        }
    }

    /// Extends the leases of programs that their owner vouches for.
    pub fn vouch(&mut self, programs: &[ProgramId], now: ClockTime) {
        let lease_until = now + self.lease();
        for program in programs {
            if let Some(key) = self.by_program.get(program).copied() {
                self.change(key, |entry| entry.lease_until = lease_until);
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
                self.change(key, |entry| entry.state = HeldState::Exported { release: None });
            }
            _ => {}
        }
    }

    /// Compares the table with the engine's list of held programs, periodically and after a restart of either.
    /// Programs that the engine no longer lists are forgotten; unknown ones get one lease to be vouched for. The
    /// list must have been requested after every earlier order was answered.
    pub fn reconcile(&mut self, listed: &[ListedProgram], now: ClockTime) {
        let listed_programs: BTreeSet<ProgramId> = listed.iter().map(|listed| listed.program).collect();
        let is_gone = |entry: &HeldEntry| {
            let is_on_engine = matches!(
                entry.state,
                HeldState::Paused { .. } | HeldState::Exporting | HeldState::Releasing(_)
            );
            is_on_engine && !listed_programs.contains(&entry.program)
        };
        let entries = self.entries.iter().filter(|(_, entry)| is_gone(entry));
        let gone: Vec<HeldKey> = entries.map(|(key, _)| key).collect();
        for key in gone {
            self.remove(key);
        }
        for listed in listed {
            let has_room = self.entries.len() < self.options.held_programs;
            if has_room && !self.by_program.contains_key(&listed.program) {
                let key = self.entry(listed.program, now);
                self.change(key, |entry| entry.tokens = bounded_tokens(listed.tokens));
            }
        }
    }

    /// Makes room for a call of `program` that has waited for the given time, by exporting or releasing other paused
    /// programs: those that are not pinned first, then those that are expected back last. A pinned program whose
    /// return is closer than the break-even time gives way only to a call that has waited for as long.
    ///
    /// Returns no order if they cannot make enough room; then the call waits and others may go first.
    pub fn make_room(
        &mut self,
        program: ProgramId,
        tokens: u64,
        waited: Duration,
        now: ClockTime,
    ) -> Vec<HeldOrder> {
        let break_even = Duration::from_millis(u64::from(self.options.break_even_ms));
        let patience = Duration::from_millis(u64::from(self.options.patience_ms));
        let mut freed = 0;
        let mut chosen = Vec::new();
        for (is_unpinned, back_at, key) in self.by_return.iter().rev() {
            let gives_way = *is_unpinned || waited >= patience || back_at.since(now) >= break_even;
            if freed >= tokens || !gives_way {
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

    /// Returns the orders that are due: ends of pins, releases of programs whose lease ended, and repeated releases.
    pub fn poll(&mut self, now: ClockTime) -> Vec<HeldOrder> {
        let due = self.by_due.iter().take_while(|(due, _)| *due <= now);
        let keys: Vec<HeldKey> = due.map(|(_, key)| *key).collect();
        keys.into_iter().flat_map(|key| self.attend(key, now)).collect()
    }

    /// Does what is due for one program.
    fn attend(&mut self, key: HeldKey, now: ClockTime) -> Vec<HeldOrder> {
        let HeldEntry {
            program,
            state,
            lease_until,
            ..
        } = self.entries[key];
        let is_leased = lease_until > now;
        match state {
            // A running call is proof enough that the program lives.
            HeldState::Running { .. } => {
                let lease_until = now + self.lease();
                self.change(key, |entry| entry.lease_until = lease_until);
                Vec::new()
            }
            HeldState::Paused { back_at, .. } if is_leased => {
                self.change(key, |entry| {
                    entry.state = HeldState::Paused {
                        back_at,
                        pinned_until: None,
                    };
                });
                vec![HeldOrder::Unpin(program)]
            }
            HeldState::Exported {
                release: Some(pending),
            } if is_leased => {
                let release = Some(self.pending_release(pending.attempts, now));
                self.change(key, |entry| entry.state = HeldState::Exported { release });
                vec![HeldOrder::Release(program)]
            }
            _ => self.begin_release(key, now),
        }
    }

    /// Returns the time at which [`HeldTable::poll`] has something to do.
    pub fn next_poll(&self) -> Option<ClockTime> {
        self.by_due.first().map(|(due, _)| *due)
    }

    fn lease(&self) -> Duration {
        Duration::from_millis(u64::from(self.options.lease_ms))
    }

    /// Returns the entry of a program, creating a paused one with one lease. Beyond the bound, the program that is
    /// expected back last gives up its entry; the engine's list brings it back if it is still held. Without a paused
    /// program the table grows by the calls that run, which the engine's slots bound.
    fn entry(&mut self, program: ProgramId, now: ClockTime) -> HeldKey {
        if let Some(key) = self.by_program.get(&program) {
            return *key;
        }
        if self.entries.len() >= self.options.held_programs
            && let Some((_, _, key)) = self.by_return.last().copied()
        {
            self.remove(key);
        }
        let lease_until = now + self.lease();
        let key = self.entries.insert(HeldEntry {
            program,
            tokens: 0,
            state: HeldState::Paused {
                back_at: lease_until,
                pinned_until: None,
            },
            lease_until,
            has_ended: false,
        });
        self.by_program.insert(program, key);
        self.attach(key);
        key
    }

    fn begin_release(&mut self, key: HeldKey, now: ClockTime) -> Vec<HeldOrder> {
        let HeldEntry { program, state, .. } = self.entries[key];
        let mut orders = Vec::new();
        let attempts = match state {
            HeldState::Running { .. } => {
                self.change(key, |entry| entry.has_ended = true);
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
        self.change(key, |entry| {
            entry.has_ended = true;
            entry.state = HeldState::Releasing(pending);
        });
        orders.push(HeldOrder::Release(program));
        orders
    }

    /// Returns a release that was ordered once more than `attempts` times.
    fn pending_release(&self, attempts: u32, now: ClockTime) -> PendingRelease {
        let doublings = attempts.min(MAX_REPEAT_DOUBLINGS);
        let millis = u64::from(self.options.repeat_ms) << doublings;
        let wait = Duration::from_millis(millis.min(u64::from(self.options.max_repeat_ms)));
        PendingRelease {
            attempts: attempts.saturating_add(1),
            repeat_at: now + wait,
        }
    }

    fn change(&mut self, key: HeldKey, apply: impl FnOnce(&mut HeldEntry)) {
        self.detach(key);
        apply(&mut self.entries[key]);
        self.attach(key);
    }

    fn remove(&mut self, key: HeldKey) {
        self.detach(key);
        if let Some(entry) = self.entries.remove(key) {
            self.by_program.remove(&entry.program);
        }
    }

    fn detach(&mut self, key: HeldKey) {
        let entry = self.entries[key];
        self.by_due.remove(&(entry.due(), key));
        match entry.state {
            HeldState::Paused {
                back_at,
                pinned_until,
            } => {
                self.by_return.remove(&(pinned_until.is_none(), back_at, key));
            }
            HeldState::Exporting | HeldState::Exported { .. } => self.exported_tokens -= entry.tokens,
            HeldState::Running { .. } | HeldState::Releasing(_) => {}
        }
    }

    fn attach(&mut self, key: HeldKey) {
        let entry = self.entries[key];
        self.by_due.insert((entry.due(), key));
        match entry.state {
            HeldState::Paused {
                back_at,
                pinned_until,
            } => {
                self.by_return.insert((pinned_until.is_none(), back_at, key));
            }
            HeldState::Exporting | HeldState::Exported { .. } => self.exported_tokens += entry.tokens,
            HeldState::Running { .. } | HeldState::Releasing(_) => {}
        }
    }
}
