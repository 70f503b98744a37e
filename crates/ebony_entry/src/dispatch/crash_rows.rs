//! Persists crash reports in the table service, as rows `crashes/{digest}`.
//!
//! Rows are written in the background, one at a time, and no call waits for them. A row that can't be written is
//! dropped, because side processes and entries also keep the counts in memory. Entries delete rows of expired crashes
//! when they start.

use std::collections::VecDeque;
use std::rc::Rc;

use bytes::Bytes;
use ebony_platform::table::{create_resolved, replace_resolved};
use ebony_platform::{PlatformError, RowKey, RowRecord, TableService, WriteNonce};
use ebony_telemetry::unix_time;
use ebony_wire::{CrashReport, CrashSite, SiteReport};
use serde::{Deserialize, Serialize};

/// The key prefix of the rows.
const ROW_PREFIX: &str = "crashes/";

/// The maximum number of rows read at start, equal to the bound of a crash tracker.
const MAX_ROWS: u32 = 4_096;

/// The maximum number of reports waiting to be written; further ones are dropped. One engine crash adds up to 64.
const MAX_QUEUED: usize = 1_024;

/// The maximum number of attempts to write a row that other entries write concurrently.
const WRITE_ATTEMPTS: u32 = 3;

/// The result of reading or writing a row.
type Result<T, E = PlatformError> = std::result::Result<T, E>;

/// One crash in a row.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
struct StoredSite {
    site: CrashSite,
    /// When the crash expires, in milliseconds since the Unix epoch.
    expires_ms: u64,
    is_cleared: bool,
}

/// The value of a row.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
struct StoredCrashes {
    digest: ebony_types::RequestDigest,
    sites: Vec<StoredSite>,
}

fn wall_millis() -> u64 {
    u64::try_from(unix_time().as_millis()).unwrap_or(u64::MAX)
}

impl StoredCrashes {
    fn from_report(report: &CrashReport, now_ms: u64) -> Self {
        let sites = report.sites.iter().map(|site| StoredSite {
            site: site.site.clone(),
            expires_ms: now_ms + site.remaining_micros / 1_000,
            is_cleared: site.is_cleared,
        });
        Self {
            digest: report.digest,
            sites: sites.collect(),
        }
    }

    fn to_report(&self, now_ms: u64) -> CrashReport {
        let counting = self.sites.iter().filter(|site| site.expires_ms > now_ms);
        let sites = counting.map(|site| SiteReport {
            site: site.site.clone(),
            remaining_micros: (site.expires_ms - now_ms).saturating_mul(1_000),
            is_cleared: site.is_cleared,
        });
        CrashReport {
            digest: self.digest,
            sites: sites.collect(),
        }
    }

    /// Merges a row that another entry wrote, by the crash tracker's rules: the earlier expiry and a cleared mark win.
    fn merge(&mut self, other: Self, now_ms: u64) {
        for stored in other.sites.into_iter().filter(|site| site.expires_ms > now_ms) {
            match self.sites.iter_mut().find(|site| site.site == stored.site) {
                Some(known) => {
                    known.expires_ms = known.expires_ms.min(stored.expires_ms);
                    known.is_cleared |= stored.is_cleared;
                }
                None => self.sites.push(stored),
            }
        }
    }
}

/// Queue of reports waiting to be written.
#[derive(Default)]
pub(super) struct CrashRows {
    pub(super) queue: VecDeque<CrashReport>,
    pub(super) is_writing: bool,
}

impl CrashRows {
    pub(super) fn queue(&mut self, reports: &[CrashReport]) {
        let room = MAX_QUEUED.saturating_sub(self.queue.len());
        self.queue.extend(reports.iter().take(room).cloned());
    }
}

/// Writes one report, merged with what other entries have written to the same row.
pub(super) async fn write(
    table: Rc<dyn TableService>,
    report: CrashReport,
    nonces: [u128; WRITE_ATTEMPTS as usize],
) -> Result<()> {
    let key = RowKey(format!("{ROW_PREFIX}{}", report.digest));
    let now_ms = wall_millis();
    for nonce in nonces {
        let mut stored = StoredCrashes::from_report(&report, now_ms);
        let row = table.read(&key).await?;
        if let Some(other) = row.as_ref().and_then(decode) {
            stored.merge(other, now_ms);
        }
        let value =
            serde_json::to_vec(&stored).map_err(|error| PlatformError::Malformed(error.to_string()))?;
        let (value, nonce) = (Bytes::from(value), WriteNonce(nonce));
        let written = match row {
            Some(row) => replace_resolved(&*table, &key, row.version, value, nonce).await,
            None => create_resolved(&*table, &key, value, nonce).await,
        };
        match written {
            Err(PlatformError::Conflict) => {}
            result => return result.map(drop),
        }
    }
    Err(PlatformError::Conflict)
}

fn decode(row: &RowRecord) -> Option<StoredCrashes> {
    serde_json::from_slice(&row.value).ok()
}

/// Reads the unexpired crashes and deletes rows that hold only expired ones.
pub(super) async fn read(table: Rc<dyn TableService>) -> Result<Vec<CrashReport>> {
    let now_ms = wall_millis();
    let mut reports = Vec::new();
    for row in table.list(ROW_PREFIX, None, MAX_ROWS).await? {
        let Some(stored) = decode(&row) else { continue };
        let report = stored.to_report(now_ms);
        if report.sites.is_empty() {
            // The delete may fail because another entry has already deleted or replaced the row.
            let _ = table.delete(&row.key, row.version).await;
        } else {
            reports.push(report);
        }
    }
    Ok(reports)
}
