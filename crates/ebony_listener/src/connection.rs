//! The state of one connection, shared by its stream, its requests and the port.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::task::{Context, Waker};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use crate::budget::BudgetCharge;
use crate::guard::{CloseReason, PortGuard};

/// The most bytes of a body of unknown length in one pass of the dispatcher. They may hold further requests.
const CHUNKED_PIECE_BYTES: usize = 1024;

/// The bytes of a head that the charge of a connection covers: the usual limit of callers.
const COVERED_HEAD_BYTES: usize = 16 * 1024;

/// The step in which longer heads are charged.
const HEAD_STEP_BYTES: usize = 16 * 1024;

/// The longest head that the HTTP library buffers. More bytes without a request belong to a body that is discarded.
const MAX_HEAD_BYTES: usize = 128 * 1024;

/// A head that is incomplete for this long yields before connections that are idle.
const SLOW_HEAD_TIME: Duration = Duration::from_secs(1);

/// A body without progress for this long yields if room is short.
const STALLED_BODY_TIME: Duration = Duration::from_millis(500);

/// An answer of which nothing was taken for this long yields if connections are short.
const STALLED_ANSWER_TIME: Duration = Duration::from_secs(2);

/// Which bytes of a connection are read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadDemand {
    /// None.
    Nothing,
    /// Those that are ahead of an answer, as far as the stream holds them.
    Ahead,
    /// Those of a head.
    Head,
    /// Those of a body, up to a number.
    Body(usize),
}

/// How early a connection yields, the lowest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(PartialOrd, Ord)]
pub(crate) enum YieldRank {
    SlowHead,
    Idle,
    StalledBody,
    RequestsAhead,
    UnreadAnswer,
}

/// The state of a connection.
pub struct ConnectionState {
    pub(crate) guard: Rc<PortGuard>,
    /// Whether the connection has to end, and why.
    closed: Cell<Option<CloseReason>>,
    /// Requests that are being served: 0 or 1.
    serving: Cell<usize>,
    /// Since when no request is being served.
    waiting_since: Cell<Instant>,
    /// The bytes read since then, and the time of the first one.
    head_bytes: Cell<usize>,
    head_since: Cell<Instant>,
    /// Whether as many bytes as possible were read ahead of the answer of the request that is being served.
    is_far_ahead: Cell<bool>,
    /// The bytes of the body that were not read yet, if its length is known.
    body_left: Cell<Option<usize>>,
    /// The time of the last progress of the body that is being read; `None` if there is none.
    body: Cell<Option<Instant>>,
    /// Whether the reader of the body waits for bytes.
    wants_body: Cell<bool>,
    /// Whether the reader of the body has to give up.
    body_yields: Cell<bool>,
    body_notice: Notify,
    /// Since when the caller has taken nothing of a waiting answer.
    blocked_since: Cell<Option<Instant>>,
    /// Whether bytes were not read although the HTTP library asked for them.
    has_refused: Cell<bool>,
    /// The task of the connection.
    waker: RefCell<Option<Waker>>,
    charge: RefCell<BudgetCharge>,
    head_charge: RefCell<Option<BudgetCharge>>,
}

impl ConnectionState {
    pub(crate) fn open(guard: Rc<PortGuard>, charge: BudgetCharge) -> Rc<Self> {
        let now = Instant::now();
        Rc::new(Self {
            guard,
            closed: Cell::default(),
            serving: Cell::default(),
            waiting_since: Cell::new(now),
            head_bytes: Cell::default(),
            head_since: Cell::new(now),
            is_far_ahead: Cell::default(),
            body_left: Cell::default(),
            body: Cell::default(),
            wants_body: Cell::default(),
            body_yields: Cell::default(),
            body_notice: Notify::new(),
            blocked_since: Cell::default(),
            has_refused: Cell::default(),
            waker: RefCell::default(),
            charge: RefCell::new(charge),
            head_charge: RefCell::default(),
        })
    }

    /// Ends the connection as soon as its task runs.
    pub(crate) fn close(&self, reason: CloseReason) {
        if self.closed.get().is_none() {
            self.closed.set(Some(reason));
            self.guard.report_closed(reason);
            self.wake();
        }
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.closed.get().is_some()
    }

    /// Registers the task of the connection, which [`ConnectionState::wake`] wakes.
    pub(crate) fn register(&self, context: &Context<'_>) {
        let mut waker = self.waker.borrow_mut();
        if waker
            .as_ref()
            .is_none_or(|waker| !waker.will_wake(context.waker()))
        {
            *waker = Some(context.waker().clone());
        }
    }

    fn wake(&self) {
        if let Some(waker) = self.waker.borrow().as_ref() {
            waker.wake_by_ref();
        }
    }

    /// Wakes the task if it waits for bytes that may be read now.
    fn wake_refused(&self) {
        if self.has_refused.take() {
            self.wake();
        }
    }

    /// Returns which bytes the HTTP library may read now: none while the caller does not take the answers before.
    pub(crate) fn demand(&self) -> ReadDemand {
        let demand = if self.blocked_since.get().is_some() {
            ReadDemand::Nothing
        } else if self.serving.get() == 0 {
            ReadDemand::Head
        } else if !self.wants_body.get() {
            ReadDemand::Ahead
        } else {
            match self.body_left.get() {
                None => ReadDemand::Body(CHUNKED_PIECE_BYTES),
                Some(0) => ReadDemand::Ahead,
                Some(bytes) => ReadDemand::Body(bytes),
            }
        };
        if matches!(demand, ReadDemand::Nothing | ReadDemand::Ahead) {
            self.has_refused.set(true);
        }
        demand
    }

