//! Removes rows of the store that are no longer needed: those of ended programs and turns, of gateways that were
//! removed for good, and of the crashes that these gateways recorded.
//!
//! The age of a row follows from its version, see [`ebony_platform::VersionHistory`]. Each partition of a table is
//! swept by one gateway, chosen by rendezvous hashing like the owners of programs. Removals are conditional, so that a
//! row that was just written stays.

use std::rc::Rc;
use std::time::Duration;

use ebony_conversation::row_lifetime;
use ebony_platform::{PlatformError, RowKey, RowVersion};
use ebony_routing::ProgramRule;
use slog::{info, warn};
use tokio::time::sleep;

use crate::conversations::rows as turns;
use crate::crashes::rows as crashes;
use crate::gateway::Gateway;
use crate::streams::rows as streams;
use crate::{accounts, fleet};

/// The number of sweeps in one retention time. Rows stay for at most a sixth of it longer.
const SWEEPS_PER_RETENTION: u32 = 6;

/// The number of rows in one read, which is the store's limit.
const PAGE_ROWS: u32 = 500;

/// The delay between two reads of one sweep, so that a sweep uses a small fraction of the store's rate limits: 64
/// partitions with 1,500 rows each take 256 reads.
const PAGE_DELAY: Duration = Duration::from_millis(200);

/// The minimum ratio of the store's retention to the time within which a stopped program may resume.
const RETENTION_MARGIN: u32 = 2;

/// The result of a sweep.
type Result<T, E = PlatformError> = std::result::Result<T, E>;

/// Periodically sweeps the partitions that this gateway owns.
pub(crate) async fn sweep(gateway: Rc<Gateway>) {
    loop {
        sleep(gateway.retention / SWEEPS_PER_RETENTION).await;
        let Some(expired) = gateway.versions.borrow().newest_expired(gateway.clock.now()) else {
            continue;
        };
        if !outlasts_programs(&gateway) {
            continue;
        }
        let prefixes = accounts::part_prefixes()
            .chain(turns::part_prefixes())
            .chain(streams::part_prefixes())
            .chain([fleet::entry_prefix(), crashes::row_prefix()]);
        for prefix in prefixes {
            if !gateway.fleet.owns(&prefix) {
                continue;
            }
            match sweep_part(&gateway, &prefix, expired).await {
                Ok(0) => {}
                Ok(rows) => info!(gateway.logger, "old rows removed"; "rows" => rows, "prefix" => &prefix),
                Err(error) => {
                    warn!(gateway.logger, "cannot remove old rows before the next sweep";
                        "prefix" => &prefix, "error" => %error);
                }
            }
        }
    }
}

/// Returns how long the rows of a program have to stay.
fn least_retention(rule: ProgramRule) -> Duration {
    let program = rule.retention * RETENTION_MARGIN;
    match rule.keeps_turns {
        true => program.max(row_lifetime(rule.retention)),
        false => program,
    }
}

/// Returns whether the store's retention is long enough for all programs to resume and all conversations to be
/// continued.
fn outlasts_programs(gateway: &Gateway) -> bool {
    let Some(routing) = gateway.routing() else {
        return false;
    };
    let rules = routing.routes().filter_map(|route| route.program);
    let least = rules.map(least_retention).max().unwrap_or_default();
    let outlasts = gateway.retention >= least;
    if !outlasts {
        warn!(gateway.logger, "no rows are removed: the store's retention is too short for programs that may resume";
            "retention_ms" => gateway.retention.as_millis() as u64, "least_ms" => least.as_millis() as u64);
    }
    outlasts
}

/// Removes the rows with a key prefix that are not newer than `expired`. Returns their number.
async fn sweep_part(gateway: &Gateway, prefix: &str, expired: RowVersion) -> Result<usize> {
    let mut removed = 0;
    let mut last: Option<RowKey> = None;
    loop {
        let page = gateway.store.list(prefix, last.as_ref(), PAGE_ROWS).await?;
        let old: Vec<(RowKey, RowVersion)> = page
            .iter()
            .filter(|row| row.version <= expired)
            .map(|row| (row.key.clone(), row.version))
            .collect();
        if !old.is_empty() {
            gateway.store.delete_all(&old).await?;
            removed += old.len();
        }
        // A page may be short because the store limits its size in bytes, so only an empty one is the end.
        match page.into_iter().next_back() {
            Some(row) => last = Some(row.key),
            None => return Ok(removed),
        }
        sleep(PAGE_DELAY).await;
    }
}
