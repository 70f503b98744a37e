//! Results of a run, and statistics over seeds.

use crate::run::Simulation;
use crate::scenario::{ARRIVAL_SECONDS, CALLERS};

/// Latency over ideal latency up to which a program counts for goodput.
const GOOD_SLOWDOWN: f64 = 4.0;

/// Allowance in seconds that is added to the latency limit for goodput.
const GOOD_ALLOWANCE_SECONDS: f64 = 15.0;

/// Tokens of a first prompt above which a program counts as large.
const LARGE_PROMPT_TOKENS: u64 = 20_000;

/// The results of one run, in the order of [`COLUMNS`].
#[derive(Clone, Debug)]
pub(crate) struct RunSummary {
    pub(crate) figures: [f64; COLUMNS.len()],
}

/// The columns of the table.
pub(crate) const COLUMNS: [&str; 15] = [
    "mean s",
    "p50 s",
    "p95 s",
    "p99 s",
    "slowdown",
    "first token p95 s",
    "wasted Mtok",
    "wasted %",
    "refused",
    "lost %",
    "large lost %",
    "fairness",
    "good/min",
    "others' slowdown",
    "expired",
];

/// The column of the mean program latency.
pub(crate) const MEAN: usize = 0;

/// The column of the wasted cache.
pub(crate) const WASTED: usize = 6;

pub(crate) fn summarize(simulation: &Simulation) -> RunSummary {
    let mut latencies = Vec::new();
    let mut slowdowns = Vec::new();
    // Excludes the programs of bursts.
    let mut other_slowdowns = Vec::new();
    let mut by_caller: Vec<Vec<f64>> = Vec::new();
    let (mut good, mut abandoned, mut roots) = (0_u32, 0_u32, 0_u32);
    let (mut large, mut abandoned_large) = (0_u32, 0_u32);
    for (plan, state) in simulation.plans.iter().zip(&simulation.programs) {
        if plan.parent.is_some() {
            continue;
        }
        roots += 1;
        let is_large = plan.turns[0].added_tokens > LARGE_PROMPT_TOKENS;
        large += u32::from(is_large);
        if state.is_abandoned {
            abandoned += 1;
            abandoned_large += u32::from(is_large);
            continue;
        }
        let end = state.end.unwrap_or(simulation.seconds);
        let latency = end - plan.arrival;
        latencies.push(latency);
        slowdowns.push(latency / plan.ideal_seconds);
        if plan.caller < CALLERS {
            other_slowdowns.push(latency / plan.ideal_seconds);
        }
        let is_timely = latency <= GOOD_SLOWDOWN * plan.ideal_seconds + GOOD_ALLOWANCE_SECONDS;
        good += u32::from(is_timely && state.end.is_some_and(|end| end <= ARRIVAL_SECONDS));
        if by_caller.len() <= plan.caller {
            by_caller.resize(plan.caller + 1, Vec::new());
        }
        by_caller[plan.caller].push(plan.ideal_seconds / latency);
    }
    latencies.sort_by(f64::total_cmp);
    let mut first_tokens = simulation.first_token_seconds.clone();
    first_tokens.sort_by(f64::total_cmp);
    let (mut filled, mut wasted) = (0, 0);
    for side in &simulation.sides {
        filled += side.engine.counters.filled;
        wasted += side.engine.counters.evicted + side.engine.counters.never_reused;
    }
    let speeds: Vec<f64> = by_caller
        .iter()
        .filter(|speeds| !speeds.is_empty())
        .map(|speeds| mean(speeds))
        .collect();
    RunSummary {
        figures: [
            mean(&latencies),
            quantile(&latencies, 0.5),
            quantile(&latencies, 0.95),
            quantile(&latencies, 0.99),
            mean(&slowdowns),
            quantile(&first_tokens, 0.95),
            wasted as f64 / 1e6,
            100.0 * wasted as f64 / filled.max(1) as f64,
            simulation.refusals as f64,
            100.0 * f64::from(abandoned) / f64::from(roots.max(1)),
            100.0 * f64::from(abandoned_large) / f64::from(large.max(1)),
            jain_index(&speeds),
            f64::from(good) / (ARRIVAL_SECONDS / 60.0),
            mean(&other_slowdowns),
            simulation.expired as f64,
        ],
    }
}

/// Returns the mean and the standard deviation of one column over seeds.
pub(crate) fn column_statistics(summaries: &[RunSummary], column: usize) -> (f64, f64) {
    let figures = summaries.iter().map(|summary| summary.figures[column]);
    mean_and_deviation(&figures.collect::<Vec<f64>>())
}

/// Returns the mean and the standard deviation of the change against `base` on the same seeds, in percent.
pub(crate) fn change_statistics(summaries: &[RunSummary], base: &[RunSummary], column: usize) -> (f64, f64) {
    let pairs = summaries.iter().zip(base);
    let changes = pairs.map(|(summary, base)| 100.0 * (summary.figures[column] / base.figures[column] - 1.0));
    mean_and_deviation(&changes.collect::<Vec<f64>>())
}

fn mean_and_deviation(figures: &[f64]) -> (f64, f64) {
    let center = mean(figures);
    let squares: f64 = figures.iter().map(|figure| (figure - center).powi(2)).sum();
    (center, (squares / (figures.len().max(2) - 1) as f64).sqrt())
}

fn mean(figures: &[f64]) -> f64 {
    figures.iter().sum::<f64>() / figures.len().max(1) as f64
}

fn quantile(sorted: &[f64], share: f64) -> f64 {
    let index = ((sorted.len().max(1) - 1) as f64 * share).round() as usize;
    sorted.get(index).copied().unwrap_or(0.0)
}

/// Returns Jain's fairness index: 1 if all figures are equal, 1 over their number if all but one are zero.
fn jain_index(figures: &[f64]) -> f64 {
    let sum: f64 = figures.iter().sum();
    let squares: f64 = figures.iter().map(|figure| figure * figure).sum();
    sum * sum / (figures.len().max(1) as f64 * squares.max(f64::MIN_POSITIVE))
}
