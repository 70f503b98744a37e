//! Links to the other gateways.
//!
//! A gateway asks the owner of a program for the cover of a turn and gives back what the turn did not need. An owner that
//! does not reach the store has another gateway record its requests.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ebony_account::{CoverOutcome, CoverWant, LentCover, TurnRequest};
use ebony_link::{LinkIdentity, LinkListener, LinkOptions, LinkReceiver, LinkSender, OpenLink, dial};
use ebony_types::{ClockTime, ProcessIncarnation, ProgramName};
use ebony_wire::{ClusterKey, LinkRole};
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::{Deserialize, Serialize};
use slog::{Logger, info, warn};
use tokio::sync::oneshot;
use tokio::time::{interval, sleep, timeout};

use crate::fleet::FleetView;
use crate::gateway::{Gateway, GatewayClock};
use crate::open_turn::CoverError;

/// The time between two pings. A link without a frame for three times as long is closed.
const PING_INTERVAL: Duration = Duration::from_secs(1);

/// The pause before a lost link is dialed again. Doubles with each failure: a process that was just started listens soon.
const FIRST_DIAL_PAUSE: Duration = Duration::from_millis(50);

/// The longest pause before a lost link is dialed again, and between two looks at the list of gateways.
const DIAL_PAUSE: Duration = Duration::from_millis(500);

/// A gateway without a link for this long is taken to be gone for now. A process that was killed listens again sooner.
const GONE_AFTER: Duration = Duration::from_secs(1);

/// The longest wait for an answer: the other gateway's own wait for the store, and the way.
const REPLY_TIMEOUT: Duration = Duration::from_millis(120);

/// Requests that wait for an answer on one link.
const MOST_PENDING: usize = 1_024;

/// What a gateway asks another one.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum PeerRequest {
    /// Keeps the link alive.
    Ping,
    /// Asks the owner of a program for cover of a turn.
    Lend {
        /// Matches the answer.
        number: u64,
        /// The program.
        program: ProgramName,
        /// The program's budget in tokens.
        budget: u64,
        /// The tokens to cover.
        tokens: u64,
        /// Tokens that one event stands for.
        event_tokens: u64,
        /// Whether the turn's prompt shows earlier turns.
        has_history: bool,
    },
    /// Gives cover back that a turn did not need.
    GiveBack {
        /// The program.
        program: ProgramName,
        /// The tokens.
        tokens: u64,
    },
    /// Asks a gateway that reaches the store to record a request.
    Record {
        /// Matches the answer.
        number: u64,
        /// The request.
        want: CoverWant,
    },
}

/// What a gateway answers to a request for cover: the tokens that the asking gateway may hand on, or why there are none.
pub type Lending = std::result::Result<LentCover, CoverError>;

/// What a gateway answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum PeerReply {
    /// Answers a ping.
    Pong {
        /// Whether the answering gateway reaches the store.
        reaches_store: bool,
    },
    /// Answers a request for cover.
    Lending {
        /// The number of the request.
        number: u64,
        /// The answer.
        lending: Lending,
    },
    /// Answers a request to record.
    Recorded {
        /// The number of the request.
        number: u64,
        /// The tokens that were granted and all that are recorded, or `None` if the store does not answer.
        granted: Option<(u64, u64)>,
    },
}

/// Requests on a link that wait for their answers.
type PendingReplies = Rc<RefCell<HashMap<u64, oneshot::Sender<PeerReply>>>>;

/// An open link that this gateway dialed.
struct DialedLink {
    sender: LinkSender<PeerRequest>,
    pending: PendingReplies,
    reaches_store: Rc<Cell<bool>>,
}

/// The links that this gateway dialed.
pub(crate) struct PeerLinks {
    fleet: Rc<FleetView>,
    links: RefCell<HashMap<String, DialedLink>>,
    /// Gateways that a task dials or holds a link to.
    dialed: RefCell<HashMap<String, SocketAddr>>,
    /// Since when registered gateways have had no link.
    unlinked_since: RefCell<HashMap<String, ClockTime>>,
    clock: GatewayClock,
    next_number: Cell<u64>,
    has_opened: Cell<bool>,
    incarnation: ProcessIncarnation,
    logger: Logger,
}

