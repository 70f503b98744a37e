//! HTML page that shows one or several runs.

use ebony_burn::page::{
    AxisScale, DataTable, LinePlot, PageFrame, PlotAxis, PlotPoint, PlotSeries, render_page,
};
use maud::{Markup, html};

use crate::render::tables::{all_tables, outcome_text, run_name};
use crate::summary::{DistributionSummary, ReplayReport};

/// Renders reports as a self-contained page of breached outcomes, plots of the distributions, and tables.
///
/// ```
/// use ebony_trace::render_html;
///
/// assert!(render_html(&[]).contains("<h1>Replay</h1>"));
/// ```
pub fn render_html(reports: &[ReplayReport]) -> String {
    let breaches: usize = reports.iter().map(|report| report.breaches().count()).sum();
    let first = reports.first();
    let subject = first.map_or(String::new(), |report| {
        format!(" of {} at {}", report.trace, report.deployment)
    });
    let summary = format!(
        "{} runs{subject}; {breaches} stated outcomes not reached or not measured.",
        reports.len()
    );
    let frame = PageFrame {
        title: "Replay",
        summary: &summary,
    };
    render_page(&frame, content_markup(reports))
}

fn content_markup(reports: &[ReplayReport]) -> Markup {
    let plots = [
        curve_plot(reports, &PROGRAM_LATENCY),
        curve_plot(reports, &SLOWDOWN),
        curve_plot(reports, &FIRST_TOKEN),
    ];
    html! {
        section { h2 { "Breaches" } (breach_list(reports)) }
        section {
            h2 { "Distributions" }
            @for plot in &plots { (plot.markup()) }
        }
        section {
            h2 { "Comparison" }
            @for table in all_tables(reports).iter().filter(|table| !table.rows.is_empty()) {
                (DataTable::markup(table))
            }
        }
    }
}

fn breach_list(reports: &[ReplayReport]) -> Markup {
    let is_clean = reports.iter().all(|report| report.breaches().count() == 0);
    html! {
        @if is_clean { p { "None." } } @else {
            ul { @for report in reports { @for outcome in report.breaches() {
                li {
                    span.page { (outcome_text(outcome)) }
                    ": " (outcome.measure.title()) " " (outcome.limit) ", run " (run_name(report, reports))
                }
            } } }
        }
    }
}

/// Settings of a plot of the cumulative distributions of one figure.
struct CurveKind {
    key: &'static str,
    title: &'static str,
    axis: &'static str,
    /// The recorded value that is drawn as 1.
    unit: f64,
    distribution: fn(&ReplayReport) -> &DistributionSummary,
}

const PROGRAM_LATENCY: CurveKind = CurveKind {
    key: "latency",
    title: "Program latency",
    axis: "seconds of the trace",
    unit: 1_000.0,
    distribution: |report| &report.latency,
};

const SLOWDOWN: CurveKind = CurveKind {
    key: "slowdown",
    title: "Slowdown over the unloaded critical path",
    axis: "times the critical path",
    unit: 100.0,
    distribution: |report| &report.slowdown,
};

const FIRST_TOKEN: CurveKind = CurveKind {
    key: "first-token",
    title: "Time to first token",
    axis: "seconds of the trace",
    unit: 1_000.0,
    distribution: |report| &report.first_token,
};

fn curve_plot(reports: &[ReplayReport], kind: &CurveKind) -> LinePlot {
    let highest = reports.iter().map(|report| (kind.distribution)(report).max).max();
    let highest = highest.unwrap_or_default() as f64 / kind.unit;
    let texts: Vec<String> = reports
        .iter()
        .map(|report| {
            let distribution = (kind.distribution)(report);
            let [p50, p95] = [distribution.p50, distribution.p95].map(|value| value as f64 / kind.unit);
            format!(
                "{}: half within {p50:.2}, 95% within {p95:.2}",
                run_name(report, reports)
            )
        })
        .collect();
    LinePlot {
        key: kind.key.to_owned(),
        title: format!("{}: share within a time", kind.title),
        description: format!("{}.", texts.join("; ")),
        x_axis: PlotAxis::logarithmic(kind.axis, 1, highest.ceil() as u64),
        y_axis: PlotAxis::with_ticks(
            "share in percent",
            AxisScale::Linear,
            &[0.0, 25.0, 50.0, 75.0, 95.0, 100.0],
        ),
        guides: Vec::new(),
        series: reports
            .iter()
            .map(|report| PlotSeries {
                name: run_name(report, reports),
                points: curve_points((kind.distribution)(report), kind.unit),
            })
            .collect(),
    }
}

/// Returns the points of the curve. A point between two of the same value is left out because it would not change the
/// plotted line.
fn curve_points(distribution: &DistributionSummary, unit: f64) -> Vec<Option<PlotPoint>> {
    let curve = &distribution.curve;
    let value = |index: usize| curve.get(index).map(|point| point.value);
    let is_corner = |index: &usize| {
        let before = index.checked_sub(1).and_then(value);
        before != value(*index) || value(index + 1) != value(*index)
    };
    let corners = (0..curve.len()).filter(is_corner).map(|index| &curve[index]);
    let points = corners.map(|point| PlotPoint {
        x: point.value as f64 / unit,
        y: f64::from(point.share) / 10.0,
    });
    points.map(Some).collect()
}
