//! Fairness between callers.

use std::time::Duration;

use ebony_types::CallerName;
use serde::{Deserialize, Serialize};

use crate::summary::distribution::round_to_thousandths;

/// Returns Jain's fairness index. It ranges from `1 / values.len()`, if one caller gets everything, to 1, if all get the
/// same. Without any value above zero it is 1.
///
/// Source: Jain, Chiu and Hawe, "A Quantitative Measure of Fairness and Discrimination for Resource Allocation in
/// Shared Computer Systems", 1984.
///
/// ```
/// use ebony_trace::summary::jain_index;
///
/// assert_eq!(jain_index(&[0.5, 0.5, 0.5]), 1.0);
/// assert_eq!(jain_index(&[1.0, 0.0, 0.0, 0.0]), 0.25);
/// ```
pub fn jain_index(values: &[f64]) -> f64 {
    let sum: f64 = values.iter().sum();
    let squares: f64 = values.iter().map(|value| value * value).sum();
    if squares == 0.0 {
        return 1.0;
    }
    sum * sum / (values.len() as f64 * squares)
}

/// Figures of one caller.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct CallerReport {
    /// The caller.
    pub caller: CallerName,
    /// Programs that ended, sub-agents included.
    pub programs: u32,
    /// Ended programs that received their last answer.
    pub finished: u32,
    /// Total critical path divided by total latency of the finished programs, times the share of programs that
    /// finished. 1 is the speed of unloaded engines without failures.
    pub speed: f64,
}

/// Totals of one caller.
#[derive(Clone, Debug, Default)]
pub(super) struct CallerTotals {
    pub(super) programs: u32,
    pub(super) finished: u32,
    pub(super) path: Duration,
    pub(super) latency: Duration,
}

impl CallerTotals {
    pub(super) fn report(&self, caller: &CallerName) -> CallerReport {
        let latency = self.latency.as_secs_f64();
        let relative_speed = if latency > 0.0 {
            self.path.as_secs_f64() / latency
        } else {
            0.0
        };
        let finished_share = f64::from(self.finished) / f64::from(self.programs.max(1));
        CallerReport {
            caller: caller.clone(),
            programs: self.programs,
            finished: self.finished,
            speed: round_to_thousandths(relative_speed * finished_share),
        }
    }
}
