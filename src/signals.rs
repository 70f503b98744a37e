//! Signals that stop the process or reload its settings.

use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// The result of installing the signal handlers.
pub(crate) type Result<T, E = io::Error> = std::result::Result<T, E>;

/// The action that a signal requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SignalAction {
    /// SIGTERM or SIGINT: stop the process.
    Stop,
    /// SIGHUP: read the settings file again.
    Reload,
}

/// Receives SIGTERM, SIGINT and SIGHUP.
pub(crate) struct ProcessSignals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl ProcessSignals {
    /// Installs the signal handlers.
    pub(crate) fn install() -> Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for the next SIGTERM or SIGINT and ignores SIGHUP.
    pub(crate) async fn next_stop(&mut self) {
        while self.next_action().await == SignalAction::Reload {}
    }

    pub(crate) async fn next_action(&mut self) -> SignalAction {
        tokio::select! {
            _ = self.terminate.recv() => SignalAction::Stop,
            _ = self.interrupt.recv() => SignalAction::Stop,
            _ = self.hangup.recv() => SignalAction::Reload,
        }
    }
}
