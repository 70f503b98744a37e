//! Steps that a driver sends, and the results that it reports.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use ebony_types::{CallerName, ModelName, ProblemCode, RunVerdict, ServiceName};
use serde::{Deserialize, Serialize};

use crate::format::{MarkerAction, ToolMethod};

/// Kind of a call within a turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StepKind {
    /// The model call.
    Model,
    /// The tool call after the model call.
    Tool,
}

/// Identifies one call of a trace. Retries of the call have the same key.
///
/// Its text form is part of prompts, service paths and idempotency keys, so that the runs that targets report can be
/// attributed to steps.
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
    /// The id of the program.
    pub program: u32,
    /// The turn, counted from 0.
    pub turn: u16,
    /// The kind of call within the turn.
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

/// Error of parsing a malformed step key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("malformed step key, expected <program>.<turn>.<model|tool>")]
pub struct ParseStepError;

/// The result of parsing a step key.
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
    /// Number of times that it was sent before.
    pub earlier_attempts: u8,
    /// The caller.
    pub caller: CallerName,
    /// The model.
    pub model: ModelName,
    /// The id of the parent program, if this is a sub-agent.
    pub parent: Option<u32>,
    /// Tokens at the start of the first prompt that programs of this caller and model share.
    pub shared_tokens: u32,
    /// Prompt tokens in addition to the shared ones and the history.
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
    /// Number of times that it was sent before.
    pub earlier_attempts: u8,
    /// The caller.
    pub caller: CallerName,
    /// The service.
    pub service: ServiceName,
    /// The method.
    pub method: ToolMethod,
    /// Whether it must run at most once. It then needs an idempotency key that is the same for all retries.
    pub runs_once: bool,
    /// How long the service should take, in replay time.
    pub run_time: Duration,
    /// The timeout to send with the call, in replay time.
    pub timeout: Duration,
}

/// A step for the driver to perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DueStep {
    /// A model call to send.
    Model(ModelStep),
    /// A tool call to send.
    Tool(ToolStep),
    /// A fault to inject. It needs no completion.
    Marker(MarkerAction),
}

/// Result of a call that was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StepEnd {
    /// A complete answer to this call arrived.
    Answered,
    /// An error response arrived.
    Problem {
        /// The error code.
        code: ProblemCode,
        /// Whether the call may have run.
        run: RunVerdict,
        /// The stated delay before a retry, in replay time.
        retry_after: Option<Duration>,
    },
    /// The connection closed before the answer was complete. The caller retries the call with the same key.
    Disconnected,
    /// The answer claims to be complete but is not, or belongs to another call. It counts as lost.
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

/// Result of a program.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProgramOutcome {
    /// The id of the program.
    pub program: u32,
    /// How it ended.
    pub end: ProgramEnd,
    /// Time from its first call to the end of its last, in trace time.
    pub latency: Duration,
}

/// Consequences of the end of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StepCompletion {
    /// Whether the call will be retried.
    pub will_retry: bool,
    /// The outcome of the program, if this was its last call.
    pub outcome: Option<ProgramOutcome>,
}