    pub(crate) fn record_ahead(&self, is_far: bool) {
        self.is_far_ahead.set(is_far);
    }

    pub(crate) fn record_read(&self, bytes: usize) {
        if self.serving.get() == 0 {
            if self.head_bytes.get() == 0 {
                self.head_since.set(Instant::now());
            }
            self.head_bytes.set(self.head_bytes.get() + bytes);
            self.charge_head();
        } else {
            self.body_left
                .set(self.body_left.get().map(|left| left.saturating_sub(bytes)));
            self.record_progress();
        }
    }

    /// Charges the bytes of a head beyond those that each connection has.
    fn charge_head(&self) {
        let bytes = self.head_bytes.get().min(MAX_HEAD_BYTES);
        let mut charge = self.head_charge.borrow_mut();
        let covered = COVERED_HEAD_BYTES + charge.as_ref().map_or(0, BudgetCharge::bytes);
        if bytes <= covered {
            return;
        }
        let step = (bytes - covered).max(HEAD_STEP_BYTES);
        match (self.guard.budget.try_charge(step), charge.as_mut()) {
            (Some(more), Some(charge)) => charge.merge(more),
            (Some(more), None) => *charge = Some(more),
            (None, _) => self.close(CloseReason::HeadMemory),
        }
    }

    pub(crate) fn record_blocked(&self) {
        if self.blocked_since.get().is_none() {
            self.blocked_since.set(Some(Instant::now()));
        }
    }

    pub(crate) fn record_written(&self) {
        self.blocked_since.set(None);
    }

    pub(crate) fn begin_request(&self) {
        self.serving.set(self.serving.get() + 1);
        self.head_bytes.set(0);
        self.is_far_ahead.set(false);
    }

    pub(crate) fn end_request(&self) {
        self.serving.set(self.serving.get().saturating_sub(1));
        self.waiting_since.set(Instant::now());
        self.head_charge.borrow_mut().take();
        self.wake_refused();
    }

    /// Starts to read a body, of the length that the head announces.
    pub(crate) fn begin_body(&self, length: Option<usize>) {
        self.body_yields.set(false);
        self.body_left.set(length);
        self.record_progress();
    }

    /// Records that the body that is being read made progress.
    pub(crate) fn record_progress(&self) {
        self.body.set(Some(Instant::now()));
    }

    pub(crate) fn end_body(&self) {
        self.body.set(None);
        self.wants_body.set(false);
        // Bytes that were read while the body waited for room belonged to it.
        self.is_far_ahead.set(false);
    }

    /// Sets whether the reader of the body waits for bytes.
    pub(crate) fn set_wants_body(&self, wants: bool) {
        self.wants_body.set(wants);
        if wants {
            self.wake_refused();
        }
    }

    /// Waits until the body has to yield.
    pub(crate) async fn wait_body_yields(&self) {
        while !self.body_yields.get() {
            self.body_notice.notified().await;
        }
    }

    /// Makes the reader of the body give up, which answers the request with a refusal.
    pub(crate) fn yield_body(&self) {
        self.body.set(None);
        self.guard.report_closed(CloseReason::StalledBody);
        self.body_yields.set(true);
        self.body_notice.notify_one();
    }

    /// Returns since when the body has made no progress, if it is stalled.
    pub(crate) fn stalled_body(&self, now: Instant) -> Option<Instant> {
        let progress = self.body.get()?;
        (now - progress >= STALLED_BODY_TIME).then_some(progress)
    }

    /// Returns how early the connection yields to a new one, and since when; `None` if it does not.
    pub(crate) fn yield_rank(&self, now: Instant) -> Option<(YieldRank, Instant)> {
        if self.is_closed() {
            return None;
        }
        if let Some(since) = self.blocked_since.get() {
            return (now - since >= STALLED_ANSWER_TIME).then_some((YieldRank::UnreadAnswer, since));
        }
        if self.serving.get() > 0 {
            if let Some(since) = self.stalled_body(now) {
                return Some((YieldRank::StalledBody, since));
            }
            let is_ahead = self.body.get().is_none() && self.is_far_ahead.get();
            return is_ahead.then(|| (YieldRank::RequestsAhead, self.waiting_since.get()));
        }
        if self.head_bytes.get() > 0 && now - self.head_since.get() >= SLOW_HEAD_TIME {
            return Some((YieldRank::SlowHead, self.head_since.get()));
        }
        Some((YieldRank::Idle, self.waiting_since.get()))
    }

    /// Closes the connection if it exceeds a time limit.
    pub(crate) fn check_times(&self, now: Instant) {
        let times = &self.guard.times;
        if let Some(since) = self.blocked_since.get() {
            if now - since >= times.answer {
                self.close(CloseReason::AnswerTime);
            }
        } else if self.serving.get() == 0 {
            if self.head_bytes.get() > 0 && now - self.head_since.get() >= times.head {
                self.close(CloseReason::HeadTime);
            } else if now - self.waiting_since.get() >= times.idle + times.head {
                // The HTTP library closes idle connections earlier, unless it holds a part of a head.
                self.close(CloseReason::HeadTime);
            }
        }
    }
}

impl std::fmt::Debug for ConnectionState {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("ConnectionState")
            .field("closed", &self.closed.get())
            .field("serving", &self.serving.get())
            .field("charge", &self.charge.borrow().bytes())
            .finish_non_exhaustive()
    }
}
