//! The transactional table service.

use std::fmt;

use async_trait::async_trait;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use ebony_types::RunVerdict;

use crate::error::PlatformError;
pub use crate::error::Result;

/// The key of a row: segments divided by slashes, such as `journal/s-01/000000000007`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct RowKey(pub String);

impl fmt::Display for RowKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// The version of a row; it rises with every write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct RowVersion(pub u64);

/// Marks a write, so that a read tells whether one's own write took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WriteNonce(pub u128);

/// A row as it was read.
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

/// The table service. Writes are conditional, and a lost reply is resolved by [`create_resolved`] and
/// [`replace_resolved`].
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

    /// Deletes rows whose versions match. Where the service offers it, all of them go or none.
    async fn delete_all(&self, rows: &[(RowKey, RowVersion)]) -> Result<()> {
        for (key, version) in rows {
            self.delete(key, *version).await?;
        }
        Ok(())
    }

    /// Lists up to `limit` rows with the prefix in key order, behind the key `after`.
    async fn list(&self, prefix: &str, after: Option<&RowKey>, limit: u32) -> Result<Vec<RowRecord>>;
}

/// Creates a row; after a lost reply, reads back whether the write took effect.
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

/// Replaces a row; after a lost reply, reads back whether the write took effect.
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

/// Reads back whether a write took effect whose outcome is unknown, or that conflicts: a transparent retransmission can
/// make one's own write look like a conflict.
async fn resolve(
    table: &dyn TableService,
    key: &RowKey,
    nonce: WriteNonce,
    written: Result<RowVersion>,
) -> Result<RowVersion> {
    let error = match written {
        Err(error @ PlatformError::Conflict) => error,
        Err(error) if error.verdict() == RunVerdict::MayHaveRun => error,
        settled => return settled,
    };
    match table.read(key).await? {
        Some(row) if row.nonce == nonce => Ok(row.version),
        // The write may still be on its way, so that an absent row does not prove that it failed.
        None if error.verdict() == RunVerdict::MayHaveRun => Err(error),
        _ => Err(PlatformError::Conflict),
    }
}
