//! The table of the programs in memory.

use std::collections::{BTreeMap, BTreeSet};

use ebony_types::{ClockTime, FencingToken, ProgramId, SessionId, ShardKey};
use slotmap::{SlotMap, new_key_type};

use super::image::{ProgramImage, ProgramState};
use super::queue::CallQueue;
use crate::budget::BudgetAccount;
use crate::intent::RetiredKey;
use crate::journal::checkpoint::ShardImage;
use crate::journal::record::JournalRecord;
use crate::timer::TimerHandle;
use crate::wall_time::WallTime;

new_key_type! {
    /// Identifies a program within a [`ProgramTable`].
    pub struct ProgramKey;
}

/// A program in memory: its durable state and the volatile state of its owner.
#[derive(Clone, Debug)]
pub struct ProgramEntry {
    /// The durable state, including records that are not durable yet.
    pub image: ProgramImage,
    /// Whether a record of the program was committed to the journal. A one-call program without a key has none.
    pub is_journaled: bool,
    /// The parent, if it is in memory.
    pub parent: Option<ProgramKey>,
    /// Children that are in memory.
    pub children: Vec<ProgramKey>,
    /// Reserved amounts, and sums over the program and its descendants.
    pub account: BudgetAccount,
    /// The running call and the waiting calls.
    pub queue: CallQueue,
    /// Calls in memory, including those that only wait for the journal or for the end of a cancelled run.
    pub open_calls: u32,
    /// The last row with a record of the program.
    pub last_row: u64,
    /// The timer of the end of the time budget, or of the eviction.
    pub timer: Option<TimerHandle>,
    /// When the program was opened, on this process's monotonic clock.
    pub opened: ClockTime,
}

impl ProgramEntry {
    fn new(image: ProgramImage, opened: ClockTime) -> Self {
        Self {
            image,
            is_journaled: false,
            parent: None,
            children: Vec::new(),
            account: BudgetAccount::default(),
            queue: CallQueue::default(),
            open_calls: 0,
            last_row: 0,
            timer: None,
            opened,
        }
    }

    /// Returns `true` if the program takes calls.
    pub fn is_open(&self) -> bool {
        self.image.state == ProgramState::Open
    }

    /// Returns `true` if the program has no open call and no undurable record. The bodies of an undurable row must
    /// not be deleted, because their object is not written yet and may receive bodies of other programs.
    pub(crate) fn is_idle(&self, durable_row: u64) -> bool {
        self.open_calls == 0 && self.last_row <= durable_row
    }

    /// Estimates the bytes of memory that the program takes.
    pub fn state_bytes(&self) -> usize {
        size_of::<Self>()
            + self.image.history.heap_bytes()
            + self.queue.heap_bytes()
            + self.children.capacity() * size_of::<ProgramKey>()
            + self.image.caller.as_str().len()
            + self.image.intents.len() * INTENT_BYTES
    }
}

/// Estimated bytes of memory per key: the entry, the key's text and its share of the map's node.
const INTENT_BYTES: usize = 192;

/// Programs by key, by identifier and by shard. Ended programs are evicted [`crate::settings::PROGRAM_RETENTION`] (10
/// minutes) after their end, or earlier if a new program needs the room. The owner checks the limits of programs and
/// keys before it adds one.
#[derive(Clone, Debug, Default)]
pub struct ProgramTable {
    arena: SlotMap<ProgramKey, ProgramEntry>,
    index: BTreeMap<ProgramId, ProgramKey>,
    retired: BTreeMap<ProgramId, RetiredKey>,
    /// Ended programs in the order of the times at which they ended.
    ended: BTreeSet<(WallTime, ProgramKey)>,
    program_keys: usize,
}

impl ProgramTable {
    /// Returns a program.
    pub fn get(&self, key: ProgramKey) -> Option<&ProgramEntry> {
        self.arena.get(key)
    }

    /// Returns a program for changes that do not affect its budget; [`ProgramTable::update_account`] is for those.
    pub(crate) fn get_mut(&mut self, key: ProgramKey) -> Option<&mut ProgramEntry> {
        self.arena.get_mut(key)
    }

    /// Finds a program by its identifier.
    pub fn find(&self, program: ProgramId) -> Option<ProgramKey> {
        self.index.get(&program).copied()
    }

