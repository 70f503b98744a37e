//! How many requests a program of a customer needs.

use ebony_types::ClockTime;

/// The time after which earlier programs count for less, in seconds: a few times the time that programs run.
const AVERAGING_TIME_S: f64 = 30.0;

/// The requests of a program before any was seen, and the number of programs that this counts as.
const DEFAULT_REQUESTS: f64 = 10.0;
const DEFAULT_PROGRAMS: f64 = 3.0;

const MIN_REQUESTS: f64 = 1.0;
const MAX_REQUESTS: f64 = 200.0;

/// The requests of a customer in relation to the programs that it began. Requests outside programs are included, so that
/// the tokens that they need are not promised to programs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProgramNeed {
    requests: f64,
    programs: f64,
    at: ClockTime,
}

impl ProgramNeed {
    /// Creates the need of a customer of which nothing is known.
    pub fn open(now: ClockTime) -> Self {
        Self {
            requests: 0.0,
            programs: 0.0,
            at: now,
        }
    }

    /// Counts requests, and the programs that began with some of them.
    ///
    /// ```
    /// use ebony_limit::quota::need::ProgramNeed;
    /// use ebony_types::ClockTime;
    ///
    /// let mut need = ProgramNeed::open(ClockTime::default());
    /// assert_eq!(need.requests(), 10.0);
    /// need.record(400, 20, ClockTime::from_millis(1_000));
    /// assert!(need.requests() > 15.0);
    /// need.record(1_000_000, 0, ClockTime::from_millis(2_000));
    /// assert_eq!(need.requests(), 200.0);
    /// ```
    pub fn record(&mut self, requests: u32, programs: u32, now: ClockTime) {
        let age = now.since(self.at).as_secs_f64();
        let kept = (-age / AVERAGING_TIME_S).exp();
        self.requests = self.requests * kept + f64::from(requests);
        self.programs = self.programs * kept + f64::from(programs);
        self.at = self.at.max(now);
    }

    /// Returns the requests that a program needs.
    pub fn requests(&self) -> f64 {
        let requests = self.requests + DEFAULT_REQUESTS * DEFAULT_PROGRAMS;
        let programs = self.programs + DEFAULT_PROGRAMS;
        (requests / programs).clamp(MIN_REQUESTS, MAX_REQUESTS)
    }
}
