//! Messages from an entry to a side process.

use ebony_types::{
    CallId, CallRequest, CallerName, FencingToken, ModelName, ProgramId, SessionId, TargetName,
};
use serde::{Deserialize, Serialize};

use crate::config_push::ConfigPush;
use crate::crash_report::CrashReport;

/// The values by which the queue of a side process orders a call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct QueueRank {
    /// Tokens of service that the whole program has received so far.
    pub attained_tokens: u64,
    /// Whether a parent program is blocked on this call.
    pub blocks_parent: bool,
    /// Milliseconds since the program's first call.
    pub program_age_ms: u64,
}

/// An order to run a call on a target.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DispatchOrder {
    /// The call. Its program is always set.
    pub request: CallRequest,
    /// The target that runs it.
    pub target: TargetName,
    /// The owner's session.
    pub session: SessionId,
    /// The epoch of the program's shard. A side process refuses an order whose epoch is below the highest one that it
    /// has seen for the shard.
    pub token: FencingToken,
    /// The values by which the queue orders the call.
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
    /// `true` to load the model, `false` to unload it.
    pub is_load: bool,
    /// The fencing token. An order is refused if a higher token was seen before.
    pub token: FencingToken,
}

/// A message from an entry to a side process.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum EntryFrame {
    /// Runs a call.
    Dispatch(Box<DispatchOrder>),
    /// Cancels a call. Its answer ends with [`crate::answer::AnswerFrame::Failed`].
    Cancel {
        /// The call.
        call: CallId,
    },
    /// Grants flow-control credit for the bytes of an answer. A call starts with credit for
    /// [`ebony_types::limits::ANSWER_WINDOW_BYTES`].
    Credit {
        /// The call.
        call: CallId,
        /// The additional bytes that may be sent.
        bytes: u32,
    },
    /// Resumes an answer over a new link.
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
    /// Lists programs whose engine memory may be kept. The memory of programs that no entry lists for some time is
    /// released.
    Vouch {
        /// The programs.
        programs: Vec<ProgramId>,
    },
    /// Keeps the engine memory of a program during a tool pause, for at most the given time.
    Retain {
        /// The program.
        program: ProgramId,
        /// The longest time in milliseconds.
        expires_ms: u32,
    },
    /// Loads or unloads a model.
    Load(LoadOrder),
    /// Distributes the configuration.
    Config(ConfigPush),
    /// Shares crashes of targets, grouped by request.
    Crashes(Vec<CrashReport>),
    /// Sets the weight of one caller's calls in the queue.
    Share {
        /// The caller.
        caller: CallerName,
        /// Relative weight; 100 is the default.
        weight: u32,
    },
    /// Confirms that the sender has seen [`crate::side_frame::SideFrame::Draining`] and dispatches no more calls
    /// over this link.
    DrainSeen,
    /// Asks for a [`crate::side_frame::SideFrame::Pong`].
    Ping {
        /// Returned in the pong.
        nonce: u64,
    },
}
