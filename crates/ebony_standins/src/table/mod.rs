//! Stand-in for the table service.
//!
//! Rows have versions and nonces; writes are conditional. It can simulate outages, lost replies, rate limits, and stale
//! reads of keys with a given prefix.

mod routes;
mod rows;

use std::cell::RefCell;

use actix_web::web;
use serde::{Deserialize, Serialize};

use crate::control_client::StandinControl;
use crate::rate_limit::RateLimit;
use crate::server::control::{HttpKind, StandinKind, StandinState};
use crate::server::faults::FaultSettings;
use crate::server::{BoundStandin, PortOptions, Result, StandinHandle};
use crate::settings_cell::SettingsCell;
use rows::RowTable;

/// Startup options of a table service.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TableOptions {
    /// The ports.
    pub ports: PortOptions,
    /// The settings.
    pub settings: TableSettings,
    /// The faults.
    pub faults: FaultSettings,
}

/// Settings of a table service.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TableSettings {
    /// Maximum reads and lists per second; those above it are rejected as not run. No limit if absent.
    pub reads_per_second: Option<f64>,
    /// Maximum writes per second; writes above it are rejected as not run. No limit if absent.
    pub writes_per_second: Option<f64>,
    /// Reads and lists of keys with this prefix return the rows as they were when the prefix was set.
    pub stale_prefix: Option<String>,
}

/// Statistics of a table service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TableStats {
    /// Stored rows.
    pub rows: u64,
    /// Reads of single rows that were accepted.
    pub reads: u64,
    /// Lists that were accepted.
    pub lists: u64,
    /// Writes that took effect: creations, replacements and deletions.
    pub writes: u64,
    /// Writes that failed because the row existed or had another version.
    pub conflicts: u64,
    /// Reads and lists rejected because of the rate limit.
    pub rejected_reads: u64,
    /// Writes rejected because of the rate limit, or because the table was full.
    pub rejected_writes: u64,
    /// Reads and lists that were answered with stale rows.
    pub stale_reads: u64,
}

/// Marker type of the table service.
pub enum TableKind {}

impl StandinKind for TableKind {
    type Settings = TableSettings;
    type Stats = TableStats;
}

impl HttpKind for TableKind {}

/// Controls a table service.
pub type TableControl = StandinControl<TableKind>;

/// The state of a running table service.
pub(crate) struct TableState {
    settings: SettingsCell<TableSettings>,
    rows: RefCell<RowTable>,
    stats: SettingsCell<TableStats>,
    read_limit: RefCell<RateLimit>,
    write_limit: RefCell<RateLimit>,
}

impl TableState {
    /// Applies the read rate limit and counts a rejection.
    fn try_admit_read(&self) -> bool {
        let rate = self.settings.read(|settings| settings.reads_per_second);
        let is_allowed = self.read_limit.borrow_mut().try_take(rate);
        if !is_allowed {
            self.stats.change(|stats| stats.rejected_reads += 1);
        }
        is_allowed
    }

    /// Applies the write rate limit and counts a rejection.
    fn try_admit_write(&self) -> bool {
        let rate = self.settings.read(|settings| settings.writes_per_second);
        let is_allowed = self.write_limit.borrow_mut().try_take(rate);
        if !is_allowed {
            self.stats.change(|stats| stats.rejected_writes += 1);
        }
        is_allowed
    }

    /// Returns whether a read of a key, or a list of a prefix, returns stale rows, and counts it if so.
    fn check_stale(&self, key: &str) -> bool {
        let prefix = self.settings.read(|settings| settings.stale_prefix.clone());
        let is_stale = prefix.as_ref().is_some_and(|prefix| key.starts_with(prefix));
        if is_stale {
            self.stats.change(|stats| stats.stale_reads += 1);
        }
        is_stale
    }
}

impl StandinState for TableState {
    type Kind = TableKind;

    fn settings(&self) -> &SettingsCell<TableSettings> {
        &self.settings
    }

    /// Takes or drops the copy of the rows for stale reads.
    async fn on_settings(&self) {
        let prefix = self.settings.read(|settings| settings.stale_prefix.clone());
        self.rows.borrow_mut().set_stale_prefix(prefix);
    }

    fn stats(&self) -> TableStats {
        TableStats {
            rows: self.rows.borrow().len(),
            ..self.stats.get()
        }
    }
}

/// Starts a table service in the running actix system.
///
/// # Errors
///
/// Fails if a port cannot be bound.
pub async fn spawn(options: TableOptions) -> Result<StandinHandle> {
    let bound = BoundStandin::bind(options.ports, options.faults, routes::is_write).await?;
    let state = web::Data::new(TableState {
        settings: SettingsCell::open(options.settings),
        rows: RefCell::new(RowTable::default()),
        stats: SettingsCell::open(TableStats::default()),
        read_limit: RefCell::default(),
        write_limit: RefCell::default(),
    });
    bound.serve(state, routes::data_routes, |_| {}).await
}
