//! Admission: whole programs enter, or are refused before anything of them has run.
//!
//! A program that was admitted is never refused afterwards, so programs that started first finish first. The limit on
//! programs in progress adapts to measured latency, and the KV cache that they need may not exceed what the targets
//! have. Programs beyond the limit wait a bounded time in a bounded room and are refused early, with the time that
//! the room takes to drain.

mod limit;
mod options;
mod waiting_room;

use std::collections::HashMap;
use std::time::Duration;

use ebony_types::{CallerName, ClockTime, ProblemCode, ProblemReport, ProgramId};

use self::limit::ConcurrencyLimit;
pub use self::limit::FirstTokenSample;
pub use self::options::AdmissionOptions;
use self::waiting_room::{CallerKey, SizeClass, WaitingProgram, WaitingRoom};
use crate::drain_rate::DrainRate;
use crate::speed::bounded_tokens;

/// The time constant of the rate at which programs end. Programs take a minute or two.
const DRAIN_WINDOW: Duration = Duration::from_secs(60);

/// The most programs in progress, children and adopted ones included. 330,000 programs over 390 entries are 850.
pub const MAX_PROGRAMS: usize = 131_072;

/// What small programs may use beyond the limit on KV memory, in percent of it, and the part of the limit that their
/// use takes from large ones at most.
const SMALL_RESERVE_PERCENT: u64 = 25;

/// A program that wants to start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProgramArrival {
    /// The program.
    pub program: ProgramId,
    /// Its caller.
    pub caller: CallerName,
    /// The deadline of its first call.
    pub deadline: ClockTime,
    /// Tokens of its first prompt.
    pub prompt_tokens: u64,
    /// Whether it belongs to a program in progress or was adopted from another entry. Such a program enters at any
    /// load, up to [`MAX_PROGRAMS`]: it is part of a whole that was admitted.
    pub is_admitted: bool,
}

/// What becomes of a program that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The program starts.
    Admitted,
    /// The program waits; [`AdmissionGate::poll`] tells when it starts or is refused.
    Waiting,
    /// The program is refused. Nothing of it has run.
    Refused {
        /// Seconds after which coming back helps.
        retry_after_seconds: u32,
    },
}

/// The end of a program's wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitOutcome {
    /// The program.
    pub program: ProgramId,
    /// The decision, which is never [`AdmissionDecision::Waiting`].
    pub decision: AdmissionDecision,
}

/// Returns the answer to a program that was refused.
pub fn refusal_report(retry_after_seconds: u32) -> ProblemReport {
    let detail = "no further program is admitted at present";
    ProblemReport::not_run(ProblemCode::Overloaded, detail).retry_after(retry_after_seconds)
}

#[derive(Clone, Copy, Debug)]
struct ProgramSeat {
    caller: CallerKey,
    kv_tokens: u64,
    class: SizeClass,
}

/// The gate that programs enter by.
///
/// ```
/// use ebony_policy::admission::{AdmissionDecision, AdmissionGate, AdmissionOptions, ProgramArrival};
/// use ebony_types::{CallerName, ClockTime, ProgramId, ShardKey};
///
/// let options = AdmissionOptions { initial_limit: 1, min_limit: 1, ..AdmissionOptions::default() };
/// let mut gate = AdmissionGate::open(options, 0.5);
/// let now = ClockTime::from_millis(0);
/// let arrival = |number: u8| ProgramArrival {
///     program: ProgramId::from_parts(ShardKey(0), [number; 14]),
///     caller: CallerName::parse("shop").unwrap(),
///     deadline: ClockTime::from_millis(60_000),
///     prompt_tokens: 8_000,
///     is_admitted: false,
/// };
/// assert_eq!(gate.arrive(&arrival(1), now), AdmissionDecision::Admitted);
/// assert_eq!(gate.arrive(&arrival(2), now), AdmissionDecision::Waiting);
/// gate.finish(arrival(1).program, now);
/// assert_eq!(gate.poll(now)[0].program, arrival(2).program);
/// ```
#[derive(Debug)]
pub struct AdmissionGate {
    options: AdmissionOptions,
    limit: ConcurrencyLimit,
    room: WaitingRoom,
    programs: HashMap<ProgramId, ProgramSeat>,
    kv_tokens: u64,
    small_kv_tokens: u64,
    kv_limit_tokens: Option<u64>,
    kv_percent: u64,
    rate: DrainRate,
}

impl AdmissionGate {
    /// Creates a gate without programs.
    pub fn open(options: AdmissionOptions, latency_weight: f64) -> Self {
        Self {
            kv_percent: kv_percent(&options, latency_weight),
            limit: ConcurrencyLimit::open(&options),
            room: WaitingRoom::open(options.fair_share),
            options,
            programs: HashMap::new(),
            kv_tokens: 0,
            small_kv_tokens: 0,
            kv_limit_tokens: None,
            rate: DrainRate::open(DRAIN_WINDOW),
        }
    }

