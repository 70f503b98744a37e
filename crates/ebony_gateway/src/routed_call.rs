//! A call whose route is known.

use std::rc::Rc;

use bytes::Bytes;
use ebony_dialect::{CallHead, StreamResumption};
use ebony_routing::{CallerIdentity, EngineRule, RouteRule};
use ebony_stream::StreamDigest;
use ebony_types::{ClockTime, CustomerName, ServiceName, SoftwareVersion};

use crate::conversations::KeptTurn;
use crate::crashes::{CrashPermit, RequestFingerprint};
use crate::gateway::Gateway;
use crate::intake::RequestHead;

/// A call whose route is known.
pub(crate) struct RoutedCall {
    pub(crate) gateway: Rc<Gateway>,
    pub(crate) request: RequestHead,
    pub(crate) head: CallHead,
    /// Identifies the request when its caller repeats it.
    pub(crate) fingerprint: Rc<RequestFingerprint>,
    /// How the call may run, given the crashes of its request.
    pub(crate) permit: CrashPermit,
    /// The body that is sent to a target.
    pub(crate) body: Bytes,
    /// The turn, if its route keeps conversations.
    pub(crate) kept: Option<KeptTurn>,
    pub(crate) route: Rc<RouteRule>,
    /// On whose behalf the call is made, by the configuration that was in force when its body had been read.
    pub(crate) identity: CallerIdentity,
    /// The customer and the object that the call is about, if its targets serve the calls about one object faster.
    pub(crate) object: Option<String>,
    /// The urgency of the customer, or else of the route; 0 is the most urgent.
    pub(crate) urgency: u8,
    pub(crate) service: ServiceName,
    /// The software version that the target must have, because it began the stream that the call resumes.
    pub(crate) version: Option<SoftwareVersion>,
    pub(crate) engine: Option<EngineRule>,
    /// The maximum number of connections from this gateway to one target.
    pub(crate) max_connections: u32,
    pub(crate) arrived: ClockTime,
    pub(crate) deadline: ClockTime,
}

/// The number of parts of a program's first prompt: one that programs share, and its own. Each later turn adds parts.
const FIRST_TURN_PARTS: usize = 2;

impl RoutedCall {
    /// Returns on whose behalf the call is made.
    pub(crate) fn identity(&self) -> &CallerIdentity {
        &self.identity
    }

    /// Returns the customer of the call, if it has one.
    pub(crate) fn customer(&self) -> Option<&CustomerName> {
        self.identity.customer()
    }

    /// Returns the urgency of the call, which is that of its customer or else of its route; 0 is the most urgent.
    pub(crate) fn urgency(&self) -> u8 {
        self.urgency
    }

    /// Returns the key by which calls are assigned to the same target.
    pub(crate) fn affinity(&self) -> &str {
        match &self.object {
            Some(object) => object,
            None => affinity_key(&self.head),
        }
    }

    /// Returns whether the prompt contains earlier turns of the program.
    pub(crate) fn has_history(&self) -> bool {
        match &self.kept {
            Some(turn) => turn.continues_program(),
            None => self.head.prompt.len() > FIRST_TURN_PARTS,
        }
    }

    /// Returns whether the call is the first turn of a program.
    pub(crate) fn begins_program(&self) -> bool {
        self.engine.is_some() && self.head.program.is_some() && !self.has_history()
    }

    /// Returns the maximum number of targets that may run the call.
    pub(crate) fn max_targets(&self) -> u32 {
        match self.permit {
            CrashPermit::Unrestricted => self.route.max_targets,
            CrashPermit::Trial => 1,
        }
    }

    /// Returns the most tokens of the answer.
    pub(crate) fn max_output(&self) -> u64 {
        self.head.tokens.map_or(0, |tokens| u64::from(tokens.max_output))
    }

    /// Returns whether the answer is a stream of events.
    pub(crate) fn is_stream(&self) -> bool {
        self.route.semantics.is_stream()
    }

    /// Returns the stream that the call begins or resumes, if its caller names it.
    pub(crate) fn stream(&self) -> Option<StreamDigest> {
        let attempt = match &self.head.resumption {
            StreamResumption::Begins => self.head.call.as_deref(),
            resumption => resumption.attempt(),
        };
        attempt.map(|attempt| StreamDigest::of(self.customer(), attempt))
    }

    /// Returns the number of tokens that one event counts as.
    pub(crate) fn event_tokens(&self) -> u64 {
        self.engine.map_or(1, |engine| u64::from(engine.event_tokens))
    }
}

/// Returns the key of the object that a call is about, if its route prefers one target for each object. Objects of
/// different customers are different ones.
pub(crate) fn object_key(route: &RouteRule, identity: &CallerIdentity, head: &CallHead) -> Option<String> {
    let object = head.object.as_ref().filter(|_| route.is_sticky)?;
    let customer = identity.customer().map_or("", CustomerName::as_str);
    // A customer's name has no line feed, so that the boundary is unambiguous.
    Some(format!("{customer}\n{object}"))
}

/// Returns the key by which calls are assigned to the same target: the program, or the call if it has none.
pub(crate) fn affinity_key(head: &CallHead) -> &str {
    match &head.program {
        Some(program) => program.program.as_str(),
        None => head.call.as_deref().unwrap_or_default(),
    }
}
