//! Burn rates, error budgets and alerts of all groups.

use serde::{Deserialize, Serialize};

use crate::alert::{AlertLevel, alert_level};
use crate::counts::{CounterKind, EventCounts};
use crate::label::{GroupKey, LabelName};
use crate::objective::{ALL_PPM, GroupObjectives, ObjectiveKind, SloCatalog};
use crate::snapshot::{BurnSnapshot, GroupCounts};
use crate::window::{HISTORY_HOURS, WindowSpan};

/// Rates are rounded to thousandths, so that reports are short and identical on all machines.
const RATE_STEPS_PER_UNIT: f64 = 1_000.0;

/// Returns the rate at which `bad` events out of `good + bad` consume the error budget. At 1, the budget is used up
/// exactly at the end of its period. Without events the rate is 0.
///
/// ```
/// use ebony_burn::report::burn_rate;
///
/// assert_eq!(burn_rate(999, 1, 999_000), 1.0);
/// assert_eq!(burn_rate(0, 10, 950_000), 20.0);
/// assert_eq!(burn_rate(0, 0, 950_000), 0.0);
/// ```
pub fn burn_rate(good: u64, bad: u64, good_ppm: u32) -> f64 {
    let total = good.saturating_add(bad);
    if total == 0 {
        return 0.0;
    }
    let bad_share = bad as f64 / total as f64;
    let allowed_share = f64::from(ALL_PPM.saturating_sub(good_ppm).max(1)) / f64::from(ALL_PPM);
    round_rate(bad_share / allowed_share)
}

fn round_rate(rate: f64) -> f64 {
    (rate * RATE_STEPS_PER_UNIT).round() / RATE_STEPS_PER_UNIT
}

/// The burn rate in one window.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct WindowBurn {
    /// The window.
    pub window: WindowSpan,
    /// The burn rate.
    pub rate: f64,
}

/// The state of one objective of one group.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ObjectiveReport {
    /// The objective.
    pub objective: ObjectiveKind,
    /// The bound on the latency, in milliseconds, if the objective has one.
    pub bound_ms: Option<u32>,
    /// The share of events that must be good, in parts per million.
    pub good_ppm: u32,
    /// Good events within 3 days.
    pub good: u64,
    /// Bad events within 3 days.
    pub bad: u64,
    /// Burn rates, shortest window first.
    pub burn: Vec<WindowBurn>,
    /// The remaining share of the error budget over 3 days; negative if the budget is exceeded.
    pub budget_left: f64,
    /// The alert level.
    pub alert: AlertLevel,
    /// Burn rate in each of the last 72 hours, oldest first; `None` for an hour without events.
    pub history: Vec<Option<f64>>,
}

impl ObjectiveReport {
    /// Computes the state of one objective.
    pub fn of(objective: ObjectiveKind, counts: &GroupCounts, objectives: &GroupObjectives) -> Self {
        let good_ppm = objectives.good_ppm(objective);
        let rate = |counts: &EventCounts| burn_rate(objective.good(counts), objective.bad(counts), good_ppm);
        let window_rate = |window| rate(&counts.span(window));
        let hour_rate = |age| {
            let hour = counts.hour(age)?;
            let has_events = objective.good(hour) > 0 || objective.bad(hour) > 0;
            has_events.then(|| rate(hour))
        };
        let long_counts = counts.span(WindowSpan::Days3);
        Self {
            objective,
            bound_ms: objectives.latency(objective).map(|target| target.bound_ms),
            good_ppm,
            good: objective.good(&long_counts),
            bad: objective.bad(&long_counts),
            burn: WindowSpan::ALL
                .into_iter()
                .map(|window| WindowBurn {
                    window,
                    rate: window_rate(window),
                })
                .collect(),
            budget_left: round_rate(1.0 - rate(&long_counts)),
            alert: alert_level(window_rate),
            history: (0..HISTORY_HOURS).rev().map(hour_rate).collect(),
        }
    }
}

/// Broken promises by kind, within 3 days.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct BrokenCounts {
    /// Accepted calls without an answer.
    pub lost_answers: u64,
    /// Answers that were cut off.
    pub incomplete_answers: u64,
    /// Calls that must not be repeated and may have run.
    pub uncertain_runs: u64,
    /// Internal errors of the scheduler.
    pub internal_errors: u64,
}

impl BrokenCounts {
    fn of(counts: &EventCounts) -> Self {
        Self {
            lost_answers: counts.get(CounterKind::LostAnswer),
            incomplete_answers: counts.get(CounterKind::IncompleteAnswer),
            uncertain_runs: counts.get(CounterKind::UncertainRun),
            internal_errors: counts.get(CounterKind::InternalError),
        }
    }
}

/// The state of one group.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct GroupReport {
    /// The deployment.
    pub deployment: LabelName,
    /// The caller group.
    pub group: LabelName,
    /// The objectives, in the order of [`ObjectiveKind::ALL`].
    pub objectives: Vec<ObjectiveReport>,
    /// Calls within 3 days that were rejected and did not run. No objective counts them.
    pub refused: u64,
    /// Broken promises by kind.
    pub broken: BrokenCounts,
}

impl GroupReport {
    fn of(key: &GroupKey, counts: &GroupCounts, objectives: &GroupObjectives) -> Self {
        let long_counts = counts.span(WindowSpan::Days3);
        Self {
            deployment: key.deployment.clone(),
            group: key.group.clone(),
            objectives: ObjectiveKind::ALL
                .into_iter()
                .map(|kind| ObjectiveReport::of(kind, counts, objectives))
                .collect(),
            refused: long_counts.get(CounterKind::Refused),
            broken: BrokenCounts::of(&long_counts),
        }
    }

    /// Returns the most urgent alert of the group.
    pub fn alert(&self) -> AlertLevel {
        let alerts = self.objectives.iter().map(|objective| objective.alert);
        alerts.max().unwrap_or(AlertLevel::Fine)
    }
}

/// The state of all groups.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct BurnReport {
    /// The groups, in the order of their keys.
    pub groups: Vec<GroupReport>,
}

impl BurnReport {
    /// Computes the report from a snapshot, which may hold the merged counts of many processes.
    pub fn of(snapshot: &BurnSnapshot, catalog: &SloCatalog) -> Self {
        let group_report =
            |(key, counts): (&GroupKey, &GroupCounts)| GroupReport::of(key, counts, &catalog.objectives(key));
        Self {
            groups: snapshot.groups().map(group_report).collect(),
        }
    }

    /// Returns one objective of one group.
    pub fn objective(
        &self,
        deployment: &str,
        group: &str,
        objective: ObjectiveKind,
    ) -> Option<&ObjectiveReport> {
        let is_group = |report: &&GroupReport| {
            report.deployment.as_str() == deployment && report.group.as_str() == group
        };
        let report = self.groups.iter().find(is_group)?;
        report.objectives.iter().find(|row| row.objective == objective)
    }

    /// Returns the number of objectives at an alert level.
    pub fn alerts(&self, level: AlertLevel) -> usize {
        let objectives = self.groups.iter().flat_map(|group| &group.objectives);
        objectives.filter(|objective| objective.alert == level).count()
    }
}
