//! Event counts over several sliding windows, in fixed memory.

use ebony_types::ClockTime;
use serde::{Deserialize, Serialize};

use crate::counts::{BucketCounts, CounterIncrement, EventCounts};

const MICROS_PER_SECOND: u64 = 1_000_000;

/// The length of a history, which has one point per hour.
pub const HISTORY_HOURS: usize = 72;

/// The length of the longest window, in seconds.
pub const LONGEST_SPAN_SECONDS: u64 = 72 * 3_600;

const FINE_BUCKET_SECONDS: u64 = 30;
const MEDIUM_BUCKET_SECONDS: u64 = 600;
const COARSE_BUCKET_SECONDS: u64 = 3_600;

/// The windows over which burn rates are computed.
///
/// The last bucket of a window is the current, incomplete one, so a window can be shorter than its length by up to one
/// bucket: 30 s for windows up to 1 hour, 10 min for 6 hours, and 1 hour for 3 days.
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
    /// All windows, shortest first.
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

    /// Returns the display name.
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

/// A ring of `N` buckets of `BUCKET_SECONDS` seconds each.
#[derive(Clone, Debug)]
struct BucketRing<const N: usize, const BUCKET_SECONDS: u64> {
    buckets: [BucketCounts; N],
    /// The number of the newest bucket, counted from the zero of the clock.
    newest: u64,
}

impl<const N: usize, const BUCKET_SECONDS: u64> BucketRing<N, BUCKET_SECONDS> {
    fn open(now: ClockTime) -> Self {
        Self {
            buckets: [BucketCounts::default(); N],
            newest: Self::bucket_number(now),
        }
    }

    /// Returns the number of the bucket that contains `now`.
    fn bucket_number(now: ClockTime) -> u64 {
        now.as_micros() / (BUCKET_SECONDS * MICROS_PER_SECOND)
    }

    fn slot(number: u64) -> usize {
        (number % N as u64) as usize
    }

    /// Adds to the bucket of `now`. An event that is older than the newest bucket is added to the newest: callers read
    /// the clock before they wait for the ledger, so events can arrive slightly out of order.
    fn add(&mut self, increment: CounterIncrement, now: ClockTime) {
        let target = Self::bucket_number(now).max(self.newest);
        let skipped = (target - self.newest).min(N as u64);
        for number in target + 1 - skipped..=target {
            self.buckets[Self::slot(number)] = BucketCounts::default();
        }
        self.newest = target;
        self.buckets[Self::slot(target)].add(increment);
    }

    /// Returns the bucket that is `age` buckets older than that of `now`, or `None` if the ring does not hold it.
    fn bucket(&self, age: u64, now: ClockTime) -> Option<&BucketCounts> {
        let current = Self::bucket_number(now).max(self.newest);
        let number = current.checked_sub(age)?;
        let is_held = number <= self.newest && self.newest - number < N as u64;
        is_held.then(|| &self.buckets[Self::slot(number)])
    }

    fn sum(&self, seconds: u64, now: ClockTime) -> EventCounts {
        let mut counts = EventCounts::default();
        for bucket in (0..seconds / BUCKET_SECONDS).filter_map(|age| self.bucket(age, now)) {
            counts.add_bucket(bucket);
        }
        counts
    }
}

/// The counts of one caller group over all windows. Owns no heap memory, so its memory use does not grow.
#[derive(Clone, Debug)]
pub struct BurnWindow {
    fine: BucketRing<120, FINE_BUCKET_SECONDS>,
    medium: BucketRing<36, MEDIUM_BUCKET_SECONDS>,
    coarse: BucketRing<HISTORY_HOURS, COARSE_BUCKET_SECONDS>,
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

    pub(crate) fn add(&mut self, increment: CounterIncrement, now: ClockTime) {
        self.fine.add(increment, now);
        self.medium.add(increment, now);
        self.coarse.add(increment, now);
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

    /// Returns the counts of the hour that began `age_hours` before the current one; 0 is the current hour.
    pub fn hour(&self, age_hours: usize, now: ClockTime) -> EventCounts {
        let mut counts = EventCounts::default();
        if let Some(bucket) = self.coarse.bucket(age_hours as u64, now) {
            counts.add_bucket(bucket);
        }
        counts
    }
}
