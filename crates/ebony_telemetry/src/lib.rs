//! Logging, metrics, health endpoints and clocks of a process.
//!
//! [`open_logger`] builds the process's `slog` logger, [`MetricsRegistry`] holds its `prometheus` metrics, and
//! [`HealthServer`] serves `/metrics`, `/healthz` and `/readyz` on a separate port.

pub mod clock;
pub mod health;
pub mod logger;
pub mod metrics;
pub mod server;

/// Re-exports the logger, the registry, the server and the clocks.
pub mod prelude {
    pub use crate::clock::{BootClock, ProcessClock, unix_time};
    pub use crate::health::HealthState;
    pub use crate::logger::{LogFormat, LogLevel, LoggerGuard, open_logger, open_stdout_logger};
    pub use crate::metrics::MetricsRegistry;
    pub use crate::server::HealthServer;
}

pub use prelude::*;
