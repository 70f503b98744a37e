//! What gateways ask each other, and what they answer.

use std::net::SocketAddr;

use bytes::Bytes;
use ebony_account::{CoverWant, LentCover};
use ebony_types::{ProgramName, TargetName, TurnName};
use ebony_wire::CrashReport;
use serde::{Deserialize, Serialize};

use crate::open_turn::CoverError;

/// What a gateway asks another one.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum PeerRequest {
    /// Keeps the link alive.
    Ping,
    /// Asks the owner of a program for cover of a turn.
    Lend {
        /// Matches the answer.
        number: u64,
        /// The program.
        program: ProgramName,
        /// The program's budget in tokens.
        budget: u64,
        /// The tokens to cover.
        tokens: u64,
        /// Tokens that one event stands for.
        event_tokens: u64,
        /// Whether the turn's prompt shows earlier turns.
        has_history: bool,
    },
    /// Gives cover back that a turn did not need.
    GiveBack {
        /// The program.
        program: ProgramName,
        /// The program's budget in tokens.
        budget: u64,
        /// The tokens.
        tokens: u64,
    },
    /// Asks a gateway that reaches the store to record a request.
    Record {
        /// Matches the answer.
        number: u64,
        /// The request.
        want: CoverWant,
    },
    /// Asks for the record of a turn.
    FindTurn {
        /// Matches the answer.
        number: u64,
        /// The turn.
        turn: TurnName,
        /// Whether a gateway that does not hold the record reads it from the store.
        reads_store: bool,
    },
    /// Gives the owner of a program the record of a turn that the store holds, so that it can tell others.
    ShareTurn {
        /// The turn.
        turn: TurnName,
        /// The encoded record.
        record: Bytes,
    },
    /// Tells of requests under which targets ended.
    TellCrashes {
        /// What the telling gateway knows of them.
        reports: Vec<CrashReport>,
    },
    /// Tells that a life of a target leaves.
    TellLeaving {
        /// The target.
        target: TargetName,
        /// The start of the life, as the target lists it.
        born: u64,
        /// The address.
        address: SocketAddr,
    },
    /// Asks a gateway that reaches the store to write the record of a turn.
    KeepTurn {
        /// Matches the answer.
        number: u64,
        /// The turn.
        turn: TurnName,
        /// The encoded record.
        record: Bytes,
    },
}

/// What a gateway answers to a request for cover: the tokens that the asking gateway may hand on, or why there are none.
pub type Lending = std::result::Result<LentCover, CoverError>;

/// What a gateway answers.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum PeerReply {
    /// Answers a ping.
    Pong {
        /// Whether the answering gateway reaches the store.
        reaches_store: bool,
    },
    /// Answers a request for cover.
    Lending {
        /// The number of the request.
        number: u64,
        /// The answer.
        lending: Lending,
    },
    /// Answers a request to record.
    Recorded {
        /// The number of the request.
        number: u64,
        /// The tokens that were granted and all that are recorded, or `None` if the store does not answer.
        granted: Option<(u64, u64)>,
    },
    /// Answers a request for the record of a turn.
    Turn {
        /// The number of the request.
        number: u64,
        /// What the answering gateway knows of the turn.
        found: PeerTurn,
    },
    /// Answers a request to write the record of a turn.
    Kept {
        /// The number of the request.
        number: u64,
        /// Whether the store holds the record.
        is_kept: bool,
    },
}

impl PeerReply {
    /// Returns the number of the request that is answered.
    pub(crate) fn number(&self) -> Option<u64> {
        match self {
            Self::Pong { .. } => None,
            Self::Lending { number, .. }
            | Self::Recorded { number, .. }
            | Self::Turn { number, .. }
            | Self::Kept { number, .. } => Some(*number),
        }
    }
}

/// What a gateway knows of a turn.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum PeerTurn {
    /// The encoded record.
    Held(Bytes),
    /// The store has no such turn.
    Absent,
    /// Nothing: the gateway does not hold the record, and did not read the store.
    Unknown,
}
