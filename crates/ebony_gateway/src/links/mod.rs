//! Links to the other gateways.
//!
//! A gateway borrows the cover of a turn from the owner of the program and returns what the turn did not need. An owner
//! that does not reach the store records its requests through another gateway. Crashes, leaving targets and the limits
//! of targets are broadcast to all, and calls to limited targets get their permits from other gateways.

mod division;
mod messages;
mod quotas;
mod server;
mod streams;

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use ebony_account::{CoverOutcome, CoverRequest, TurnRequest};
use ebony_dispatch::TargetIncarnation;
use ebony_link::{LinkIdentity, LinkOptions, LinkSender, OpenLink, dial};
use ebony_types::{ClockTime, ProcessIncarnation, ProgramName, TargetName, TurnName};
use ebony_wire::{ClusterKey, CrashReport, LinkRole};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use rand::SeedableRng;
use rand::rngs::StdRng;
use slog::{Logger, info};
use tokio::sync::oneshot;
use tokio::time::{interval, sleep, timeout};

use crate::fleet::FleetView;
use crate::gateway::GatewayClock;

pub use messages::{Lending, PeerReply, PeerRequest, PeerTurn};
pub(crate) use quotas::PeerReach;
pub(crate) use server::serve;

/// The interval of pings. A link without a frame for three intervals is closed.
const PING_INTERVAL: Duration = Duration::from_secs(1);

/// The delay before the first attempt to redial a lost link. Doubles with each failure. It is short because a process
/// that was just started listens soon.
const FIRST_DIAL_DELAY: Duration = Duration::from_millis(50);

/// The maximum delay before a lost link is redialed, and between two checks of the list of gateways.
const MAX_DIAL_DELAY: Duration = Duration::from_millis(500);

/// A gateway without a link for this long is presumed to be gone. A process that is restarted after a kill listens
/// sooner.
const PRESUMED_GONE_AFTER: Duration = Duration::from_secs(1);

/// The timeout of a reply: the other gateway's timeout for the store, and the network latency.
const REPLY_TIMEOUT: Duration = Duration::from_millis(120);

/// The maximum number of requests that wait for replies on one link.
const MAX_PENDING_REQUESTS: usize = 1_024;

/// The requests on a link that wait for replies, by number.
type PendingReplies = Rc<RefCell<HashMap<u64, oneshot::Sender<PeerReply>>>>;

/// An open link that this gateway dialed.
struct DialedLink {
    /// The process at the other end.
    incarnation: ProcessIncarnation,
    sender: LinkSender<PeerRequest>,
    pending: PendingReplies,
    reaches_store: Rc<Cell<bool>>,
    /// Whether the last request for a permit or a token timed out, and nothing was received since.
    is_silent: Rc<Cell<bool>>,
    /// Whether the other gateway takes part in quotas; `None` until its first pong.
    knows_quotas: Rc<Cell<Option<bool>>>,
    /// Whether the other gateway knows of the versions of streams, by its last pong.
    knows_streams: Rc<Cell<bool>>,
}

/// The links that this gateway dialed, and those that others dialed to it.
pub(crate) struct PeerLinks {
    fleet: Rc<FleetView>,
    links: RefCell<HashMap<String, DialedLink>>,
    /// The processes of each gateway that have dialed this one. A gateway that is being replaced has two.
    accepted: RefCell<HashMap<String, Vec<ProcessIncarnation>>>,
    /// Gateways with a task that maintains a link, and the addresses that the tasks dial.
    dialed: RefCell<HashMap<String, SocketAddr>>,
    /// Since when registered gateways have had no link.
    unlinked_since: RefCell<HashMap<String, ClockTime>>,
    /// When something was last received from each gateway, on any link.
    heard: RefCell<HashMap<String, ClockTime>>,
    /// Registered gateways at whose address no process listens.
    ended: RefCell<HashSet<String>>,
    clock: GatewayClock,
    next_number: Cell<u64>,
    /// Gateways that were linked since [`PeerLinks::take_newly_linked`] was last called.
    newly_linked: RefCell<Vec<String>>,
    incarnation: ProcessIncarnation,
    logger: Logger,
}

impl PeerLinks {
    pub(crate) fn open(fleet: Rc<FleetView>, clock: GatewayClock, logger: Logger) -> Rc<Self> {
        Rc::new(Self {
            fleet,
            links: RefCell::default(),
            accepted: RefCell::default(),
            dialed: RefCell::default(),
            unlinked_since: RefCell::default(),
            heard: RefCell::default(),
            ended: RefCell::default(),
            clock,
            next_number: Cell::default(),
            newly_linked: RefCell::default(),
            incarnation: ProcessIncarnation::random(&mut StdRng::from_os_rng()),
            logger,
        })
    }