impl PeerLinks {
    pub(crate) fn open(fleet: Rc<FleetView>, clock: GatewayClock, logger: Logger) -> Rc<Self> {
        Rc::new(Self {
            fleet,
            links: RefCell::default(),
            dialed: RefCell::default(),
            unlinked_since: RefCell::default(),
            clock,
            next_number: Cell::default(),
            has_opened: Cell::default(),
            incarnation: ProcessIncarnation::random(&mut StdRng::from_os_rng()),
            logger,
        })
    }

    /// Asks the owner of a program for cover. `None` if it does not answer.
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

    /// Returns whether there is a link to a gateway.
    pub(crate) fn is_linked(&self, peer: &str) -> bool {
        self.links.borrow().contains_key(peer)
    }

    /// Returns whether a registered gateway has had no link for so long that others act in its place.
    pub(crate) fn is_gone(&self, peer: &str) -> bool {
        let since = self.unlinked_since.borrow().get(peer).copied();
        since.is_some_and(|since| self.clock.now().since(since) >= GONE_AFTER)
    }

    /// Returns whether a link was opened since the last call.
    pub(crate) fn take_opened(&self) -> bool {
        self.has_opened.take()
    }

    /// Gives cover back to the owner of a program. Cover that does not arrive counts as spent.
    pub(crate) fn give_back(&self, owner: &str, program: &ProgramName, tokens: u64) {
        let request = PeerRequest::GiveBack {
            program: program.clone(),
            tokens,
        };
        if let Some(link) = self.links.borrow().get(owner) {
            link.sender.send(&request).ok();
        }
    }

    /// Has a gateway record a request that reaches the store. `None` if there is none.
    pub(crate) async fn record(&self, want: &CoverWant) -> Option<CoverOutcome> {
        let peer = self.peer_with_store()?;
        let request = |number| PeerRequest::Record {
            number,
            want: want.clone(),
        };
        match self.exchange(&peer, request).await {
            Some(PeerReply::Recorded {
                granted: Some((tokens, recorded)),
                ..
            }) => Some(CoverOutcome::Granted { tokens, recorded }),
            _ => {
                if let Some(link) = self.links.borrow().get(&peer) {
                    link.reaches_store.set(false);
                }
                None
            }
        }
    }

    /// Returns whether a linked gateway says that it reaches the store.
    pub(crate) fn reaches_store(&self) -> bool {
        self.peer_with_store().is_some()
    }

    /// Returns whether no gateway reaches the store, as far as at least half of the others say.
    pub(crate) fn is_store_lost_to_all(&self) -> bool {
        let others = self.fleet.peers().len();
        !self.reaches_store() && self.links.borrow().len() * 2 >= others
    }

    fn peer_with_store(&self) -> Option<String> {
        let links = self.links.borrow();
        let peer = links.iter().find(|(_, link)| link.reaches_store.get())?;
        Some(peer.0.clone())
    }

    async fn exchange(&self, peer: &str, request: impl FnOnce(u64) -> PeerRequest) -> Option<PeerReply> {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let (answered, answer) = oneshot::channel();
        let pending = {
            let links = self.links.borrow();
            let link = links.get(peer)?;
            if link.pending.borrow().len() >= MOST_PENDING {
                return None;
            }
            link.sender.send(&request(number)).ok()?;
            link.pending.borrow_mut().insert(number, answered);
            Rc::clone(&link.pending)
        };
        let reply = timeout(REPLY_TIMEOUT, answer).await;
        pending.borrow_mut().remove(&number);
        reply.ok()?.ok()
    }

    /// Keeps a link to every registered gateway.
    pub(crate) async fn keep_dialed(self: Rc<Self>) {
        loop {
            for (name, address) in self.fleet.peers() {
                let is_dialed = self.dialed.borrow().get(&name) == Some(&address);
                if !is_dialed {
                    self.dialed.borrow_mut().insert(name.clone(), address);
                    self.record_unlinked(&name);
                    tokio::task::spawn_local(Rc::clone(&self).keep_link(name, address));
                }
            }
            // The list is looked at again when it changes.
            timeout(DIAL_PAUSE, self.fleet.changed.notified()).await.ok();
        }
    }

