//! Arrival times of programs.

use rand::Rng;

use crate::generate::quantile::draw_weighted;

/// Arrival rate that is constant within each of several equal segments of a window.
///
/// Arrivals are drawn independently with a density proportional to the rate, which is a Poisson process with that rate
/// conditioned on the number of arrivals.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RateCurve {
    /// Length of the window in milliseconds.
    pub window_ms: u32,
    /// Relative arrival rates of the segments.
    pub weights: &'static [u32],
}

impl RateCurve {
    /// Draws arrival times in milliseconds, in ascending order.
    pub(crate) fn draw(&self, count: u32, rng: &mut impl Rng) -> Vec<u32> {
        let segment_ms = self.window_ms / self.weights.len().max(1) as u32;
        let mut times: Vec<u32> = (0..count)
            .map(|_| {
                let segment = draw_weighted(self.weights, rng) as u32;
                segment * segment_ms + rng.random_range(0..segment_ms.max(1))
            })
            .collect();
        times.sort_unstable();
        times
    }
}
