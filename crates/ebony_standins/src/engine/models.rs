//! The models of an engine.

use std::time::Duration;

use ebony_types::ModelName;
use tokio::time::Instant;

struct ModelEntry {
    model: ModelName,
    ready_at: Instant,
}

/// Loaded and loading models. Bounded by the setting `max_models`.
#[derive(Default)]
pub(crate) struct ModelTable {
    entries: Vec<ModelEntry>,
}

impl ModelTable {
    /// Starts to load a model unless it is present. Returns `false` if the maximum number of models is reached.
    pub(crate) fn load(&mut self, model: &ModelName, time: Duration, max_models: u32) -> bool {
        if self.entries.iter().any(|entry| entry.model == *model) {
            return true;
        }
        if self.entries.len() >= max_models as usize {
            return false;
        }
        self.entries.push(ModelEntry {
            model: model.clone(),
            ready_at: Instant::now() + time,
        });
        true
    }

    pub(crate) fn unload(&mut self, model: &ModelName) {
        self.entries.retain(|entry| entry.model != *model);
    }

    /// Returns the models that have finished loading.
    pub(crate) fn ready(&self) -> Vec<ModelName> {
        let now = Instant::now();
        let ready = self.entries.iter().filter(|entry| entry.ready_at <= now);
        ready.map(|entry| entry.model.clone()).collect()
    }

    pub(crate) fn is_ready(&self, model: &str) -> bool {
        let now = Instant::now();
        self.entries
            .iter()
            .any(|entry| entry.model.as_str() == model && entry.ready_at <= now)
    }
}
