//! The actor that manages the links to other entries.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix::{Actor, ActorFutureExt, Addr, AsyncContext, Context, Recipient, WrapFuture};
use ebony_link::{LinkIdentity, LinkListener, LinkOptions, LinkReceiver, dial};
use ebony_types::{CallRequest, ProblemCode, ProblemReport};
use ebony_wire::{HeldRow, PeerFrame};
use futures_util::Stream;
use futures_util::stream::unfold;
use slog::Logger;
use slotmap::SlotMap;
use tokio::sync::oneshot;

use super::config_relay::{ConfigRecipients, ConfigRelay};
use super::copy_messages::{CopyHeld, CopyLost, CopyRow, RelinquishSession};
use super::held_rows::HeldRows;
use super::incoming::IncomingLink;
use super::messages::{
    IncomingEvent, IncomingKey, OperateProgram, OutgoingEvent, PeerLinkUp, PeerPresence, PresenceChanged,
    StartCall,
};
use super::outgoing::{ForwardedRequests, PeerRecord};
use super::router::{PeerKey, ShardRoute, ShardRouter};
use crate::answer::AnswerPipe;
use crate::dispatch::{CrashesReported, ReadCrashes};
use crate::owner::StorageClient;

/// The interval of pings on a link, and the delay before a failed dial is retried.
pub(super) const HEARTBEAT: Duration = Duration::from_millis(500);

/// Configuration and collaborators of [`PeerActor`].
pub struct PeerOptions {
    /// The identity that this process presents on its links.
    pub identity: LinkIdentity,
    /// Limits of links.
    pub link: LinkOptions,
    /// The shard routes, which this actor updates.
    pub router: ShardRouter,
    /// Starts calls that other entries forward.
    pub start: Recipient<StartCall>,
    /// Runs operations that other entries forward.
    pub operate: Recipient<OperateProgram>,
    /// Receives the presence that other entries announce.
    pub presence: Recipient<PeerPresence>,
    /// Receives confirmations that other entries hold copies of rows.
    pub copied: Recipient<CopyHeld>,
    /// Receives which copies were lost because the link to their holder was lost.
    pub lost_copies: Recipient<CopyLost>,
    /// Ends this entry's session in favour of a successor.
    pub relinquish: Recipient<RelinquishSession>,
    /// Receives crashes of targets from other entries.
    pub crashes: Recipient<CrashesReported>,
    /// Returns all unexpired crashes, for a newly linked entry.
    pub known_crashes: Recipient<ReadCrashes>,
    /// Appends the rows that this entry holds for other owners.
    pub storage: StorageClient,
    /// The process's logger.
    pub logger: Logger,
}

/// Manages the links to other entries.
pub struct PeerActor {
    pub(super) options: PeerOptions,
    pub(super) own_address: SocketAddr,
    pub(super) listener: Option<LinkListener>,
    pub(super) peers: SlotMap<PeerKey, PeerRecord>,
    pub(super) incoming: SlotMap<IncomingKey, IncomingLink>,
    pub(super) forwarded: ForwardedRequests,
    pub(super) presence: PresenceChanged,
    pub(super) relay: ConfigRelay,
    pub(super) next_generation: u64,
    pub(super) held: HeldRows,
    pub(super) pending_copy: Option<CopyRow>,
    /// The entry that confirmed the last copy, until the next copy is offered.
    pub(super) last_copy_peer: Option<PeerKey>,
    /// Entries that hold copies of this session's rows, by row number. A row is removed once it is durable.
    pub(super) copy_holders: BTreeMap<u64, PeerKey>,
    pub(super) pending_collects: HashMap<u64, oneshot::Sender<Vec<HeldRow>>>,
    pub(super) next_collect: u64,
}

impl PeerActor {
    /// Creates the actor with a bound listener.
    pub fn new(options: PeerOptions, config: ConfigRecipients, listener: LinkListener) -> Self {
        Self {
            relay: ConfigRelay::new(config),
            options,
            own_address: listener.address(),
            listener: Some(listener),
            peers: SlotMap::with_key(),
            incoming: SlotMap::with_key(),
            forwarded: ForwardedRequests::default(),
            presence: PresenceChanged::default(),
            next_generation: 0,
            held: HeldRows::default(),
            pending_copy: None,
            last_copy_peer: None,
            copy_holders: BTreeMap::new(),
            pending_collects: HashMap::new(),
            next_collect: 0,
        }
    }

