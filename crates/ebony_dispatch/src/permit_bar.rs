//! Which calls use the permits of targets that limit their rate.
//!
//! A permit is worth as much as the work of the call that uses it. While other targets take calls without a permit, the
//! longest calls get the permits, so that the other targets have less work left.

/// The change of the bar after a permit was free at once.
const FREE_PERMIT_FACTOR: f64 = 0.94;

/// The change of the bar after a call waited for its permit or was denied one.
const SCARCE_PERMIT_FACTOR: f64 = 1.03;

/// The weight of one call in the mean length.
const MEAN_WEIGHT: f64 = 0.02;

/// The range of the bar, as multiples of the mean length.
const MIN_BAR: f64 = 0.05;
const MAX_BAR: f64 = 3.0;

/// The longest expected output that counts, in tokens. Estimates come from callers and may be absurd.
const MAX_OUTPUT: f64 = 100_000.0;

/// The expected output from which on calls to one service ask for permits, as a multiple of the mean. It rises while
/// permits are scarce and falls while they are free.
///
/// ```
/// use ebony_dispatch::PermitBar;
///
/// let mut bar = PermitBar::default();
/// bar.record_call(100.0);
/// assert!(bar.admits(120.0));
/// assert!(!bar.admits(80.0));
/// for _ in 0..100 {
///     bar.record_permit(true);
/// }
/// assert!(bar.admits(80.0));
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PermitBar {
    bar: f64,
    /// The mean of the logarithms of the expected outputs, so that single long calls hardly move it.
    mean_log: Option<f64>,
}

impl Default for PermitBar {
    fn default() -> Self {
        Self {
            bar: 1.0,
            mean_log: None,
        }
    }
}

impl PermitBar {
    /// Records a call with its expected output in tokens.
    pub fn record_call(&mut self, output: f64) {
        let log = log_of(output);
        let mean = self.mean_log.unwrap_or(log);
        self.mean_log = Some(mean + (log - mean) * MEAN_WEIGHT);
    }

    /// Returns whether a call with this expected output in tokens asks for permits.
    pub fn admits(&self, output: f64) -> bool {
        self.mean_log
            .is_none_or(|mean| log_of(output) >= mean + self.bar.ln())
    }

    /// Records whether a permit was free at once.
    pub fn record_permit(&mut self, is_free: bool) {
        let factor = if is_free {
            FREE_PERMIT_FACTOR
        } else {
            SCARCE_PERMIT_FACTOR
        };
        self.bar = (self.bar * factor).clamp(MIN_BAR, MAX_BAR);
    }
}

fn log_of(output: f64) -> f64 {
    output.clamp(1.0, MAX_OUTPUT).ln()
}