    /// Borrows the cover of a turn from the owner of its program. Returns `None` if the owner does not answer.
    pub(crate) async fn lend(&self, owner: &str, turn: &TurnRequest) -> Option<Lending> {
        let request = |number| PeerRequest::Lend {
            number,
            program: turn.program.clone(),
            budget: turn.budget,
            tokens: turn.most_tokens,
            event_tokens: turn.event_tokens,
            has_history: turn.has_history,
        };
        match self.exchange(owner, request).await {
            Some(PeerReply::Lending { lending, .. }) => Some(lending),
            _ => None,
        }
    }

    /// Returns the number of open links.
    pub(crate) fn len(&self) -> usize {
        self.links.borrow().len()
    }

    /// Returns whether there is a link to a gateway.
    pub(crate) fn is_linked(&self, peer: &str) -> bool {
        self.links.borrow().contains_key(peer)
    }

    /// Returns whether a registered gateway has had no link for so long that others act in its place; see
    /// [`PRESUMED_GONE_AFTER`].
    pub(crate) fn is_presumed_gone(&self, peer: &str) -> bool {
        let since = self.unlinked_since.borrow().get(peer).copied();
        since.is_some_and(|since| self.clock.now().since(since) >= PRESUMED_GONE_AFTER)
    }

    /// Returns the gateways that were linked since the last call.
    pub(crate) fn take_newly_linked(&self) -> Vec<String> {
        self.newly_linked.take()
    }

    /// Sends crash reports to a gateway. Reports that do not arrive can be read from the store.
    pub(crate) fn send_crashes(&self, peer: &str, reports: &[CrashReport]) {
        if let Some(link) = self.links.borrow().get(peer) {
            let request = PeerRequest::TellCrashes {
                reports: reports.to_vec(),
            };
            link.sender.send(&request).ok();
        }
    }

    /// Sends crash reports to all linked gateways.
    pub(crate) fn broadcast_crashes(&self, reports: &[CrashReport]) {
        self.broadcast(&PeerRequest::TellCrashes {
            reports: reports.to_vec(),
        });
    }

    /// Tells all linked gateways that a target is leaving. A gateway that misses this learns it from the target's
    /// answers.
    pub(crate) fn broadcast_leaving(&self, target: &TargetName, incarnation: TargetIncarnation) {
        self.broadcast(&PeerRequest::TellLeaving {
            target: target.clone(),
            born: incarnation.born,
            address: incarnation.address,
        });
    }

    fn broadcast(&self, request: &PeerRequest) {
        for link in self.links.borrow().values() {
            // A link whose queue stays full times out and is closed.
            link.sender.send(request).ok();
        }
    }

    /// Returns cover to the owner of a program. Cover that does not arrive counts as spent.
    pub(crate) fn give_back(&self, owner: &str, program: &ProgramName, budget: u64, tokens: u64) {
        let request = PeerRequest::GiveBack {
            program: program.clone(),
            budget,
            tokens,
        };
        if let Some(link) = self.links.borrow().get(owner) {
            link.sender.send(&request).ok();
        }
    }

    /// Records a request for cover through a gateway that reaches the store. Returns `None` if there is none.
    pub(crate) async fn record(&self, cover_request: &CoverRequest) -> Option<CoverOutcome> {
        let peer = self.peer_with_store()?;
        let request = |number| PeerRequest::Record {
            number,
            want: cover_request.clone(),
        };
        match self.exchange(&peer, request).await {
            Some(PeerReply::Recorded {
                granted: Some((tokens, recorded)),
                ..
            }) => Some(CoverOutcome::Granted { tokens, recorded }),
            _ => {
                self.mark_store_unreachable(&peer);
                None
            }
        }
    }