    /// Returns the number of programs in memory.
    pub fn len(&self) -> usize {
        self.arena.len()
    }

    /// Returns `true` if no program is in memory.
    pub fn is_empty(&self) -> bool {
        self.arena.is_empty()
    }

    /// Returns the number of idempotency keys, including those of evicted one-call programs.
    pub fn intent_count(&self) -> usize {
        self.program_keys + self.retired.len()
    }

    /// Returns the key of an evicted one-call program.
    pub fn retired(&self, program: ProgramId) -> Option<&RetiredKey> {
        self.retired.get(&program)
    }

    /// Returns all programs in the order of their identifiers.
    pub fn entries(&self) -> impl Iterator<Item = &ProgramEntry> {
        self.index.values().filter_map(|&key| self.arena.get(key))
    }

    /// Returns the programs of a shard in the order of their identifiers.
    pub fn shard_keys(&self, shard: ShardKey) -> Vec<ProgramKey> {
        self.index
            .range(shard_range(shard))
            .map(|(_, &key)| key)
            .collect()
    }

    /// Returns a program, its parent, and so on up to the root.
    pub fn ancestry(&self, key: ProgramKey) -> impl Iterator<Item = (ProgramKey, &ProgramEntry)> {
        let first = self.arena.get(key).map(|entry| (key, entry));
        std::iter::successors(first, |(_, entry)| {
            let parent = entry.parent?;
            Some((parent, self.arena.get(parent)?))
        })
    }

    /// Returns a program and all its descendants, parents first.
    pub fn descendants(&self, key: ProgramKey) -> Vec<ProgramKey> {
        let mut keys = vec![key];
        let mut next = 0;
        while let Some(entry) = keys.get(next).and_then(|&key| self.arena.get(key)) {
            keys.extend(&entry.children);
            next += 1;
        }
        keys
    }

    /// Adds a program that has no record yet.
    pub(crate) fn insert(&mut self, image: ProgramImage, opened: ClockTime) -> ProgramKey {
        let (program, parent, ended) = (image.program, image.parent, image.ended);
        let keys = image.intents.len();
        let key = self.arena.insert(ProgramEntry::new(image, opened));
        self.index.insert(program, key);
        self.program_keys += keys;
        self.ended.extend(ended.map(|ended| (ended, key)));
        if let Some(entry) = self.arena.get_mut(key) {
            entry.open_account();
        }
        if let Some(parent) = parent.and_then(|parent| self.find(parent)) {
            self.link(key, parent);
        }
        key
    }

    fn link(&mut self, key: ProgramKey, parent: ProgramKey) {
        let Some(entry) = self.arena.get_mut(key) else {
            return;
        };
        entry.parent = Some(parent);
        let account = entry.account;
        self.add_child_amounts(parent, account);
        if let Some(entry) = self.arena.get_mut(parent) {
            entry.children.push(key);
        }
    }

    /// Applies a record that was placed in row `sequence` of `session`, and returns its program.
    pub(crate) fn apply(
        &mut self,
        record: &JournalRecord,
        session: SessionId,
        sequence: u64,
        now: ClockTime,
    ) -> Option<ProgramKey> {
        let program = record.program()?;
        let key = match (self.find(program), record) {
            (Some(key), _) => key,
            (None, JournalRecord::Opened(opened)) => self.insert(ProgramImage::open(opened), now),
            (None, _) => return None,
        };
        let image = &self.arena.get(key)?.image;
        let (keys, ended) = (image.intents.len(), image.ended);
        self.update_account(key, |entry| {
            let former = entry.image.ceiling;
            entry.image.apply(record, session, sequence);
            entry.update_durable_ceiling(former);
            entry.is_journaled = true;
            entry.last_row = sequence;
        });
        let image = &self.arena.get(key)?.image;
        self.program_keys += image.intents.len() - keys;
        if image.ended != ended {
            ended.map(|ended| self.ended.remove(&(ended, key)));
            self.ended.extend(image.ended.map(|ended| (ended, key)));
        }
        Some(key)
    }

    /// Returns the program that ended first among those that may be evicted.
    pub(crate) fn oldest_ended(&self, durable_row: u64) -> Option<ProgramKey> {
        let mut keys = self.ended.iter().map(|&(_, key)| key);
        keys.find(|&key| {
            self.arena
                .get(key)
                .is_some_and(|entry| entry.is_idle(durable_row))
        })
    }

