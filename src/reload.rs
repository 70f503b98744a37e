//! Reloads the settings file of a gateway when it changes.

use std::fs;
use std::path::{Path, PathBuf};
use std::time::Duration;

use ebony_settings::GatewaySettings;
use slog::{Logger, info, warn};
use tokio::time::sleep;

use crate::signals::{ProcessSignals, SignalAction};

/// The interval at which the file is polled, because it may change without a signal.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Watches the settings file of a gateway for changes.
pub(crate) struct SettingsWatcher {
    path: PathBuf,
    /// The content at the last read; `None` if the file could not be read.
    last_text: Option<String>,
}

impl SettingsWatcher {
    pub(crate) fn open(path: &Path) -> Self {
        Self {
            path: path.to_owned(),
            last_text: fs::read_to_string(path).ok(),
        }
    }

    /// Waits until the file changes to valid settings. Returns `None` when a signal asks the process to stop.
    pub(crate) async fn next_settings(
        &mut self,
        signals: &mut ProcessSignals,
        logger: &Logger,
    ) -> Option<GatewaySettings> {
        loop {
            tokio::select! {
                action = signals.next_action() => match action {
                    SignalAction::Stop => return None,
                    SignalAction::Reload => info!(logger, "asked to read the settings again"),
                },
                () = sleep(POLL_INTERVAL) => {}
            }
            if let Some(settings) = self.load_if_changed(logger) {
                return Some(settings);
            }
        }
    }

    /// Returns the settings if the file changed and is valid. Invalid settings are logged once and ignored.
    fn load_if_changed(&mut self, logger: &Logger) -> Option<GatewaySettings> {
        let text = fs::read_to_string(&self.path).ok();
        if text == self.last_text {
            return None;
        }
        let settings = match &text {
            Some(text) => GatewaySettings::parse(text, &self.path.display().to_string()),
            // Opening the file again gives the report on why it cannot be read.
            None => GatewaySettings::open(&self.path),
        };
        self.last_text = text;
        match settings {
            Ok(settings) => Some(settings),
            Err(report) => {
                warn!(
                    logger, "changed settings file is invalid; keeping the previous settings";
                    "report" => report.to_string()
                );
                None
            }
        }
    }
}
