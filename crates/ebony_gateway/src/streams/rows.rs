//! Versions and streams in the store: one row for each version of a service, and one for the streams of each gateway.

use std::rc::Rc;

use bytes::Bytes;
use ebony_platform::table::create_resolved;
use ebony_platform::{PlatformError, RowKey, RowRecord, RowVersion, TableService, WriteNonce};
use ebony_stream::{ServiceRelease, StreamRow};
use ebony_types::rendezvous::rendezvous_weight;
use ebony_wire::{decode, encode};
use futures_util::future::try_join_all;
use serde::de::DeserializeOwned;
use sha2::{Digest, Sha256};

use crate::own_row::OwnRow;

/// The table of versions and streams.
const TABLE: &str = "streams";

/// The partition of the rows of versions.
const RELEASE_PART: &str = "releases";

/// Partitions of the rows of gateways. A lookup reads all of them.
pub(crate) const STREAM_PARTS: u64 = 4;

/// The number of rows in one read, which is the store's limit.
const PAGE_ROWS: u32 = 500;

/// The most bytes of a page that is complete although it has fewer rows. The store returns up to 1 MB of encoded rows.
const MAX_COMPLETE_BYTES: usize = 500_000;

/// The result of reading or writing rows.
pub(crate) type Result<T, E = PlatformError> = std::result::Result<T, E>;

/// The row of a version.
pub(crate) struct ReleaseRow {
    pub(crate) key: RowKey,
    pub(crate) version: RowVersion,
    pub(crate) release: ServiceRelease,
}

/// The rows of versions and streams.
pub(crate) struct StreamRows {
    store: Rc<dyn TableService>,
    own: OwnRow,
}

impl StreamRows {
    pub(crate) fn open(store: Rc<dyn TableService>, process: &str) -> Self {
        let part = rendezvous_weight(process, TABLE) % STREAM_PARTS;
        let key = RowKey(format!("{}{process}", stream_prefix(part)));
        Self {
            own: OwnRow::open(Rc::clone(&store), key),
            store,
        }
    }

    /// Reads the rows of all versions.
    pub(crate) async fn read_releases(&self) -> Result<Vec<ReleaseRow>> {
        let rows = self.read_all(&format!("{TABLE}/{RELEASE_PART}/")).await?;
        let rows = rows.into_iter().map(|row| {
            Ok(ReleaseRow {
                release: decode_row(&row.value)?,
                key: row.key,
                version: row.version,
            })
        });
        rows.collect()
    }

    /// Reads the streams that all gateways recorded.
    pub(crate) async fn read_streams(&self) -> Result<Vec<StreamRow>> {
        let reads = (0..STREAM_PARTS).map(|part| async move { self.read_all(&stream_prefix(part)).await });
        let parts = try_join_all(reads).await?;
        let rows = parts.into_iter().flatten();
        rows.map(|row| decode_row(&row.value)).collect()
    }

    /// Creates the row of a version unless it exists.
    pub(crate) async fn create_release(&self, release: &ServiceRelease) -> Result<()> {
        let value = encode_row(release)?;
        match create_resolved(&*self.store, &release_key(release), value, WriteNonce(0)).await {
            Ok(_) | Err(PlatformError::Conflict) => Ok(()),
            Err(error) => Err(error),
        }
    }

    /// Removes the row of a version.
    pub(crate) async fn remove_release(&self, row: &ReleaseRow) -> Result<()> {
        self.store.delete(&row.key, row.version).await
    }

    /// Reads the streams that an earlier process of this gateway recorded, unless the row is already known.
    pub(crate) async fn read_own_unknown(&self) -> Result<StreamRow> {
        let value = self.own.read_unknown().await?;
        value.map_or(Ok(StreamRow::default()), |value| decode_row(&value))
    }

    /// Writes the streams of this gateway; see [`OwnRow::write`].
    pub(crate) async fn write_own(&self, row: &StreamRow, nonce: WriteNonce) -> Result<()> {
        self.own.write(encode_row(row)?, nonce).await
    }

    async fn read_all(&self, prefix: &str) -> Result<Vec<RowRecord>> {
        let mut rows: Vec<RowRecord> = Vec::new();
        loop {
            let page = self
                .store
                .list(prefix, rows.last().map(|row| &row.key), PAGE_ROWS)
                .await?;
            let bytes: usize = page.iter().map(|row| row.value.len()).sum();
            let is_complete = page.len() < PAGE_ROWS as usize && bytes < MAX_COMPLETE_BYTES;
            let is_empty = page.is_empty();
            rows.extend(page);
            if is_complete || is_empty {
                return Ok(rows);
            }
        }
    }
}

/// Returns the key of a version's row. It is a digest, because a version may be longer than a key.
pub(crate) fn release_key(release: &ServiceRelease) -> RowKey {
    let text = format!("{}\n{}", release.service, release.version);
    let digest = Sha256::digest(text);
    let digest: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
    RowKey(format!("{TABLE}/{RELEASE_PART}/{digest}"))
}

fn stream_prefix(part: u64) -> String {
    format!("{TABLE}/begun-{part}/")
}

/// Returns the key prefixes of the rows of gateways. Rows of versions are removed by [`super::registry`].
pub(crate) fn part_prefixes() -> impl Iterator<Item = String> {
    (0..STREAM_PARTS).map(stream_prefix)
}

fn encode_row<T: serde::Serialize>(value: &T) -> Result<Bytes> {
    let bytes = encode(value).map_err(|error| PlatformError::Refused(error.to_string()))?;
    Ok(bytes.into())
}

fn decode_row<T: DeserializeOwned>(value: &[u8]) -> Result<T> {
    decode(value).map_err(|error| PlatformError::Malformed(error.to_string()))
}