    /// Removes a program that has ended. Its amounts move to its parent, and the key of a one-call program is kept.
    pub(crate) fn evict(&mut self, key: ProgramKey) -> Option<(ProgramImage, Option<RetiredKey>)> {
        let entry = self.arena.remove(key)?;
        self.unindex_entry(key, &entry);
        if let Some(parent) = entry.parent {
            let committed = entry.account.subtree_committed;
            self.subtract_child_amounts(parent, entry.account);
            self.update_account(parent, |parent| {
                parent.children.retain(|&child| child != key);
                parent.image.absorbed = parent.image.absorbed.plus(committed);
            });
        }
        let retired = entry.image.retired_key().filter(|_| entry.is_journaled);
        if let Some(retired) = &retired {
            self.retired.insert(retired.program, retired.clone());
        }
        Some((entry.image, retired))
    }

    /// Removes the key of an evicted one-call program.
    pub(crate) fn remove_key(&mut self, program: ProgramId) -> Option<RetiredKey> {
        self.retired.remove(&program)
    }

    /// Returns the state of a shard, with the programs that the journal has.
    pub(crate) fn shard_image(&self, shard: ShardKey, epoch: FencingToken) -> ShardImage {
        let entries = self
            .index
            .range(shard_range(shard))
            .filter_map(|(_, &key)| self.arena.get(key));
        let programs = entries
            .filter(|entry| entry.is_journaled)
            .map(|entry| entry.image.clone());
        ShardImage {
            shard,
            epoch,
            programs: programs.collect(),
            retired: self
                .retired
                .range(shard_range(shard))
                .map(|(_, key)| key.clone())
                .collect(),
        }
    }

    /// Adds the programs and keys of an adopted shard. `opened` maps the opening time of a program to this process's
    /// monotonic clock.
    pub(crate) fn load(&mut self, image: ShardImage, opened: impl Fn(WallTime) -> ClockTime) {
        let programs: Vec<ProgramId> = image.programs.iter().map(|program| program.program).collect();
        for program in image.programs {
            let start = opened(program.opened);
            let ceiling = program.ceiling;
            let key = self.insert(program, start);
            if let Some(entry) = self.arena.get_mut(key) {
                entry.is_journaled = true;
                entry.account.durable_ceiling = ceiling;
            }
        }
        for program in programs {
            self.link_to_parent(program);
        }
        self.retired
            .extend(image.retired.into_iter().map(|key| (key.program, key)));
    }

    /// Links a child whose parent was inserted after it.
    fn link_to_parent(&mut self, program: ProgramId) {
        let Some((key, entry)) = self
            .find(program)
            .and_then(|key| Some((key, self.arena.get(key)?)))
        else {
            return;
        };
        let parent = entry.image.parent.filter(|_| entry.parent.is_none());
        if let Some(parent) = parent.and_then(|parent| self.find(parent)) {
            self.link(key, parent);
        }
    }

    /// Removes all programs and keys of a shard, and returns the programs.
    pub(crate) fn remove_shard(&mut self, shard: ShardKey) -> Vec<ProgramEntry> {
        let mut entries = Vec::new();
        for key in self.shard_keys(shard) {
            if let Some(entry) = self.arena.remove(key) {
                self.unindex_entry(key, &entry);
                entries.push(entry);
            }
        }
        let retired: Vec<ProgramId> = self
            .retired
            .range(shard_range(shard))
            .map(|(&program, _)| program)
            .collect();
        for program in retired {
            self.retired.remove(&program);
        }
        entries
    }

    fn unindex_entry(&mut self, key: ProgramKey, entry: &ProgramEntry) {
        self.index.remove(&entry.image.program);
        self.program_keys -= entry.image.intents.len();
        entry.image.ended.map(|ended| self.ended.remove(&(ended, key)));
    }

    /// Estimates the bytes of memory that all programs and keys take.
    pub fn state_bytes(&self) -> usize {
        let programs: usize = self.arena.values().map(ProgramEntry::state_bytes).sum();
        programs + self.retired.len() * INTENT_BYTES
    }
}

fn shard_range(shard: ShardKey) -> std::ops::RangeInclusive<ProgramId> {
    ProgramId::from_parts(shard, [0; 14])..=ProgramId::from_parts(shard, [0xff; 14])
}