    /// Asks all linked gateways for the record of a turn. One of them that reaches the store reads it there.
    pub(crate) async fn find_turn(&self, turn: &TurnName) -> PeerTurn {
        let reader = self.peer_with_store();
        let peers: Vec<String> = self.links.borrow().keys().cloned().collect();
        let ask = |peer: String| {
            let reads_store = reader.as_ref() == Some(&peer);
            let request = move |number| PeerRequest::FindTurn {
                number,
                turn: turn.clone(),
                reads_store,
            };
            async move { self.exchange(&peer, request).await }
        };
        let mut replies: FuturesUnordered<_> = peers.into_iter().map(ask).collect();
        let mut known = PeerTurn::Unknown;
        while let Some(reply) = replies.next().await {
            match reply {
                Some(PeerReply::Turn {
                    found: found @ PeerTurn::Held(_),
                    ..
                }) => return found,
                Some(PeerReply::Turn {
                    found: PeerTurn::Absent,
                    ..
                }) => known = PeerTurn::Absent,
                _ => {}
            }
        }
        known
    }

    /// Asks one gateway for the record of a turn, which it looks up in memory only.
    pub(crate) async fn find_turn_at(&self, peer: &str, turn: &TurnName) -> PeerTurn {
        let request = |number| PeerRequest::FindTurn {
            number,
            turn: turn.clone(),
            reads_store: false,
        };
        match self.exchange(peer, request).await {
            Some(PeerReply::Turn { found, .. }) => found,
            _ => PeerTurn::Unknown,
        }
    }

    /// Sends the record of a turn to a gateway. A record that does not arrive is read from the store when needed.
    pub(crate) fn share_turn(&self, peer: &str, turn: &TurnName, record: &Bytes) {
        let request = PeerRequest::ShareTurn {
            turn: turn.clone(),
            record: record.clone(),
        };
        if let Some(link) = self.links.borrow().get(peer) {
            link.sender.send(&request).ok();
        }
    }

    /// Writes the record of a turn through a gateway that reaches the store. Returns whether the store has the record.
    pub(crate) async fn record_turn(&self, turn: &TurnName, record: &Bytes) -> bool {
        let Some(peer) = self.peer_with_store() else {
            return false;
        };
        let request = |number| PeerRequest::KeepTurn {
            number,
            turn: turn.clone(),
            record: record.clone(),
        };
        let reply = self.exchange(&peer, request).await;
        let is_kept = matches!(reply, Some(PeerReply::Kept { is_kept: true, .. }));
        if !is_kept {
            self.mark_store_unreachable(&peer);
        }
        is_kept
    }

    /// Marks a gateway as one that does not reach the store, until its next pong says otherwise.
    fn mark_store_unreachable(&self, peer: &str) {
        if let Some(link) = self.links.borrow().get(peer) {
            link.reaches_store.set(false);
        }
    }

    /// Returns whether a linked gateway reports that it reaches the store.
    pub(crate) fn reaches_store(&self) -> bool {
        self.peer_with_store().is_some()
    }

    /// Returns the number of linked gateways that report that they reach the store.
    pub(crate) fn count_reaching_store(&self) -> usize {
        let links = self.links.borrow();
        links.values().filter(|link| link.reaches_store.get()).count()
    }

    /// Returns whether no linked gateway reaches the store, and at least half of the other gateways are linked.
    pub(crate) fn is_store_unreachable_for_all(&self) -> bool {
        let others = self.fleet.peers().len();
        !self.reaches_store() && self.links.borrow().len() * 2 >= others
    }

    fn peer_with_store(&self) -> Option<String> {
        let links = self.links.borrow();
        let peer = links.iter().find(|(_, link)| link.reaches_store.get())?;
        Some(peer.0.clone())
    }

    /// Sends a request and waits for its reply, [`REPLY_TIMEOUT`] at most.
    async fn exchange(&self, peer: &str, request: impl FnOnce(u64) -> PeerRequest) -> Option<PeerReply> {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let (reply_sender, reply_receiver) = oneshot::channel();
        let pending = {
            let links = self.links.borrow();
            let link = links.get(peer)?;
            if link.pending.borrow().len() >= MAX_PENDING_REQUESTS {
                return None;
            }
            link.sender.send(&request(number)).ok()?;
            link.pending.borrow_mut().insert(number, reply_sender);
            Rc::clone(&link.pending)
        };
        let reply = timeout(REPLY_TIMEOUT, reply_receiver).await;
        pending.borrow_mut().remove(&number);
        reply.ok()?.ok()
    }

    /// Maintains a link to every registered gateway.
    pub(crate) async fn maintain_links(self: Rc<Self>) {
        loop {
            for (name, address) in self.fleet.peers() {
                let is_dialed = self.dialed.borrow().get(&name) == Some(&address);
                if !is_dialed {
                    self.dialed.borrow_mut().insert(name.clone(), address);
                    self.mark_unlinked(&name);
                    tokio::task::spawn_local(Rc::clone(&self).maintain_link(name, address));
                }
            }
            // A change of the list ends the wait early.
            timeout(MAX_DIAL_DELAY, self.fleet.changed.notified()).await.ok();
        }
    }

