//! Signals that stop the process or announce new settings.

use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// The result of waiting for a signal.
pub(crate) type Result<T, E = io::Error> = std::result::Result<T, E>;

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SignalWish {
    /// SIGTERM or SIGINT: a planned stop.
    Stop,
    /// SIGHUP: the settings file has changed.
    Reload,
}

/// Waits for SIGTERM, SIGINT and SIGHUP.
pub(crate) struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
    hang_up: Signal,
}

impl StopSignals {
    /// Takes over the signals.
    pub(crate) fn open() -> Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hang_up: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for the next signal that stops the process.
    pub(crate) async fn next(&mut self) {
        while self.next_or_reload().await == SignalWish::Reload {}
    }

    /// Waits for the next signal.
    pub(crate) async fn next_or_reload(&mut self) -> SignalWish {
        tokio::select! {
            _ = self.terminate.recv() => SignalWish::Stop,
            _ = self.interrupt.recv() => SignalWish::Stop,
            _ = self.hang_up.recv() => SignalWish::Reload,
        }
    }
}
