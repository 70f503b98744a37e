//! Programs, their turns and tool calls, and fault markers.

use std::time::Duration;

use ebony_types::{CallerName, DomainName, ModelName, ServiceName};
use serde::{Deserialize, Serialize};

/// How a program is started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ProgramOrigin {
    /// A caller starts it.
    Arrival {
        /// Milliseconds from the start of the trace.
        at_ms: u32,
    },
    /// Another program starts it as a sub-agent once the model call of `after_turn` is answered.
    Child {
        /// The id of the parent.
        parent: u32,
        /// The parent's turn, counted from 0. It must not be the parent's last turn.
        after_turn: u16,
        /// Whether the parent's next turn waits until this program has ended.
        is_blocking: bool,
    },
}

/// The method of a tool call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum ToolMethod {
    /// Reads a resource.
    Get,
    /// Submits a change.
    Post,
    /// Replaces a resource.
    Put,
    /// Changes part of a resource.
    Patch,
    /// Removes a resource.
    Delete,
}

impl ToolMethod {
    /// Returns the HTTP method name.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Get => "GET",
            Self::Post => "POST",
            Self::Put => "PUT",
            Self::Patch => "PATCH",
            Self::Delete => "DELETE",
        }
    }
}

/// A tool call that goes through the scheduler to a service.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ToolCall {
    /// The service.
    pub service: ServiceName,
    /// The method.
    pub method: ToolMethod,
    /// Whether the call must run at most once.
    #[serde(default, skip_serializing_if = "is_default")]
    pub runs_once: bool,
    /// Milliseconds after which the call times out.
    pub deadline_ms: u32,
}

/// One model call and the tool that runs after it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProgramTurn {
    /// Prompt tokens in addition to the history.
    pub new_tokens: u32,
    /// Tokens of the answer.
    pub output_tokens: u32,
    /// Milliseconds that the tool takes. Without `call`, the tool runs on the caller's side. Zero in the last turn.
    #[serde(default, skip_serializing_if = "is_default")]
    pub pause_ms: u32,
    /// The service call that runs the tool. Absent in the last turn.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub call: Option<ToolCall>,
}

impl ProgramTurn {
    /// Returns how long the program waits for the tool: its duration, limited by the deadline of the call.
    pub fn tool_wait(&self) -> Duration {
        let deadline_ms = self.call.as_ref().map_or(u32::MAX, |call| call.deadline_ms);
        Duration::from_millis(u64::from(self.pause_ms.min(deadline_ms)))
    }
}

/// A sequence of model and tool calls.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TraceProgram {
    /// The program's id: its index in the trace.
    pub id: u32,
    /// The caller.
    pub caller: CallerName,
    /// The model that all turns use.
    pub model: ModelName,
    /// How it is started.
    pub origin: ProgramOrigin,
    /// Tokens at the start of the first prompt that all programs of this caller and model share, such as the system
    /// prompt and the tool descriptions.
    #[serde(default, skip_serializing_if = "is_default")]
    pub shared_tokens: u32,
    /// The turns, at least one.
    pub turns: Vec<ProgramTurn>,
}

impl TraceProgram {
    /// Returns the number of history tokens before a turn.
    pub fn history_tokens(&self, turn: usize) -> u64 {
        let earlier = self.turns.iter().take(turn);
        let tokens = earlier.map(|turn| u64::from(turn.new_tokens) + u64::from(turn.output_tokens));
        u64::from(self.shared_tokens) + tokens.sum::<u64>()
    }
}

/// A fault that the test harness injects, or its repair.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum MarkerAction {
    /// Stops all processes and targets of a failure domain at once.
    LoseDomain {
        /// The failure domain.
        domain: DomainName,
    },
    /// Restores the failure domain.
    RestoreDomain {
        /// The failure domain.
        domain: DomainName,
    },
}

/// A fault injection at a point in time.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TraceMarker {
    /// Milliseconds from the start of the trace.
    pub at_ms: u32,
    /// The action.
    pub action: MarkerAction,
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}