    /// Sets the weight of latency against wasted cache.
    pub fn set_latency_weight(&mut self, latency_weight: f64) {
        self.kv_percent = kv_percent(&self.options, latency_weight);
    }

    /// Returns the number of programs in progress.
    pub fn in_progress(&self) -> usize {
        self.programs.len()
    }

    /// Returns the number of programs that wait.
    pub fn waiting(&self) -> usize {
        self.room.len()
    }

    /// Returns the present limit on programs in progress.
    pub fn limit(&self) -> u32 {
        self.limit.programs()
    }

    /// Decides on a program that wants to start.
    pub fn arrive(&mut self, arrival: &ProgramArrival, now: ClockTime) -> AdmissionDecision {
        if self.programs.contains_key(&arrival.program) {
            return AdmissionDecision::Admitted;
        }
        let must_enter = arrival.is_admitted || !self.options.enabled;
        let class = self.class_of(arrival.prompt_tokens);
        let may_enter = self.room.is_empty(class) && self.has_room(class);
        if self.programs.len() < MAX_PROGRAMS && (must_enter || may_enter) {
            let caller = self.room.enter(&arrival.caller);
            self.seat(arrival.program, caller, arrival.prompt_tokens);
            return AdmissionDecision::Admitted;
        }
        if let Some(retry_after_seconds) = self.refusal(arrival, now) {
            return AdmissionDecision::Refused { retry_after_seconds };
        }
        let longest = now + Duration::from_millis(2 * u64::from(self.options.max_wait_ms));
        let deadline = arrival.deadline.min(longest);
        let delay = self.size_delay_micros(arrival.prompt_tokens);
        let waiting = WaitingProgram {
            program: arrival.program,
            prompt_tokens: arrival.prompt_tokens,
            class,
            deadline,
            due_micros: now.as_micros().saturating_add(delay),
        };
        self.room.push(&arrival.caller, waiting);
        self.rate.advance(true, now);
        AdmissionDecision::Waiting
    }

    /// Admits and refuses waiting programs. To be called after programs ended and about once a second.
    pub fn poll(&mut self, now: ClockTime) -> Vec<WaitOutcome> {
        let retry_after_seconds = self.rate.retry_after_seconds(self.room.len() as u64);
        let expired = self.room.take_expired(now);
        let refused = AdmissionDecision::Refused { retry_after_seconds };
        let mut outcomes: Vec<WaitOutcome> = expired
            .into_iter()
            .map(|program| WaitOutcome {
                program,
                decision: refused,
            })
            .collect();
        for class in [SizeClass::Small, SizeClass::Large] {
            while self.has_room(class)
                && let Some((caller, waiting)) = self.room.pop(class)
            {
                self.seat(waiting.program, caller, waiting.prompt_tokens);
                outcomes.push(WaitOutcome {
                    program: waiting.program,
                    decision: AdmissionDecision::Admitted,
                });
            }
        }
        self.rate.advance(self.room.len() > 0, now);
        outcomes
    }

    /// Records that a program ended, was cancelled or moved to another entry.
    pub fn finish(&mut self, program: ProgramId, now: ClockTime) {
        if let Some(seat) = self.programs.remove(&program) {
            self.room.leave(seat.caller);
            self.discount_memory(&seat);
            self.rate.record(1, self.room.len() > 0, now);
        }
    }

    /// Removes a program that was cancelled while it waited.
    pub fn withdraw(&mut self, caller: &CallerName, program: ProgramId) -> bool {
        self.room.remove(caller, program)
    }

    /// Records the length of a program's history, which its KV cache needs.
    pub fn record_history(&mut self, program: ProgramId, kv_tokens: u64) {
        let Some(mut seat) = self.programs.remove(&program) else {
            return;
        };
        self.discount_memory(&seat);
        seat.kv_tokens = bounded_tokens(kv_tokens);
        self.count_memory(&seat);
        self.programs.insert(program, seat);
    }

    /// Sets what the targets have for this entry's programs: tokens of KV cache, and calls at once. With several
    /// entries it is this entry's part.
    pub fn set_capacity(&mut self, kv_limit_tokens: u64, slots: u32) {
        self.kv_limit_tokens = Some(bounded_tokens(kv_limit_tokens));
        self.limit.set_floor(slots);
    }

    /// Learns from the time to a call's first token.
    pub fn observe_first_token(&mut self, sample: FirstTokenSample, now: ClockTime) {
        if self.options.adaptive {
            let programs = u32::try_from(self.programs.len()).unwrap_or(u32::MAX);
            self.limit.observe(&self.options, sample, programs, now);
        }
    }

