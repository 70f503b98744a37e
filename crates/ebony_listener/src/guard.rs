//! Admits the connections of a port within its limits, and closes those that exceed them.

use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::{Instant, sleep};

use crate::acceptor::PortEvent;
use crate::budget::MemoryBudget;
use crate::connection::{ConnectionState, YieldRank};
use crate::guarded_stream::GuardedStream;

/// What one connection is charged: the buffers and the task of the HTTP library, a head of usual size, requests that were
/// read ahead, and an answer that waits to be written.
const CONNECTION_BYTES: usize = 32 * 1024;

/// The interval at which time limits are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Why a port closed a connection or made a body yield.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// A head was incomplete while a new connection needed room.
    SlowHead,
    /// The connection was idle while a new one needed room.
    Idle,
    /// A body made no progress while another body or connection needed room.
    StalledBody,
    /// Further requests were sent before the answer to the first one while a new connection needed room.
    RequestsAhead,
    /// An answer was not taken while a new connection needed room.
    UnreadAnswer,
    /// No memory was left for a long head.
    HeadMemory,
    /// A head took too long.
    HeadTime,
    /// Nothing of an answer was taken for too long.
    AnswerTime,
}

impl CloseReason {
    /// Returns the reason as a label of metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::SlowHead => "slow_head",
            Self::Idle => "idle",
            Self::StalledBody => "stalled_body",
            Self::RequestsAhead => "requests_ahead",
            Self::UnreadAnswer => "unread_answer",
            Self::HeadMemory => "head_memory",
            Self::HeadTime => "head_time",
            Self::AnswerTime => "answer_time",
        }
    }
}

/// The time limits of connections.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionTimes {
    /// How long a connection may be without a request.
    pub idle: Duration,
    /// The longest time for the head of a request.
    pub head: Duration,
    /// How long the caller may take nothing of a waiting answer.
    pub answer: Duration,
}

/// The limits of a port that is open to callers that are not controlled.
pub struct PortGuard {
    pub(crate) budget: MemoryBudget,
    pub(crate) times: ConnectionTimes,
    max_connections: usize,
    connections: RefCell<Vec<Weak<ConnectionState>>>,
    has_closed_one: Cell<bool>,
    on_event: Box<dyn Fn(PortEvent)>,
}

impl PortGuard {
    /// Opens the limits of a port.
    pub fn open(
        budget: MemoryBudget,
        max_connections: usize,
        times: ConnectionTimes,
        on_event: impl Fn(PortEvent) + 'static,
    ) -> Rc<Self> {
        Rc::new(Self {
            budget,
            times,
            max_connections,
            connections: RefCell::default(),
            has_closed_one: Cell::default(),
            on_event: Box::new(on_event),
        })
    }

    pub(crate) fn report(&self, event: PortEvent) {
        (self.on_event)(event);
    }

    pub(crate) fn report_closed(&self, reason: CloseReason) {
        self.report(PortEvent::Closed(reason));
    }

    /// Admits a connection, in place of another one if there is no room. Returns `None` if nothing yields.
    pub(crate) fn admit(self: &Rc<Self>, stream: TcpStream, open: usize) -> Option<GuardedStream> {
        let charge = match self.budget.try_charge(CONNECTION_BYTES) {
            Some(charge) if open < self.max_connections => charge,
            _ if self.close_one() => self.budget.charge(CONNECTION_BYTES),
            _ => return None,
        };
        let state = ConnectionState::open(Rc::clone(self), charge);
        let mut connections = self.connections.borrow_mut();
        // The table is cleaned whenever it would have to grow.
        if connections.len() == connections.capacity() {
            connections.retain(|state| state.strong_count() > 0);
        }
        connections.push(Rc::downgrade(&state));
        Some(GuardedStream::open(stream, state))
    }

    /// Closes the connection that yields first. Returns `false` if none does.
    fn close_one(&self) -> bool {
        let now = Instant::now();
        let ranked = self.open_connections().into_iter();
        let ranked = ranked.filter_map(|state| Some((state.yield_rank(now)?, state)));
        let Some(((rank, _), state)) = ranked.min_by_key(|(rank, _)| *rank) else {
            return false;
        };
        self.has_closed_one.set(true);
        state.close(match rank {
            YieldRank::SlowHead => CloseReason::SlowHead,
            YieldRank::Idle => CloseReason::Idle,
            YieldRank::StalledBody => CloseReason::StalledBody,
            YieldRank::RequestsAhead => CloseReason::RequestsAhead,
            YieldRank::UnreadAnswer => CloseReason::UnreadAnswer,
        });
        true
    }

    /// Returns whether a connection was closed for a new one since the last call.
    pub(crate) fn has_closed_one(&self) -> bool {
        self.has_closed_one.take()
    }

    /// Makes the body yield that has made no progress for the longest time, if any is stalled.
    pub(crate) fn yield_stalled_body(&self) {
        let now = Instant::now();
        let states = self.open_connections().into_iter();
        let stalled = states.filter_map(|state| Some((state.stalled_body(now)?, state)));
        if let Some((_, state)) = stalled.min_by_key(|(since, _)| *since) {
            state.yield_body();
        }
    }

    /// Checks the time limits of all connections while the port is served.
    pub(crate) async fn check_times(self: Rc<Self>) {
        loop {
            sleep(CHECK_INTERVAL).await;
            let now = Instant::now();
            self.open_connections()
                .iter()
                .for_each(|state| state.check_times(now));
        }
    }

    fn open_connections(&self) -> Vec<Rc<ConnectionState>> {
        let connections = self.connections.borrow();
        connections.iter().filter_map(Weak::upgrade).collect()
    }
}
