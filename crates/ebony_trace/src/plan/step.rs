//! Steps of programs, as a driver sends them and reports on them.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use ebony_types::{CallerName, ModelName, ProblemCode, RunVerdict, ServiceName};
use serde::{Deserialize, Serialize};

use crate::format::{MarkerAction, ToolMethod};

/// Which call of a turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StepKind {
    /// The model call.
    Model,
    /// The tool call that follows.
    Tool,
}

/// Names one call of a trace. Repeats of the call have the same key.
///
/// Its text goes into prompts and idempotency keys, by which targets report what they ran.
///
/// ```
/// use ebony_trace::{StepKey, StepKind};
///
/// let key = StepKey { program: 12, turn: 3, kind: StepKind::Tool };
/// assert_eq!(key.to_string(), "12.3.tool");
/// assert_eq!("12.3.tool".parse(), Ok(key));
/// assert!("12.3.tools".parse::<StepKey>().is_err());
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct StepKey {
    /// The number of the program.
    pub program: u32,
    /// The turn, counted from 0.
    pub turn: u16,
    /// The call of the turn.
    pub kind: StepKind,
}

impl fmt::Display for StepKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = match self.kind {
            StepKind::Model => "model",
            StepKind::Tool => "tool",
        };
        write!(formatter, "{}.{}.{kind}", self.program, self.turn)
    }
}

/// Says that a text is not the key of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("malformed key of a step")]
pub struct ParseStepError;

/// The result of parsing the key of a step.
pub(super) type Result<T, E = ParseStepError> = std::result::Result<T, E>;

impl FromStr for StepKey {
    type Err = ParseStepError;

    fn from_str(text: &str) -> Result<Self> {
        let mut parts = text.splitn(3, '.');
        let mut part = || parts.next().ok_or(ParseStepError);
        let program = part()?.parse().map_err(|_| ParseStepError)?;
        let turn = part()?.parse().map_err(|_| ParseStepError)?;
        let kind = match part()? {
            "model" => StepKind::Model,
            "tool" => StepKind::Tool,
            _ => return Err(ParseStepError),
        };
        Ok(Self { program, turn, kind })
    }
}

/// A model call to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelStep {
    /// The call.
    pub key: StepKey,
    /// How often it was sent before.
    pub repeats: u8,
    /// The caller.
    pub caller: CallerName,
    /// The model.
    pub model: ModelName,
    /// The number of the parent, if this is a sub-agent.
    pub parent: Option<u32>,
    /// Tokens at the start of the first prompt that programs of this caller and model share.
    pub shared_tokens: u32,
    /// Prompt tokens after the shared ones and the history.
    pub new_tokens: u32,
    /// Tokens of the answer.
    pub output_tokens: u32,
    /// Whether this is the program's last call.
    pub is_last: bool,
}

/// A tool call to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ToolStep {
    /// The call.
    pub key: StepKey,
    /// How often it was sent before.
    pub repeats: u8,
    /// The caller.
    pub caller: CallerName,
    /// The service.
    pub service: ServiceName,
    /// The method.
    pub method: ToolMethod,
    /// Whether it must run at most once. Then it needs an idempotency key, the same for repeats.
    pub runs_once: bool,
    /// How long the service should take, in the time of the replay.
    pub run_time: Duration,
    /// The timeout to state, in the time of the replay.
    pub timeout: Duration,
}

/// What the driver has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DueStep {
    /// Sends a model call.
    Model(ModelStep),
    /// Sends a tool call.
    Tool(ToolStep),
    /// Causes a fault. It needs no completion.
    Marker(MarkerAction),
}

/// How a sent call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StepEnd {
    /// The whole answer to this call arrived.
    Answered,
    /// An error arrived.
    Problem {
        /// Its code.
        code: ProblemCode,
        /// Whether the call may have run.
        run: RunVerdict,
        /// The time to come back, in the time of the replay.
        retry_after: Option<Duration>,
    },
    /// The connection ended before the end of an answer. The caller repeats the call with the same key.
    Disconnected,
    /// The answer claims to be whole but is not, or belongs to another call. It counts as lost.
    Corrupt,
}

/// How a program ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProgramEnd {
    /// Its last call was answered.
    Finished,
    /// It gave up after this problem.
    Problem(ProblemCode),
    /// It gave up after a lost call.
    Lost,
}

/// What became of a program.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProgramOutcome {
    /// The number of the program.
    pub program: u32,
    /// How it ended.
    pub end: ProgramEnd,
    /// Time from its first call to the end of its last, in the time of the trace.
    pub latency: Duration,
}

/// What follows from the end of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StepCompletion {
    /// Whether the call will be sent again.
    pub is_repeated: bool,
    /// The outcome of the program, if this was its last call.
    pub outcome: Option<ProgramOutcome>,
}
