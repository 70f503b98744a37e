//! Crashes in the store: one row for each gateway, in the table that all gateways follow.
//!
//! All gateways read all rows.

use std::rc::Rc;

use bytes::Bytes;
use ebony_platform::{PlatformError, TableService, WriteNonce};
use ebony_wire::{CrashReport, WireError, decode, encode};

use crate::fleet;
use crate::own_row::OwnRow;

/// The key prefix of the rows.
const ROW_PREFIX: &str = "crashes:";

/// The maximum number of requests in one row; those with the fewest crashes are left out. They take up to 80 KB with
/// eight crashes each, and 20 KB with the usual three.
const MAX_ROW_REQUESTS: usize = 96;

/// The maximum size of a row. The store accepts 64 KiB of base64, which include the nonce.
const MAX_ROW_BYTES: usize = 48_000;

/// The result of reading or writing a row.
pub(crate) type Result<T, E = PlatformError> = std::result::Result<T, E>;

/// The row of this gateway.
pub(crate) struct CrashRow(OwnRow);

impl CrashRow {
    pub(crate) fn open(store: Rc<dyn TableService>, process: &str) -> Self {
        Self(OwnRow::open(
            store,
            fleet::row_key(&format!("{ROW_PREFIX}{process}")),
        ))
    }

    /// Reads the reports that an earlier process of this gateway wrote, unless the row's version is already known.
    pub(crate) async fn read_unknown(&self) -> Result<Vec<CrashReport>> {
        let value = self.0.read_unknown().await?;
        let reports = value.map(|value| decode_row(&value)).transpose();
        let reports = reports.map_err(|error| PlatformError::Malformed(error.to_string()))?;
        Ok(reports.unwrap_or_default())
    }

    /// Writes the row; see [`OwnRow::write`].
    pub(crate) async fn write(&self, reports: Vec<CrashReport>, nonce: WriteNonce) -> Result<()> {
        let value = encode_row(reports).map_err(|error| PlatformError::Refused(error.to_string()))?;
        self.0.write(value, nonce).await
    }

    /// Records that the row was removed.
    pub(crate) fn clear_version(&self) {
        self.0.clear_version();
    }
}

/// Returns the name of the gateway that writes the row with this key.
pub(crate) fn row_owner(key: &str) -> Option<&str> {
    key.strip_prefix(ROW_PREFIX)
}

/// Returns the full key prefix of the rows of all gateways.
pub(crate) fn row_prefix() -> String {
    fleet::row_key(ROW_PREFIX).0
}

pub(crate) fn decode_row(value: &[u8]) -> Result<Vec<CrashReport>, WireError> {
    decode(value)
}

/// Encodes as many reports as fit, those with the most crashes first.
fn encode_row(mut reports: Vec<CrashReport>) -> Result<Bytes, WireError> {
    reports.sort_by_key(|report| std::cmp::Reverse(uncleared_crashes(report)));
    reports.truncate(MAX_ROW_REQUESTS);
    loop {
        let value = encode(&reports)?;
        if value.len() <= MAX_ROW_BYTES {
            return Ok(value.into());
        }
        reports.truncate(reports.len() / 2);
    }
}

fn uncleared_crashes(report: &CrashReport) -> usize {
    report.sites.iter().filter(|site| !site.is_cleared).count()
}
