//! Axes of plots.

/// The mapping of values to positions on an axis.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AxisScale {
    /// Equal differences of values are equal distances on the axis.
    Linear,
    /// The position is proportional to the logarithm of the value plus one, so that zero can be shown.
    Logarithmic,
}

/// A labelled position on an axis.
#[derive(Clone, Debug, PartialEq)]
pub struct AxisTick {
    /// The value.
    pub value: f64,
    /// Its label.
    pub label: String,
}

/// One axis of a plot.
#[derive(Clone, Debug, PartialEq)]
pub struct PlotAxis {
    /// The quantity on the axis, with its unit.
    pub label: String,
    /// The lowest value.
    pub low: f64,
    /// The highest value. Values out of range are clamped to the ends of the axis.
    pub high: f64,
    /// The scale.
    pub scale: AxisScale,
    /// Labelled positions.
    pub ticks: Vec<AxisTick>,
}

impl PlotAxis {
    /// Creates an axis whose ticks are labelled with their values.
    ///
    /// ```
    /// use ebony_burn::page::{AxisScale, PlotAxis};
    ///
    /// let axis = PlotAxis::with_ticks("share", AxisScale::Linear, &[0.0, 0.5, 1.0]);
    /// assert_eq!(axis.position(0.25), 0.25);
    /// assert_eq!(axis.position(7.0), 1.0);
    /// ```
    pub fn with_ticks(label: &str, scale: AxisScale, values: &[f64]) -> Self {
        let ticks = values.iter().map(|value| AxisTick {
            value: *value,
            label: value.to_string(),
        });
        Self {
            label: label.to_owned(),
            low: values.first().copied().unwrap_or(0.0),
            high: values.last().copied().unwrap_or(1.0),
            scale,
            ticks: ticks.collect(),
        }
    }

    /// Creates a logarithmic axis from zero to at least `high`. Its ticks are `first` times 1, 2 and 5 times powers of
    /// ten.
    ///
    /// ```
    /// use ebony_burn::page::PlotAxis;
    ///
    /// let axis = PlotAxis::logarithmic("latency (s)", 1, 60);
    /// let labels: Vec<&str> = axis.ticks.iter().map(|tick| tick.label.as_str()).collect();
    /// assert_eq!(labels, ["0", "1", "2", "5", "10", "20", "50", "100"]);
    /// ```
    pub fn logarithmic(label: &str, first: u64, high: u64) -> Self {
        let mut values = vec![0.0];
        let mut step = first.max(1);
        'decades: loop {
            for factor in [1, 2, 5] {
                let value = step.saturating_mul(factor);
                values.push(value as f64);
                if value >= high {
                    break 'decades;
                }
            }
            step = step.saturating_mul(10);
        }
        Self::with_ticks(label, AxisScale::Logarithmic, &values)
    }

    /// Returns the position of a value: 0 at the low end of the axis, 1 at the high end.
    pub fn position(&self, value: f64) -> f64 {
        let project = |value: f64| match self.scale {
            AxisScale::Linear => value,
            AxisScale::Logarithmic => value.max(0.0).ln_1p(),
        };
        let (low, high) = (project(self.low), project(self.high));
        if high <= low {
            return 0.0;
        }
        ((project(value) - low) / (high - low)).clamp(0.0, 1.0)
    }
}
