//! Messages between entries.

use bytes::Bytes;
use ebony_types::{
    BudgetUse, CallId, CallRequest, CallerName, FencingToken, ProblemReport, ProgramBudget, ProgramId,
    SessionId, ShardKey,
};
use serde::{Deserialize, Serialize};

use crate::answer::AnswerFrame;
use crate::config_push::{ConfigPush, ConfigStatus};
use crate::crash_report::CrashReport;

/// An operation on a program, performed by the program's owner.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum ProgramOperation {
    /// Opens a program.
    Open {
        /// The identifier, chosen by the entry that received the caller's request.
        program: ProgramId,
        /// The parent, if this is a sub-agent's program. Both are in the same shard.
        parent: Option<ProgramId>,
        /// The caller.
        caller: CallerName,
        /// The limits that the caller asks for.
        budget: ProgramBudget,
    },
    /// Returns a view of the program.
    Show {
        /// The program.
        program: ProgramId,
        /// The caller; `None` for an operator.
        caller: Option<CallerName>,
        /// Whether the view includes the history.
        with_history: bool,
    },
    /// Finishes a program normally.
    Finish {
        /// The program.
        program: ProgramId,
        /// The caller.
        caller: CallerName,
    },
    /// Cancels a program, its children and its calls.
    Cancel {
        /// The program.
        program: ProgramId,
        /// The caller; `None` for an operator.
        caller: Option<CallerName>,
    },
}

impl ProgramOperation {
    /// Returns the program that the operation is for.
    pub fn program(&self) -> ProgramId {
        match self {
            Self::Open { program, .. }
            | Self::Show { program, .. }
            | Self::Finish { program, .. }
            | Self::Cancel { program, .. } => *program,
        }
    }
}

/// The state of a program as its owner reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ProgramView {
    /// The program.
    pub program: ProgramId,
    /// Its parent.
    pub parent: Option<ProgramId>,
    /// `open`, `finished`, `cancelled` or `exhausted`.
    pub state: String,
    /// Completed turns.
    pub turns: u32,
    /// The limits.
    pub budget: ProgramBudget,
    /// The amounts used, including those of children.
    pub used: BudgetUse,
    /// The children that are still open.
    pub open_children: Vec<ProgramId>,
    /// The history as a JSON array of turns, if it was asked for.
    pub history: Option<Bytes>,
}

/// A shard that an entry owns and serves. If two entries claim it, the claim with the higher epoch is valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ShardClaim {
    /// The shard.
    pub shard: ShardKey,
    /// The epoch of the shard's row.
    pub epoch: FencingToken,
}

/// A copy of a journal row that the platform has not stored yet.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HeldRow {
    /// The session whose journal it is.
    pub session: SessionId,
    /// The row's number.
    pub sequence: u64,
    /// The row's value.
    pub row: Bytes,
    /// The bodies that belong to the row. They are stored before the row.
    pub bodies: Option<Bytes>,
    /// The nonce of the write as 16 bytes, most significant first.
    pub nonce: [u8; 16],
}

/// A message between entries.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum PeerFrame {
    /// Describes the sender. This is the first message on a link, sent again when its content changes.
    Presence {
        /// The sender's session, if it has one.
        session: Option<SessionId>,
        /// Whether the sender is leaving.
        is_draining: bool,
        /// The shards that the sender owns and serves.
        shards: Vec<ShardClaim>,
    },
    /// Forwards a call to the owner of its program.
    Forward(Box<CallRequest>),
    /// Cancels a forwarded call.
    Cancel {
        /// The call.
        call: CallId,
    },
    /// Grants flow-control credit for an answer.
    Credit {
        /// The call.
        call: CallId,
        /// The additional bytes that may be sent.
        bytes: u32,
    },
    /// A part of the answer to a forwarded call.
    Answer(AnswerFrame),
    /// Requests an operation from the owner of a program.
    Operate {
        /// A number that the reply repeats, to match it with the request.
        request: u64,
        /// The operation.
        operation: ProgramOperation,
    },
    /// Replies to an operation.
    Operated {
        /// The request's number.
        request: u64,
        /// The program after the operation, or the problem.
        result: Result<Box<ProgramView>, ProblemReport>,
    },
    /// Distributes the configuration.
    Config(ConfigPush),
    /// Requests the deltas after a version, or the full document.
    ConfigWanted {
        /// The version that is known; 0 if there is none.
        known: u64,
    },
    /// Shares crashes of targets, grouped by request.
    Crashes(Vec<CrashReport>),
    /// The configuration in force at the sender and the side processes that it is linked to.
    ConfigInForce(Vec<ConfigStatus>),
    /// Sends a copy of a row, which the receiver holds until the row is durable.
    HoldRow(Box<HeldRow>),
    /// Confirms that the copy of a row is held.
    RowHeld {
        /// The session whose journal it is.
        session: SessionId,
        /// The row's number.
        sequence: u64,
    },
    /// Tells the receiver which copies it may drop.
    DropRows {
        /// The session whose journal it is.
        session: SessionId,
        /// The last row that is durable.
        durable: u64,
    },
    /// Requests the copies of a session's rows before the session's journal is sealed.
    ReadHeldRows {
        /// A number that the reply repeats, to match it with the request.
        request: u64,
        /// The session.
        session: SessionId,
        /// Only rows after this one are returned.
        after: u64,
    },
    /// Returns as many copies as fit into a frame; none if there are no more.
    HeldRows {
        /// The request's number.
        request: u64,
        /// The rows in order.
        rows: Vec<HeldRow>,
    },
    /// Asks for a [`PeerFrame::Pong`].
    Ping {
        /// Returned in the pong.
        nonce: u64,
    },
    /// Answers a ping.
    Pong {
        /// The ping's nonce.
        nonce: u64,
    },
}
