//! An in-memory table service and weight store.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use async_trait::async_trait;
use bytes::Bytes;
use ebony_platform::{PlatformError, RowKey, RowRecord, RowVersion, TableService, WeightStore, WriteNonce};
use ebony_types::ModelName;
use tokio::sync::watch;

type Result<T, E = PlatformError> = std::result::Result<T, E>;

/// An in-memory table service. Clones share the rows.
#[derive(Clone)]
pub(crate) struct FakeTable {
    rows: Rc<RefCell<BTreeMap<RowKey, RowRecord>>>,
    /// Counts writes.
    pub(crate) writes: Rc<watch::Sender<u64>>,
}

impl FakeTable {
    pub(crate) fn new() -> Self {
        Self {
            rows: Rc::default(),
            writes: Rc::new(watch::channel(0).0),
        }
    }

    fn put(&self, key: &RowKey, value: Bytes, nonce: WriteNonce) -> RowVersion {
        self.writes.send_modify(|count| *count += 1);
        let version = RowVersion(*self.writes.borrow());
        let row = RowRecord {
            key: key.clone(),
            version,
            nonce,
            value,
        };
        self.rows.borrow_mut().insert(key.clone(), row);
        version
    }

    fn version(&self, key: &RowKey) -> Option<RowVersion> {
        self.rows.borrow().get(key).map(|row| row.version)
    }
}

#[async_trait(?Send)]
impl TableService for FakeTable {
    async fn read(&self, key: &RowKey) -> Result<Option<RowRecord>> {
        Ok(self.rows.borrow().get(key).cloned())
    }

    async fn create(&self, key: &RowKey, value: Bytes, nonce: WriteNonce) -> Result<RowVersion> {
        match self.version(key) {
            Some(_) => Err(PlatformError::Conflict),
            None => Ok(self.put(key, value, nonce)),
        }
    }

    async fn replace(
        &self,
        key: &RowKey,
        version: RowVersion,
        value: Bytes,
        nonce: WriteNonce,
    ) -> Result<RowVersion> {
        if self.version(key) != Some(version) {
            return Err(PlatformError::Conflict);
        }
        Ok(self.put(key, value, nonce))
    }

    async fn delete(&self, key: &RowKey, version: RowVersion) -> Result<()> {
        if self.version(key) != Some(version) {
            return Err(PlatformError::Conflict);
        }
        self.rows.borrow_mut().remove(key);
        Ok(())
    }

    async fn list(&self, prefix: &str, after: Option<&RowKey>, limit: u32) -> Result<Vec<RowRecord>> {
        let rows = self.rows.borrow();
        let listed = rows
            .values()
            .filter(|row| row.key.0.starts_with(prefix) && after.is_none_or(|after| row.key > *after));
        Ok(listed.take(limit as usize).cloned().collect())
    }
}

/// A weight store that refuses the first transfer and grants all others.
#[derive(Default)]
pub(crate) struct FakeWeights {
    asked: RefCell<Vec<ModelName>>,
}

#[async_trait(?Send)]
impl WeightStore for FakeWeights {
    async fn begin_transfer(&self, model: &ModelName) -> Result<()> {
        let mut asked = self.asked.borrow_mut();
        asked.push(model.clone());
        if asked.len() == 1 {
            return Err(PlatformError::Refused("the rate is used up".to_owned()));
        }
        Ok(())
    }
}
