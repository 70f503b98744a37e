//! The decoded header fields of a call.

use std::time::Duration;

use ebony_dispatch::PromptPart;
use ebony_types::ProgramName;

/// Token counts of a call to a model engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenCount {
    /// Number of tokens in the prompt.
    pub prompt: u32,
    /// Maximum number of tokens in the answer.
    pub max_output: u32,
}

/// The agent program that a call belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProgramHead {
    /// The program.
    pub program: ProgramName,
    /// The sequence of turns within the program that the call belongs to: the main one, or that of a sub-agent.
    pub session: Option<String>,
    /// The time until the program's deadline.
    pub time_left: Option<Duration>,
    /// Number of tokens that all turns of the program together may generate; `None` for tool calls.
    pub budget: Option<u64>,
}

/// Whether a call begins its stream or resumes one that broke off.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum StreamResumption {
    /// It begins a stream.
    #[default]
    Begins,
    /// It resumes the stream whose first event was received by the attempt with this name.
    Resumes(String),
    /// It resumes a stream, and does not say which.
    ResumesUnnamed,
}

impl StreamResumption {
    /// Returns whether the call resumes a stream.
    pub fn is_resumed(&self) -> bool {
        *self != Self::Begins
    }

    /// Returns the name of the attempt that received the first event of the resumed stream, if the call says it.
    pub fn attempt(&self) -> Option<&str> {
        match self {
            Self::Resumes(attempt) => Some(attempt),
            Self::Begins | Self::ResumesUnnamed => None,
        }
    }
}

/// The decoded header fields of a call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallHead {
    /// The caller's name of this attempt, by which the caller matches answers.
    pub call: Option<String>,
    /// The time for which the caller waits.
    pub time_left: Option<Duration>,
    /// The program, if the call belongs to one.
    pub program: Option<ProgramHead>,
    /// The token counts, for a call to a model engine.
    pub tokens: Option<TokenCount>,
    /// The caller's estimate of the output tokens, which is often far off.
    pub expected_output: Option<u64>,
    /// The parts of the prompt, in order.
    pub prompt: Vec<PromptPart>,
    /// The turn that this one continues, as sent by the caller. Routes that do not store turns ignore it.
    pub previous_turn: Option<String>,
    /// The object that the call is about, as named by the caller.
    pub object: Option<String>,
    /// Whether the call begins its stream or resumes one.
    pub resumption: StreamResumption,
}
