//! The calls of one side process, from their admission until their records are dropped.
//!
//! Each call, and each idempotency key of a caller, is queued, dispatched, answered or failed. A repeat attaches to the
//! open call, receives the stored answer, or is refused. A key never runs twice in one incarnation of the process.

mod admit;
mod cancel;
mod decision;
mod end;
mod record;
mod run;
mod withdrawn;

use std::collections::{BTreeMap, BTreeSet};

use ebony_types::{
    CallId, ClockTime, FencingToken, ProcessIncarnation, ProgramId, RequestDigest, TargetName,
};
use slotmap::SlotMap;

pub use self::decision::{
    CancelDecision, CrashOutcome, LedgerDecision, LedgerError, Result, ResumeDecision, StartDecision,
};
pub use self::record::CallState;
use self::record::{CallRecord, RecordKey};
use self::withdrawn::WithdrawnCalls;
use crate::answer_buffer::AnswerBuffer;
use crate::crash_tracker::CrashTracker;
use crate::fencing::{FenceError, TokenFence};
use crate::limits::LedgerLimits;
use crate::quarantine::TargetQuarantine;
use crate::tombstone::{KeyHash, TombstoneTable};

/// The state of a side process for at-most-once execution.
///
/// Ended calls are dropped when they are settled, after [`LedgerLimits::answer_lifetime`], or when there are more than
/// [`LedgerLimits::ended_calls`]. Keys are dropped after [`LedgerLimits::key_lifetime`], but not while their program is
/// confirmed as open.
///
/// ```
/// use ebony_ledger::{CallLedger, LedgerLimits};
/// use ebony_types::ClockTime;
///
/// let ledger = CallLedger::open(LedgerLimits::default(), ClockTime::default());
/// assert_eq!(ledger.open_calls(), 0);
/// ```
#[derive(Clone, Debug)]
pub struct CallLedger {
    limits: LedgerLimits,
    records: SlotMap<RecordKey, CallRecord>,
    /// The records of all attached calls, and of calls that were admitted first even if they were detached since.
    calls: BTreeMap<CallId, RecordKey>,
    keys: BTreeMap<KeyHash, RecordKey>,
    open_calls: usize,
    /// Ended calls, ordered by the time of their end.
    ended: BTreeSet<(ClockTime, RecordKey)>,
    /// Ended calls with a stored answer, ordered by the time of their end.
    stored: BTreeSet<(ClockTime, RecordKey)>,
    answer_bytes: usize,
    tombstones: TombstoneTable,
    withdrawn: WithdrawnCalls,
    /// When a call that an entry may still ask about was last dropped. Initially the time of opening, because a restart
    /// drops the calls of the previous incarnation.
    last_dropped_at: ClockTime,
    fence: TokenFence,
    crashes: CrashTracker,
    quarantine: TargetQuarantine,
}

impl CallLedger {
    /// Creates an empty ledger for a new incarnation of the process.
    pub fn open(limits: LedgerLimits, now: ClockTime) -> Self {
        Self {
            limits,
            records: SlotMap::with_key(),
            calls: BTreeMap::new(),
            keys: BTreeMap::new(),
            open_calls: 0,
            ended: BTreeSet::new(),
            stored: BTreeSet::new(),
            answer_bytes: 0,
            tombstones: TombstoneTable::default(),
            withdrawn: WithdrawnCalls::default(),
            last_dropped_at: now,
            fence: TokenFence::default(),
            crashes: CrashTracker::open(limits.tracked_requests),
            quarantine: TargetQuarantine::open(limits.calls_beside_suspect),
        }
    }

    /// Adds a target with its current incarnation. `checks_fencing` tells whether it refuses stale fencing tokens
    /// itself.
    pub fn add_target(&mut self, target: &TargetName, incarnation: ProcessIncarnation, checks_fencing: bool) {
        self.quarantine.add_target(target, incarnation);
        self.fence.add_target(target, checks_fencing);
    }

    /// Removes the targets that are not in `targets`, because they are no longer behind this process.
    pub fn retain_targets(&mut self, targets: &BTreeSet<TargetName>) {
        self.quarantine.retain_targets(targets);
        self.fence.retain_targets(targets);
    }

    /// Records that an entry confirmed programs as open, which keeps their keys.
    pub fn confirm_programs(&mut self, programs: &[ProgramId], now: ClockTime) {
        for program in programs {
            self.tombstones.confirm_program(*program, now);
        }
    }

    /// Records that a program has ended. Its keys are kept no longer than [`LedgerLimits::key_lifetime`].
    ///
    /// # Errors
    ///
    /// Returns [`FenceError::Stale`] if the sender no longer owns the program's shard.
    pub fn release_program(&mut self, program: ProgramId, token: FencingToken) -> Result<(), FenceError> {
        self.fence.check_shard(program.shard(), token)?;
        self.tombstones.release_program(program);
        Ok(())
    }

    /// Removes expired state. The shell calls this about once a second.
    pub fn tick(&mut self, now: ClockTime) {
        self.expire_ended(now);
        self.tombstones.expire(now);
        self.withdrawn.expire(now);
        self.crashes.expire(now);
    }

    /// Returns the state of a call.
    pub fn state(&self, call: CallId) -> Option<CallState> {
        self.record(call).map(|record| record.state)
    }

    /// Returns the answer of a call.
    pub fn buffer(&self, call: CallId) -> Option<&AnswerBuffer> {
        self.record(call).map(|record| &record.buffer)
    }

    /// Returns all calls that receive the same answer as `call`.
    pub fn attached(&self, call: CallId) -> &[CallId] {
        self.record(call).map_or(&[], |record| &record.calls)
    }

    /// Returns the call that was admitted first among those with the same answer. The target knows the call by it.
    pub fn first_call(&self, call: CallId) -> Option<CallId> {
        self.record(call).map(|record| record.ticket.call)
    }

    /// Returns the target of a call.
    pub fn target(&self, call: CallId) -> Option<&TargetName> {
        self.record(call).map(|record| &record.ticket.target)
    }

    /// Returns the digest of a call's request.
    pub fn digest(&self, call: CallId) -> Option<RequestDigest> {
        self.record(call).map(|record| record.ticket.digest)
    }

    /// Returns the number of queued and running calls.
    pub fn open_calls(&self) -> usize {
        self.open_calls
    }

    /// Returns the number of known idempotency keys.
    pub fn known_keys(&self) -> usize {
        self.keys.len() + self.tombstones.len()
    }

    /// Returns the number of bytes of stored answers.
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Returns the number of calls that are running on a target.
    pub fn running_on(&self, target: &TargetName) -> usize {
        self.quarantine.running_on(target)
    }

    /// Returns the fencing state.
    pub fn fence(&mut self) -> &mut TokenFence {
        &mut self.fence
    }

    /// Returns the crash tracker, to report its crashes and to merge those of other processes.
    pub fn crashes(&mut self) -> &mut CrashTracker {
        &mut self.crashes
    }

    fn record(&self, call: CallId) -> Option<&CallRecord> {
        self.records.get(*self.calls.get(&call)?)
    }

    fn key_of(&self, call: CallId) -> Result<RecordKey> {
        self.calls.get(&call).copied().ok_or(LedgerError::UnknownCall)
    }
}
