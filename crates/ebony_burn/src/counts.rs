//! Event counters.

use serde::{Deserialize, Serialize};

/// The number of counters.
pub const COUNTER_COUNT: usize = 12;

/// One of the event counters. Encoded [`EventCounts`] have the same order, so new counters must be added at the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CounterKind {
    /// Programs within the latency bound.
    ProgramGood,
    /// Programs beyond the latency bound.
    ProgramBad,
    /// First tokens within the bound.
    FirstTokenGood,
    /// First tokens beyond the bound.
    FirstTokenBad,
    /// Further tokens whose distance from the previous token is within the bound.
    IntervalGood,
    /// Further tokens whose distance from the previous token is beyond the bound.
    IntervalBad,
    /// Calls with a complete answer.
    Answered,
    /// Calls that were rejected and did not run.
    Refused,
    /// Accepted calls without an answer.
    LostAnswer,
    /// Answers that were cut off.
    IncompleteAnswer,
    /// Calls that must not be repeated and may have run.
    UncertainRun,
    /// Internal errors of the scheduler.
    InternalError,
}

impl CounterKind {
    /// The counters of [`BrokenPromise`](crate::event::BrokenPromise)s.
    pub const BROKEN: [Self; 4] = [
        Self::LostAnswer,
        Self::IncompleteAnswer,
        Self::UncertainRun,
        Self::InternalError,
    ];

    /// Returns the display name.
    pub fn title(self) -> &'static str {
        match self {
            Self::ProgramGood => "programs in time",
            Self::ProgramBad => "programs late",
            Self::FirstTokenGood => "first tokens in time",
            Self::FirstTokenBad => "first tokens late",
            Self::IntervalGood => "further tokens in time",
            Self::IntervalBad => "further tokens late",
            Self::Answered => "answered",
            Self::Refused => "refused as not run",
            Self::LostAnswer => "lost answers",
            Self::IncompleteAnswer => "incomplete answers",
            Self::UncertainRun => "uncertain runs",
            Self::InternalError => "internal errors",
        }
    }
}

/// An increment of one counter.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CounterIncrement {
    pub(crate) counter: CounterKind,
    pub(crate) amount: u32,
}

/// The counts of one bucket of one process. 32 bits suffice: a process that handles its share of the design load,
/// 24,000 tokens per second, counts 87 million in the longest bucket, one hour.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct BucketCounts([u32; COUNTER_COUNT]);

impl BucketCounts {
    pub(crate) fn add(&mut self, increment: CounterIncrement) {
        let count = &mut self.0[increment.counter as usize];
        *count = count.saturating_add(increment.amount);
    }
}

/// The counts of one window, from one or more processes.
///
/// ```
/// use ebony_burn::EventCounts;
///
/// let counts = EventCounts::default();
/// assert_eq!(counts.plus(&counts), counts);
/// assert!(counts.is_empty());
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EventCounts([u64; COUNTER_COUNT]);

impl EventCounts {
    /// Returns the value of one counter.
    pub fn get(&self, counter: CounterKind) -> u64 {
        self.0[counter as usize]
    }

    /// Returns `true` if nothing was counted.
    pub fn is_empty(&self) -> bool {
        self.0.iter().all(|count| *count == 0)
    }

    /// Returns the sum of two counts. The sum saturates, which keeps it commutative and associative.
    #[must_use]
    pub fn plus(mut self, other: &Self) -> Self {
        for (count, more) in self.0.iter_mut().zip(other.0) {
            *count = count.saturating_add(more);
        }
        self
    }

    pub(crate) fn add_bucket(&mut self, bucket: &BucketCounts) {
        for (count, more) in self.0.iter_mut().zip(bucket.0) {
            *count = count.saturating_add(u64::from(more));
        }
    }
}
