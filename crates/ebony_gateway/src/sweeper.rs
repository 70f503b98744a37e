//! Removing rows that nothing needs any more: of programs that ended, of gateways that are gone for good, and of the crashes
//! that these noticed.
//!
//! Rows tell their age by their versions, see [`ebony_platform::VersionHistory`]. Each part of a table has one gateway
//! that sweeps it, by the same weights as programs have owners. Removals are conditional, so that a row that was just
//! written stays.

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
use crate::{accounts, fleet};

/// Sweeps in one retention time. Rows stay for a sixth of it longer at the most.
const SWEEPS_PER_RETENTION: u32 = 6;

/// Rows of one read, the most that the store returns.
const PAGE_ROWS: u32 = 500;

/// The pause between two reads of one sweep, so that a sweep takes a small part of the store's rates: 64 parts with 1,500
/// rows each are 256 reads.
const PAGE_DELAY: Duration = Duration::from_millis(200);

/// The least ratio of the store's retention and the time in which a stopped program may come back.
const RETENTION_MARGIN: u32 = 2;

/// The result of a sweep.
type Result<T, E = PlatformError> = std::result::Result<T, E>;

/// Sweeps the parts that this gateway is the one to sweep.
pub(crate) async fn sweep(gateway: Rc<Gateway>) {
    loop {
        sleep(gateway.retention / SWEEPS_PER_RETENTION).await;
        let Some(settled) = gateway.versions.borrow().settled(gateway.clock.now()) else {
            continue;
        };
        if !outlasts_programs(&gateway) {
            continue;
        }
        let prefixes = accounts::part_prefixes()
            .chain(turns::part_prefixes())
            .chain([fleet::entry_prefix(), crashes::row_prefix()]);
        for prefix in prefixes {
            if !gateway.fleet.owns(&prefix) {
                continue;
            }
            match sweep_part(&gateway, &prefix, settled).await {
                Ok(0) => {}
                Ok(rows) => info!(gateway.logger, "old rows removed"; "rows" => rows, "prefix" => &prefix),
                Err(error) => {
                    warn!(gateway.logger, "old rows stay until the next sweep";
                        "prefix" => &prefix, "error" => %error);
                }
            }
        }
    }
}

/// Returns how long rows that a program needs have to stay.
fn least_retention(rule: ProgramRule) -> Duration {
    let program = rule.retention * RETENTION_MARGIN;
    match rule.keeps_turns {
        true => program.max(row_lifetime(rule.retention)),
        false => program,
    }
}

/// Returns whether rows stay longer than any program may come back, and any conversation reaches back.
fn outlasts_programs(gateway: &Gateway) -> bool {
    let Some(routing) = gateway.routing() else {
        return false;
    };
    let rules = routing.routes().filter_map(|route| route.program);
    let least = rules.map(least_retention).max().unwrap_or_default();
    let outlasts = gateway.retention >= least;
    if !outlasts {
        warn!(gateway.logger, "no rows are removed: programs may come back too late for the store's retention";
            "retention_ms" => gateway.retention.as_millis() as u64, "least_ms" => least.as_millis() as u64);
    }
    outlasts
}

/// Removes the rows below a prefix that are not newer than `settled`. Returns how many.
async fn sweep_part(gateway: &Gateway, prefix: &str, settled: RowVersion) -> Result<usize> {
    let mut removed = 0;
    let mut last: Option<RowKey> = None;
    loop {
        let page = gateway.store.list(prefix, last.as_ref(), PAGE_ROWS).await?;
        let old: Vec<(RowKey, RowVersion)> = page
            .iter()
            .filter(|row| row.version <= settled)
            .map(|row| (row.key.clone(), row.version))
            .collect();
        if !old.is_empty() {
            gateway.store.delete_all(&old).await?;
            removed += old.len();
        }
        // A page may be short for its size in bytes; only an empty one is the end.
        match page.into_iter().next_back() {
            Some(row) => last = Some(row.key),
            None => return Ok(removed),
        }
        sleep(PAGE_DELAY).await;
    }
}
