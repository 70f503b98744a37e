//! Crashes in the store: one row for each gateway, in the table that all gateways follow.
//!
//! Only the gateway that a row is named after writes it, so that writes of several gateways never collide. All read all rows.

use std::cell::Cell;
use std::rc::Rc;

use bytes::Bytes;
use ebony_platform::table::{create_resolved, replace_resolved};
use ebony_platform::{PlatformError, RowKey, RowVersion, TableService, WriteNonce};
use ebony_wire::{CrashReport, WireError, decode, encode};

use crate::fleet;

/// What the keys of crash rows start with.
const ROW_PREFIX: &str = "crashes:";

/// Requests in one row. With eight crashes each they take 80 KB at the most and 20 KB with the usual three; those with the
/// fewest crashes are left out.
const MOST_ROW_REQUESTS: usize = 96;

/// The largest value: the store takes 64 KiB of base64, the nonce among them.
const MOST_ROW_BYTES: usize = 48_000;

/// The result of reading or writing a row.
pub(crate) type Result<T, E = PlatformError> = std::result::Result<T, E>;

/// The row of this gateway.
pub(crate) struct CrashRow {
    store: Rc<dyn TableService>,
    key: RowKey,
    /// The version that this gateway wrote or read last.
    version: Cell<Option<RowVersion>>,
}

impl CrashRow {
    pub(crate) fn open(store: Rc<dyn TableService>, process: &str) -> Self {
        Self {
            store,
            key: fleet::row_key(&format!("{ROW_PREFIX}{process}")),
            version: Cell::default(),
        }
    }

    /// Returns what an earlier life of this gateway wrote, unless the row is known already.
    pub(crate) async fn read_unknown(&self) -> Result<Vec<CrashReport>> {
        if self.version.get().is_some() {
            return Ok(Vec::new());
        }
        let Some(row) = self.store.read(&self.key).await? else {
            return Ok(Vec::new());
        };
        self.version.set(Some(row.version));
        decode_row(&row.value).map_err(|error| PlatformError::Malformed(error.to_string()))
    }

    /// Writes the row.
    ///
    /// # Errors
    ///
    /// After any failure the row has to be read again, because it may have been written, or removed as old.
    pub(crate) async fn write(&self, reports: Vec<CrashReport>, nonce: WriteNonce) -> Result<()> {
        let value = encode_row(reports).map_err(|error| PlatformError::Refused(error.to_string()))?;
        let written = match self.version.take() {
            Some(version) => replace_resolved(&*self.store, &self.key, version, value, nonce).await,
            None => create_resolved(&*self.store, &self.key, value, nonce).await,
        };
        self.version.set(Some(written?));
        Ok(())
    }

    /// Notes that the row was removed.
    pub(crate) fn forget(&self) {
        self.version.set(None);
    }
}

/// Returns the gateway whose crashes are in the row with this key.
pub(crate) fn writer_of(key: &str) -> Option<&str> {
    key.strip_prefix(ROW_PREFIX)
}

/// Returns what the keys of all rows of crashes start with.
pub(crate) fn row_prefix() -> String {
    fleet::row_key(ROW_PREFIX).0
}

pub(crate) fn decode_row(value: &[u8]) -> Result<Vec<CrashReport>, WireError> {
    decode(value)
}

/// Encodes as many reports as fit, those with the most crashes first.
fn encode_row(mut reports: Vec<CrashReport>) -> Result<Bytes, WireError> {
    reports.sort_by_key(|report| std::cmp::Reverse(open_crashes(report)));
    reports.truncate(MOST_ROW_REQUESTS);
    loop {
        let value = encode(&reports)?;
        if value.len() <= MOST_ROW_BYTES {
            return Ok(value.into());
        }
        reports.truncate(reports.len() / 2);
    }
}

fn open_crashes(report: &CrashReport) -> usize {
    report.sites.iter().filter(|site| !site.is_cleared).count()
}