    /// Dials one gateway again and again, as long as it is registered at this address.
    async fn keep_link(self: Rc<Self>, name: String, address: SocketAddr) {
        let mut pause = FIRST_DIAL_PAUSE;
        while self.fleet.peers().contains(&(name.clone(), address)) {
            if let Some(key) = self.fleet.cluster_key() {
                let identity = identity(key, self.fleet.process(), self.incarnation);
                if let Ok(link) = dial(address, &identity, &LinkOptions::default()).await {
                    info!(self.logger, "link opened"; "peer" => &name);
                    self.run_link(&name, link).await;
                    info!(self.logger, "link lost"; "peer" => &name);
                    pause = FIRST_DIAL_PAUSE;
                }
            }
            sleep(pause).await;
            pause = (pause * 2).min(DIAL_PAUSE);
        }
        let mut dialed = self.dialed.borrow_mut();
        if dialed.get(&name) == Some(&address) {
            dialed.remove(&name);
            self.unlinked_since.borrow_mut().remove(&name);
        }
    }

    async fn run_link(&self, name: &str, link: OpenLink) {
        let (sender, mut receiver) = link.split::<PeerRequest, PeerReply>();
        let pending = PendingReplies::default();
        let reaches_store = Rc::new(Cell::new(false));
        let entry = DialedLink {
            sender: sender.clone(),
            pending: Rc::clone(&pending),
            reaches_store: Rc::clone(&reaches_store),
        };
        self.links.borrow_mut().insert(name.to_owned(), entry);
        self.unlinked_since.borrow_mut().remove(name);
        self.has_opened.set(true);
        let receiving = async {
            while let Ok(reply) = receiver.next().await {
                match reply {
                    PeerReply::Pong {
                        reaches_store: reaches,
                    } => reaches_store.set(reaches),
                    PeerReply::Lending { number, .. } | PeerReply::Recorded { number, .. } => {
                        // The asking turn may have ended meanwhile; the tokens then count as spent.
                        if let Some(answered) = pending.borrow_mut().remove(&number) {
                            answered.send(reply).ok();
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
        self.links.borrow_mut().remove(name);
        self.record_unlinked(name);
    }

    fn record_unlinked(&self, name: &str) {
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

/// Answers the requests of other gateways.
pub(crate) async fn serve(gateway: Rc<Gateway>, address: SocketAddr) {
    let key = loop {
        match gateway.fleet.cluster_key() {
            Some(key) => break key,
            None => sleep(FIRST_DIAL_PAUSE).await,
        }
    };
    let identity = identity(key, gateway.fleet.process(), gateway.links.incarnation);
    let mut listener = loop {
        match LinkListener::bind(address, identity.clone(), LinkOptions::default()).await {
            Ok(listener) => break listener,
            Err(error) => {
                warn!(gateway.logger, "cannot listen for links"; "address" => %address, "error" => %error);
                sleep(DIAL_PAUSE).await;
            }
        }
    };
    while let Some(link) = listener.next().await {
        let (sender, receiver) = link.split();
        tokio::task::spawn_local(answer(Rc::clone(&gateway), sender, receiver));
    }
}

async fn answer(
    gateway: Rc<Gateway>,
    sender: LinkSender<PeerReply>,
    mut receiver: LinkReceiver<PeerRequest>,
) {
    while let Ok(request) = receiver.next().await {
        let accounts = Rc::clone(&gateway.accounts);
        let sender = sender.clone();
        // An answer that cannot be queued leaves the tokens spent; a link whose queue is full is closed by its silence.
        match request {
            PeerRequest::Ping => {
                let reaches_store = accounts.serves_relays();
                sender.send(&PeerReply::Pong { reaches_store }).ok();
            }
            PeerRequest::GiveBack { program, tokens } => accounts.take_back(&program, tokens),
            PeerRequest::Record { number, want } => {
                tokio::task::spawn_local(async move {
                    let granted = match accounts.record_for(&want).await {
                        Some(CoverOutcome::Granted { tokens, recorded }) => Some((tokens, recorded)),
                        _ => None,
                    };
                    sender.send(&PeerReply::Recorded { number, granted }).ok();
                });
            }
            PeerRequest::Lend {
                number,
                program,
                budget,
                tokens,
                event_tokens,
                has_history,
            } => {
                let turn = TurnRequest {
                    program,
                    budget,
                    most_tokens: tokens,
                    event_tokens,
                    has_history,
                };
                tokio::task::spawn_local(async move {
                    let lending = accounts.lend(&turn).await;
                    sender.send(&PeerReply::Lending { number, lending }).ok();
                });
            }
        }
    }
}
