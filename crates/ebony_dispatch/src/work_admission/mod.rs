//! Admission of programs by the work that they bring and the time that they have.
//!
//! A program that starts brings its later turns, tool calls and sub-agents as well. Each gateway learns how much work
//! the programs of a route bring, and admits as much work a second as its share of the engines completes. This needs no
//! report and does not overshoot together with other gateways. Reports of load, which are old, only adjust the rate.
//! Near the limit, programs are refused at random, so that gateways with the same view do not act in waves. The chance
//! of a program depends on its urgency and on how much its customer offers.

mod customer_offers;
mod program_table;
mod reported_load;
mod route_needs;
mod work_budget;

use std::time::Duration;

use ebony_types::{ClockTime, ProgramName};

use crate::load::LoadNotice;
use customer_offers::CustomerOffers;
use program_table::ProgramTable;
use reported_load::ReportedLoad;
use route_needs::RouteNeeds;
use work_budget::WorkBudget;

/// A program with less time than this part of the mean time of a turn began earlier, at another gateway: a new program
/// has time for all of its turns.
const STARTED_TURN_SHARE: f64 = 0.5;

/// The mean time to come back, as a part of the time that a program has. Half a second already makes short programs
/// late that are admitted then; in the model, a twelfth served the most programs.
const RETURN_SHARE: f64 = 1.0 / 12.0;

/// The longest mean time to come back, as a part of the time that a program has. Callers give up rather than wait for
/// longer than a third of it, and the time is varied by half.
const MAX_RETURN_SHARE: f64 = 0.22;

/// The bounds of the mean time to come back: a round trip of the caller, and the time that programs take.
const MIN_RETURN: Duration = Duration::from_millis(50);
const MAX_RETURN: Duration = Duration::from_secs(1);

/// How much more than an equal share a customer offers whose programs are refused for that.
const OVER_SHARE_FACTOR: f64 = 2.0;

/// Why a program may not start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkRefusal {
    /// Its caller leaves before the first turn can be answered.
    NoTime,
    /// The engines have no room.
    NoRoom,
    /// The engines have no room, and the customer offers several times an equal share.
    OverShare,
}

impl WorkRefusal {
    /// Returns the name in metrics and log lines.
    ///
    /// ```
    /// assert_eq!(ebony_dispatch::WorkRefusal::NoTime.as_str(), "no_time");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoTime => "no_time",
            Self::NoRoom => "no_room",
            Self::OverShare => "over_share",
        }
    }
}

/// A program that asks to start.
#[derive(Clone, Copy, Debug)]
pub struct ProgramRequest<'r> {
    /// The program.
    pub program: &'r ProgramName,
    /// The route of its turns.
    pub route: &'r str,
    /// The customer; empty without customers.
    pub customer: &'r str,
    /// The urgency; 0 is the most urgent.
    pub urgency: u8,
    /// The time until its deadline.
    pub time_left: Duration,
}

/// The engines of a service, and the gateways that share them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharedSlots {
    /// The slots of all ready engines.
    pub slots: u32,
    /// The number of gateways.
    pub gateways: usize,
}

/// Whether a program may start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WorkDecision {
    /// It may send its first turn.
    Admitted,
    /// It may not start now.
    Refused {
        /// The reason.
        reason: WorkRefusal,
        /// The mean time after which it may ask again. The times of single callers are spread around it.
        retry_after: Duration,
        /// The reported load, in calls per slot; 0 without reports.
        load: f64,
    },
}

/// The admission of programs to one service of engines at one gateway.
///
/// ```
/// use std::time::Duration;
/// use ebony_dispatch::{ProgramRequest, SharedSlots, WorkAdmission, WorkDecision};
/// use ebony_types::{ClockTime, ProgramName};
///
/// let now = ClockTime::default();
/// let mut admission = WorkAdmission::open(now);
/// let slots = SharedSlots { slots: 6, gateways: 1 };
/// let mut admit = |name: &str| {
///     let request = ProgramRequest {
///         program: &ProgramName::parse(name)?,
///         route: "chat",
///         customer: "",
///         urgency: 1,
///         time_left: Duration::from_secs(3),
///     };
///     Ok::<_, ebony_types::name::NameError>(admission.admit(&request, slots, 0.5, now))
/// };
/// let mut decisions = Vec::new();
/// for number in 0..50 {
///     decisions.push(admit(&format!("p{number}"))?);
/// }
/// // Programs fill the engines, and all after that are refused.
/// assert_eq!(decisions[0], WorkDecision::Admitted);
/// assert!(matches!(decisions[49], WorkDecision::Refused { .. }));
/// # Ok::<(), ebony_types::name::NameError>(())
/// ```
#[derive(Clone, Debug)]
pub struct WorkAdmission {
    engine_load: ReportedLoad,
    /// The load of the services that programs call between their turns.
    tool_load: ReportedLoad,
    programs: ProgramTable,
    routes: RouteNeeds,
    offers: CustomerOffers,
    budget: WorkBudget,
}

