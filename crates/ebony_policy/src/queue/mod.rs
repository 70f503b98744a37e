//! The queue at a side process, with late binding: a call is given to the target only when the target has room.
//!
//! Callers get a weighted fair share; within it, calls are ordered by the attained service of their whole program,
//! with ageing, parents that are blocked by sub-agents first, and deadlines. The queue is bounded and refuses early.

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
use crate::speed::bounded_tokens;

slotmap::new_key_type! {
    /// Names a waiting call.
    pub struct QueueKey;
}

/// The time constant of the drain rate. A few calls of the usual length (7 s) fit in.
const DRAIN_WINDOW: Duration = Duration::from_secs(30);

/// Why a call was not taken into the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum QueueRefusal {
    /// The queue has no room for a further call of this caller.
    #[error("the queue has no room for this caller; retry after {retry_after_seconds} s")]
    Full {
        /// Seconds after which the present backlog has drained.
        retry_after_seconds: u32,
    },
    /// The backlog would not drain before the call's deadline.
    #[error("the call would miss its deadline; retry after {retry_after_seconds} s")]
    TooLate {
        /// Seconds after which the present backlog has drained.
        retry_after_seconds: u32,
    },
}

/// The result of taking a call into the queue.
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
    /// The caller whose share the call counts against.
    pub caller: CallerName,
    /// The program's standing, from the owner.
    pub rank: QueueRank,
    /// Expected service in tokens, see [`EngineSpeed::service_tokens`](crate::speed::EngineSpeed::service_tokens).
    pub cost_tokens: u64,
    /// The time at which the call is given up.
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

    /// Changes the most waiting calls. Calls beyond a lower bound keep waiting; further ones are refused.
    pub fn set_capacity(&mut self, capacity: usize) {
        self.options.capacity = capacity;
    }

    /// Returns the number of calls that wait.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Returns `true` if no call waits.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Returns the expected service of all waiting calls in tokens.
    pub fn backlog_tokens(&self) -> u64 {
        self.backlog_tokens
    }

    /// Takes a call into the queue.
    ///
    /// # Errors
    ///
    /// Returns [`QueueRefusal`] if the caller has used up its room or the call would miss its deadline. The call has
    /// not run and will not.
    pub fn push(&mut self, mut call: QueuedCall, now: ClockTime) -> Result<QueueKey> {
        call.cost_tokens = bounded_tokens(call.cost_tokens);
        self.sweep(now);
        self.check_room(&call, now)?;
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

    /// Takes the next call to run and charges its expected service to its caller. Calls past their deadline are
    /// never returned here but by [`CallQueue::take_expired`].
    pub fn pop(&mut self, now: ClockTime) -> Option<QueuedCall> {
        self.pop_fitting(now, |_, _| true)
    }

    /// Takes the first call that fits into the target, given the call and how long it has waited.
    ///
    /// Calls that do not fit are passed over, at most [`QueueOptions::bypass_calls`] at a time. A call that has waited
    /// for [`QueueOptions::bypass_ms`] is no longer passed over: nothing behind it starts until it fits.
    pub fn pop_fitting(
        &mut self,
        now: ClockTime,
        mut fits: impl FnMut(&QueuedCall, Duration) -> bool,
    ) -> Option<QueuedCall> {
        self.sweep(now);
        let patience = Duration::from_millis(u64::from(self.options.bypass_ms));
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
            if waited >= patience {
                break;
            }
        }
        self.pop_key(chosen?, now)
    }

    /// Corrects a caller's share when the service of a popped call is known to differ from the expected one.
    pub fn settle(&mut self, caller: &CallerName, expected_tokens: u64, actual_tokens: u64) {
        if actual_tokens >= expected_tokens {
            self.flows.charge(caller, actual_tokens - expected_tokens);
        } else {
            self.flows.refund(caller, expected_tokens - actual_tokens);
        }
    }

    /// Removes a call that was cancelled.
    pub fn remove(&mut self, key: QueueKey, now: ClockTime) -> Option<QueuedCall> {
        let call = self.take(key)?;
        self.rate.advance(!self.calls.is_empty(), now);
        Some(call)
    }

    /// Returns the calls whose deadline has passed. They have not run and get their final answer now.
    pub fn take_expired(&mut self, now: ClockTime) -> Vec<QueuedCall> {
        self.sweep(now);
        std::mem::take(&mut self.expired)
    }

    /// Returns the time at which [`CallQueue::take_expired`] has something to return.
    pub fn next_deadline(&self) -> Option<ClockTime> {
        if let Some(call) = self.expired.first() {
            return Some(call.deadline);
        }
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Sets the share of one caller; [`DEFAULT_WEIGHT`] is the default. Returns `false` if too many callers have a
    /// weight of their own, in which case the caller keeps the default.
    pub fn set_weight(&mut self, caller: &CallerName, weight: u32) -> bool {
        self.flows.set_weight(caller, weight)
    }

    /// Returns the seconds after which the present backlog has drained, for an answer's `Retry-After`.
    pub fn retry_after_seconds(&self) -> u32 {
        self.rate.retry_after_seconds(self.backlog_tokens)
    }

    fn check_room(&mut self, call: &QueuedCall, now: ClockTime) -> Result<()> {
        let retry_after_seconds = self.retry_after_seconds();
        let used = self.calls.len() + self.expired.len();
        let free = self.options.capacity.saturating_sub(used);
        // A caller may hold as many places as it leaves free, so that one caller never takes the last place.
        let has_room = if self.options.fair_share {
            self.flows.calls_of(&call.caller) < free
        } else {
            free > 0
        };
        if !has_room {
            return Err(QueueRefusal::Full { retry_after_seconds });
        }
        let wait = self.rate.time_for(self.backlog_tokens).unwrap_or_default();
        if now >= call.deadline || (self.options.early_refusal && now + wait > call.deadline) {
            return Err(QueueRefusal::TooLate { retry_after_seconds });
        }
        Ok(())
    }

    fn sweep(&mut self, now: ClockTime) {
        while let Some((deadline, key)) = self.deadlines.first().copied()
            && deadline <= now
        {
            self.deadlines.pop_first();
            let expired = self.take(key);
            self.expired.extend(expired);
            self.rate.advance(!self.calls.is_empty(), now);
        }
    }

    fn pop_key(&mut self, key: QueueKey, now: ClockTime) -> Option<QueuedCall> {
        // The charge comes first: a flow that is left without calls may be forgotten.
        let waiting = self.calls.get(key)?;
        self.flows.charge(&waiting.call.caller, waiting.call.cost_tokens);
        let call = self.take(key)?;
        self.rate.record(call.cost_tokens, !self.calls.is_empty(), now);
        Some(call)
    }

    fn take(&mut self, key: QueueKey) -> Option<QueuedCall> {
        let WaitingCall { call, flow, rank, .. } = self.calls.remove(key)?;
        self.flows.remove(flow, rank, key);
        self.deadlines.remove(&(call.deadline, key));
        self.backlog_tokens -= call.cost_tokens;
        Some(call)
    }
}