    pub(super) fn presence_frame(&self) -> PeerFrame {
        PeerFrame::Presence {
            session: self.presence.session,
            is_draining: self.presence.is_draining,
            shards: self.presence.shards.clone(),
        }
    }

    pub(super) fn send(&self, peer: PeerKey, frame: &PeerFrame) -> bool {
        let sender = self.peers.get(peer).and_then(|record| record.sender.as_ref());
        sender.is_some_and(|sender| sender.send(frame).is_ok())
    }

    /// Returns the peers to which this entry has an open outgoing link.
    pub(super) fn linked_peers(&self) -> impl Iterator<Item = PeerKey> {
        let linked = self.peers.iter().filter(|(_, record)| record.sender.is_some());
        linked.map(|(peer, _)| peer)
    }

    pub(super) fn broadcast_outgoing(&self, frame: &PeerFrame) {
        for key in self.peers.keys() {
            self.send(key, frame);
        }
    }

    pub(super) fn broadcast_incoming(&self, frame: &PeerFrame) {
        for link in self.incoming.values() {
            // A full or closed link is about to be lost. The state is sent again when it is re-established.
            let _ = link.sender.send(frame);
        }
    }

    pub(super) fn dial(&self, peer: PeerKey, address: Addr<Self>) {
        let Some(record) = self.peers.get(peer) else {
            return;
        };
        let target = record.address;
        let (identity, options) = (self.options.identity.clone(), self.options.link.clone());
        actix::spawn(async move {
            let message = match dial(target, &identity, &options).await {
                Ok(link) => PeerLinkUp::Dialed(peer, link),
                Err(_) => PeerLinkUp::DialFailed(peer),
            };
            address.do_send(message);
        });
    }

    fn accept_next(&mut self, context: &mut Context<Self>) {
        let Some(mut listener) = self.listener.take() else {
            return;
        };
        let next = async move {
            let link = listener.next().await;
            (listener, link)
        };
        let next = next.into_actor(self).map(|(listener, link), actor, context| {
            actor.listener = Some(listener);
            if let Some(link) = link {
                context.notify(PeerLinkUp::Accepted(link));
                actor.accept_next(context);
            }
        });
        context.spawn(next);
    }

    fn start_forwarded(&mut self, key: IncomingKey, request: CallRequest) {
        let Some(link) = self.incoming.get_mut(key) else {
            return;
        };
        let pipe = Arc::new(AnswerPipe::new(request.call));
        link.return_answer(Arc::clone(&pipe));
        self.options.start.do_send(StartCall { request, pipe });
    }

    fn operate_forwarded(&self, key: IncomingKey, request: u64, operation: ebony_wire::ProgramOperation) {
        let Some(link) = self.incoming.get(key) else {
            return;
        };
        let (operate, sender) = (self.options.operate.clone(), link.sender.clone());
        actix::spawn(async move {
            let unavailable = || ProblemReport::not_run(ProblemCode::Overloaded, "the owner is too busy");
            let result = operate
                .send(OperateProgram(operation))
                .await
                .unwrap_or_else(|_| Err(unavailable()));
            // If the link is lost, the requester detects it by itself.
            let _ = sender.send(&PeerFrame::Operated { request, result });
        });
    }

    pub(super) fn accept_outgoing(&mut self, peer: PeerKey, frame: PeerFrame) {
        match frame {
            PeerFrame::Presence {
                session,
                is_draining,
                shards,
            } => {
                self.options.router.set_claims(ShardRoute::Peer(peer), &shards);
                let presence = Some(PresenceChanged {
                    session,
                    is_draining,
                    shards,
                });
                self.options.presence.do_send(PeerPresence { peer, presence });
            }
            PeerFrame::Answer(frame) => {
                let call = frame.call();
                if self.forwarded.accept(frame) {
                    self.send(peer, &PeerFrame::Cancel { call });
                }
            }
            PeerFrame::Operated { request, result } => self.forwarded.end_operation(request, result),
            PeerFrame::RowHeld { session, sequence } => self.record_copy_held(peer, session, sequence),
            PeerFrame::HeldRows { request, rows } => self.end_collect(request, rows),
            PeerFrame::Config(push) => self.relay.offer(push),
            PeerFrame::ConfigInForce(status) => self.relay.accept_outgoing(peer, status),
            PeerFrame::ConfigWanted { known } => {
                let sender = self.peers.get(peer).and_then(|record| record.sender.clone());
                if let Some(sender) = sender {
                    self.relay.send_missing(known, sender);
                }
            }
            _ => {}
        }
    }

