//! Admission control for whole programs: a program is admitted, or refused before any of its calls has run.
//!
//! An admitted program is never refused later, so programs that started first finish first. The limit on programs in
//! progress adapts to measured latency, and the KV cache that they need is limited by the capacity of the targets.
//! Programs beyond the limits wait in a bounded list for a bounded time, or are refused early with a retry time that
//! follows the rate at which the list drains.

mod caller_table;
mod limit;
mod options;

use std::collections::HashMap;
use std::time::Duration;

use ebony_types::{CallerName, ClockTime, ProblemCode, ProblemReport, ProgramId};

use self::caller_table::{CallerKey, CallerTable, SizeClass, WaitingProgram};
use self::limit::ConcurrencyLimit;
pub use self::limit::FirstTokenSample;
pub use self::options::AdmissionOptions;
use crate::drain_rate::DrainRate;
use crate::speed::clamp_tokens;

/// Time constant of the rate at which programs end. Programs take one to two minutes.
const DRAIN_WINDOW: Duration = Duration::from_secs(60);

/// Maximum programs in progress, including children and adopted programs. 330,000 programs over 390 entries are 850
/// for each entry.
pub const MAX_PROGRAMS: usize = 131_072;

/// Reserve of small programs in percent of the limit on KV memory: they may exceed the limit by this much, and they
/// take at most this much of it from large programs.
const SMALL_RESERVE_PERCENT: u64 = 25;

/// A program that requests admission.
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
    /// Whether it is a child of a program in progress or was adopted from another entry. Such a program was admitted
    /// as part of another one or elsewhere, and is admitted at any load, up to [`MAX_PROGRAMS`].
    pub is_admitted: bool,
}

