//! The call queue of a side process. Binding is late: a call is sent to the target only when the target has capacity.
//!
//! Callers get a weighted fair share. Within it, calls are ordered by the attained service of their whole program, with
//! ageing, deadlines, and priority for calls that block a parent program. The queue is bounded and refuses early.

mod flow;
mod options;
mod rank;

use std::collections::BTreeSet;
use std::time::Duration;

use ebony_types::{CallId, CallerName, ClockTime, ProblemCode, ProblemReport, ProgramId};
use ebony_wire::QueueRank;
use slotmap::SlotMap;

pub use self::flow::DEFAULT_WEIGHT;
use self::flow::{FlowKey, FlowTable};
pub use self::options::{QueueOptions, QueueOrder};
use self::rank::CallRank;
use crate::drain_rate::DrainRate;
use crate::speed::clamp_tokens;

slotmap::new_key_type! {
    /// Key of a waiting call.
    pub struct QueueKey;
}

/// Time constant of the drain rate. It spans a few calls of the usual length (7 s).
const DRAIN_WINDOW: Duration = Duration::from_secs(30);

/// Why a call was not queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum QueueRefusal {
    /// The queue has no room for a further call of this caller.
    #[error("the queue has no room for this caller; retry after {retry_after_seconds} s")]
    Full {
        /// Seconds after which the current backlog has drained.
        retry_after_seconds: u32,
    },
    /// The backlog would not drain before the call's deadline.
    #[error("the call would miss its deadline; retry after {retry_after_seconds} s")]
    TooLate {
        /// Seconds after which the current backlog has drained.
        retry_after_seconds: u32,
    },
}

/// The result of queueing a call.
pub type Result<T, E = QueueRefusal> = std::result::Result<T, E>;

impl From<QueueRefusal> for ProblemReport {
    fn from(refusal: QueueRefusal) -> Self {
        let (QueueRefusal::Full { retry_after_seconds } | QueueRefusal::TooLate { retry_after_seconds }) =
            refusal;
        Self::not_run(ProblemCode::Overloaded, refusal.to_string()).retry_after(retry_after_seconds)
    }
}

/// A call that waits for its target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedCall {
    /// The call.
    pub call: CallId,
    /// The call's program.
    pub program: ProgramId,
    /// The caller to which the call's service is charged.
    pub caller: CallerName,
    /// The program's rank inputs, from its owner.
    pub rank: QueueRank,
    /// Expected service in tokens, see [`EngineSpeed::service_tokens`](crate::speed::EngineSpeed::service_tokens).
    pub cost_tokens: u64,
    /// The time at which the call expires.
    pub deadline: ClockTime,
}

#[derive(Debug)]
struct WaitingCall {
    call: QueuedCall,
    flow: FlowKey,
    rank: CallRank,
    arrived: ClockTime,
}

/// The calls that wait for one target.
///
/// ```
/// use ebony_policy::queue::{CallQueue, QueueOptions, QueuedCall};
/// use ebony_types::{CallId, CallerName, ClockTime, ProgramId, ShardKey};
/// use ebony_wire::QueueRank;
///
/// let mut queue = CallQueue::open(QueueOptions::default());
/// let now = ClockTime::from_millis(0);
/// let call = |number: u8, attained_tokens: u64| QueuedCall {
///     call: CallId::from_bytes([number; 16]),
///     program: ProgramId::from_parts(ShardKey(0), [number; 14]),
///     caller: CallerName::parse("shop").unwrap(),
///     rank: QueueRank { attained_tokens, ..QueueRank::default() },
///     cost_tokens: 1_000,
///     deadline: ClockTime::from_millis(60_000),
/// };
/// queue.push(call(1, 400_000), now)?;
/// queue.push(call(2, 0), now)?;
/// assert_eq!(queue.pop(now).unwrap().call, CallId::from_bytes([2; 16]));
/// # Ok::<(), ebony_policy::queue::QueueRefusal>(())
/// ```
#[derive(Debug)]
pub struct CallQueue {
    options: QueueOptions,
    calls: SlotMap<QueueKey, WaitingCall>,
    flows: FlowTable,
    deadlines: BTreeSet<(ClockTime, QueueKey)>,
    expired: Vec<QueuedCall>,
    backlog_tokens: u64,
    next_sequence: u64,
    rate: DrainRate,
}

impl CallQueue {
    /// Creates an empty queue.
    pub fn open(options: QueueOptions) -> Self {
        let flows = FlowTable::open(options.slack());
        Self {
            options,
            calls: SlotMap::with_key(),
            flows,
            deadlines: BTreeSet::new(),
            expired: Vec::new(),
            backlog_tokens: 0,
            next_sequence: 0,
            rate: DrainRate::open(DRAIN_WINDOW),
        }
    }

    /// Changes the maximum number of waiting calls. Calls beyond a lowered maximum keep waiting; new ones are refused.
    pub fn set_capacity(&mut self, capacity: usize) {
        self.options.capacity = capacity;
    }

    /// Returns the number of waiting calls.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Returns `true` if no call is waiting.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Returns the expected service of all waiting calls in tokens.
    pub fn backlog_tokens(&self) -> u64 {
        self.backlog_tokens
    }

