//! The requests that gateways send to each other, and the replies.

use std::net::SocketAddr;

use bytes::Bytes;
use ebony_account::{CoverRequest, LentCover};
use ebony_limit::quota::{QuotaAsk, QuotaReply};
use ebony_stream::StreamDigest;
use ebony_types::{ProgramName, ServiceName, SoftwareVersion, TargetName, TurnName};
use ebony_wire::CrashReport;
use serde::{Deserialize, Serialize};

use crate::limits::report::{LimitReport, PermitReply};
use crate::open_turn::CoverError;

/// A request to another gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum PeerRequest {
    /// Keeps the link alive.
    Ping,
    /// Asks the owner of a program for cover of a turn.
    Lend {
        /// The number that the reply repeats.
        number: u64,
        /// The program.
        program: ProgramName,
        /// The program's budget in tokens.
        budget: u64,
        /// The tokens to cover.
        tokens: u64,
        /// The number of tokens that one event counts as.
        event_tokens: u64,
        /// Whether the turn's prompt contains earlier turns of the program.
        has_history: bool,
    },
    /// Returns borrowed cover that a turn did not need.
    GiveBack {
        /// The program.
        program: ProgramName,
        /// The program's budget in tokens.
        budget: u64,
        /// The returned tokens.
        tokens: u64,
    },
    /// Asks a gateway that reaches the store to record a request for cover.
    Record {
        /// The number that the reply repeats.
        number: u64,
        /// The request.
        want: CoverRequest,
    },
    /// Asks for the record of a turn.
    FindTurn {
        /// The number that the reply repeats.
        number: u64,
        /// The turn.
        turn: TurnName,
        /// Whether the gateway reads the record from the store if it does not have it in memory.
        reads_store: bool,
    },
    /// Sends a record that is in the store to the owner of the program, which answers the requests of others for it.
    ShareTurn {
        /// The turn.
        turn: TurnName,
        /// The encoded record.
        record: Bytes,
    },
    /// Reports requests that were running when targets crashed.
    TellCrashes {
        /// The reports.
        reports: Vec<CrashReport>,
    },
    /// Reports that an incarnation of a target is leaving.
    TellLeaving {
        /// The target.
        target: TargetName,
        /// The start of the incarnation, as in the target's entry in the list.
        born: u64,
        /// The target's address.
        address: SocketAddr,
    },
    /// Reports limits that targets named, and limits that ended.
    TellLimits {
        /// The reports.
        reports: Vec<LimitReport>,
    },
    /// Asks for a permit to send a call to a limited target.
    TakePermit {
        /// The number that the reply repeats.
        number: u64,
        /// The target, and what the asking gateway knows of its limit.
        limit: LimitReport,
        /// The microseconds that the call may wait.
        max_wait_us: u64,
        /// Whether another gateway was asked first. It is then not passed on again.
        is_relayed: bool,
    },
    /// Returns a permit whose call was not sent.
    ReturnPermit {
        /// The target.
        target: TargetName,
        /// The start of the incarnation, as in the target's entry in the list.
        born: u64,
    },
    /// Asks a gateway that reaches the store to write the record of a turn.
    KeepTurn {
        /// The number that the reply repeats.
        number: u64,
        /// The turn.
        turn: TurnName,
        /// The encoded record.
        record: Bytes,
    },
    /// Asks for tokens of customers. It is only sent to gateways whose pongs say that they know it.
    TakeQuota {
        /// The number that the reply repeats.
        number: u64,
        /// What is asked for, for each customer.
        asks: Vec<QuotaAsk>,
    },
    /// Asks which software version began a stream. It is only sent to gateways whose pongs say that they know it.
    FindStream {
        /// The number that the reply repeats.
        number: u64,
        /// The stream; `None` if its caller does not name it.
        stream: Option<StreamDigest>,
        /// The service.
        service: ServiceName,
        /// Whether the gateway reads the store if it has no record of the stream in memory.
        reads_store: bool,
    },
}

/// The reply to a request for cover: the tokens that the requesting gateway may spend, or why there are none.
pub type Lending = std::result::Result<LentCover, CoverError>;

/// A reply to another gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum PeerReply {
    /// Answers a ping.
    Pong {
        /// Whether the answering gateway reaches the store.
        reaches_store: bool,
        /// Whether the answering gateway takes part in quotas. Absent in pongs of earlier builds, which close a link on
        /// which a request arrives that they do not know.
        #[serde(default)]
        knows_quotas: bool,
        /// Whether the answering gateway knows of the versions of streams. Absent in pongs of earlier builds.
        #[serde(default)]
        knows_streams: bool,
    },
    /// Answers a request for cover.
    Lending {
        /// The number of the request.
        number: u64,
        /// The result.
        lending: Lending,
    },
    /// Answers a request to record a request for cover.
    Recorded {
        /// The number of the request.
        number: u64,
        /// The granted tokens and the total of recorded tokens, or `None` if the store does not answer.
        granted: Option<(u64, u64)>,
    },
    /// Answers a request for the record of a turn.
    Turn {
        /// The number of the request.
        number: u64,
        /// What the answering gateway knows of the turn.
        found: PeerTurn,
    },
    /// Answers a request for a permit.
    Permit {
        /// The number of the request.
        number: u64,
        /// The permit.
        permit: PermitReply,
    },
    /// Answers a request to write the record of a turn.
    Kept {
        /// The number of the request.
        number: u64,
        /// Whether the store has the record.
        is_kept: bool,
    },
    /// Answers a request for tokens of customers.
    Quota {
        /// The number of the request.
        number: u64,
        /// The tokens, in the order of the request.
        replies: Vec<QuotaReply>,
    },
    /// Answers the question which software version began a stream.
    Stream {
        /// The number of the request.
        number: u64,
        /// The version, if the answering gateway has a record of the stream, or read in the store what follows from it.
        origin: Option<SoftwareVersion>,
        /// The versions of the service that the answering gateway knows.
        versions: Vec<SoftwareVersion>,
        /// Whether these are all versions at which it can have begun streams that may still be resumed.
        vouches: bool,
    },
}

impl PeerReply {
    /// Returns the number of the request, or `None` for a pong.
    pub(crate) fn number(&self) -> Option<u64> {
        match self {
            Self::Pong { .. } => None,
            Self::Lending { number, .. }
            | Self::Recorded { number, .. }
            | Self::Turn { number, .. }
            | Self::Permit { number, .. }
            | Self::Kept { number, .. }
            | Self::Quota { number, .. }
            | Self::Stream { number, .. } => Some(*number),
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
    /// The gateway does not have the record in memory, and did not read it from the store.
    Unknown,
}
