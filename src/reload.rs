//! Changed settings files of a gateway.

use std::fs;
use std::path::{Path, PathBuf};
use std::time::Duration;

use ebony_settings::GatewaySettings;
use slog::{Logger, info, warn};
use tokio::time::sleep;

use crate::stop::{SignalWish, StopSignals};

/// The time between two looks at the file, which may change without a signal.
const LOOK_INTERVAL: Duration = Duration::from_secs(2);

/// Watches the settings file of a gateway.
pub(crate) struct SettingsWatch {
    path: PathBuf,
    /// The text that was read last; `None` if it could not be read.
    text: Option<String>,
}

impl SettingsWatch {
    pub(crate) fn open(path: &Path) -> Self {
        Self {
            path: path.to_owned(),
            text: fs::read_to_string(path).ok(),
        }
    }

    /// Waits for changed settings that are right. Returns `None` when the process is to stop.
    pub(crate) async fn next(
        &mut self,
        signals: &mut StopSignals,
        logger: &Logger,
    ) -> Option<GatewaySettings> {
        loop {
            tokio::select! {
                wish = signals.next_or_reload() => match wish {
                    SignalWish::Stop => return None,
                    SignalWish::Reload => info!(logger, "asked to read the settings again"),
                },
                () = sleep(LOOK_INTERVAL) => {}
            }
            if let Some(settings) = self.read_changed(logger) {
                return Some(settings);
            }
        }
    }

    /// Returns the settings if the file changed and is right. Wrong settings are logged once and left out.
    fn read_changed(&mut self, logger: &Logger) -> Option<GatewaySettings> {
        let text = fs::read_to_string(&self.path).ok();
        if text == self.text {
            return None;
        }
        let settings = match &text {
            Some(text) => GatewaySettings::parse(text, &self.path.display().to_string()),
            // The report says why the file cannot be read.
            None => GatewaySettings::open(&self.path),
        };
        self.text = text;
        match settings {
            Ok(settings) => Some(settings),
            Err(report) => {
                warn!(logger, "changed settings are wrong and left out"; "report" => report.to_string());
                None
            }
        }
    }
}
