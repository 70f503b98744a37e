//! The table of open calls.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use ebony_types::limits::MAX_TIMEOUT_MS;
use ebony_types::{BudgetUse, CallId, CallKind, CallRequest, ClockTime, IdempotencyKey, RequestDigest};
use slotmap::{SlotMap, new_key_type};

use crate::program::history::MessageList;
use crate::program::table::ProgramKey;
use crate::timer::TimerHandle;

new_key_type! {
    /// Identifies a call within an owner.
    pub struct CallKey;
}

/// The phase of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallPhase {
    /// It waits for earlier calls of its program.
    Waiting,
    /// Its intent or budget reservation is not durable yet.
    Reserving,
    /// The shell was told to run it.
    Dispatched,
    /// It has ended with an answer, and the record of its turn is not durable yet.
    Recording,
}

/// The parts of a request that the history records.
#[derive(Clone, Debug)]
pub(crate) struct CallContent {
    pub(crate) kind: CallKind,
    pub(crate) body: Bytes,
    pub(crate) messages: MessageList,
}

/// An idempotency key and the digest of its request.
#[derive(Clone, Debug)]
pub(crate) struct CallIntent {
    pub(crate) key: IdempotencyKey,
    pub(crate) digest: RequestDigest,
}

/// An open call. It is removed when its program's budget is settled and its record, if any, is durable; at the latest
/// [`crate::settings::CANCEL_GRACE`] after its deadline.
#[derive(Clone, Debug)]
pub(crate) struct CallEntry {
    pub(crate) call: CallId,
    pub(crate) program: ProgramKey,
    pub(crate) content: CallContent,
    pub(crate) need: BudgetUse,
    pub(crate) intent: Option<CallIntent>,
    pub(crate) phase: CallPhase,
    /// Whether the caller already got its final answer, because the call was cancelled, its deadline passed, or its
    /// program ended.
    pub(crate) is_answered: bool,
    pub(crate) timer: Option<TimerHandle>,
}

impl CallEntry {
    /// Returns `true` if a target may have received the call.
    pub(crate) fn is_dispatched(&self) -> bool {
        self.phase == CallPhase::Dispatched
    }
}

/// Returns the most that a call can use: the tokens of its prompt and its longest answer, and one call.
pub(crate) fn max_use_of(kind: &CallKind) -> BudgetUse {
    let tokens = match kind {
        CallKind::Model {
            prompt_tokens,
            max_output_tokens,
            ..
        } => u64::from(*prompt_tokens) + u64::from(*max_output_tokens),
        CallKind::Service { .. } => 0,
    };
    BudgetUse { tokens, calls: 1 }
}

/// Returns the deadline of a call that arrives at `now`.
pub(crate) fn deadline_of(request: &CallRequest, now: ClockTime) -> ClockTime {
    now + Duration::from_millis(u64::from(request.timeout_ms.min(MAX_TIMEOUT_MS)))
}

/// Calls by key and by identifier.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallTable {
    arena: SlotMap<CallKey, CallEntry>,
    index: BTreeMap<CallId, CallKey>,
}

impl CallTable {
    pub(crate) fn insert(&mut self, entry: CallEntry) -> CallKey {
        let call = entry.call;
        let key = self.arena.insert(entry);
        self.index.insert(call, key);
        key
    }

    pub(crate) fn get(&self, key: CallKey) -> Option<&CallEntry> {
        self.arena.get(key)
    }

    pub(crate) fn get_mut(&mut self, key: CallKey) -> Option<&mut CallEntry> {
        self.arena.get_mut(key)
    }

    pub(crate) fn find(&self, call: CallId) -> Option<CallKey> {
        self.index.get(&call).copied()
    }

    pub(crate) fn remove(&mut self, key: CallKey) -> Option<CallEntry> {
        let entry = self.arena.remove(key)?;
        self.index.remove(&entry.call);
        Some(entry)
    }

    pub(crate) fn len(&self) -> usize {
        self.arena.len()
    }

    /// Returns all calls in the order of their identifiers.
    pub(crate) fn keys(&self) -> Vec<CallKey> {
        self.index.values().copied().collect()
    }

    pub(crate) fn count(&self, phase: CallPhase) -> usize {
        self.arena.values().filter(|entry| entry.phase == phase).count()
    }
}
