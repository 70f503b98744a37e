//! A call whose route is known.

use std::rc::Rc;

use bytes::Bytes;
use ebony_dialect::CallHead;
use ebony_routing::{EngineRule, RouteRule};
use ebony_types::{ClockTime, ServiceName};

use crate::conversations::KeptTurn;
use crate::crashes::{CrashPermit, RequestFingerprint};
use crate::gateway::Gateway;
use crate::intake::RequestHead;

/// A call whose route is known.
pub(crate) struct RoutedCall {
    pub(crate) gateway: Rc<Gateway>,
    pub(crate) request: RequestHead,
    pub(crate) head: CallHead,
    /// What the request is recognized by when it comes again.
    pub(crate) fingerprint: Rc<RequestFingerprint>,
    /// How it may run, considering what became of targets that ran it before.
    pub(crate) permit: CrashPermit,
    /// What a target gets.
    pub(crate) body: Bytes,
    /// The turn, if its route keeps conversations.
    pub(crate) kept: Option<KeptTurn>,
    pub(crate) route: Rc<RouteRule>,
    pub(crate) service: ServiceName,
    pub(crate) engine: Option<EngineRule>,
    /// Connections that a target takes from this gateway.
    pub(crate) most_connections: u32,
    pub(crate) arrived: ClockTime,
    pub(crate) deadline: ClockTime,
}

/// Parts of a program's first prompt: one that programs share, and its own. Each later turn adds parts.
const FIRST_TURN_PARTS: usize = 2;

impl RoutedCall {
    /// Returns whether earlier turns of the program were answered.
    pub(crate) fn has_history(&self) -> bool {
        match &self.kept {
            Some(turn) => turn.continues_program(),
            None => self.head.prompt.len() > FIRST_TURN_PARTS,
        }
    }

    /// Returns how many targets may run the call.
    pub(crate) fn most_targets(&self) -> u32 {
        match self.permit {
            CrashPermit::Unrestricted => self.route.most_targets,
            CrashPermit::Trial => 1,
        }
    }

    /// Returns whether the answer is a stream of events.
    pub(crate) fn is_stream(&self) -> bool {
        self.route.nature.is_stream()
    }

    /// Returns the tokens that one event stands for.
    pub(crate) fn event_tokens(&self) -> u64 {
        self.engine.map_or(1, |engine| u64::from(engine.event_tokens))
    }
}

/// Returns what ties calls to a target: their program, or else the call itself.
pub(crate) fn affinity_key(head: &CallHead) -> &str {
    match &head.program {
        Some(program) => program.program.as_str(),
        None => head.call.as_deref().unwrap_or_default(),
    }
}
