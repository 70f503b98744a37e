//! Collects the measurements of a run and formats them as tables or JSON.

use std::fmt;

use comfy_table::{Table, presets};
use serde::Serialize;

use crate::fit::{LineFit, SizePoint};

/// A quantity measured at several sizes.
#[derive(Clone, Debug)]
#[derive(Serialize)]
struct SizeSeries {
    name: &'static str,
    size_unit: &'static str,
    value_unit: &'static str,
    points: Vec<SizePoint>,
    fit: LineFit,
}

/// The size and the encoding costs of one kind of frame.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub(crate) struct FrameCost {
    pub(crate) frame: &'static str,
    /// The length of the encoded frame, without the WebSocket header of 2 to 14 bytes.
    pub(crate) bytes: usize,
    /// CPU time of one encoding.
    pub(crate) encode_micros: f64,
    /// CPU time of one decoding.
    pub(crate) decode_micros: f64,
}

/// All measurements of a run.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub(crate) struct CapacityReport {
    series: Vec<SizeSeries>,
    frames: Vec<FrameCost>,
}

impl CapacityReport {
    /// Adds a series with the units of its sizes and of its values.
    pub(crate) fn add(
        &mut self,
        name: &'static str,
        (size_unit, value_unit): (&'static str, &'static str),
        points: Vec<SizePoint>,
    ) {
        eprintln!("measured: {name}");
        let fit = LineFit::fit(&points);
        self.series.push(SizeSeries {
            name,
            size_unit,
            value_unit,
            points,
            fit,
        });
    }

    pub(crate) fn add_frame(&mut self, cost: FrameCost) {
        self.frames.push(cost);
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
                format_value(series.fit.slope),
                format_value(series.fit.intercept),
                format_value(series.fit.largest_residual),
                format_points(&series.points),
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
                format_value(frame.encode_micros),
                format_value(frame.decode_micros),
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

/// Formats a value with about four significant digits.
fn format_value(value: f64) -> String {
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

fn format_points(points: &[SizePoint]) -> String {
    let texts = points.iter().map(|point| {
        format!(
            "{}: {} ± {}",
            point.size,
            format_value(point.value),
            format_value(point.spread / 2.0)
        )
    });
    texts.collect::<Vec<_>>().join("; ")
}
