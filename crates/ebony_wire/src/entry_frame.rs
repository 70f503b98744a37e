//! Messages from an entry to a side process.

use ebony_types::{
    CallId, CallRequest, CallerName, FencingToken, ModelName, ProgramId, SessionId, TargetName,
};
use serde::{Deserialize, Serialize};

use crate::config_push::ConfigPush;
use crate::crash_report::CrashReport;

/// What the side process's queue needs to order a call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct QueueRank {
    /// Service that the whole program has attained so far, in tokens.
    pub attained_tokens: u64,
    /// Whether a parent program is blocked on this call.
    pub blocks_parent: bool,
    /// Milliseconds since the program's first call.
    pub program_age_ms: u64,
}

/// A call for a target.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DispatchOrder {
    /// The call. Its program is always set.
    pub request: CallRequest,
    /// The target that runs it.
    pub target: TargetName,
    /// The owner's session.
    pub session: SessionId,
    /// The epoch of the program's shard. A side process refuses an order below the highest one it has seen for the
    /// shard.
    pub token: FencingToken,
    /// Input for the queue.
    pub rank: QueueRank,
}

/// An order to an engine to load or unload a model.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LoadOrder {
    /// The engine.
    pub target: TargetName,
    /// The model.
    pub model: ModelName,
    /// Whether to load the model; otherwise it is unloaded.
    pub is_load: bool,
    /// Orders with a lower token than one seen are refused.
    pub token: FencingToken,
}

/// A message from an entry to a side process.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum EntryFrame {
    /// Runs a call.
    Dispatch(Box<DispatchOrder>),
    /// Ends a call early; its answer ends with a failure.
    Cancel {
        /// The call.
        call: CallId,
    },
    /// Allows more bytes of an answer. A call starts with [`crate::answer::AnswerFrame`] credit of one window.
    Credit {
        /// The call.
        call: CallId,
        /// Additional bytes.
        bytes: u32,
    },
    /// Continues an answer over a new link.
    Resume {
        /// The call.
        call: CallId,
        /// The first byte of the body that the entry does not have.
        offset: u64,
    },
    /// Confirms that the owner has made a call's outcome durable; the side process may drop its copy.
    Settled {
        /// The call.
        call: CallId,
    },
    /// Releases the engine memory of a program that has ended.
    Release {
        /// The program.
        program: ProgramId,
        /// The epoch of the program's shard.
        token: FencingToken,
    },
    /// Confirms programs whose engine memory may be held. Memory of programs that nobody confirms for
    /// a while is released.
    Vouch {
        /// The programs.
        programs: Vec<ProgramId>,
    },
    /// Keeps the memory of a program through a tool pause, for at most the given time.
    Retain {
        /// The program.
        program: ProgramId,
        /// Milliseconds.
        expires_ms: u32,
    },
    /// Loads or unloads a model.
    Load(LoadOrder),
    /// Distributes the configuration.
    Config(ConfigPush),
    /// Spreads crashes of targets by request.
    Crashes(Vec<CrashReport>),
    /// Changes the share of one caller's calls in the queue.
    Share {
        /// The caller.
        caller: CallerName,
        /// Relative weight; 100 is the default.
        weight: u32,
    },
    /// Confirms that the sender has seen [`crate::side_frame::SideFrame::Draining`] and dispatches nothing further over
    /// this link.
    DrainSeen,
    /// Asks for a [`crate::side_frame::SideFrame::Pong`].
    Ping {
        /// Echoed.
        nonce: u64,
    },
}
