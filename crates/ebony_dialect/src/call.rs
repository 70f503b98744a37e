//! The head of a call.

use std::time::Duration;

use ebony_dispatch::PromptPart;
use ebony_types::ProgramName;

/// Tokens of a call for a model engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenCount {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// The most tokens that the answer has.
    pub most_output: u32,
}

/// The agent program that a call belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProgramHead {
    /// The program.
    pub program: ProgramName,
    /// The line of turns within the program: its main line, or that of a sub-agent.
    pub session: Option<String>,
    /// The time until the program should be finished.
    pub time_left: Option<Duration>,
    /// Tokens that all turns of the program may generate; absent for calls of tools.
    pub budget: Option<u64>,
}

/// What the header fields of a call say.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallHead {
    /// The caller's name of this attempt. Answers are matched by it.
    pub call: Option<String>,
    /// How long the caller waits.
    pub patience: Option<Duration>,
    /// The program, if the call belongs to one.
    pub program: Option<ProgramHead>,
    /// Tokens, for a call to a model engine.
    pub tokens: Option<TokenCount>,
    /// The parts of the prompt, in order.
    pub prompt: Vec<PromptPart>,
    /// The turn that this one continues, as the caller wrote it. Only a route that keeps turns heeds it.
    pub previous_turn: Option<String>,
    /// The last event that the caller has of this stream.
    pub resumes_after: Option<u64>,
}
