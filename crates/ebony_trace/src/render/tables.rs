//! Tables that the text and the HTML page show.

use std::collections::BTreeMap;

use ebony_burn::page::DataTable;

use crate::summary::{
    CacheOutcome, CallerReport, CodeCount, DistributionSummary, OutcomeResult, OutcomeVerdict, ReplayReport,
    ViolationCounts,
};

/// Content of a cell without a value.
const NO_VALUE: &str = "-";

/// Returns all tables, with one column per run.
pub(super) fn all_tables(reports: &[ReplayReport]) -> Vec<DataTable> {
    vec![
        outcome_table(reports),
        figure_table(reports),
        problem_table(reports),
        caller_table(reports),
    ]
}

/// Returns the display name of a run. It includes deployment and trace if the reports are of different traces.
pub(super) fn run_name(report: &ReplayReport, reports: &[ReplayReport]) -> String {
    let is_same = |other: &ReplayReport| other.trace == report.trace && other.deployment == report.deployment;
    match reports.iter().all(is_same) {
        true => report.run.clone(),
        false => format!("{} ({} {})", report.run, report.deployment, report.trace),
    }
}

fn columns(first: &str, reports: &[ReplayReport]) -> Vec<String> {
    let names = reports.iter().map(|report| run_name(report, reports));
    std::iter::once(first.to_owned()).chain(names).collect()
}

/// A cell of one run in a table whose rows have keys.
struct KeyedCell<K> {
    key: K,
    name: String,
    cell: String,
}

/// Builds a table with one row per key. Runs without the key show [`NO_VALUE`].
fn keyed_table<K: Ord>(
    caption: &str,
    first: &str,
    reports: &[ReplayReport],
    cells: impl Fn(&ReplayReport) -> Vec<KeyedCell<K>>,
) -> DataTable {
    let mut rows: BTreeMap<K, Vec<String>> = BTreeMap::new();
    for (index, report) in reports.iter().enumerate() {
        for KeyedCell { key, name, cell } in cells(report) {
            let empty_row = || {
                let mut row = vec![NO_VALUE.to_owned(); reports.len() + 1];
                row[0] = name;
                row
            };
            rows.entry(key).or_insert_with(empty_row)[index + 1] = cell;
        }
    }
    DataTable {
        caption: caption.to_owned(),
        columns: columns(first, reports),
        rows: rows.into_values().collect(),
    }
}

fn outcome_table(reports: &[ReplayReport]) -> DataTable {
    let caption = "Stated outcomes, with what was measured";
    keyed_table(caption, "outcome", reports, |report| {
        let cell = |outcome: &OutcomeResult| {
            let name = format!("{} {}", outcome.measure.title(), outcome.limit);
            KeyedCell {
                key: (outcome.measure, name.clone()),
                name,
                cell: outcome_text(outcome),
            }
        };
        report.outcomes.iter().map(cell).collect()
    })
}

pub(super) fn outcome_text(outcome: &OutcomeResult) -> String {
    let measured = outcome
        .measured
        .map_or(String::new(), |value| format!("{value:.1} "));
    let verdict = match outcome.verdict {
        OutcomeVerdict::Kept => "kept",
        OutcomeVerdict::Breached => "BREACHED",
        OutcomeVerdict::NotMeasured => "NOT MEASURED",
    };
    format!("{measured}{verdict}")
}

/// A named figure of one run.
struct FigureRow {
    name: String,
    value: String,
}

impl FigureRow {
    fn new(name: &str, value: String) -> Self {
        let name = name.to_owned();
        Self { name, value }
    }
}

fn figure_table(reports: &[ReplayReport]) -> DataTable {
    let runs: Vec<Vec<FigureRow>> = reports.iter().map(figures).collect();
    let names = runs.first().into_iter().flatten().map(|row| row.name.clone());
    let rows = names.enumerate().map(|(index, name)| {
        let cells = runs.iter().map(|run| run[index].value.clone());
        std::iter::once(name).chain(cells).collect()
    });
    DataTable {
        caption: "Figures; latencies in seconds of the trace, slowdown over the unloaded critical path"
            .to_owned(),
        columns: columns("figure", reports),
        rows: rows.collect(),
    }
}

