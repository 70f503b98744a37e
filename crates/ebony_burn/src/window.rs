//! Event counts over several windows, in fixed memory.

use ebony_types::ClockTime;
use serde::{Deserialize, Serialize};

use crate::counts::{BucketCounts, CounterStep, EventCounts};

const MICROS_PER_SECOND: u64 = 1_000_000;

/// The number of points in a history, one an hour.
pub const HISTORY_HOURS: usize = 72;

/// The time that one group's counts reach back, in seconds.
pub const LONGEST_SPAN_SECONDS: u64 = 72 * 3_600;

const FINE_SECONDS: u64 = 30;
const MEDIUM_SECONDS: u64 = 600;
const COARSE_SECONDS: u64 = 3_600;

/// The windows over which burn rates are computed.
///
/// A window ends in a bucket that is still filling. It therefore reaches back up to one bucket less than its length:
/// 30 s for windows up to an hour, 10 min for 6 hours, and one hour for 3 days.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WindowSpan {
    /// 5 minutes.
    Minutes5,
    /// 30 minutes.
    Minutes30,
    /// 1 hour.
    Hour1,
    /// 6 hours.
    Hours6,
    /// 3 days.
    Days3,
}

impl WindowSpan {
    /// Every window, shortest first.
    pub const ALL: [Self; 5] = [
        Self::Minutes5,
        Self::Minutes30,
        Self::Hour1,
        Self::Hours6,
        Self::Days3,
    ];

    /// Returns the length in seconds.
    pub const fn seconds(self) -> u64 {
        match self {
            Self::Minutes5 => 300,
            Self::Minutes30 => 1_800,
            Self::Hour1 => 3_600,
            Self::Hours6 => 6 * 3_600,
            Self::Days3 => LONGEST_SPAN_SECONDS,
        }
    }

    /// Returns the name for people.
    pub const fn title(self) -> &'static str {
        match self {
            Self::Minutes5 => "5 min",
            Self::Minutes30 => "30 min",
            Self::Hour1 => "1 h",
            Self::Hours6 => "6 h",
            Self::Days3 => "3 d",
        }
    }
}

/// A ring of `N` buckets of `SECONDS` seconds each.
#[derive(Clone, Debug)]
struct BucketRing<const N: usize, const SECONDS: u64> {
    buckets: [BucketCounts; N],
    /// The number of the newest bucket, counted from the start of the clock.
    newest: u64,
}

impl<const N: usize, const SECONDS: u64> BucketRing<N, SECONDS> {
    fn open(now: ClockTime) -> Self {
        Self {
            buckets: [BucketCounts::default(); N],
            newest: Self::number(now),
        }
    }

    fn number(now: ClockTime) -> u64 {
        now.as_micros() / (SECONDS * MICROS_PER_SECOND)
    }

    fn slot(number: u64) -> usize {
        (number % N as u64) as usize
    }

    /// Adds to the bucket of `now`. An event from before the newest bucket is counted in the newest: callers read the
    /// clock before they wait for the ledger, so that events can arrive slightly out of order.
    fn add(&mut self, step: CounterStep, now: ClockTime) {
        let target = Self::number(now).max(self.newest);
        let skipped = (target - self.newest).min(N as u64);
        for number in target + 1 - skipped..=target {
            self.buckets[Self::slot(number)] = BucketCounts::default();
        }
        self.newest = target;
        self.buckets[Self::slot(target)].add(step);
    }

    /// Returns the bucket that lies `age` buckets before that of `now`, if the ring still has it.
    fn bucket(&self, age: u64, now: ClockTime) -> Option<&BucketCounts> {
        let current = Self::number(now).max(self.newest);
        let number = current.checked_sub(age)?;
        let is_held = number <= self.newest && self.newest - number < N as u64;
        is_held.then(|| &self.buckets[Self::slot(number)])
    }

    fn sum(&self, seconds: u64, now: ClockTime) -> EventCounts {
        let mut counts = EventCounts::default();
        for bucket in (0..seconds / SECONDS).filter_map(|age| self.bucket(age, now)) {
            counts.add_bucket(bucket);
        }
        counts
    }
}

/// The counts of one caller group over all windows. It owns no heap memory, and its size is that of the type.
#[derive(Clone, Debug)]
pub struct BurnWindow {
    fine: BucketRing<120, FINE_SECONDS>,
    medium: BucketRing<36, MEDIUM_SECONDS>,
    coarse: BucketRing<HISTORY_HOURS, COARSE_SECONDS>,
}

impl BurnWindow {
    /// Creates empty counts.
    pub fn open(now: ClockTime) -> Self {
        Self {
            fine: BucketRing::open(now),
            medium: BucketRing::open(now),
            coarse: BucketRing::open(now),
        }
    }

    pub(crate) fn add(&mut self, step: CounterStep, now: ClockTime) {
        self.fine.add(step, now);
        self.medium.add(step, now);
        self.coarse.add(step, now);
    }

    /// Returns the counts of the window that ends at `now`.
    pub fn counts(&self, span: WindowSpan, now: ClockTime) -> EventCounts {
        match span {
            WindowSpan::Minutes5 | WindowSpan::Minutes30 | WindowSpan::Hour1 => {
                self.fine.sum(span.seconds(), now)
            }
            WindowSpan::Hours6 => self.medium.sum(span.seconds(), now),
            WindowSpan::Days3 => self.coarse.sum(span.seconds(), now),
        }
    }

    /// Returns the counts of the hour that lies `age_hours` back, the current one being 0.
    pub fn hour(&self, age_hours: usize, now: ClockTime) -> EventCounts {
        let mut counts = EventCounts::default();
        if let Some(bucket) = self.coarse.bucket(age_hours as u64, now) {
            counts.add_bucket(bucket);
        }
        counts
    }
}
