//! Recording of distributions in fixed memory.

use hdrhistogram::{CreationError, Histogram};
use serde::{Deserialize, Serialize};

/// Significant decimal digits of recorded values.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Highest recorded value, to which higher ones are clamped. In milliseconds it is 11 days.
const MAX_VALUE: u64 = 1_000_000_000;

/// Interval between the quantiles of a curve.
const CURVE_STEP_PER_MILLE: u16 = 10;
/// Further quantiles at the tail of a curve.
const CURVE_TAIL_PER_MILLE: [u16; 3] = [995, 999, 1_000];

/// Figures are rounded to thousandths, because short decimals are read back from JSON exactly.
const STEPS_PER_UNIT: f64 = 1_000.0;

/// The result of creating a recorder.
type Result<T, E = CreationError> = std::result::Result<T, E>;

/// Rounds a figure of a report.
pub(super) fn round_to_thousandths(figure: f64) -> f64 {
    (figure * STEPS_PER_UNIT).round() / STEPS_PER_UNIT
}

/// A point of a cumulative distribution: a value and the share of recorded values that are not higher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CurvePoint {
    /// The share in per mille.
    pub share: u16,
    /// The value.
    pub value: u64,
}

/// Summary statistics of a distribution.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct DistributionSummary {
    /// The number of values.
    pub count: u64,
    /// The mean.
    pub mean: f64,
    /// The median.
    pub p50: u64,
    /// The 95th percentile.
    pub p95: u64,
    /// The 99th percentile.
    pub p99: u64,
    /// The highest value.
    pub max: u64,
    /// The cumulative distribution in ascending order; empty if no values were recorded.
    pub curve: Vec<CurvePoint>,
}

/// Records values in a histogram.
#[derive(Clone, Debug)]
pub(super) struct ValueRecorder {
    histogram: Histogram<u64>,
}

impl ValueRecorder {
    /// Creates an empty recorder.
    pub(super) fn open() -> Result<Self> {
        let histogram = Histogram::new_with_bounds(1, MAX_VALUE, SIGNIFICANT_DIGITS)?;
        Ok(Self { histogram })
    }

    pub(super) fn record(&mut self, value: u64) {
        self.histogram.saturating_record(value.min(MAX_VALUE));
    }

    pub(super) fn record_times(&mut self, value: u64, times: u64) {
        self.histogram.saturating_record_n(value.min(MAX_VALUE), times);
    }

    pub(super) fn summary(&self) -> DistributionSummary {
        if self.histogram.is_empty() {
            return DistributionSummary::default();
        }
        let shares = (0..1_000)
            .step_by(usize::from(CURVE_STEP_PER_MILLE))
            .chain(CURVE_TAIL_PER_MILLE);
        let point = |share: u16| CurvePoint {
            share,
            value: self.histogram.value_at_quantile(f64::from(share) / 1_000.0),
        };
        DistributionSummary {
            count: self.histogram.len(),
            mean: round_to_thousandths(self.histogram.mean()),
            p50: self.histogram.value_at_quantile(0.5),
            p95: self.histogram.value_at_quantile(0.95),
            p99: self.histogram.value_at_quantile(0.99),
            max: self.histogram.max(),
            curve: shares.map(point).collect(),
        }
    }
}
