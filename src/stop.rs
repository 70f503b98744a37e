//! Signals that stop the process.

use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// The result of waiting for a signal.
pub(crate) type Result<T, E = io::Error> = std::result::Result<T, E>;

/// Waits for SIGTERM and SIGINT.
pub(crate) struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Takes over the signals.
    pub(crate) fn open() -> Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for the next signal.
    pub(crate) async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
