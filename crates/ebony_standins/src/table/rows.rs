//! Rows with versions and nonces.

use std::collections::BTreeMap;
use std::ops::Bound;

use bytes::Bytes;
use ebony_platform::protocol::{CreateRequest, DeleteRequest, ListRequest, ReplaceRequest, RowReply};
use ebony_platform::{RowKey, RowVersion, WriteNonce};

/// Maximum number of rows. The creation of further ones is rejected as not run.
const MAX_ROWS: usize = 1_000_000;

/// Maximum number of rows in one list, regardless of the limit in its request.
const MAX_LIST_ROWS: usize = 1_000;

/// Maximum size of the values in one list; the list ends with the row that reaches or exceeds it.
const MAX_LIST_BYTES: usize = 8 * 1024 * 1024;

/// Why a request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RowFailure {
    /// The row to create exists, or the row to change is absent or has another version.
    Conflict,
    /// The table is full.
    Full,
    /// The rate limit is exceeded.
    RateExceeded,
}

/// The result of a request.
pub(crate) type Result<T, E = RowFailure> = std::result::Result<T, E>;

#[derive(Clone)]
struct StoredRow {
    version: RowVersion,
    nonce: WriteNonce,
    value: Bytes,
}

/// All rows, and the copy of rows that stale reads return.
#[derive(Default)]
pub(crate) struct RowTable {
    rows: BTreeMap<String, StoredRow>,
    stale_prefix: Option<String>,
    stale_rows: BTreeMap<String, StoredRow>,
    // Shared by all rows, so that a row that is deleted and created again never reuses a version.
    last_version: u64,
}

impl RowTable {
    pub(crate) fn len(&self) -> u64 {
        self.rows.len() as u64
    }

    /// Copies the current rows with a prefix for stale reads. If the prefix is already set, its copy stays unchanged.
    pub(crate) fn set_stale_prefix(&mut self, prefix: Option<String>) {
        if self.stale_prefix == prefix {
            return;
        }
        self.stale_rows = match &prefix {
            Some(prefix) => self
                .rows
                .iter()
                .filter(|(key, _)| key.starts_with(prefix))
                .map(|(key, row)| (key.clone(), row.clone()))
                .collect(),
            None => BTreeMap::new(),
        };
        self.stale_prefix = prefix;
    }

    pub(crate) fn read(&self, key: &RowKey, is_stale: bool) -> Option<RowReply> {
        let row = self.rows(is_stale).get(&key.0)?;
        Some(reply(&key.0, row))
    }

    pub(crate) fn list(&self, request: &ListRequest, is_stale: bool) -> Vec<RowReply> {
        let start = match &request.after {
            Some(after) if after.0 >= request.prefix => Bound::Excluded(after.0.clone()),
            _ => Bound::Included(request.prefix.clone()),
        };
        let limit = MAX_LIST_ROWS.min(request.limit as usize);
        let mut bytes = 0;
        self.rows(is_stale)
            .range((start, Bound::Unbounded))
            .take_while(|(key, _)| key.starts_with(&request.prefix))
            .take(limit)
            .take_while(|(_, row)| {
                let fits = bytes < MAX_LIST_BYTES;
                bytes += row.value.len();
                fits
            })
            .map(|(key, row)| reply(key, row))
            .collect()
    }

    pub(crate) fn create(&mut self, request: CreateRequest) -> Result<RowVersion> {
        if self.rows.contains_key(&request.key.0) {
            return Err(RowFailure::Conflict);
        }
        if self.rows.len() >= MAX_ROWS {
            return Err(RowFailure::Full);
        }
        Ok(self.store(request.key, request.nonce, request.value))
    }

    pub(crate) fn replace(&mut self, request: ReplaceRequest) -> Result<RowVersion> {
        self.check_version(&request.key, request.version)?;
        Ok(self.store(request.key, request.nonce, request.value))
    }

    pub(crate) fn delete(&mut self, request: &DeleteRequest) -> Result<()> {
        self.check_version(&request.key, request.version)?;
        self.rows.remove(&request.key.0);
        Ok(())
    }

    fn rows(&self, is_stale: bool) -> &BTreeMap<String, StoredRow> {
        if is_stale { &self.stale_rows } else { &self.rows }
    }

    fn check_version(&self, key: &RowKey, version: RowVersion) -> Result<()> {
        let row = self.rows.get(&key.0);
        if row.is_some_and(|row| row.version == version) {
            Ok(())
        } else {
            Err(RowFailure::Conflict)
        }
    }

    fn store(&mut self, key: RowKey, nonce: WriteNonce, value: Bytes) -> RowVersion {
        self.last_version += 1;
        let version = RowVersion(self.last_version);
        let row = StoredRow {
            version,
            nonce,
            value,
        };
        self.rows.insert(key.0, row);
        version
    }
}

fn reply(key: &str, row: &StoredRow) -> RowReply {
    RowReply {
        key: RowKey(key.to_owned()),
        version: row.version,
        nonce: row.nonce,
        value: row.value.clone(),
    }
}
