//! The document in force, for every thread of a process.

use std::sync::{Arc, PoisonError, RwLock};

use crate::document::ConfigDocument;

/// A handle on the document in force in this process. Its version only rises.
///
/// Only a [`crate::ConfigHolder`] changes it; readers keep the document that they loaded for as long as they use it.
#[derive(Clone, Debug)]
pub struct ConfigCell {
    document: Arc<RwLock<Arc<ConfigDocument>>>,
}

impl ConfigCell {
    /// Puts the first document in force.
    pub(crate) fn new(document: Arc<ConfigDocument>) -> Self {
        Self {
            document: Arc::new(RwLock::new(document)),
        }
    }

    /// Returns the document in force.
    pub fn load(&self) -> Arc<ConfigDocument> {
        // The lock guards one assignment, so that a panic elsewhere leaves the document whole.
        let document = self.document.read().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&document)
    }

    /// Puts a document in force unless its version is not above the present one.
    pub(crate) fn advance(&self, next: Arc<ConfigDocument>) -> bool {
        let mut document = self.document.write().unwrap_or_else(PoisonError::into_inner);
        let is_newer = next.version > document.version;
        if is_newer {
            *document = next;
        }
        is_newer
    }
}