/// The decision on an arriving program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The program starts.
    Admitted,
    /// The program waits; [`AdmissionController::poll`] returns its outcome.
    Waiting,
    /// The program is refused. None of its calls has run.
    Refused {
        /// Seconds after which a retry is expected to succeed.
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

/// Returns the problem report for a refused program.
pub fn refusal_report(retry_after_seconds: u32) -> ProblemReport {
    let detail = "no further program is admitted at present";
    ProblemReport::not_run(ProblemCode::Overloaded, detail).retry_after(retry_after_seconds)
}

#[derive(Clone, Copy, Debug)]
struct AdmittedProgram {
    caller: CallerKey,
    kv_tokens: u64,
    class: SizeClass,
}

/// Admission control of one entry.
///
/// ```
/// use ebony_policy::admission::{AdmissionController, AdmissionDecision, AdmissionOptions, ProgramArrival};
/// use ebony_types::{CallerName, ClockTime, ProgramId, ShardKey};
///
/// let options = AdmissionOptions { initial_limit: 1, min_limit: 1, ..AdmissionOptions::default() };
/// let mut controller = AdmissionController::open(options, 0.5);
/// let now = ClockTime::from_millis(0);
/// let arrival = |number: u8| ProgramArrival {
///     program: ProgramId::from_parts(ShardKey(0), [number; 14]),
///     caller: CallerName::parse("shop").unwrap(),
///     deadline: ClockTime::from_millis(60_000),
///     prompt_tokens: 8_000,
///     is_admitted: false,
/// };
/// assert_eq!(controller.arrive(&arrival(1), now), AdmissionDecision::Admitted);
/// assert_eq!(controller.arrive(&arrival(2), now), AdmissionDecision::Waiting);
/// controller.finish(arrival(1).program, now);
/// assert_eq!(controller.poll(now)[0].program, arrival(2).program);
/// ```
#[derive(Debug)]
pub struct AdmissionController {
    options: AdmissionOptions,
    limit: ConcurrencyLimit,
    table: CallerTable,
    programs: HashMap<ProgramId, AdmittedProgram>,
    kv_tokens: u64,
    small_kv_tokens: u64,
    kv_limit_tokens: Option<u64>,
    kv_percent: u64,
    rate: DrainRate,
}

impl AdmissionController {
    /// Creates an admission controller without programs.
    pub fn open(options: AdmissionOptions, latency_weight: f64) -> Self {
        Self {
            kv_percent: kv_percent(&options, latency_weight),
            limit: ConcurrencyLimit::open(&options),
            table: CallerTable::open(options.fair_share),
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

    /// Returns the number of programs that wait for admission.
    pub fn waiting(&self) -> usize {
        self.table.waiting_programs()
    }

    /// Returns the current limit on programs in progress.
    pub fn limit(&self) -> u32 {
        self.limit.programs()
    }

    /// Decides whether an arriving program is admitted, waits or is refused.
    pub fn arrive(&mut self, arrival: &ProgramArrival, now: ClockTime) -> AdmissionDecision {
        if self.programs.contains_key(&arrival.program) {
            return AdmissionDecision::Admitted;
        }
        let is_exempt = arrival.is_admitted || !self.options.enabled;
        let class = self.class_of(arrival.prompt_tokens);
        let fits_now = !self.table.has_waiting(class) && self.can_admit(class);
        if self.programs.len() < MAX_PROGRAMS && (is_exempt || fits_now) {
            let caller = self.table.record_start(&arrival.caller);
            self.admit(arrival.program, caller, arrival.prompt_tokens);
            return AdmissionDecision::Admitted;
        }
        if let Some(retry_after_seconds) = self.refusal_retry_seconds(arrival, now) {
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
        self.table.add_waiting(&arrival.caller, waiting);
        self.rate.advance(true, now);
        AdmissionDecision::Waiting
    }

    /// Admits waiting programs that fit and refuses those past their deadline. Must be called after programs have ended
    /// and about once a second.
    pub fn poll(&mut self, now: ClockTime) -> Vec<WaitOutcome> {
        let retry_after_seconds = self
            .rate
            .retry_after_seconds(self.table.waiting_programs() as u64);
        let expired = self.table.take_expired(now);
        let refused = AdmissionDecision::Refused { retry_after_seconds };
        let mut outcomes: Vec<WaitOutcome> = expired
            .into_iter()
            .map(|program| WaitOutcome {
                program,
                decision: refused,
            })
            .collect();
        for class in [SizeClass::Small, SizeClass::Large] {
            while self.can_admit(class)
                && let Some((caller, waiting)) = self.table.admit_next(class)
            {
                self.admit(waiting.program, caller, waiting.prompt_tokens);
                outcomes.push(WaitOutcome {
                    program: waiting.program,
                    decision: AdmissionDecision::Admitted,
                });
            }
        }
        self.rate.advance(self.table.waiting_programs() > 0, now);
        outcomes
    }

    /// Records that an admitted program ended, was cancelled or moved to another entry.
    pub fn finish(&mut self, program: ProgramId, now: ClockTime) {
        if let Some(admitted) = self.programs.remove(&program) {
            self.table.record_end(admitted.caller);
            self.subtract_kv_tokens(&admitted);
            self.rate.record(1, self.table.waiting_programs() > 0, now);
        }
    }

    /// Removes a program that was cancelled while it waited. Returns `false` if it does not wait.
    pub fn withdraw(&mut self, caller: &CallerName, program: ProgramId) -> bool {
        self.table.remove_waiting(caller, program)
    }

    /// Records the tokens of a program's history, which its KV cache has to hold.
    pub fn record_history(&mut self, program: ProgramId, kv_tokens: u64) {
        let Some(mut admitted) = self.programs.remove(&program) else {
            return;
        };
        self.subtract_kv_tokens(&admitted);
        admitted.kv_tokens = clamp_tokens(kv_tokens);
        self.add_kv_tokens(&admitted);
        self.programs.insert(program, admitted);
    }

    /// Sets the capacity of the targets for this entry's programs: tokens of KV cache, and slots for concurrent calls.
    /// With several entries, each one sets its own share.
    pub fn set_capacity(&mut self, kv_limit_tokens: u64, slots: u32) {
        self.kv_limit_tokens = Some(clamp_tokens(kv_limit_tokens));
        self.limit.set_min_programs(slots);
    }

    /// Adapts the limit to the time to a call's first token.
    pub fn observe_first_token(&mut self, sample: FirstTokenSample, now: ClockTime) {
        if self.options.adaptive {
            let programs = u32::try_from(self.programs.len()).unwrap_or(u32::MAX);
            self.limit.observe(&self.options, sample, programs, now);
        }
    }

    /// Sets a caller's weight. Returns `false` if too many callers have other weights than the default; this caller
    /// then keeps the default.
    pub fn set_weight(&mut self, caller: &CallerName, weight: u32) -> bool {
        self.table.set_weight(caller, weight)
    }

    fn can_admit(&self, class: SizeClass) -> bool {
        if !self.options.enabled {
            return self.programs.len() < MAX_PROGRAMS;
        }
        let limit = (self.limit.programs() as usize).min(MAX_PROGRAMS);
        // A single program is admitted whatever its size, so that a wrong limit cannot stop all work.
        self.programs.is_empty() || (self.has_kv_capacity(class) && self.programs.len() < limit)
    }

    /// Returns the delay that the size of a waiting program adds to its rank. It is bounded, so that a large program can
    /// be admitted before its wait expires.
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

    /// Returns `true` if the KV limit allows a further program of the class.
    ///
    /// Small programs may exceed the limit by their reserve, so that they need not wait behind large ones. Their usage
    /// counts against large programs only up to the reserve, so that they cannot starve large ones.
    fn has_kv_capacity(&self, class: SizeClass) -> bool {
        let Some(limit) = self.allowed_kv_tokens() else {
            return true;
        };
        let reserve = limit / 100 * SMALL_RESERVE_PERCENT;
        let large_tokens = self.kv_tokens - self.small_kv_tokens;
        match class {
            SizeClass::Small => self.kv_tokens < limit.saturating_add(reserve),
            SizeClass::Large => large_tokens + self.small_kv_tokens.min(reserve) < limit,
        }
    }

    /// Returns the limit on the KV tokens of programs in progress; `None` if there is none.
    fn allowed_kv_tokens(&self) -> Option<u64> {
        let limit = self.kv_limit_tokens.filter(|_| self.options.memory_bound)?;
        let allowed = u128::from(limit) * u128::from(self.kv_percent) / 100;
        Some(u64::try_from(allowed).unwrap_or(u64::MAX))
    }

    /// Returns the retry time in seconds if the program is refused at once; `None` if it may wait.
    fn refusal_retry_seconds(&self, arrival: &ProgramArrival, now: ClockTime) -> Option<u32> {
        let waiting = self.table.waiting_programs();
        let own = self.table.waiting_programs_of(&arrival.caller);
        let free = self.options.waiting_places.saturating_sub(waiting);
        let ahead = if self.options.fair_share {
            let callers = self.table.max_waiting_callers() + usize::from(own == 0);
            waiting.min(own * callers + callers)
        } else {
            waiting
        };
        let wait = self.rate.time_to_drain(ahead as u64 + 1).unwrap_or_default();
        let longest = Duration::from_millis(u64::from(self.options.max_wait_ms));
        let has_place = if self.options.fair_share {
            own < free
        } else {
            free > 0
        };
        let is_refused = !has_place || wait > longest || now + wait > arrival.deadline;
        is_refused.then(|| self.rate.retry_after_seconds(ahead as u64 + 1))
    }

    fn admit(&mut self, program: ProgramId, caller: CallerKey, kv_tokens: u64) {
        let kv_tokens = clamp_tokens(kv_tokens);
        let admitted = AdmittedProgram {
            caller,
            kv_tokens,
            class: self.class_of(kv_tokens),
        };
        self.add_kv_tokens(&admitted);
        self.programs.insert(program, admitted);
    }

    fn add_kv_tokens(&mut self, admitted: &AdmittedProgram) {
        self.kv_tokens += admitted.kv_tokens;
        if admitted.class == SizeClass::Small {
            self.small_kv_tokens += admitted.kv_tokens;
        }
    }

    fn subtract_kv_tokens(&mut self, admitted: &AdmittedProgram) {
        self.kv_tokens -= admitted.kv_tokens;
        if admitted.class == SizeClass::Small {
            self.small_kv_tokens -= admitted.kv_tokens;
        }
    }
}

/// Returns the percentage of the KV limit that programs may use at the given latency weight.
fn kv_percent(options: &AdmissionOptions, latency_weight: f64) -> u64 {
    let (low, high) = (options.kv_percent_for_cache, options.kv_percent_for_latency);
    let span = f64::from(high) - f64::from(low);
    (f64::from(low) + span * latency_weight.clamp(0.0, 1.0)) as u64
}