impl WorkAdmission {
    /// Creates the admission of an idle service.
    pub fn open(now: ClockTime) -> Self {
        Self {
            engine_load: ReportedLoad::default(),
            tool_load: ReportedLoad::default(),
            programs: ProgramTable::default(),
            routes: RouteNeeds::default(),
            offers: CustomerOffers::default(),
            budget: WorkBudget::open(now),
        }
    }

    /// Records the load that an engine reported.
    pub fn record_engine_load(&mut self, notice: LoadNotice, now: ClockTime) {
        self.engine_load.record(notice, now);
    }

    /// Records the load that the target of a tool call reported.
    pub fn record_tool_load(&mut self, notice: LoadNotice, now: ClockTime) {
        self.tool_load.record(notice, now);
    }

    /// Records a turn or tool call of a program that has begun.
    pub fn record_call(&mut self, program: &ProgramName, now: ClockTime) {
        self.programs.record_call(program, now);
        self.programs.remove_ended(now);
    }

    /// Gives back the work of a program whose first turn was admitted and then refused for another reason. Does nothing
    /// once the program has had another call.
    pub fn withdraw(&mut self, program: &ProgramName, now: ClockTime) {
        if let Some(start) = self.programs.withdraw(program) {
            self.budget.give_back(start.work);
            self.routes.withdraw_first_turn(&start.route, now);
        }
    }

    /// Records the end of a turn that was `run_time` at an engine, with the load that the engine reported.
    pub fn record_turn(
        &mut self,
        route: &str,
        run_time: Duration,
        notice: Option<LoadNotice>,
        now: ClockTime,
    ) {
        self.routes.record_turn(route, run_time, notice, now);
    }

    /// Decides whether a program may start. `draw` is a random number from 0 to 1.
    ///
    /// A program that is under way is admitted: this is the first turn of a sub-agent, or repeats the program's first
    /// turn.
    pub fn admit(
        &mut self,
        request: &ProgramRequest<'_>,
        slots: SharedSlots,
        draw: f64,
        now: ClockTime,
    ) -> WorkDecision {
        if self.programs.is_under_way(request.program, now) {
            self.programs.record_call(request.program, now);
            return WorkDecision::Admitted;
        }
        self.programs.remove_ended(now);
        let load = self.load(now);
        self.budget.advance(slots, load, now);
        let refuse = |reason, retry_after| WorkDecision::Refused {
            reason,
            retry_after,
            load: load.unwrap_or_default(),
        };
        let turn_time = self.routes.turn_time(request.route, now).unwrap_or_default();
        if request.time_left < turn_time.mul_f64(STARTED_TURN_SHARE) {
            self.programs.record_call(request.program, now);
            return WorkDecision::Admitted;
        }
        let work = self.routes.work(request.route, now);
        let offered = self.offers.record(request.customer, work, now);
        let fair_rate = self.budget.fair_rate() * urgency_weight(request.urgency);
        if draw * offered >= fair_rate {
            return refuse(self.reason(offered, now), self.return_time(request.time_left));
        }
        self.budget.take(work);
        self.routes.record_first_turn(request.route, now);
        self.programs.begin(request.program, request.route, work, now);
        WorkDecision::Admitted
    }

    /// Returns the load of the engines or of the tools, whichever is higher: programs are late if either is overloaded.
    fn load(&self, now: ClockTime) -> Option<f64> {
        let (engines, tools) = (self.engine_load.mean(now), self.tool_load.mean(now));
        [engines, tools].into_iter().flatten().reduce(f64::max)
    }

    fn reason(&self, offered: f64, now: ClockTime) -> WorkRefusal {
        let customers = self.offers.active(now).max(1);
        let equal_share = self.budget.rate() / customers as f64;
        if customers > 1 && offered > OVER_SHARE_FACTOR * equal_share {
            WorkRefusal::OverShare
        } else {
            WorkRefusal::NoRoom
        }
    }

    fn return_time(&self, time_left: Duration) -> Duration {
        let usual = time_left.mul_f64(RETURN_SHARE).clamp(MIN_RETURN, MAX_RETURN);
        let most = time_left.mul_f64(MAX_RETURN_SHARE).max(MIN_RETURN);
        usual.max(self.budget.debt_time()).min(most)
    }
}

/// Returns how many times the offer of a customer is admitted for programs of an urgency, compared with the usual one.
/// Less urgent programs are refused first, but none of them always.
fn urgency_weight(urgency: u8) -> f64 {
    match urgency {
        0 => 10.0,
        1 => 1.0,
        _ => 0.3,
    }
}

/// Returns what is left of a quantity that decays with a time constant.
fn decay_factor(elapsed: Duration, time_constant: Duration) -> f64 {
    (-elapsed.as_secs_f64() / time_constant.as_secs_f64()).exp()
}
