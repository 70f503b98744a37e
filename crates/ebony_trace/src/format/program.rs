//! Programs and markers.

use std::time::Duration;

use ebony_types::{CallerName, DomainName, ModelName, ServiceName};
use serde::{Deserialize, Serialize};

/// How a program comes about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ProgramOrigin {
    /// A caller starts it.
    Arrival {
        /// Milliseconds from the start of the trace.
        at_ms: u32,
    },
    /// Another program starts it as a sub-agent, when the model call of one of its turns is answered.
    Child {
        /// The number of the parent.
        parent: u32,
        /// The parent's turn, counted from 0. It is not the parent's last.
        after_turn: u16,
        /// Whether the parent's next turn waits for the end of this program.
        is_blocking: bool,
    },
}

/// The method of a tool call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum ToolMethod {
    /// Reads.
    Get,
    /// Changes.
    Post,
    /// Replaces.
    Put,
    /// Changes partly.
    Patch,
    /// Removes.
    Delete,
}

impl ToolMethod {
    /// Returns the method as HTTP writes it.
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

/// A tool that is called through the scheduler.
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
    /// Milliseconds after which the call ends without an answer.
    pub deadline_ms: u32,
}

/// One model call and the tool that follows.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProgramTurn {
    /// Prompt tokens that the history does not have yet.
    pub new_tokens: u32,
    /// Tokens of the answer.
    pub output_tokens: u32,
    /// Milliseconds that the tool takes. Without a call, the tool runs at the caller. The last turn has none.
    #[serde(default, skip_serializing_if = "is_default")]
    pub pause_ms: u32,
    /// The call by which the tool runs at a service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub call: Option<ToolCall>,
}

impl ProgramTurn {
    /// Returns how long the program waits for the tool. A call ends at its deadline.
    pub fn tool_wait(&self) -> Duration {
        let deadline_ms = self.call.as_ref().map_or(u32::MAX, |call| call.deadline_ms);
        Duration::from_millis(u64::from(self.pause_ms.min(deadline_ms)))
    }
}

/// A chain of model and tool calls.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TraceProgram {
    /// The program's number: its position in the trace.
    pub id: u32,
    /// The caller.
    pub caller: CallerName,
    /// The model of all its turns.
    pub model: ModelName,
    /// How it comes about.
    pub origin: ProgramOrigin,
    /// Tokens at the start of the first prompt that all programs of this caller and model share, such as the system
    /// prompt and the descriptions of tools.
    #[serde(default, skip_serializing_if = "is_default")]
    pub shared_tokens: u32,
    /// The turns, at least one.
    pub turns: Vec<ProgramTurn>,
}

impl TraceProgram {
    /// Returns the tokens of the history before a turn.
    pub fn history_tokens(&self, turn: usize) -> u64 {
        let earlier = self.turns.iter().take(turn);
        let tokens = earlier.map(|turn| u64::from(turn.new_tokens) + u64::from(turn.output_tokens));
        u64::from(self.shared_tokens) + tokens.sum::<u64>()
    }
}

/// What the harness does to the system.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum MarkerAction {
    /// Takes all processes and targets of a failure domain away at once.
    LoseDomain {
        /// The failure domain.
        domain: DomainName,
    },
    /// Brings the failure domain back.
    RestoreDomain {
        /// The failure domain.
        domain: DomainName,
    },
}

/// A fault at a point in time.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TraceMarker {
    /// Milliseconds from the start of the trace.
    pub at_ms: u32,
    /// What happens.
    pub action: MarkerAction,
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}
