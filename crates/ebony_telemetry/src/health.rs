//! Readiness of a process.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Whether a process accepts work. Clones share the state.
///
/// ```
/// let health = ebony_telemetry::HealthState::default();
/// assert!(!health.is_ready());
/// health.set_ready(true);
/// assert!(health.clone().is_ready());
/// ```
#[derive(Clone, Debug, Default)]
pub struct HealthState {
    is_ready: Arc<AtomicBool>,
}

impl HealthState {
    /// Returns whether the process accepts work.
    pub fn is_ready(&self) -> bool {
        self.is_ready.load(Ordering::Acquire)
    }

    /// Sets whether the process accepts work.
    pub fn set_ready(&self, is_ready: bool) {
        self.is_ready.store(is_ready, Ordering::Release);
    }
}
