//! The records of the journal, in their stored form.
//!
//! Records are idempotent: amounts are absolute and turns are numbered, so that applying a record twice gives the
//! same state as applying it once.

use ebony_types::{
    BudgetUse, CallId, CallUsage, CallerName, FencingToken, IdempotencyKey, ProgramBudget, ProgramId,
    RequestDigest, SessionId, ShardKey, TargetName,
};
use serde::{Deserialize, Serialize};

use super::compact;
use crate::program::history::HistoryMark;
use crate::program::image::ProgramState;
use crate::wall_time::WallTime;

/// A part of the object with the bodies of one journal row.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct BodySpan {
    /// Position of the first byte.
    pub offset: u32,
    /// Length in bytes; zero if the record has no body.
    pub length: u32,
}

/// The location of a stored body: a span of the object `bodies/{session}/{sequence}`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct BodyPlace {
    /// The session that wrote the object.
    pub session: SessionId,
    /// The row that the object belongs to.
    pub sequence: u64,
    /// The part of the object.
    pub span: BodySpan,
}

/// A program was opened.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OpenedRecord {
    /// The program.
    pub program: ProgramId,
    /// The parent.
    pub parent: Option<ProgramId>,
    /// The caller.
    pub caller: CallerName,
    /// The limits.
    pub budget: ProgramBudget,
    /// Whether the program was created for one call that named no program.
    pub is_one_call: bool,
    /// When it was opened.
    pub opened: WallTime,
    /// Amounts that the program's own calls may spend without a further record.
    pub ceiling: BudgetUse,
}

/// A block of budget was reserved or, if the ceiling is lower than before, returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ReservedRecord {
    /// The program.
    pub program: ProgramId,
    /// Amounts that its own calls have spent so far.
    pub spent: BudgetUse,
    /// Amounts that its own calls may spend without a further record.
    pub ceiling: BudgetUse,
}

/// A call with an idempotency key is about to be dispatched, or was placed on a target.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct IntendedRecord {
    /// The program.
    pub program: ProgramId,
    /// The key.
    pub key: IdempotencyKey,
    /// The digest of the request.
    #[serde(with = "compact::digest")]
    pub digest: RequestDigest,
    /// The call.
    pub call: CallId,
    /// The target, once it is known.
    pub target: Option<TargetName>,
}

/// How a call with an idempotency key ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum KeyOutcome {
    /// The call ran; its answer is stored with this turn.
    Turn(u32),
    /// The call may have run. It is never dispatched again.
    MayHaveRun,
    /// The call did not run. It may be dispatched again.
    NotRun,
}

/// A call with an idempotency key ended.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AnsweredRecord {
    /// The program.
    pub program: ProgramId,
    /// The key.
    pub key: IdempotencyKey,
    /// How it ended.
    pub outcome: KeyOutcome,
}

/// A call ended with an answer. Its encoding is compact because this is the most frequent record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TurnRecord {
    /// The program.
    #[serde(rename = "p", with = "compact::program")]
    pub program: ProgramId,
    /// The turn's number, from 1.
    #[serde(rename = "n")]
    pub turn: u32,
    /// The call.
    #[serde(rename = "c", with = "compact::call")]
    pub call: CallId,
    /// Number of messages of the history that this turn keeps; its body has the messages after them.
    #[serde(rename = "k")]
    pub kept: u32,
    /// Number and digest of all messages after the turn.
    #[serde(rename = "m")]
    pub mark: HistoryMark,
    /// Chained digest of the bodies of all turns.
    #[serde(rename = "h", with = "serde_bytes")]
    pub chain: [u8; 32],
    /// Position of the body in the object of the row.
    #[serde(rename = "b", with = "compact::span")]
    pub body: BodySpan,
    /// Tokens that the call used.
    #[serde(rename = "u", with = "compact::usage")]
    pub usage: CallUsage,
    /// Amounts that the program's own calls have spent, this one included.
    #[serde(rename = "s", with = "compact::amount")]
    pub spent: BudgetUse,
    /// Amounts that the program's own calls may spend without a further record.
    #[serde(rename = "l", with = "compact::amount")]
    pub ceiling: BudgetUse,
}

/// A program ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EndedRecord {
    /// The program.
    pub program: ProgramId,
    /// How it ended.
    pub state: ProgramState,
    /// When it ended.
    pub ended: WallTime,
    /// Amounts that its own calls have spent.
    pub spent: BudgetUse,
    /// Amounts that its own calls can have spent by the time every cancelled call has ended.
    pub ceiling: BudgetUse,
}

/// A session adopted a shard. The state of the shard is a body of the same row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AdoptedRecord {
    /// The shard.
    pub shard: ShardKey,
    /// The epoch at which the session owns the shard.
    pub epoch: FencingToken,
    /// The shard's state, a [`super::ShardImage`].
    pub state: BodySpan,
}

/// A session released a shard as planned. The state of the shard is a body of the same row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ReleasedRecord {
    /// The shard.
    pub shard: ShardKey,
    /// The epoch at which the session owned the shard.
    pub epoch: FencingToken,
    /// The shard's state, a [`super::ShardImage`].
    pub state: BodySpan,
}

/// One record of the journal.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum JournalRecord {
    /// A program was opened.
    Opened(Box<OpenedRecord>),
    /// A block of budget was reserved.
    Reserved(ReservedRecord),
    /// A call with a key is about to be dispatched, or was placed on a target.
    Intended(Box<IntendedRecord>),
    /// A call with a key ended.
    Answered(AnsweredRecord),
    /// A call ended with an answer.
    Turn(Box<TurnRecord>),
    /// A program ended.
    Ended(EndedRecord),
    /// A shard was adopted.
    Adopted(AdoptedRecord),
    /// A shard was released.
    Released(ReleasedRecord),
    /// A successor ended the journal with this record.
    Sealed {
        /// The session that sealed the journal.
        by: SessionId,
    },
}

impl JournalRecord {
    /// Returns the program that the record changes.
    pub fn program(&self) -> Option<ProgramId> {
        match self {
            Self::Opened(record) => Some(record.program),
            Self::Reserved(record) => Some(record.program),
            Self::Intended(record) => Some(record.program),
            Self::Answered(record) => Some(record.program),
            Self::Turn(record) => Some(record.program),
            Self::Ended(record) => Some(record.program),
            Self::Adopted(_) | Self::Released(_) | Self::Sealed { .. } => None,
        }
    }

    /// Sets the place of the record's body, if it has one.
    pub(crate) fn set_body(&mut self, span: BodySpan) {
        match self {
            Self::Turn(record) => record.body = span,
            Self::Adopted(record) => record.state = span,
            Self::Released(record) => record.state = span,
            _ => {}
        }
    }
}
