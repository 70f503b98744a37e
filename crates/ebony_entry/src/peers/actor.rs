//! The actor that holds the links to other entries.

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

use super::config_news::{ConfigNews, ConfigRecipients};
use super::copy_messages::{CopyHeld, CopyLost, CopyRow, SurrenderSession};
use super::held_rows::HeldRows;
use super::incoming::IncomingLink;
use super::messages::{
    IncomingEvent, IncomingKey, OperateProgram, OutgoingEvent, PeerLinkUp, PeerPresence, PresenceChanged,
    StartCall,
};
use super::outgoing::{ForwardedWork, PeerRecord};
use super::router::{PeerKey, ShardRoute, ShardRouter};
use crate::answer::AnswerPipe;
use crate::dispatch::{CrashesReported, ReadCrashes};
use crate::owner::StorageClient;

/// The time between two pings on a link, and the least time between two dials.
pub(super) const HEARTBEAT: Duration = Duration::from_millis(500);

/// What the peer actor needs to run.
pub struct PeerOptions {
    /// Who this process is on its links.
    pub identity: LinkIdentity,
    /// Limits of links.
    pub link: LinkOptions,
    /// The routes that the actor keeps.
    pub router: ShardRouter,
    /// Starts calls that other entries forward.
    pub start: Recipient<StartCall>,
    /// Runs operations that other entries forward.
    pub operate: Recipient<OperateProgram>,
    /// Receives what other entries say of themselves.
    pub presence: Recipient<PeerPresence>,
    /// Receives which copies of rows other entries hold.
    pub copied: Recipient<CopyHeld>,
    /// Receives which copies are lost with the entry that held them.
    pub lost_copies: Recipient<CopyLost>,
    /// Ends this entry's session in favour of a successor.
    pub surrender: Recipient<SurrenderSession>,
    /// Receives crashes of targets from other entries.
    pub crashes: Recipient<CrashesReported>,
    /// Returns the crashes that count, for an entry that has just been linked.
    pub known_crashes: Recipient<ReadCrashes>,
    /// Appends rows that this entry holds for others.
    pub storage: StorageClient,
    /// The process's logger.
    pub logger: Logger,
}

/// Holds the links to other entries.
pub struct PeerActor {
    pub(super) options: PeerOptions,
    pub(super) own_address: SocketAddr,
    pub(super) listener: Option<LinkListener>,
    pub(super) peers: SlotMap<PeerKey, PeerRecord>,
    pub(super) incoming: SlotMap<IncomingKey, IncomingLink>,
    pub(super) work: ForwardedWork,
    pub(super) presence: PresenceChanged,
    pub(super) news: ConfigNews,
    pub(super) next_generation: u64,
    pub(super) held: HeldRows,
    pub(super) copy: Option<CopyRow>,
    /// The entry that confirmed the last copy.
    pub(super) copy_peer: Option<PeerKey>,
    /// Entries that hold copies of this session's rows; rows leave when they are durable.
    pub(super) copied_at: BTreeMap<u64, PeerKey>,
    pub(super) collects: HashMap<u64, oneshot::Sender<Vec<HeldRow>>>,
    pub(super) next_collect: u64,
}

impl PeerActor {
    /// Creates the actor with a listener that is already bound.
    pub fn new(options: PeerOptions, config: ConfigRecipients, listener: LinkListener) -> Self {
        Self {
            news: ConfigNews::new(config),
            options,
            own_address: listener.address(),
            listener: Some(listener),
            peers: SlotMap::with_key(),
            incoming: SlotMap::with_key(),
            work: ForwardedWork::default(),
            presence: PresenceChanged::default(),
            next_generation: 0,
            held: HeldRows::default(),
            copy: None,
            copy_peer: None,
            copied_at: BTreeMap::new(),
            collects: HashMap::new(),
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

    /// Returns the peers whose dialed link is open.
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
            // A link that is full or closed is about to be lost; the news goes out again when it is back.
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
            // The requester learns of a lost link by itself.
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
                if self.work.accept(frame) {
                    self.send(peer, &PeerFrame::Cancel { call });
                }
            }
            PeerFrame::Operated { request, result } => self.work.end_operation(request, result),
            PeerFrame::RowHeld { session, sequence } => self.accept_held(peer, session, sequence),
            PeerFrame::HeldRows { request, rows } => self.end_collect(request, rows),
            PeerFrame::Config(push) => self.news.offer(push),
            PeerFrame::ConfigInForce(status) => self.news.accept_outgoing(peer, status),
            PeerFrame::ConfigWanted { known } => {
                let sender = self.peers.get(peer).and_then(|record| record.sender.clone());
                if let Some(sender) = sender {
                    self.news.answer(known, sender);
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
                let reply = self.accept_copy(*row);
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
            PeerFrame::Config(push) => self.news.offer(push),
            PeerFrame::ConfigInForce(status) => self.news.accept_incoming(key, status),
            PeerFrame::ConfigWanted { known } => {
                if let Some(link) = self.incoming.get(key) {
                    self.news.answer(known, link.sender.clone());
                }
            }
            PeerFrame::Ping { nonce } => self.with_incoming(key, |link| {
                // A full queue means that the link is busy, which is a sign of life as well.
                let _ = link.sender.send(&PeerFrame::Pong { nonce });
            }),
            _ => {}
        }
    }

    pub(super) fn reply(&mut self, key: IncomingKey, frame: Option<PeerFrame>) {
        if let Some(frame) = frame {
            // A sender whose link is lost or full asks again.
            self.with_incoming(key, |link| drop(link.sender.send(&frame)));
        }
    }

    pub(super) fn with_incoming(&mut self, key: IncomingKey, action: impl FnOnce(&mut IncomingLink)) {
        if let Some(link) = self.incoming.get_mut(key) {
            action(link);
        }
    }

    pub(super) fn greet(&self) -> Vec<PeerFrame> {
        vec![self.presence_frame(), self.news.greeting()]
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
