//! Line plots as inline SVG.

use maud::{Markup, html};

use crate::page::scale::PlotAxis;

/// The number of line styles in the style sheet. Series beyond it reuse them in order.
const LINE_STYLE_COUNT: usize = 8;

// Geometry in SVG user units.
const WIDTH: f64 = 720.0;
const HEIGHT: f64 = 300.0;
const LEFT: f64 = 56.0;
const RIGHT: f64 = 16.0;
const TOP: f64 = 14.0;
const BOTTOM: f64 = 46.0;

/// A point of a series.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlotPoint {
    /// Horizontal value.
    pub x: f64,
    /// Vertical value.
    pub y: f64,
}

/// One line of a plot.
#[derive(Clone, Debug, PartialEq)]
pub struct PlotSeries {
    /// The name in the legend.
    pub name: String,
    /// The points from left to right; `None` leaves a gap in the line.
    pub points: Vec<Option<PlotPoint>>,
}

/// A labelled horizontal line, such as a threshold.
#[derive(Clone, Debug, PartialEq)]
pub struct PlotGuide {
    /// The label.
    pub label: String,
    /// The vertical value.
    pub value: f64,
}

/// A plot of several lines over one pair of axes.
#[derive(Clone, Debug, PartialEq)]
pub struct LinePlot {
    /// A key that is unique on the page. It consists of ASCII letters, digits and hyphens.
    pub key: String,
    /// The caption, which is also the accessible name.
    pub title: String,
    /// A text alternative for readers who can't see the plot.
    pub description: String,
    /// The horizontal axis.
    pub x_axis: PlotAxis,
    /// The vertical axis.
    pub y_axis: PlotAxis,
    /// Horizontal lines, such as thresholds.
    pub guides: Vec<PlotGuide>,
    /// The lines.
    pub series: Vec<PlotSeries>,
}

impl LinePlot {
    /// Renders the plot with its title and legend. Series differ in colour and in dash pattern.
    ///
    /// ```
    /// use ebony_burn::page::{AxisScale, LinePlot, PlotAxis, PlotPoint, PlotSeries};
    ///
    /// let points = vec![Some(PlotPoint { x: 0.0, y: 0.5 }), Some(PlotPoint { x: 1.0, y: 1.0 })];
    /// let plot = LinePlot {
    ///     key: "example".to_owned(),
    ///     title: "Share".to_owned(),
    ///     description: "The share rises from a half to one.".to_owned(),
    ///     x_axis: PlotAxis::with_ticks("time", AxisScale::Linear, &[0.0, 1.0]),
    ///     y_axis: PlotAxis::with_ticks("share", AxisScale::Linear, &[0.0, 1.0]),
    ///     guides: Vec::new(),
    ///     series: vec![PlotSeries { name: "one".to_owned(), points }],
    /// };
    /// assert!(plot.markup().into_string().contains("<title id=\"example-title\">Share</title>"));
    /// ```
    pub fn markup(&self) -> Markup {
        let title_id = format!("{}-title", self.key);
        let text_id = format!("{}-text", self.key);
        html! {
            figure {
                figcaption { (self.title) }
                svg role="img" aria-labelledby=(format!("{title_id} {text_id}"))
                    viewBox=(format!("0 0 {WIDTH} {HEIGHT}")) {
                    title id=(title_id) { (self.title) }
                    desc id=(text_id) { (self.description) }
                    (self.x_axis_markup())
                    (self.y_axis_markup())
                    @for guide in &self.guides { (self.guide_markup(guide)) }
                    @for (index, series) in self.series.iter().enumerate() {
                        path class=(style_class(index)) d=(self.path(series)) {}
                    }
                }
                ul.legend { @for (index, series) in self.series.iter().enumerate() {
                    li { (sample_markup(index)) (series.name) }
                } }
            }
        }
    }

    fn x_axis_markup(&self) -> Markup {
        let middle = (LEFT + WIDTH - RIGHT) / 2.0;
        html! {
            g.axis {
                @for tick in &self.x_axis.ticks {
                    @let x = self.x(tick.value);
                    line x1=(x) x2=(x) y1=(TOP) y2=(HEIGHT - BOTTOM) {}
                    text x=(x) y=(HEIGHT - BOTTOM + 16.0) text-anchor="middle" { (tick.label) }
                }
                text.label x=(middle) y=(HEIGHT - 8.0) text-anchor="middle" { (self.x_axis.label) }
            }
        }
    }

    fn y_axis_markup(&self) -> Markup {
        let middle = (TOP + HEIGHT - BOTTOM) / 2.0;
        html! {
            g.axis {
                @for tick in &self.y_axis.ticks {
                    @let y = self.y(tick.value);
                    line x1=(LEFT) x2=(WIDTH - RIGHT) y1=(y) y2=(y) {}
                    text x=(LEFT - 6.0) y=(y) dy="0.32em" text-anchor="end" { (tick.label) }
                }
                text.label x="14" y=(middle) text-anchor="middle" transform=(format!("rotate(-90 14 {middle})")) {
                    (self.y_axis.label)
                }
            }
        }
    }

    fn guide_markup(&self, guide: &PlotGuide) -> Markup {
        let y = self.y(guide.value);
        html! {
            g.guide {
                line x1=(LEFT) x2=(WIDTH - RIGHT) y1=(y) y2=(y) {}
                text x=(LEFT + 6.0) y=(y) dy="-0.35em" { (guide.label) }
            }
        }
    }

    /// Returns the SVG path of a series. A point between two gaps becomes a zero-length line, drawn as a dot.
    fn path(&self, series: &PlotSeries) -> String {
        let mut commands = Vec::new();
        for run in series.points.split(Option::is_none) {
            for (index, point) in run.iter().flatten().enumerate() {
                let command = if index == 0 { 'M' } else { 'L' };
                commands.push(format!("{command}{} {}", self.x(point.x), self.y(point.y)));
            }
            if run.len() == 1 {
                commands.push("h0".to_owned());
            }
        }
        commands.join("")
    }

    fn x(&self, value: f64) -> f64 {
        round_unit(LEFT + self.x_axis.position(value) * (WIDTH - LEFT - RIGHT))
    }

    fn y(&self, value: f64) -> f64 {
        round_unit(HEIGHT - BOTTOM - self.y_axis.position(value) * (HEIGHT - TOP - BOTTOM))
    }
}

/// Rounds to a tenth of a user unit, which is less than a pixel.
fn round_unit(position: f64) -> f64 {
    (position * 10.0).round() / 10.0
}

fn style_class(index: usize) -> String {
    format!("series series-{}", index % LINE_STYLE_COUNT)
}

fn sample_markup(index: usize) -> Markup {
    html! {
        svg.sample viewBox="0 0 36 10" aria-hidden="true" { path class=(style_class(index)) d="M2 5H34" {} }
    }
}
