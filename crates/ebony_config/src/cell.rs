//! The document in force, shared by the threads of a process.

use std::sync::{Arc, PoisonError, RwLock};

use crate::document::ConfigDocument;

/// A handle on the document in force in this process. Its version only increases.
///
/// Only a [`crate::ConfigHolder`] replaces the document. Readers may keep a document that they loaded.
#[derive(Clone, Debug)]
pub struct ConfigCell {
    document: Arc<RwLock<Arc<ConfigDocument>>>,
}

impl ConfigCell {
    /// Creates the cell with the first document.
    pub(crate) fn new(document: Arc<ConfigDocument>) -> Self {
        Self {
            document: Arc::new(RwLock::new(document)),
        }
    }

    /// Returns the document in force.
    pub fn load(&self) -> Arc<ConfigDocument> {
        // The lock only guards the assignment of an `Arc`, so that a poisoned lock still holds a complete document.
        let document = self.document.read().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&document)
    }

    /// Replaces the document if `next` has a higher version, and returns whether it did.
    pub(crate) fn advance(&self, next: Arc<ConfigDocument>) -> bool {
        let mut document = self.document.write().unwrap_or_else(PoisonError::into_inner);
        let is_newer = next.version > document.version;
        if is_newer {
            *document = next;
        }
        is_newer
    }
}
