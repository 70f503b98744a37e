//! Random draws from tables of quantiles and from weights.

use rand::Rng;

/// Quantiles and probabilities are in parts of this number.
const PER_MILLE: u32 = 1_000;

/// A distribution of integers, given by quantiles in per mille and their values, both in ascending order. Between two
/// entries it is uniform.
///
/// ```
/// use ebony_trace::generate::QuantileTable;
///
/// let table = QuantileTable(&[(0, 10), (500, 20), (1_000, 100)]);
/// assert_eq!(table.value(250), 15);
/// assert_eq!(table.value(1_000), 100);
/// assert_eq!(table.mean(), 37);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuantileTable(pub &'static [(u32, u32)]);

impl QuantileTable {
    /// Returns the value at a quantile in per mille.
    pub fn value(&self, quantile: u32) -> u32 {
        for pair in self.0.windows(2) {
            let ((low, low_value), (high, high_value)) = (pair[0], pair[1]);
            if (low..=high).contains(&quantile) && low < high {
                let rise = u64::from(high_value - low_value) * u64::from(quantile - low);
                return low_value + (rise / u64::from(high - low)) as u32;
            }
        }
        self.0.last().map_or(0, |(_, value)| *value)
    }

    /// Returns the mean.
    pub fn mean(&self) -> u32 {
        let pairs = self.0.windows(2);
        let weighted = pairs.map(|pair| {
            let ((low, low_value), (high, high_value)) = (pair[0], pair[1]);
            u64::from(high - low) * (u64::from(low_value) + u64::from(high_value))
        });
        (weighted.sum::<u64>() / (2 * u64::from(PER_MILLE))) as u32
    }

    /// Draws a value.
    pub(crate) fn draw(&self, rng: &mut impl Rng) -> u32 {
        let quantile = rng.random_range(0..PER_MILLE);
        let (low, high) = (self.value(quantile), self.value(quantile + 1));
        rng.random_range(low..=high)
    }
}

/// Draws an index with a probability proportional to its weight.
pub(crate) fn draw_weighted(weights: &[u32], rng: &mut impl Rng) -> usize {
    let total: u32 = weights.iter().sum();
    let mut rest = rng.random_range(0..total.max(1));
    for (index, weight) in weights.iter().enumerate() {
        match rest.checked_sub(*weight) {
            Some(less) => rest = less,
            None => return index,
        }
    }
    0
}

/// Returns `true` with the given probability in per mille.
pub(crate) fn draw_chance(per_mille: u32, rng: &mut impl Rng) -> bool {
    rng.random_range(0..PER_MILLE) < per_mille
}