/// Returns the figures of one run. Every run has the same names in the same order.
fn figures(report: &ReplayReport) -> Vec<FigureRow> {
    let mut rows = count_figures(report);
    rows.extend(distribution_figures("program latency", &report.latency, 1_000.0));
    rows.extend(distribution_figures("slowdown", &report.slowdown, 100.0));
    rows.extend(distribution_figures("first token", &report.first_token, 1_000.0));
    rows.extend(distribution_figures(
        "between tokens",
        &report.token_interval,
        1_000.0,
    ));
    rows.extend(cache_figures(report.cache));
    rows.push(FigureRow::new(
        "fairness between callers",
        format!("{:.3}", report.fairness),
    ));
    rows.extend(violation_figures(&report.violations));
    rows
}

fn count_figures(report: &ReplayReport) -> Vec<FigureRow> {
    let (programs, calls) = (report.programs, report.calls);
    let counts = [
        ("programs", programs.total),
        ("programs finished", programs.finished),
        ("programs failed", programs.failed),
        ("programs open", programs.open),
        ("calls sent", calls.sent),
        ("calls refused", calls.refused),
        ("calls failed", calls.failed),
        ("calls disconnected", calls.disconnected),
    ];
    counts
        .map(|(name, count)| FigureRow::new(name, count.to_string()))
        .into()
}

fn distribution_figures(name: &str, distribution: &DistributionSummary, unit: f64) -> [FigureRow; 4] {
    let figures = [
        ("mean", distribution.mean),
        ("p50", distribution.p50 as f64),
        ("p95", distribution.p95 as f64),
        ("p99", distribution.p99 as f64),
    ];
    figures.map(|(figure, value)| FigureRow::new(&format!("{name} {figure}"), format!("{:.2}", value / unit)))
}

fn cache_figures(cache: Option<CacheOutcome>) -> Vec<FigureRow> {
    let tokens = |count: fn(CacheOutcome) -> u64| {
        let count = cache.map(count);
        count.map_or(NO_VALUE.to_owned(), |count| count.to_string())
    };
    let waste = cache.and_then(|cache| cache.wasted_percent());
    vec![
        FigureRow::new("tokens cached", tokens(|cache| cache.filled_tokens)),
        FigureRow::new(
            "tokens evicted unused",
            tokens(|cache| cache.evicted_unused_tokens),
        ),
        FigureRow::new("tokens never reused", tokens(|cache| cache.never_reused_tokens)),
        FigureRow::new(
            "wasted cache",
            waste.map_or(NO_VALUE.to_owned(), |waste| format!("{waste:.1}%")),
        ),
    ]
}

fn violation_figures(violations: &ViolationCounts) -> [FigureRow; 4] {
    let counts = [
        ("lost calls", violations.lost),
        ("duplicated runs", violations.duplicated),
        ("order violations", violations.order),
        ("false not-run verdicts", violations.false_not_run),
    ];
    counts.map(|(name, count)| FigureRow::new(name, count.to_string()))
}

fn problem_table(reports: &[ReplayReport]) -> DataTable {
    let caption = "Problems by code and verdict, in calls";
    keyed_table(caption, "problem", reports, |report| {
        let cell = |count: &CodeCount| {
            let name = format!("{} {}", count.code.as_str(), count.run.as_str());
            KeyedCell {
                key: name.clone(),
                name,
                cell: count.calls.to_string(),
            }
        };
        report.problems.iter().map(cell).collect()
    })
}

fn caller_table(reports: &[ReplayReport]) -> DataTable {
    let caption = "Speed that each caller received, and finished programs; 1 is that of unloaded engines";
    keyed_table(caption, "caller", reports, |report| {
        let cell = |caller: &CallerReport| KeyedCell {
            key: caller.caller.clone(),
            name: caller.caller.to_string(),
            cell: format!("{:.2} ({}/{})", caller.speed, caller.finished, caller.programs),
        };
        report.callers.iter().map(cell).collect()
    })
}
