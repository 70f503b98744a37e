//! Results of a load run.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use ebony_types::RunVerdict;
use hdrhistogram::Histogram;

use crate::server::Result;

/// Upper bound of the histograms in microseconds: one hour. Longer times count as one hour.
const MAX_MICROS: u64 = 3_600_000_000;

/// Significant decimal digits of the histograms.
const HISTOGRAM_DIGITS: u8 = 3;

/// A kind of failure: the code and the run verdict.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct FailureKind {
    /// The code of the problem document. Without one: `status_<status>` for an error status, `connection` if the
    /// connection failed, `timeout` after a time-out, and `no_end` for a stream without its end event.
    pub code: String,
    /// Whether the call may have run: `not_run`, `may_have_run` or `ran`.
    pub verdict: String,
}

impl FailureKind {
    pub(crate) fn open(code: &str, verdict: RunVerdict) -> Self {
        Self {
            code: code.to_owned(),
            verdict: verdict.as_str().to_owned(),
        }
    }
}

/// Results of a load run. The histograms are in microseconds.
pub struct LoadReport {
    /// Calls that began.
    pub calls: u64,
    /// Calls with a complete answer that belongs to them.
    pub succeeded: u64,
    /// Calls whose answer had no error, but was incomplete or belonged to another call. Always a fault of the system
    /// under test.
    pub wrong_answers: u64,
    /// Details of the first wrong answer.
    pub first_wrong_detail: Option<String>,
    /// Failed calls by code and verdict. Bounded, because there are few codes.
    pub failures: BTreeMap<FailureKind, u64>,
    /// Duration of each successful call.
    pub latency: Histogram<u64>,
    /// Time from the start of each successful call to the first byte of its body.
    pub first_byte: Histogram<u64>,
    /// Duration of each program that completed all its turns, from the start of its first call to the end of its last.
    pub program_latency: Histogram<u64>,
    /// Duration of the run.
    pub elapsed: Duration,
}

impl LoadReport {
    pub(crate) fn open() -> Result<Self> {
        let histogram = Histogram::new_with_bounds(1, MAX_MICROS, HISTOGRAM_DIGITS)?;
        Ok(Self {
            calls: 0,
            succeeded: 0,
            wrong_answers: 0,
            first_wrong_detail: None,
            failures: BTreeMap::new(),
            latency: histogram.clone(),
            first_byte: histogram.clone(),
            program_latency: histogram,
            elapsed: Duration::ZERO,
        })
    }

    /// Returns the number of successful calls per second.
    pub fn calls_per_second(&self) -> f64 {
        self.succeeded as f64 / self.elapsed.as_secs_f64().max(f64::MIN_POSITIVE)
    }

    /// Returns the number of failed calls.
    pub fn failed(&self) -> u64 {
        self.failures.values().sum()
    }

    pub(crate) fn note_failure(&mut self, kind: FailureKind) {
        *self.failures.entry(kind).or_default() += 1;
    }

    pub(crate) fn note_wrong(&mut self, detail: String) {
        self.wrong_answers += 1;
        self.first_wrong_detail.get_or_insert(detail);
    }

    /// Adds the report of another caller.
    pub(crate) fn add(&mut self, other: Self) {
        self.calls += other.calls;
        self.succeeded += other.succeeded;
        self.wrong_answers += other.wrong_answers;
        self.first_wrong_detail = self.first_wrong_detail.take().or(other.first_wrong_detail);
        for (kind, count) in other.failures {
            *self.failures.entry(kind).or_default() += count;
        }
        // Cannot fail, because all histograms have the same bounds.
        self.latency.add(other.latency).ok();
        self.first_byte.add(other.first_byte).ok();
        self.program_latency.add(other.program_latency).ok();
    }
}

/// Records a duration; durations above the bound of the histogram count as the bound.
pub(crate) fn record(histogram: &mut Histogram<u64>, time: Duration) {
    let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
    histogram.saturating_record(micros);
}

impl fmt::Display for LoadReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "calls {}, succeeded {}, failed {}, wrong answers {}, {:.1} calls/s",
            self.calls,
            self.succeeded,
            self.failed(),
            self.wrong_answers,
            self.calls_per_second()
        )?;
        let histograms = [
            ("call", &self.latency),
            ("first byte", &self.first_byte),
            ("program", &self.program_latency),
        ];
        for (name, histogram) in histograms {
            writeln!(
                formatter,
                "{name}: p50 {} us, p95 {} us, p99 {} us, max {} us",
                histogram.value_at_quantile(0.5),
                histogram.value_at_quantile(0.95),
                histogram.value_at_quantile(0.99),
                histogram.max()
            )?;
        }
        for (kind, count) in &self.failures {
            writeln!(formatter, "failed {} ({}): {count}", kind.code, kind.verdict)?;
        }
        Ok(())
    }
}
