//! Tombstones of idempotency keys, which refuse repeats after the record of the call was dropped.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ebony_types::{
    CallerName, ClockTime, IdempotencyKey, ProblemCode, ProblemReport, ProgramId, RequestDigest, RunVerdict,
};
use sha2::{Digest, Sha256};

/// How long a program counts as open after an entry confirmed it.
const CONFIRMATION_LIFETIME: Duration = Duration::from_secs(3_600);

/// The first 128 bits of the SHA-256 digest of a caller and its idempotency key. This saves memory, because the two
/// names have up to 256 bytes together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyHash([u8; 16]);

impl KeyHash {
    /// Hashes a caller's key.
    pub fn new(caller: &CallerName, key: &IdempotencyKey) -> Self {
        // Names contain no NUL, so that the separator makes (a, bc) different from (ab, c).
        let mut hasher = Sha256::new();
        hasher.update(caller.as_str());
        hasher.update([0]);
        hasher.update(key.as_str());
        let digest: [u8; 32] = hasher.finalize().into();
        let mut hash = [0; 16];
        hash.copy_from_slice(&digest[..16]);
        Self(hash)
    }
}

/// The outcome of a key whose call record was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyTombstone {
    /// The digest of the request that used the key.
    pub digest: RequestDigest,
    /// The request's program.
    pub program: ProgramId,
    /// The code with which a repeat is refused.
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

/// Tombstones by key. A tombstone is removed once it has expired and its program is no longer confirmed as open.
///
/// The table enforces no limit itself: the ledger admits a call with a key only if there is room for its tombstone.
#[derive(Clone, Debug, Default)]
pub struct TombstoneTable {
    tombstones: BTreeMap<KeyHash, (ClockTime, KeyTombstone)>,
    expirations: BTreeSet<(ClockTime, KeyHash)>,
    programs: BTreeMap<ProgramId, ProgramRetention>,
}

/// The retention of a program's tombstones. Kept while the program has at least one.
#[derive(Clone, Copy, Debug)]
struct ProgramRetention {
    open_until: ClockTime,
    tombstones: usize,
}

impl TombstoneTable {
    /// Adds a tombstone that is kept at least until `expires_at`.
    pub fn insert(&mut self, hash: KeyHash, tombstone: KeyTombstone, expires_at: ClockTime) {
        self.remove(hash);
        let program = self
            .programs
            .entry(tombstone.program)
            .or_insert(ProgramRetention {
                open_until: expires_at,
                tombstones: 0,
            });
        program.tombstones += 1;
        self.tombstones.insert(hash, (expires_at, tombstone));
        self.expirations.insert((expires_at, hash));
    }

    /// Returns the tombstone of a key.
    pub fn get(&self, hash: KeyHash) -> Option<&KeyTombstone> {
        self.tombstones.get(&hash).map(|(_, tombstone)| tombstone)
    }

    /// Returns the number of tombstones.
    pub fn len(&self) -> usize {
        self.tombstones.len()
    }

    /// Returns `true` if there are no tombstones.
    pub fn is_empty(&self) -> bool {
        self.tombstones.is_empty()
    }

    /// Records that a program is open, which keeps its tombstones.
    pub fn confirm_program(&mut self, program: ProgramId, now: ClockTime) {
        if let Some(retention) = self.programs.get_mut(&program) {
            retention.open_until = retention.open_until.max(now + CONFIRMATION_LIFETIME);
        }
    }

    /// Records that a program has ended, so that it no longer keeps its tombstones.
    pub fn release_program(&mut self, program: ProgramId) {
        if let Some(retention) = self.programs.get_mut(&program) {
            retention.open_until = ClockTime::default();
        }
    }

    /// Removes expired tombstones, unless their programs are open.
    pub fn expire(&mut self, now: ClockTime) {
        while let Some((expires_at, hash)) = self.expirations.first().copied() {
            if expires_at > now {
                return;
            }
            match self.open_until(hash) {
                Some(open_until) if open_until > now => self.postpone(hash, open_until),
                _ => self.remove(hash),
            }
        }
    }

    fn open_until(&self, hash: KeyHash) -> Option<ClockTime> {
        let tombstone = self.get(hash)?;
        self.programs
            .get(&tombstone.program)
            .map(|program| program.open_until)
    }

    fn postpone(&mut self, hash: KeyHash, until: ClockTime) {
        if let Some((expires_at, _)) = self.tombstones.get_mut(&hash) {
            self.expirations.remove(&(*expires_at, hash));
            *expires_at = until;
            self.expirations.insert((until, hash));
        }
    }

    fn remove(&mut self, hash: KeyHash) {
        let Some((expires_at, tombstone)) = self.tombstones.remove(&hash) else {
            return;
        };
        self.expirations.remove(&(expires_at, hash));
        if let Some(program) = self.programs.get_mut(&tombstone.program) {
            program.tombstones -= 1;
            if program.tombstones == 0 {
                self.programs.remove(&tombstone.program);
            }
        }
    }
}
