//! Access to the transactional table service.

use std::fmt;

use async_trait::async_trait;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use ebony_types::RunVerdict;

use crate::error::PlatformError;
pub use crate::error::Result;

/// The key of a row: segments separated by slashes, such as `journal/s-01/000000000007`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct RowKey(pub String);

impl fmt::Display for RowKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// The version of a row. It increases with every write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct RowVersion(pub u64);

/// Identifies a write, so that a writer can tell from a later read whether its own write took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WriteNonce(pub u128);

/// A row that was read from the table service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowRecord {
    /// The key.
    pub key: RowKey,
    /// The version.
    pub version: RowVersion,
    /// The nonce of the last write.
    pub nonce: WriteNonce,
    /// The value.
    pub value: Bytes,
}

/// A table service with conditional writes. [`create_resolved`] and [`replace_resolved`] find out whether a write whose
/// reply was lost took effect.
#[async_trait(?Send)]
pub trait TableService {
    /// Reads a row.
    async fn read(&self, key: &RowKey) -> Result<Option<RowRecord>>;

    /// Creates a row if it is absent.
    async fn create(&self, key: &RowKey, value: Bytes, nonce: WriteNonce) -> Result<RowVersion>;

    /// Replaces a row whose version matches.
    async fn replace(
        &self,
        key: &RowKey,
        version: RowVersion,
        value: Bytes,
        nonce: WriteNonce,
    ) -> Result<RowVersion>;

    /// Deletes a row whose version matches.
    async fn delete(&self, key: &RowKey, version: RowVersion) -> Result<()>;

    /// Deletes rows whose versions match. Atomic only if the implementation overrides it with a transaction; by default
    /// the rows are deleted one by one.
    async fn delete_all(&self, rows: &[(RowKey, RowVersion)]) -> Result<()> {
        for (key, version) in rows {
            self.delete(key, *version).await?;
        }
        Ok(())
    }

    /// Lists up to `limit` rows whose keys start with `prefix`, in key order, starting after the key `after`.
    async fn list(&self, prefix: &str, after: Option<&RowKey>, limit: u32) -> Result<Vec<RowRecord>>;
}

/// Creates a row. If the reply is lost, reads the row to find out whether the write took effect.
///
/// # Errors
///
/// Returns [`PlatformError::Unknown`] only if the read fails as well.
pub async fn create_resolved(
    table: &dyn TableService,
    key: &RowKey,
    value: Bytes,
    nonce: WriteNonce,
) -> Result<RowVersion> {
    let written = table.create(key, value, nonce).await;
    resolve(table, key, nonce, written).await
}

/// Replaces a row. If the reply is lost, reads the row to find out whether the write took effect.
///
/// # Errors
///
/// Returns [`PlatformError::Unknown`] only if the read fails as well.
pub async fn replace_resolved(
    table: &dyn TableService,
    key: &RowKey,
    version: RowVersion,
    value: Bytes,
    nonce: WriteNonce,
) -> Result<RowVersion> {
    let written = table.replace(key, version, value, nonce).await;
    resolve(table, key, nonce, written).await
}

/// Reads the row to find out whether a write took effect if its outcome is unknown or it conflicted. A transparent
/// retransmission of a write that did take effect is reported as a conflict.
async fn resolve(
    table: &dyn TableService,
    key: &RowKey,
    nonce: WriteNonce,
    written: Result<RowVersion>,
) -> Result<RowVersion> {
    let error = match written {
        Err(error @ PlatformError::Conflict) => error,
        Err(error) if error.verdict() == RunVerdict::MayHaveRun => error,
        result => return result,
    };
    match table.read(key).await? {
        Some(row) if row.nonce == nonce => Ok(row.version),
        // The write may still be in transit, so an absent row does not prove that it failed.
        None if error.verdict() == RunVerdict::MayHaveRun => Err(error),
        _ => Err(PlatformError::Conflict),
    }
}
