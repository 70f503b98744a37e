//! Message handlers of the peer actor.

use std::sync::Arc;

use actix::{AsyncContext, Context, Handler, ResponseFuture};
use ebony_types::{ProblemCode, ProblemReport};
use ebony_wire::PeerFrame;
use slog::{info, warn};
use tokio::sync::oneshot;

use super::actor::{HEARTBEAT, PeerActor, incoming_events, outgoing_events};
use super::incoming::IncomingLink;
use super::messages::{
    ForwardCall, ForwardOperation, IncomingEvent, OperationResult, OutgoingEvent, PeerLinkUp, PeerPresence,
    PeersListed, PresenceChanged,
};
use super::outgoing::PeerRecord;
use super::router::ShardRoute;
use crate::answer::{AnswerPart, CancelCall, CreditGrant};

impl Handler<PeersListed> for PeerActor {
    type Result = ();

    fn handle(&mut self, PeersListed(addresses): PeersListed, context: &mut Context<Self>) {
        for record in self.peers.values_mut() {
            record.is_listed = addresses.contains(&record.address);
        }
        // Removes peers that are neither listed nor linked.
        self.peers
            .retain(|_, record| record.is_listed || record.sender.is_some());
        for address in addresses {
            let is_known = self.peers.values().any(|record| record.address == address);
            if is_known || address == self.own_address {
                continue;
            }
            let record = PeerRecord {
                address,
                sender: None,
                generation: 0,
                is_listed: true,
            };
            let peer = self.peers.insert(record);
            self.dial(peer, context.address());
        }
        self.relay.list(self.peers.keys());
    }
}

impl Handler<PeerLinkUp> for PeerActor {
    type Result = ();

    fn handle(&mut self, message: PeerLinkUp, context: &mut Context<Self>) {
        match message {
            PeerLinkUp::Accepted(link) => {
                let (sender, receiver) = link.split();
                for frame in self.initial_frames() {
                    // Can't fail: the queue of a new link has room for the initial frames.
                    let _ = sender.send(&frame);
                }
                let key = self.incoming.insert(IncomingLink::new(sender));
                context.add_message_stream(incoming_events(key, receiver));
            }
            PeerLinkUp::Dialed(peer, link) => {
                self.next_generation += 1;
                let generation = self.next_generation;
                let Some(record) = self.peers.get_mut(peer) else {
                    return;
                };
                info!(self.options.logger, "link to entry opened"; "peer" => &link.peer().process);
                let (sender, receiver) = link.split();
                record.sender = Some(sender);
                record.generation = generation;
                context.add_message_stream(outgoing_events(peer, generation, receiver));
                for frame in self.initial_frames() {
                    self.send(peer, &frame);
                }
                self.send_known_crashes(peer);
            }
            PeerLinkUp::DialFailed(peer) => {
                self.relay.record_report(peer);
                context.run_later(HEARTBEAT, move |actor, context| {
                    actor.dial(peer, context.address())
                });
            }
        }
    }
}

impl Handler<OutgoingEvent> for PeerActor {
    type Result = ();

    fn handle(&mut self, event: OutgoingEvent, context: &mut Context<Self>) {
        let peer = event.peer;
        if self
            .peers
            .get(peer)
            .is_none_or(|record| record.generation != event.generation)
        {
            return;
        }
        match event.frame {
            Some(frame) => self.accept_outgoing(peer, frame),
            None => {
                warn!(self.options.logger, "link to entry lost");
                self.relay.record_report(peer);
                if let Some(record) = self.peers.get_mut(peer) {
                    record.sender = None;
                }
                self.options.router.set_claims(ShardRoute::Peer(peer), &[]);
                self.forwarded.fail_peer(peer);
                self.replace_lost_copies(peer);
                self.options
                    .presence
                    .do_send(PeerPresence { peer, presence: None });
                self.dial(peer, context.address());
            }
        }
    }
}

impl Handler<IncomingEvent> for PeerActor {
    type Result = ();

    fn handle(&mut self, event: IncomingEvent, context: &mut Context<Self>) {
        match event.frame {
            Some(frame) => self.accept_incoming(event.key, frame, context),
            None => {
                self.relay.forget(event.key);
                if let Some(mut link) = self.incoming.remove(event.key) {
                    link.cancel_all();
                }
            }
        }
    }
}

impl Handler<ForwardCall> for PeerActor {
    type Result = ();

    fn handle(&mut self, message: ForwardCall, context: &mut Context<Self>) {
        let ForwardCall { peer, request, pipe } = message;
        let call = pipe.call();
        pipe.set_credit(context.address().recipient::<CreditGrant>());
        pipe.set_cancel(context.address().recipient::<CancelCall>());
        if !self.forwarded.add_call(peer, Arc::clone(&pipe)) {
            let problem = ProblemReport::not_run(ProblemCode::Overloaded, "too many calls are under way");
            pipe.push(AnswerPart::Failed(problem.retry_after(1)));
            return;
        }
        if !self.send(peer, &PeerFrame::Forward(Box::new(request))) {
            self.forwarded.remove_call(call);
            let problem = ProblemReport::not_run(ProblemCode::OwnerUnavailable, "the owner is not reachable");
            pipe.push(AnswerPart::Failed(problem.retry_after(1)));
        }
    }
}

impl Handler<ForwardOperation> for PeerActor {
    type Result = ResponseFuture<OperationResult>;

    fn handle(&mut self, message: ForwardOperation, _: &mut Context<Self>) -> Self::Result {
        let (reply, result) = oneshot::channel();
        let not_run =
            |detail| Err(ProblemReport::not_run(ProblemCode::OwnerUnavailable, detail).retry_after(1));
        let Some(request) = self.forwarded.add_operation(message.peer, reply) else {
            return Box::pin(async move { not_run("too many operations are under way") });
        };
        if !self.send(
            message.peer,
            &PeerFrame::Operate {
                request,
                operation: message.operation,
            },
        ) {
            self.forwarded
                .end_operation(request, not_run("the owner is not reachable"));
        }
        Box::pin(async move {
            result
                .await
                .unwrap_or_else(|_| not_run("the owner is not reachable"))
        })
    }
}

impl Handler<CancelCall> for PeerActor {
    type Result = ();

    fn handle(&mut self, CancelCall { call }: CancelCall, _: &mut Context<Self>) {
        let peer = self.forwarded.peer_of(call);
        self.forwarded.remove_call(call);
        if let Some(peer) = peer {
            self.send(peer, &PeerFrame::Cancel { call });
        }
    }
}

impl Handler<CreditGrant> for PeerActor {
    type Result = ();

    fn handle(&mut self, CreditGrant { call, bytes }: CreditGrant, _: &mut Context<Self>) {
        if let Some(peer) = self.forwarded.peer_of(call) {
            self.send(peer, &PeerFrame::Credit { call, bytes });
        }
    }
}

impl Handler<PresenceChanged> for PeerActor {
    type Result = ();

    fn handle(&mut self, presence: PresenceChanged, _: &mut Context<Self>) {
        self.options
            .router
            .set_claims(ShardRoute::Local, &presence.shards);
        self.presence = presence;
        self.broadcast_incoming(&self.presence_frame());
    }
}
