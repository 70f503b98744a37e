//! Least-squares line fits.

use serde::Serialize;

/// The value measured at one size.
#[derive(Clone, Copy, Debug)]
#[derive(Serialize)]
pub(crate) struct SizePoint {
    pub(crate) size: f64,
    /// The median of the repetitions.
    pub(crate) value: f64,
    /// The difference between the largest and the smallest repetition.
    pub(crate) spread: f64,
}

/// The line with the least sum of squared residuals.
#[derive(Clone, Copy, Debug)]
#[derive(Serialize)]
pub(crate) struct LineFit {
    /// Growth of the value per unit of size.
    pub(crate) slope: f64,
    /// The value at size zero.
    pub(crate) intercept: f64,
    /// The largest distance of a point from the line.
    pub(crate) largest_residual: f64,
}

impl LineFit {
    /// Fits a line to at least two points of different sizes.
    pub(crate) fn fit(points: &[SizePoint]) -> Self {
        let count = points.len().max(1) as f64;
        let mean_size = points.iter().map(|point| point.size).sum::<f64>() / count;
        let mean_value = points.iter().map(|point| point.value).sum::<f64>() / count;
        let variance: f64 = points.iter().map(|point| (point.size - mean_size).powi(2)).sum();
        let covariance: f64 = points
            .iter()
            .map(|point| (point.size - mean_size) * (point.value - mean_value))
            .sum();
        let slope = if variance > 0.0 {
            covariance / variance
        } else {
            0.0
        };
        let intercept = mean_value - slope * mean_size;
        let residuals = points
            .iter()
            .map(|point| (point.value - intercept - slope * point.size).abs());
        Self {
            slope,
            intercept,
            largest_residual: residuals.fold(0.0, f64::max),
        }
    }
}