    /// Dials one gateway, and redials it after each loss of the link, as long as it is registered at this address.
    async fn maintain_link(self: Rc<Self>, name: String, address: SocketAddr) {
        let mut delay = FIRST_DIAL_DELAY;
        while self.fleet.peers().contains(&(name.clone(), address)) {
            if let Some(key) = self.fleet.cluster_key() {
                let identity = identity(key, self.fleet.process(), self.incarnation);
                match dial(address, &identity, &LinkOptions::default()).await {
                    Ok(link) => {
                        self.ended.borrow_mut().remove(&name);
                        info!(self.logger, "link opened"; "peer" => &name);
                        self.run_link(&name, link).await;
                        info!(self.logger, "link lost"; "peer" => &name);
                        delay = FIRST_DIAL_DELAY;
                    }
                    Err(error) => self.record_dial_error(&name, &error),
                }
            }
            sleep(delay).await;
            delay = (delay * 2).min(MAX_DIAL_DELAY);
        }
        let mut dialed = self.dialed.borrow_mut();
        if dialed.get(&name) == Some(&address) {
            dialed.remove(&name);
            self.ended.borrow_mut().remove(&name);
            self.unlinked_since.borrow_mut().remove(&name);
        }
    }

    async fn run_link(&self, name: &str, link: OpenLink) {
        let incarnation = link.peer().incarnation;
        let (sender, mut receiver) = link.split::<PeerRequest, PeerReply>();
        let pending = PendingReplies::default();
        let reaches_store = Rc::new(Cell::new(false));
        let is_silent = Rc::new(Cell::new(false));
        let knows_quotas = Rc::new(Cell::new(None));
        let knows_streams = Rc::new(Cell::new(false));
        let entry = DialedLink {
            incarnation,
            sender: sender.clone(),
            pending: Rc::clone(&pending),
            reaches_store: Rc::clone(&reaches_store),
            is_silent: Rc::clone(&is_silent),
            knows_quotas: Rc::clone(&knows_quotas),
            knows_streams: Rc::clone(&knows_streams),
        };
        self.links.borrow_mut().insert(name.to_owned(), entry);
        self.unlinked_since.borrow_mut().remove(name);
        self.newly_linked.borrow_mut().push(name.to_owned());
        let receiving = async {
            while let Ok(reply) = receiver.next().await {
                is_silent.set(false);
                self.record_heard(name);
                match reply {
                    PeerReply::Pong {
                        reaches_store: reaches,
                        knows_quotas: knows,
                        knows_streams: knows_versions,
                    } => {
                        reaches_store.set(reaches);
                        knows_quotas.set(Some(knows));
                        knows_streams.set(knows_versions);
                    }
                    reply => {
                        let number = reply.number();
                        let waiting = number.and_then(|number| pending.borrow_mut().remove(&number));
                        // The request may have timed out meanwhile; tokens that were lent then count as spent.
                        if let Some(reply_sender) = waiting {
                            reply_sender.send(reply).ok();
                        }
                    }
                }
            }
        };
        let pinging = async {
            let mut ticks = interval(PING_INTERVAL);
            while sender.send(&PeerRequest::Ping).is_ok() {
                ticks.tick().await;
            }
        };
        tokio::select! {
            () = receiving => {}
            () = pinging => {}
        }
        self.end_link(name, &pending);
    }

    /// Removes a link that ended, unless another one to the same gateway has taken its place, as happens when a gateway
    /// is started again at another address before its earlier process ends.
    fn end_link(&self, name: &str, pending: &PendingReplies) {
        let mut links = self.links.borrow_mut();
        let is_current = links
            .get(name)
            .is_some_and(|link| Rc::ptr_eq(&link.pending, pending));
        if is_current {
            links.remove(name);
            self.mark_unlinked(name);
        }
    }

    fn mark_unlinked(&self, name: &str) {
        let now = self.clock.now();
        self.unlinked_since.borrow_mut().insert(name.to_owned(), now);
    }
}

fn identity(key: ClusterKey, process: &str, incarnation: ProcessIncarnation) -> LinkIdentity {
    LinkIdentity {
        key,
        process: process.to_owned(),
        role: LinkRole::Entry,
        incarnation,
    }
}
