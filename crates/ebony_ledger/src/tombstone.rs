//! What remains of an idempotency key after its call: enough to refuse a late repeat.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ebony_types::{
    CallerName, ClockTime, IdempotencyKey, ProblemCode, ProblemReport, ProgramId, RequestDigest, RunVerdict,
};
use sha2::{Digest, Sha256};

/// The time for which a program counts as open after an entry confirmed it.
const PROGRAM_CONFIRMATION: Duration = Duration::from_secs(3_600);

/// A caller's idempotency key, shortened to 128 bits of its SHA-256 digest. Names have up to 256 bytes together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyMark([u8; 16]);

impl KeyMark {
    /// Returns the mark of a caller's key.
    pub fn new(caller: &CallerName, key: &IdempotencyKey) -> Self {
        // Names have no NUL, so the separator keeps (a, bc) apart from (ab, c).
        let mut hasher = Sha256::new();
        hasher.update(caller.as_str());
        hasher.update([0]);
        hasher.update(key.as_str());
        let digest: [u8; 32] = hasher.finalize().into();
        let mut mark = [0; 16];
        mark.copy_from_slice(&digest[..16]);
        Self(mark)
    }
}

/// The outcome of a key whose answer is not stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyTombstone {
    /// The request that used the key.
    pub digest: RequestDigest,
    /// The request's program.
    pub program: ProgramId,
    /// The code that a repeat is refused with.
    pub code: ProblemCode,
    /// Whether the request may have run; never [`RunVerdict::NotRun`].
    pub run: RunVerdict,
}

impl KeyTombstone {
    /// Returns the problem for a repeat of the request.
    pub fn problem(&self) -> ProblemReport {
        let detail = match self.run {
            RunVerdict::Ran => "the call with this idempotency key ran, and its answer is no longer stored",
            _ => "the call with this idempotency key ended with an unknown outcome",
        };
        ProblemReport::new(self.code, self.run, detail)
    }
}

/// Tombstones by key. An entry is removed when its time has passed and its program is no longer confirmed as open.
///
/// The table does not bound itself: the ledger admits a keyed call only if there is room for its tombstone.
#[derive(Clone, Debug, Default)]
pub struct TombstoneTable {
    tombstones: BTreeMap<KeyMark, (ClockTime, KeyTombstone)>,
    retirements: BTreeSet<(ClockTime, KeyMark)>,
    programs: BTreeMap<ProgramId, ProgramMark>,
}

/// A program with at least one tombstone.
#[derive(Clone, Copy, Debug)]
struct ProgramMark {
    open_until: ClockTime,
    tombstones: usize,
}

impl TombstoneTable {
    /// Adds a tombstone that is kept until `retire_at` at least.
    pub fn insert(&mut self, mark: KeyMark, tombstone: KeyTombstone, retire_at: ClockTime) {
        self.remove(mark);
        let program = self.programs.entry(tombstone.program).or_insert(ProgramMark {
            open_until: retire_at,
            tombstones: 0,
        });
        program.tombstones += 1;
        self.tombstones.insert(mark, (retire_at, tombstone));
        self.retirements.insert((retire_at, mark));
    }

    /// Returns the tombstone of a key.
    pub fn get(&self, mark: KeyMark) -> Option<&KeyTombstone> {
        self.tombstones.get(&mark).map(|(_, tombstone)| tombstone)
    }

    /// Returns the number of tombstones.
    pub fn len(&self) -> usize {
        self.tombstones.len()
    }

    /// Returns `true` if there is none.
    pub fn is_empty(&self) -> bool {
        self.tombstones.is_empty()
    }

    /// Notes that a program is open.
    pub fn confirm_program(&mut self, program: ProgramId, now: ClockTime) {
        if let Some(mark) = self.programs.get_mut(&program) {
            mark.open_until = mark.open_until.max(now + PROGRAM_CONFIRMATION);
        }
    }

    /// Notes that a program has ended.
    pub fn release_program(&mut self, program: ProgramId) {
        if let Some(mark) = self.programs.get_mut(&program) {
            mark.open_until = ClockTime::default();
        }
    }

    /// Removes the tombstones whose time has passed.
    pub fn retire(&mut self, now: ClockTime) {
        while let Some((retire_at, mark)) = self.retirements.first().copied() {
            if retire_at > now {
                return;
            }
            match self.open_until(mark) {
                Some(open_until) if open_until > now => self.postpone(mark, open_until),
                _ => self.remove(mark),
            }
        }
    }

    fn open_until(&self, mark: KeyMark) -> Option<ClockTime> {
        let tombstone = self.get(mark)?;
        self.programs
            .get(&tombstone.program)
            .map(|program| program.open_until)
    }

    fn postpone(&mut self, mark: KeyMark, until: ClockTime) {
        if let Some((retire_at, _)) = self.tombstones.get_mut(&mark) {
            self.retirements.remove(&(*retire_at, mark));
            *retire_at = until;
            self.retirements.insert((until, mark));
        }
    }

    fn remove(&mut self, mark: KeyMark) {
        let Some((retire_at, tombstone)) = self.tombstones.remove(&mark) else {
            return;
        };
        self.retirements.remove(&(retire_at, mark));
        if let Some(program) = self.programs.get_mut(&tombstone.program) {
            program.tombstones -= 1;
            if program.tombstones == 0 {
                self.programs.remove(&tombstone.program);
            }
        }
    }
}