    /// Sets a caller's weight. Returns `false` if too many callers have a weight of their own.
    pub fn set_weight(&mut self, caller: &CallerName, weight: u32) -> bool {
        self.room.set_weight(caller, weight)
    }

    fn has_room(&self, class: SizeClass) -> bool {
        if !self.options.enabled {
            return self.programs.len() < MAX_PROGRAMS;
        }
        let limit = (self.limit.programs() as usize).min(MAX_PROGRAMS);
        // One program always runs, whatever its size, so that a wrong limit cannot stop all work.
        self.programs.is_empty() || (self.has_memory(class) && self.programs.len() < limit)
    }

    /// Returns the time by which a waiting program is due later for its size. It is bounded, so that a large program
    /// has its turn before it is refused.
    fn size_delay_micros(&self, prompt_tokens: u64) -> u64 {
        let delay = prompt_tokens.saturating_mul(u64::from(self.options.delay_per_token_us));
        delay.min(u64::from(self.options.max_wait_ms) * 1_000 / 2)
    }

    fn class_of(&self, prompt_tokens: u64) -> SizeClass {
        if prompt_tokens <= u64::from(self.options.small_program_tokens) {
            SizeClass::Small
        } else {
            SizeClass::Large
        }
    }

    /// Returns `true` if the KV limit has room for a program of the class.
    ///
    /// Small programs may use their reserve beyond the limit, so that they need not wait behind large ones. What they
    /// use does not count towards the limit beyond their reserve, so that they cannot keep large ones out.
    fn has_memory(&self, class: SizeClass) -> bool {
        let Some(limit) = self.memory_limit() else {
            return true;
        };
        let reserve = limit / 100 * SMALL_RESERVE_PERCENT;
        let large_tokens = self.kv_tokens - self.small_kv_tokens;
        match class {
            SizeClass::Small => self.kv_tokens < limit.saturating_add(reserve),
            SizeClass::Large => large_tokens + self.small_kv_tokens.min(reserve) < limit,
        }
    }

    /// Returns the KV tokens that programs in progress may need; `None` if nothing limits them.
    fn memory_limit(&self) -> Option<u64> {
        let limit = self.kv_limit_tokens.filter(|_| self.options.memory_bound)?;
        let allowed = u128::from(limit) * u128::from(self.kv_percent) / 100;
        Some(u64::try_from(allowed).unwrap_or(u64::MAX))
    }

    /// Returns the retry time if the program is refused at once.
    fn refusal(&self, arrival: &ProgramArrival, now: ClockTime) -> Option<u32> {
        let waiting = self.room.len();
        let own = self.room.waiting_of(&arrival.caller);
        let free = self.options.waiting_places.saturating_sub(waiting);
        let ahead = if self.options.fair_share {
            let callers = self.room.callers_waiting() + usize::from(own == 0);
            waiting.min(own * callers + callers)
        } else {
            waiting
        };
        let wait = self.rate.time_for(ahead as u64 + 1).unwrap_or_default();
        let longest = Duration::from_millis(u64::from(self.options.max_wait_ms));
        let has_place = if self.options.fair_share {
            own < free
        } else {
            free > 0
        };
        let is_refused = !has_place || wait > longest || now + wait > arrival.deadline;
        is_refused.then(|| self.rate.retry_after_seconds(ahead as u64 + 1))
    }

    fn seat(&mut self, program: ProgramId, caller: CallerKey, kv_tokens: u64) {
        let kv_tokens = bounded_tokens(kv_tokens);
        let seat = ProgramSeat {
            caller,
            kv_tokens,
            class: self.class_of(kv_tokens),
        };
        self.count_memory(&seat);
        self.programs.insert(program, seat);
    }

    fn count_memory(&mut self, seat: &ProgramSeat) {
        self.kv_tokens += seat.kv_tokens;
        if seat.class == SizeClass::Small {
            self.small_kv_tokens += seat.kv_tokens;
        }
    }

    fn discount_memory(&mut self, seat: &ProgramSeat) {
        self.kv_tokens -= seat.kv_tokens;
        if seat.class == SizeClass::Small {
            self.small_kv_tokens -= seat.kv_tokens;
        }
    }
}

/// Returns the share of the KV limit in percent that programs may fill at a weight of latency.
fn kv_percent(options: &AdmissionOptions, latency_weight: f64) -> u64 {
    let (low, high) = (options.kv_percent_for_cache, options.kv_percent_for_latency);
    let span = f64::from(high) - f64::from(low);
    (f64::from(low) + span * latency_weight.clamp(0.0, 1.0)) as u64
}
