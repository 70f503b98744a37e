//! Events that the ledger counts.

use std::time::Duration;

use ebony_types::{ProblemCode, ProblemReport, RunVerdict};

use crate::counts::{CounterIncrement, CounterKind};
use crate::objective::GroupObjectives;

/// The lowest HTTP status of an error that the caller did not cause.
const MIN_SERVER_ERROR_STATUS: u16 = 500;

/// The ways in which a call can fail the objective [`KeptPromises`](crate::objective::ObjectiveKind::KeptPromises).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum BrokenPromise {
    /// An accepted call got no answer.
    LostAnswer,
    /// The answer was cut off.
    IncompleteAnswer,
    /// It is unknown whether a call that must not be repeated ran.
    UncertainRun,
    /// The scheduler reported an internal error.
    InternalError,
}

/// The outcome of a call, as its caller saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CallEnd {
    /// The complete answer arrived.
    Answered,
    /// The call was rejected and did not run. It is counted separately, neither as good nor as bad: as a good event it
    /// would lower the burn rate during overload.
    Refused,
    /// The request was invalid, or the caller cancelled the call. Not counted.
    CallerError,
    /// The call failed the objective of kept promises.
    Broken(BrokenPromise),
}

impl CallEnd {
    /// Classifies a call that ended with a problem. `must_run_once` is set for calls that must not be repeated.
    ///
    /// ```
    /// use ebony_burn::{BrokenPromise, CallEnd};
    /// use ebony_types::{ProblemCode, ProblemReport};
    ///
    /// let refusal = ProblemReport::not_run(ProblemCode::Overloaded, "the queue is full");
    /// assert_eq!(CallEnd::of_problem(&refusal, true), CallEnd::Refused);
    /// let failure = ProblemReport::may_have_run(ProblemCode::TargetFailed, "the connection broke");
    /// assert_eq!(CallEnd::of_problem(&failure, true), CallEnd::Broken(BrokenPromise::UncertainRun));
    /// assert_eq!(CallEnd::of_problem(&failure, false), CallEnd::Broken(BrokenPromise::LostAnswer));
    /// ```
    pub fn of_problem(problem: &ProblemReport, must_run_once: bool) -> Self {
        if problem.code == ProblemCode::Cancelled {
            return Self::CallerError;
        }
        if problem.code == ProblemCode::Internal {
            return Self::Broken(BrokenPromise::InternalError);
        }
        if must_run_once && problem.run == RunVerdict::MayHaveRun {
            return Self::Broken(BrokenPromise::UncertainRun);
        }
        if problem.status() < MIN_SERVER_ERROR_STATUS {
            return Self::CallerError;
        }
        match problem.run {
            RunVerdict::NotRun => Self::Refused,
            RunVerdict::MayHaveRun | RunVerdict::Ran => Self::Broken(BrokenPromise::LostAnswer),
        }
    }
}

/// One event of a caller group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BurnEvent {
    /// A program ended.
    ProgramEnded {
        /// Time from its first call to the end of its last.
        latency: Duration,
    },
    /// The first token of an answer arrived.
    FirstToken {
        /// Time from the call to the token.
        wait: Duration,
    },
    /// Further tokens of an answer arrived.
    TokensArrived {
        /// Time between two tokens. The tokens of one chunk count as evenly spaced.
        interval: Duration,
        /// The number of tokens.
        tokens: u32,
    },
    /// A call ended.
    CallEnded(CallEnd),
}

impl BurnEvent {
    /// Returns the increment for the event, or `None` if it is not counted.
    pub(crate) fn increment(self, objectives: &GroupObjectives) -> Option<CounterIncrement> {
        let (counter, amount) = match self {
            Self::ProgramEnded { latency } => match objectives.program_latency.allows(latency) {
                true => (CounterKind::ProgramGood, 1),
                false => (CounterKind::ProgramBad, 1),
            },
            Self::FirstToken { wait } => match objectives.first_token.allows(wait) {
                true => (CounterKind::FirstTokenGood, 1),
                false => (CounterKind::FirstTokenBad, 1),
            },
            Self::TokensArrived { interval, tokens } => match objectives.token_interval.allows(interval) {
                true => (CounterKind::IntervalGood, tokens),
                false => (CounterKind::IntervalBad, tokens),
            },
            Self::CallEnded(end) => (call_counter(end)?, 1),
        };
        Some(CounterIncrement { counter, amount })
    }
}

fn call_counter(end: CallEnd) -> Option<CounterKind> {
    match end {
        CallEnd::Answered => Some(CounterKind::Answered),
        CallEnd::Refused => Some(CounterKind::Refused),
        CallEnd::CallerError => None,
        CallEnd::Broken(BrokenPromise::LostAnswer) => Some(CounterKind::LostAnswer),
        CallEnd::Broken(BrokenPromise::IncompleteAnswer) => Some(CounterKind::IncompleteAnswer),
        CallEnd::Broken(BrokenPromise::UncertainRun) => Some(CounterKind::UncertainRun),
        CallEnd::Broken(BrokenPromise::InternalError) => Some(CounterKind::InternalError),
    }
}
