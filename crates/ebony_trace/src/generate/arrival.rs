//! When programs arrive.

use rand::Rng;

use crate::generate::quantile::draw_weighted;

/// A rate of arrivals that is constant within equal segments of a window.
///
/// A given number of arrivals is drawn independently in proportion to the rate, which is a Poisson process with that
/// rate under the condition of that number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RateCurve {
    /// The length of the window in milliseconds.
    pub window_ms: u32,
    /// The weights of the segments.
    pub weights: &'static [u32],
}

impl RateCurve {
    /// Draws arrival times in milliseconds, in ascending order.
    pub(crate) fn draw(&self, count: u32, source: &mut impl Rng) -> Vec<u32> {
        let segment_ms = self.window_ms / self.weights.len().max(1) as u32;
        let mut times: Vec<u32> = (0..count)
            .map(|_| {
                let segment = draw_weighted(self.weights, source) as u32;
                segment * segment_ms + source.random_range(0..segment_ms.max(1))
            })
            .collect();
        times.sort_unstable();
        times
    }
}
