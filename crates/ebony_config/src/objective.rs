//! Service-level objectives of groups of callers.

use serde::{Deserialize, Serialize};

use crate::issue::{ConfigReport, IssueKind};

/// A time limit and the share of calls or programs that has to meet it.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LatencyObjective {
    /// The time limit in milliseconds.
    pub millis: u64,
    /// The share that has to meet the limit, above 0 and below 1.
    pub share: f64,
}

/// The service-level objectives of a group of callers.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupObjective {
    /// The share of calls that end without a fault of the system, above 0 and below 1.
    pub availability: f64,
    /// The time from a call to the first token of its answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub first_token: Option<LatencyObjective>,
    /// The time from the first call of a program to the last.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub program: Option<LatencyObjective>,
    /// The window over which the shares are computed, in hours from 1 to 2,160 (90 days).
    #[serde(default = "default_window")]
    pub window_hours: u32,
}

/// 28 days, so that every window contains each day of the week equally often.
fn default_window() -> u32 {
    28 * 24
}

impl GroupObjective {
    /// Reports shares and times outside their bounds.
    pub(crate) fn check(&self, path: &str, report: &mut ConfigReport) {
        check_share(self.availability, &format!("{path}.availability"), report);
        for (name, objective) in [("first_token", self.first_token), ("program", self.program)] {
            let Some(objective) = objective else { continue };
            check_share(objective.share, &format!("{path}.{name}.share"), report);
            check_number(
                objective.millis,
                1..=86_400_000,
                &format!("{path}.{name}.millis"),
                report,
            );
        }
        check_number(
            self.window_hours.into(),
            1..=2_160,
            &format!("{path}.window_hours"),
            report,
        );
    }
}

fn check_share(share: f64, path: &str, report: &mut ConfigReport) {
    // A share of 1 leaves an error budget of zero, which the first failure would exceed.
    if !(share > 0.0 && share < 1.0) {
        let expected = "a share above 0 and below 1".to_owned();
        let found = share.to_string();
        report.add(path.to_owned(), IssueKind::OutOfBounds { expected, found });
    }
}

fn check_number(number: u64, bounds: std::ops::RangeInclusive<u64>, path: &str, report: &mut ConfigReport) {
    if !bounds.contains(&number) {
        let expected = format!("{} to {}", bounds.start(), bounds.end());
        let found = number.to_string();
        report.add(path.to_owned(), IssueKind::OutOfBounds { expected, found });
    }
}
