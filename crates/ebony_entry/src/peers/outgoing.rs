//! Links that this entry dialed, with the calls and operations that it forwards.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use ebony_link::LinkSender;
use ebony_types::{CallId, ProblemCode, ProblemReport};
use ebony_wire::{AnswerFrame, PeerFrame};
use tokio::sync::oneshot;

use super::messages::OperationResult;
use super::router::PeerKey;
use crate::answer::{AnswerAssembly, AnswerPart, AnswerPipe, AssemblyStep};

/// The maximum number of forwarded calls in progress.
const MAX_FORWARDED_CALLS: usize = 65_536;

/// The maximum number of forwarded operations in progress.
const MAX_OPERATIONS: usize = 4_096;

/// Another entry and the link to it.
pub(super) struct PeerRecord {
    pub(super) address: SocketAddr,
    pub(super) sender: Option<LinkSender<PeerFrame>>,
    pub(super) generation: u64,
    pub(super) is_listed: bool,
}

struct ForwardedCall {
    peer: PeerKey,
    pipe: Arc<AnswerPipe>,
    assembly: AnswerAssembly,
}

struct PendingOperation {
    peer: PeerKey,
    reply: oneshot::Sender<OperationResult>,
}

/// Forwarded calls and operations that have not ended.
#[derive(Default)]
pub(super) struct ForwardedRequests {
    calls: HashMap<CallId, ForwardedCall>,
    operations: HashMap<u64, PendingOperation>,
    next_request: u64,
}

impl ForwardedRequests {
    /// Adds a call. Returns `false` if the table is full.
    pub(super) fn add_call(&mut self, peer: PeerKey, pipe: Arc<AnswerPipe>) -> bool {
        if self.calls.len() >= MAX_FORWARDED_CALLS {
            return false;
        }
        let call = ForwardedCall {
            peer,
            pipe: Arc::clone(&pipe),
            assembly: AnswerAssembly::default(),
        };
        self.calls.insert(pipe.call(), call);
        true
    }

    /// Removes a call that was cancelled or could not be sent.
    pub(super) fn remove_call(&mut self, call: CallId) {
        self.calls.remove(&call);
    }

    /// Returns the owner that a call was forwarded to.
    pub(super) fn peer_of(&self, call: CallId) -> Option<PeerKey> {
        self.calls.get(&call).map(|forwarded| forwarded.peer)
    }

    /// Adds an operation and returns its request number, or `None` if the table is full.
    pub(super) fn add_operation(
        &mut self,
        peer: PeerKey,
        reply: oneshot::Sender<OperationResult>,
    ) -> Option<u64> {
        if self.operations.len() >= MAX_OPERATIONS {
            return None;
        }
        self.next_request += 1;
        self.operations
            .insert(self.next_request, PendingOperation { peer, reply });
        Some(self.next_request)
    }

    /// Completes an operation with its result.
    pub(super) fn end_operation(&mut self, request: u64, result: OperationResult) {
        if let Some(pending) = self.operations.remove(&request) {
            // The requester may have given up.
            let _ = pending.reply.send(result);
        }
    }

    /// Processes a frame of an answer. Returns `true` if the reader is gone or overrun, so that the call must be
    /// cancelled at the owner.
    pub(super) fn accept(&mut self, frame: AnswerFrame) -> bool {
        let id = frame.call();
        let Some(call) = self.calls.get_mut(&id) else {
            return false;
        };
        let part = match call.assembly.accept(frame) {
            AssemblyStep::Accepted | AssemblyStep::Duplicate => return false,
            AssemblyStep::Head(head) => AnswerPart::Head(head),
            AssemblyStep::Bytes(bytes) => AnswerPart::Bytes(bytes),
            AssemblyStep::End(usage) => AnswerPart::End(usage),
            AssemblyStep::Failed(problem) => AnswerPart::Failed(problem),
        };
        let is_over = matches!(part, AnswerPart::End(_) | AnswerPart::Failed(_));
        let is_read = call.pipe.push(part);
        if is_over || !is_read {
            self.calls.remove(&id);
        }
        !is_read
    }

    /// Fails all calls and operations forwarded to a peer whose link was lost.
    pub(super) fn fail_peer(&mut self, peer: PeerKey) {
        let problem =
            || ProblemReport::may_have_run(ProblemCode::OwnerUnavailable, "the link to the owner was lost");
        self.calls.retain(|_, call| {
            if call.peer == peer {
                call.pipe.push(AnswerPart::Failed(problem().retry_after(1)));
            }
            call.peer != peer
        });
        let lost: Vec<u64> = self
            .operations
            .iter()
            .filter(|(_, pending)| pending.peer == peer)
            .map(|(id, _)| *id)
            .collect();
        for request in lost {
            self.end_operation(request, Err(problem()));
        }
    }
}