    pub(super) fn accept_incoming(
        &mut self,
        key: IncomingKey,
        frame: PeerFrame,
        context: &mut Context<Self>,
    ) {
        match frame {
            PeerFrame::Forward(request) => self.start_forwarded(key, *request),
            PeerFrame::Operate { request, operation } => self.operate_forwarded(key, request, operation),
            PeerFrame::Crashes(reports) => self.options.crashes.do_send(CrashesReported(reports)),
            PeerFrame::HoldRow(row) => {
                let reply = self.hold_copy(*row);
                self.reply(key, reply);
            }
            PeerFrame::DropRows { session, durable } => self.held.drop_up_to(session, durable),
            PeerFrame::ReadHeldRows {
                request,
                session,
                after,
            } => {
                self.read_held(key, request, session, after, context);
            }
            PeerFrame::Cancel { call } => self.with_incoming(key, |link| link.cancel(call)),
            PeerFrame::Credit { call, bytes } => self.with_incoming(key, |link| link.grant(call, bytes)),
            PeerFrame::Config(push) => self.relay.offer(push),
            PeerFrame::ConfigInForce(status) => self.relay.accept_incoming(key, status),
            PeerFrame::ConfigWanted { known } => {
                if let Some(link) = self.incoming.get(key) {
                    self.relay.send_missing(known, link.sender.clone());
                }
            }
            PeerFrame::Ping { nonce } => self.with_incoming(key, |link| {
                // If the queue is full, other frames are being sent, which the peer also accepts as a sign of life.
                let _ = link.sender.send(&PeerFrame::Pong { nonce });
            }),
            _ => {}
        }
    }

    pub(super) fn reply(&mut self, key: IncomingKey, frame: Option<PeerFrame>) {
        if let Some(frame) = frame {
            // If the link is lost or full, the peer repeats its request.
            self.with_incoming(key, |link| drop(link.sender.send(&frame)));
        }
    }

    pub(super) fn with_incoming(&mut self, key: IncomingKey, action: impl FnOnce(&mut IncomingLink)) {
        if let Some(link) = self.incoming.get_mut(key) {
            action(link);
        }
    }

    pub(super) fn initial_frames(&self) -> Vec<PeerFrame> {
        vec![self.presence_frame(), self.relay.own_status_frame()]
    }
}

impl Actor for PeerActor {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        self.accept_next(context);
        self.start_copies(context);
        context.run_interval(HEARTBEAT, |actor, _| {
            actor.broadcast_outgoing(&PeerFrame::Ping { nonce: 0 })
        });
    }
}

pub(super) fn outgoing_events(
    peer: PeerKey,
    generation: u64,
    receiver: LinkReceiver<PeerFrame>,
) -> impl Stream<Item = OutgoingEvent> {
    unfold(Some(receiver), move |receiver| async move {
        let mut receiver = receiver?;
        match receiver.next().await {
            Ok(frame) => Some((
                OutgoingEvent {
                    peer,
                    generation,
                    frame: Some(frame),
                },
                Some(receiver),
            )),
            Err(_) => Some((
                OutgoingEvent {
                    peer,
                    generation,
                    frame: None,
                },
                None,
            )),
        }
    })
}

pub(super) fn incoming_events(
    key: IncomingKey,
    receiver: LinkReceiver<PeerFrame>,
) -> impl Stream<Item = IncomingEvent> {
    unfold(Some(receiver), move |receiver| async move {
        let mut receiver = receiver?;
        match receiver.next().await {
            Ok(frame) => Some((
                IncomingEvent {
                    key,
                    frame: Some(frame),
                },
                Some(receiver),
            )),
            Err(_) => Some((IncomingEvent { key, frame: None }, None)),
        }
    })
}
