//! A row of the store that only the gateway with its name writes, so that writes of several gateways never conflict.

use std::cell::Cell;
use std::rc::Rc;

use bytes::Bytes;
use ebony_platform::table::{create_resolved, replace_resolved};
use ebony_platform::{PlatformError, RowKey, RowVersion, TableService, WriteNonce};

/// The result of reading or writing the row.
pub(crate) type Result<T, E = PlatformError> = std::result::Result<T, E>;

/// The row of this gateway in a table.
pub(crate) struct OwnRow {
    store: Rc<dyn TableService>,
    key: RowKey,
    /// The version that this gateway last wrote or read.
    version: Cell<Option<RowVersion>>,
}

impl OwnRow {
    pub(crate) fn open(store: Rc<dyn TableService>, key: RowKey) -> Self {
        Self {
            store,
            key,
            version: Cell::default(),
        }
    }

    /// Reads what an earlier process of this gateway wrote, unless the row's version is already known.
    pub(crate) async fn read_unknown(&self) -> Result<Option<Bytes>> {
        if self.version.get().is_some() {
            return Ok(None);
        }
        let Some(row) = self.store.read(&self.key).await? else {
            return Ok(None);
        };
        self.version.set(Some(row.version));
        Ok(Some(row.value))
    }

    /// Writes the row.
    ///
    /// # Errors
    ///
    /// After any failure the row has to be read again, because it may have been written, or removed for its age.
    pub(crate) async fn write(&self, value: Bytes, nonce: WriteNonce) -> Result<()> {
        let written = match self.version.take() {
            Some(version) => replace_resolved(&*self.store, &self.key, version, value, nonce).await,
            None => create_resolved(&*self.store, &self.key, value, nonce).await,
        };
        self.version.set(Some(written?));
        Ok(())
    }

    /// Records that the row was removed.
    pub(crate) fn clear_version(&self) {
        self.version.set(None);
    }
}
