//! At-most-once execution of calls with an idempotency key.
//!
//! A key is scoped to its caller and program. A call without a program runs in a one-call program, whose identifier
//! is derived from caller and key, so that every entry finds the same owner for a repeated call.

use std::collections::BTreeMap;

use ebony_types::{
    CallId, CallerName, IdempotencyKey, ProblemCode, ProblemReport, ProgramId, RequestDigest, ShardKey,
    TargetName,
};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::journal::compact;
use crate::journal::record::{AnsweredRecord, BodyPlace, IntendedRecord, KeyOutcome};
use crate::wall_time::WallTime;

/// The result of looking a key up.
pub type Result<T, E = ProblemReport> = std::result::Result<T, E>;

/// Returns the identifier of the one-call program for a caller's key.
///
/// ```
/// use ebony_owner::intent::one_call_program;
/// use ebony_types::{CallerName, IdempotencyKey};
///
/// let caller = CallerName::parse("shop-fiji")?;
/// let key = IdempotencyKey::parse("order-17")?;
/// let program = one_call_program(&caller, &key, 64);
/// assert_eq!(program, one_call_program(&caller, &key, 64));
/// assert!(program.shard().0 < 64);
/// # Ok::<(), ebony_types::name::NameError>(())
/// ```
pub fn one_call_program(caller: &CallerName, key: &IdempotencyKey, shard_count: u16) -> ProgramId {
    let digest: [u8; 32] = Sha256::digest(format!("one call\0{caller}\0{key}")).into();
    let shard = u16::from_be_bytes([digest[0], digest[1]]) % shard_count.max(1);
    let mut random = [0; 14];
    random.copy_from_slice(&digest[2..16]);
    ProgramId::from_parts(ShardKey(shard), random)
}

/// The state of a call with a key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum IntentState {
    /// The call is about to run, or is running.
    Intended {
        /// The call.
        call: CallId,
        /// The target, once it is known.
        target: Option<TargetName>,
    },
    /// The call ran, and its answer is stored with this turn.
    Answered {
        /// The turn.
        turn: u32,
    },
    /// The call may have run. It is never dispatched again.
    MayHaveRun,
    /// The call did not run. It may be dispatched again.
    NotRun,
}

/// The digest of a key's request, and the state of its call.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct IntentEntry {
    /// The digest of the request.
    #[serde(with = "compact::digest")]
    pub digest: RequestDigest,
    /// The state of the call.
    pub state: IntentState,
}

/// The decision about a call with a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyDecision {
    /// The call may run.
    Run,
    /// The call is a repeat and gets the stored answer of this turn.
    Repeat {
        /// The turn.
        turn: u32,
    },
}

/// The idempotency keys of one program. They are evicted with the program; the owner limits the total number of keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct IntentTable {
    entries: BTreeMap<IdempotencyKey, IntentEntry>,
}

impl IntentTable {
    /// Decides whether a call with a key may run.
    ///
    /// # Errors
    ///
    /// Returns the problem to answer with if the key was used with another request, is in use, or belongs to a call
    /// that may have run.
    pub fn decide(&self, key: &IdempotencyKey, digest: RequestDigest) -> Result<KeyDecision> {
        let Some(entry) = self.entries.get(key) else {
            return Ok(KeyDecision::Run);
        };
        if entry.digest != digest {
            return Err(key_reused());
        }
        match entry.state {
            IntentState::Intended { .. } => Err(key_in_use()),
            IntentState::Answered { turn } => Ok(KeyDecision::Repeat { turn }),
            IntentState::MayHaveRun => Err(key_may_have_run()),
            IntentState::NotRun => Ok(KeyDecision::Run),
        }
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns `true` if there is no key.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns `true` if the key is known.
    pub fn contains(&self, key: &IdempotencyKey) -> bool {
        self.entries.contains_key(key)
    }

    /// Returns the state of a key.
    pub fn state(&self, key: &IdempotencyKey) -> Option<&IntentState> {
        self.entries.get(key).map(|entry| &entry.state)
    }

    /// Returns the entries in the order of their keys.
    pub fn entries(&self) -> impl Iterator<Item = &IntentEntry> {
        self.entries.values()
    }

    pub(crate) fn intend(&mut self, record: &IntendedRecord) {
        let state = IntentState::Intended {
            call: record.call,
            target: record.target.clone(),
        };
        let digest = record.digest;
        self.entries
            .insert(record.key.clone(), IntentEntry { digest, state });
    }

    pub(crate) fn answer(&mut self, record: &AnsweredRecord) {
        if let Some(entry) = self.entries.get_mut(&record.key) {
            entry.state = match record.outcome {
                KeyOutcome::Turn(turn) => IntentState::Answered { turn },
                KeyOutcome::MayHaveRun => IntentState::MayHaveRun,
                KeyOutcome::NotRun => IntentState::NotRun,
            };
        }
    }

    /// Marks calls that were in progress when their owner was lost as calls that may have run.
    pub(crate) fn mark_open_calls_lost(&mut self) {
        for entry in self.entries.values_mut() {
            if matches!(entry.state, IntentState::Intended { .. }) {
                entry.state = IntentState::MayHaveRun;
            }
        }
    }
}

/// The key of an evicted one-call program. It takes a fraction of a program's memory.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RetiredKey {
    /// The program, whose identifier is derived from caller and key.
    pub program: ProgramId,
    /// The digest of the request.
    #[serde(with = "compact::digest")]
    pub digest: RequestDigest,
    /// Where the answer is stored; `None` if the call may have run.
    pub answer: Option<BodyPlace>,
    /// When the program ended.
    pub ended: WallTime,
}

impl RetiredKey {
    /// Returns the place of the answer to a repeated request.
    ///
    /// # Errors
    ///
    /// Returns the problem to answer with if the key was used with another request, or the call may have run.
    pub fn decide(&self, digest: RequestDigest) -> Result<BodyPlace> {
        if self.digest != digest {
            return Err(key_reused());
        }
        self.answer.ok_or_else(key_may_have_run)
    }
}

/// The problem of a key that was used with another request.
pub(crate) fn key_reused() -> ProblemReport {
    ProblemReport::not_run(
        ProblemCode::KeyReused,
        "the idempotency key was used with another request",
    )
}

/// The problem of a key whose first call has not ended.
pub(crate) fn key_in_use() -> ProblemReport {
    ProblemReport::may_have_run(
        ProblemCode::KeyInUse,
        "a call with this idempotency key is under way",
    )
    .retry_after(1)
}

/// The problem of a key whose call may have run without a stored answer.
pub(crate) fn key_may_have_run() -> ProblemReport {
    ProblemReport::may_have_run(
        ProblemCode::TargetFailed,
        "an earlier call with this idempotency key may have run and is not repeated",
    )
}
