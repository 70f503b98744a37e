//! The series of a run, as tables or JSON.

use std::fmt;

use comfy_table::{Table, presets};
use serde::Serialize;

use crate::fit::{LineFit, SizePoint};

/// One quantity at several sizes.
#[derive(Clone, Debug)]
#[derive(Serialize)]
struct SizeSeries {
    name: &'static str,
    size_unit: &'static str,
    value_unit: &'static str,
    points: Vec<SizePoint>,
    fit: LineFit,
}

/// One kind of frame.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub(crate) struct FrameFigures {
    /// The kind.
    pub(crate) frame: &'static str,
    /// The length of the encoded frame, without the WebSocket header of 2 to 14 bytes.
    pub(crate) bytes: usize,
    /// Processor time of one encoding.
    pub(crate) encode_micros: f64,
    /// Processor time of one decoding.
    pub(crate) decode_micros: f64,
}

/// All figures of a run.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub(crate) struct CapacityReport {
    series: Vec<SizeSeries>,
    frames: Vec<FrameFigures>,
}

impl CapacityReport {
    /// Adds a series. The units are those of the sizes and of the values.
    pub(crate) fn add(
        &mut self,
        name: &'static str,
        (size_unit, value_unit): (&'static str, &'static str),
        points: Vec<SizePoint>,
    ) {
        eprintln!("measured: {name}");
        let fit = LineFit::of(&points);
        self.series.push(SizeSeries {
            name,
            size_unit,
            value_unit,
            points,
            fit,
        });
    }

    /// Adds a kind of frame.
    pub(crate) fn add_frame(&mut self, figures: FrameFigures) {
        self.frames.push(figures);
    }

    fn series_table(&self) -> Table {
        let mut table = Table::new();
        table.load_style(presets::ASCII_MARKDOWN);
        table.set_header([
            "series",
            "size",
            "value",
            "slope",
            "intercept",
            "residual",
            "points",
        ]);
        for series in &self.series {
            table.add_row([
                series.name.to_owned(),
                series.size_unit.to_owned(),
                series.value_unit.to_owned(),
                figure(series.fit.slope),
                figure(series.fit.intercept),
                figure(series.fit.largest_residual),
                point_text(&series.points),
            ]);
        }
        table
    }

    fn frame_table(&self) -> Table {
        let mut table = Table::new();
        table.load_style(presets::ASCII_MARKDOWN);
        table.set_header(["frame", "bytes", "encode, µs", "decode, µs"]);
        for frame in &self.frames {
            table.add_row([
                frame.frame.to_owned(),
                frame.bytes.to_string(),
                figure(frame.encode_micros),
                figure(frame.decode_micros),
            ]);
        }
        table
    }
}

impl fmt::Display for CapacityReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}\n\n{}", self.series_table(), self.frame_table())
    }
}

/// Returns a figure with four significant digits.
fn figure(value: f64) -> String {
    let magnitude = value.abs();
    if magnitude >= 1_000.0 {
        format!("{value:.0}")
    } else if magnitude >= 10.0 {
        format!("{value:.1}")
    } else if magnitude >= 0.1 {
        format!("{value:.3}")
    } else {
        format!("{value:.5}")
    }
}

fn point_text(points: &[SizePoint]) -> String {
    let texts = points.iter().map(|point| {
        format!(
            "{}: {} ± {}",
            point.size,
            figure(point.value),
            figure(point.spread / 2.0)
        )
    });
    texts.collect::<Vec<_>>().join("; ")
}
