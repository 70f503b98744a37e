//! The report as text, and the table cells that it shares with the HTML page.

use crate::objective::ALL_PPM;
use crate::page::DataTable;
use crate::report::{BurnReport, GroupReport, ObjectiveReport};
use crate::window::WindowSpan;

const PERCENT: f64 = 100.0;

/// Renders the report as a text table, one line per group and objective.
///
/// ```
/// use ebony_burn::{BurnReport, render_text};
///
/// assert!(render_text(&BurnReport::default()).contains("alert"));
/// ```
pub fn render_text(report: &BurnReport) -> String {
    let mut columns = vec!["group".to_owned()];
    columns.extend(objective_columns());
    let rows = report.groups.iter().flat_map(group_rows).collect();
    let objectives = DataTable {
        caption: "Burn of service levels; counts and budget over 3 days".to_owned(),
        columns,
        rows,
    };
    format!("{}\n{}", objectives.text(), promise_table(&report.groups).text())
}

fn group_rows(group: &GroupReport) -> Vec<Vec<String>> {
    let named_row = |objective| {
        let mut row = vec![group_name(group)];
        row.extend(objective_row(objective));
        row
    };
    group.objectives.iter().map(named_row).collect()
}

pub(super) fn group_name(group: &GroupReport) -> String {
    format!("{}/{}", group.deployment, group.group)
}

pub(super) fn objective_columns() -> Vec<String> {
    let windows = WindowSpan::ALL.map(|window| format!("burn {}", window.title()));
    let mut columns = ["objective", "target", "good", "bad"].map(str::to_owned).to_vec();
    columns.extend(windows);
    columns.extend(["budget left", "alert"].map(str::to_owned));
    columns
}

pub(super) fn objective_row(report: &ObjectiveReport) -> Vec<String> {
    let mut row = vec![
        report.objective.to_string(),
        target_text(report),
        report.good.to_string(),
        report.bad.to_string(),
    ];
    row.extend(report.burn.iter().map(|burn| format!("{:.2}", burn.rate)));
    row.push(format!("{:.1}%", report.budget_left * PERCENT));
    row.push(report.alert.title().to_owned());
    row
}

fn target_text(report: &ObjectiveReport) -> String {
    let share = f64::from(report.good_ppm) / f64::from(ALL_PPM) * PERCENT;
    // Four decimals of a percentage represent every share in parts per million exactly.
    let share = format!("{share:.4}");
    let share = share.trim_end_matches('0').trim_end_matches('.');
    match report.bound_ms {
        Some(bound) => format!("{share}% in {bound} ms"),
        None => format!("{share}%"),
    }
}

pub(super) fn promise_table(groups: &[GroupReport]) -> DataTable {
    let columns = [
        "group",
        "lost",
        "incomplete",
        "uncertain run",
        "internal error",
        "refused",
    ];
    let promise_row = |group: &GroupReport| {
        let broken = group.broken;
        let counts = [
            broken.lost_answers,
            broken.incomplete_answers,
            broken.uncertain_runs,
            broken.internal_errors,
            group.refused,
        ];
        let mut row = vec![group_name(group)];
        row.extend(counts.map(|count| count.to_string()));
        row
    };
    DataTable {
        caption: "Broken promises, and truthful refusals, over 3 days".to_owned(),
        columns: columns.map(str::to_owned).to_vec(),
        rows: groups.iter().map(promise_row).collect(),
    }
}
