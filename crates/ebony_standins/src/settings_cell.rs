//! Settings that change while a stand-in runs.

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use tokio::sync::watch;

/// The result of merging settings.
pub(crate) type Result<T, E = serde_json::Error> = std::result::Result<T, E>;

/// A shared value; tasks can change it and wait for changes.
pub(crate) struct SettingsCell<T>(watch::Sender<T>);

impl<T: Clone> SettingsCell<T> {
    pub(crate) fn open(settings: T) -> Self {
        Self(watch::Sender::new(settings))
    }

    pub(crate) fn get(&self) -> T {
        self.0.borrow().clone()
    }

    pub(crate) fn read<R>(&self, read: impl FnOnce(&T) -> R) -> R {
        read(&self.0.borrow())
    }

    pub(crate) fn set(&self, settings: T) {
        self.0.send_replace(settings);
    }

    pub(crate) fn change(&self, change: impl FnOnce(&mut T)) {
        self.0.send_modify(change);
    }

    /// Waits until the settings meet a condition.
    pub(crate) async fn wait_for(&self, condition: impl FnMut(&T) -> bool) {
        // Cannot fail: the sender is a field of this cell, so the channel stays open.
        self.0.subscribe().wait_for(condition).await.ok();
    }
}

/// Returns the settings with the members of a JSON object replaced; members absent from `patch` keep their values.
/// A patch that is not an object replaces the settings as a whole.
pub(crate) fn merge<T: Serialize + DeserializeOwned>(settings: &T, patch: Value) -> Result<T> {
    let mut merged = serde_json::to_value(settings)?;
    match (&mut merged, patch) {
        (Value::Object(members), Value::Object(changes)) => members.extend(changes),
        (whole, patch) => *whole = patch,
    }
    serde_json::from_value(merged)
}