    /// Queues a call.
    ///
    /// # Errors
    ///
    /// Returns [`QueueRefusal`] if the queue has no room for the caller or the call would miss its deadline. The call
    /// has not run and will not run.
    pub fn push(&mut self, mut call: QueuedCall, now: ClockTime) -> Result<QueueKey> {
        call.cost_tokens = clamp_tokens(call.cost_tokens);
        self.collect_expired(now);
        self.check_refusal(&call, now)?;
        self.next_sequence += 1;
        let rank = CallRank::of_call(&self.options, &call, now, self.next_sequence);
        let (caller, deadline) = (call.caller.clone(), call.deadline);
        self.backlog_tokens += call.cost_tokens;
        let key = self.calls.insert(WaitingCall {
            call,
            flow: FlowKey::default(),
            rank,
            arrived: now,
        });
        self.calls[key].flow = self.flows.insert(&caller, rank, key);
        self.deadlines.insert((deadline, key));
        self.rate.advance(true, now);
        Ok(key)
    }

    /// Removes the next call to run and charges its expected service to its caller. Calls past their deadline are
    /// returned only by [`CallQueue::take_expired`].
    pub fn pop(&mut self, now: ClockTime) -> Option<QueuedCall> {
        self.pop_fitting(now, |_, _| true)
    }

    /// Removes the first call for which `fits` returns `true`, given the call and how long it has waited.
    ///
    /// At most [`QueueOptions::bypass_calls`] calls that do not fit are bypassed at a time. A call that has waited for
    /// [`QueueOptions::bypass_ms`] is no longer bypassed: no call behind it starts until it fits.
    pub fn pop_fitting(
        &mut self,
        now: ClockTime,
        mut fits: impl FnMut(&QueuedCall, Duration) -> bool,
    ) -> Option<QueuedCall> {
        self.collect_expired(now);
        let max_bypass_wait = Duration::from_millis(u64::from(self.options.bypass_ms));
        let mut chosen = None;
        for key in self
            .flows
            .first_calls(self.options.bypass_calls.saturating_add(1))
        {
            let waiting = &self.calls[key];
            let waited = now.since(waiting.arrived);
            if fits(&waiting.call, waited) {
                chosen = Some(key);
                break;
            }
            if waited >= max_bypass_wait {
                break;
            }
        }
        self.pop_key(chosen?, now)
    }

    /// Corrects the service charged for a popped call once its actual service is known.
    pub fn settle(&mut self, caller: &CallerName, expected_tokens: u64, actual_tokens: u64) {
        if actual_tokens >= expected_tokens {
            self.flows.charge(caller, actual_tokens - expected_tokens);
        } else {
            self.flows.refund(caller, expected_tokens - actual_tokens);
        }
    }

    /// Removes a cancelled call.
    pub fn remove(&mut self, key: QueueKey, now: ClockTime) -> Option<QueuedCall> {
        let call = self.remove_waiting(key)?;
        self.rate.advance(!self.calls.is_empty(), now);
        Some(call)
    }

    /// Removes and returns the calls whose deadline has passed. They have not run; the caller must answer them.
    pub fn take_expired(&mut self, now: ClockTime) -> Vec<QueuedCall> {
        self.collect_expired(now);
        std::mem::take(&mut self.expired)
    }

    /// Returns the time from which [`CallQueue::take_expired`] returns a call; `None` if there are no calls.
    pub fn next_deadline(&self) -> Option<ClockTime> {
        if let Some(call) = self.expired.first() {
            return Some(call.deadline);
        }
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Sets the weight of a caller; the default is [`DEFAULT_WEIGHT`]. Returns `false` if too many callers have other
    /// weights than the default; this caller then keeps the default.
    pub fn set_weight(&mut self, caller: &CallerName, weight: u32) -> bool {
        self.flows.set_weight(caller, weight)
    }

    /// Returns the seconds after which the current backlog has drained, for the `Retry-After` header.
    pub fn retry_after_seconds(&self) -> u32 {
        self.rate.retry_after_seconds(self.backlog_tokens)
    }

    fn check_refusal(&mut self, call: &QueuedCall, now: ClockTime) -> Result<()> {
        let retry_after_seconds = self.retry_after_seconds();
        let used = self.calls.len() + self.expired.len();
        let free_places = self.options.capacity.saturating_sub(used);
        // A caller may use only as many places as remain free, so that one caller never takes the last place.
        let has_room = if self.options.fair_share {
            self.flows.waiting_calls(&call.caller) < free_places
        } else {
            free_places > 0
        };
        if !has_room {
            return Err(QueueRefusal::Full { retry_after_seconds });
        }
        let wait = self.rate.time_to_drain(self.backlog_tokens).unwrap_or_default();
        if now >= call.deadline || (self.options.early_refusal && now + wait > call.deadline) {
            return Err(QueueRefusal::TooLate { retry_after_seconds });
        }
        Ok(())
    }

    fn collect_expired(&mut self, now: ClockTime) {
        while let Some((deadline, key)) = self.deadlines.first().copied()
            && deadline <= now
        {
            self.deadlines.pop_first();
            let expired = self.remove_waiting(key);
            self.expired.extend(expired);
            self.rate.advance(!self.calls.is_empty(), now);
        }
    }

    fn pop_key(&mut self, key: QueueKey, now: ClockTime) -> Option<QueuedCall> {
        // Charge first: removing the last call of a flow may remove the flow.
        let waiting = self.calls.get(key)?;
        self.flows.charge(&waiting.call.caller, waiting.call.cost_tokens);
        let call = self.remove_waiting(key)?;
        self.rate.record(call.cost_tokens, !self.calls.is_empty(), now);
        Some(call)
    }

    fn remove_waiting(&mut self, key: QueueKey) -> Option<QueuedCall> {
        let WaitingCall { call, flow, rank, .. } = self.calls.remove(key)?;
        self.flows.remove(flow, rank, key);
        self.deadlines.remove(&(call.deadline, key));
        self.backlog_tokens -= call.cost_tokens;
        Some(call)
    }
}
