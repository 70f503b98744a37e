//! The report as one HTML page.

use maud::{Markup, html};

use crate::alert::{ALERT_RULES, AlertLevel};
use crate::page::{
    AxisScale, AxisTick, DataTable, LinePlot, PageFrame, PlotAxis, PlotGuide, PlotPoint, PlotSeries,
    render_page,
};
use crate::render::text::{group_name, objective_columns, objective_row, promise_table};
use crate::report::{BurnReport, GroupReport, ObjectiveReport};
use crate::window::HISTORY_HOURS;

/// The upper end of the axis of burn rates: the rate of a 99.9% objective when all events are bad.
const MAX_PLOTTED_RATE: f64 = 1_000.0;

/// Renders the report as one self-contained HTML page.
///
/// ```
/// use ebony_burn::{BurnReport, render_html};
///
/// assert!(render_html(&BurnReport::default()).contains("No group has any events."));
/// ```
pub fn render_html(report: &BurnReport) -> String {
    let summary = format!(
        "{} groups, {} pages, {} tickets. Counts and budgets cover 3 days.",
        report.groups.len(),
        report.alerts(AlertLevel::Page),
        report.alerts(AlertLevel::Ticket),
    );
    let frame = PageFrame {
        title: "Burn of service levels",
        summary: &summary,
    };
    render_page(&frame, content_markup(report))
}

fn content_markup(report: &BurnReport) -> Markup {
    html! {
        @if report.groups.is_empty() { p { "No group has any events." } }
        (alert_list(report))
        @for (index, group) in report.groups.iter().enumerate() { (group_section(index, group)) }
        @if !report.groups.is_empty() {
            section { h2 { "Promises" } (promise_table(&report.groups).markup()) }
        }
        section { h2 { "Alert rules" } (rule_table().markup()) }
    }
}

fn alert_list(report: &BurnReport) -> Markup {
    let alerts: Vec<(&GroupReport, &ObjectiveReport)> = report
        .groups
        .iter()
        .flat_map(|group| group.objectives.iter().map(move |objective| (group, objective)))
        .filter(|(_, objective)| objective.alert > AlertLevel::Fine)
        .collect();
    html! {
        @if alerts.is_empty() { p { "No alert." } } @else {
            ul { @for (group, objective) in &alerts {
                li {
                    span class=(alert_class(objective.alert)) { (objective.alert.title()) }
                    ": " (group_name(group)) ", " (objective.objective)
                }
            } }
        }
    }
}

fn alert_class(level: AlertLevel) -> &'static str {
    match level {
        AlertLevel::Fine => "fine",
        AlertLevel::Ticket => "ticket",
        AlertLevel::Page => "page",
    }
}

fn group_section(index: usize, group: &GroupReport) -> Markup {
    let table = DataTable {
        caption: format!("Objectives of {}", group_name(group)),
        columns: objective_columns(),
        rows: group.objectives.iter().map(objective_row).collect(),
    };
    html! {
        section {
            h2 { (group_name(group)) " " span class=(alert_class(group.alert())) { (group.alert().title()) } }
            (table.markup())
            (burn_plot(index, group).markup())
        }
    }
}

fn burn_plot(index: usize, group: &GroupReport) -> LinePlot {
    let peaks: Vec<String> = group.objectives.iter().map(peak_text).collect();
    LinePlot {
        key: format!("burn-{index}"),
        title: format!("Burn rate of {}, by hour", group_name(group)),
        description: format!("Highest burn rate of an hour in 3 days: {}.", peaks.join(", ")),
        x_axis: hour_axis(),
        y_axis: PlotAxis::with_ticks(
            "burn rate",
            AxisScale::Logarithmic,
            &[0.0, 1.0, 10.0, 100.0, MAX_PLOTTED_RATE],
        ),
        guides: rule_guides(),
        series: group.objectives.iter().map(burn_series).collect(),
    }
}

fn peak_text(objective: &ObjectiveReport) -> String {
    let rates = objective.history.iter().flatten().copied();
    format!("{} {:.2}", objective.objective, rates.fold(0.0, f64::max))
}

fn hour_axis() -> PlotAxis {
    let ticks = (0..=HISTORY_HOURS).step_by(12).map(|age| AxisTick {
        value: -(age as f64),
        label: format!("{}", -(age as i64)),
    });
    PlotAxis {
        label: "hours from now".to_owned(),
        low: -(HISTORY_HOURS as f64),
        high: 0.0,
        scale: AxisScale::Linear,
        ticks: ticks.collect(),
    }
}

fn rule_guides() -> Vec<PlotGuide> {
    let guide = |rule: &crate::alert::AlertRule| PlotGuide {
        label: format!("{} {}", rule.level.title(), rule.burn_rate),
        value: rule.burn_rate,
    };
    ALERT_RULES.iter().map(guide).collect()
}

fn burn_series(objective: &ObjectiveReport) -> PlotSeries {
    // Plots the rate of an hour at the middle of that hour.
    let first = 0.5 - HISTORY_HOURS as f64;
    let point = |(hour, rate): (usize, &Option<f64>)| {
        let x = first + hour as f64;
        rate.map(|y| PlotPoint { x, y })
    };
    PlotSeries {
        name: objective.objective.to_string(),
        points: objective.history.iter().enumerate().map(point).collect(),
    }
}

fn rule_table() -> DataTable {
    let rows = ALERT_RULES.map(|rule| {
        let cells = [
            rule.level.title().to_owned(),
            format!("{}", rule.burn_rate),
            rule.long.title().to_owned(),
            rule.short.title().to_owned(),
        ];
        cells.to_vec()
    });
    DataTable {
        caption: "An alert is raised while the burn rate in both windows is at least the threshold"
            .to_owned(),
        columns: ["alert", "burn rate", "long window", "short window"]
            .map(str::to_owned)
            .to_vec(),
        rows: rows.to_vec(),
    }
}
