//! Follows the configuration, the list of targets and the list of gateways in the platform's store, and runs periodic
//! maintenance.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use ebony_dispatch::{TargetChange, TargetRecord};
use ebony_platform::{FeedPage, FeedRow, PlatformError, RowVersion};
use ebony_types::{ClockTime, TargetName};
use slog::{info, warn};
use tokio::time::sleep;

use crate::crashes::TargetProbes;
use crate::customers;
use crate::fleet;
use crate::gateway::Gateway;
use crate::leaving::{self, LeavingSource};
use crate::limits;
use crate::streams;

/// The long-poll time of requests for changes of the configuration or of the list of targets. With the timeout of the
/// answer, a silent connection is detected within 1.3 s; a draining target and a new configuration have to be noticed
/// within 2 s.
const FEED_WAIT: Duration = Duration::from_millis(600);

/// The long-poll time of requests for changes of the list of gateways, which are rare.
const FLEET_WAIT: Duration = Duration::from_millis(2_000);

/// The delay between two requests for changes of the list of targets, so that several changes arrive in one answer.
const TARGET_BATCH_DELAY: Duration = Duration::from_millis(150);

/// The delay before the next request to the store after a failed one.
const FAILURE_RETRY_DELAY: Duration = Duration::from_millis(150);

/// How long a target stays on the board after an outage of the store if its entry lapsed. Targets register again within
/// 2 s: this time and the [`MAINTENANCE_INTERVAL`] until [`run_maintenance`] removes those that have not.
const UNLISTED_GRACE: Duration = Duration::from_millis(1_900);

/// The delay between two runs of [`run_maintenance`].
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(100);

/// The interval of reading the resident memory, about the interval at which metrics are scraped.
const MEMORY_INTERVAL: Duration = Duration::from_secs(5);

/// The page size of the hosts' processors.
const PAGE_BYTES: i64 = 4_096;

/// The result of reading the store.
type Result<T, E = PlatformError> = std::result::Result<T, E>;

/// Follows the changes of one table of the store.
struct TableWatch {
    gateway: Rc<Gateway>,
    table: &'static str,
    duty: &'static str,
    wait: Duration,
    cursor: Option<RowVersion>,
    last_answer: ClockTime,
    is_unreachable: bool,
    /// When the store first answered after its last outage; `None` if there was no outage.
    recovered_at: Option<ClockTime>,
}

/// Rows that a read returned.
enum TableUpdate {
    /// All rows of the table.
    Snapshot(Vec<FeedRow>),
    /// Rows that changed.
    Changes(Vec<FeedRow>),
}

impl TableWatch {
    fn open(gateway: &Rc<Gateway>, table: &'static str, duty: &'static str, wait: Duration) -> Self {
        Self {
            gateway: Rc::clone(gateway),
            table,
            duty,
            wait,
            cursor: None,
            last_answer: gateway.clock.now(),
            is_unreachable: false,
            recovered_at: None,
        }
    }

    /// Waits for the next snapshot or change, and repeats failed reads.
    async fn next(&mut self) -> TableUpdate {
        loop {
            let is_snapshot = self.cursor.is_none();
            match self.read().await {
                Ok(page) => {
                    self.record_answer();
                    self.gateway
                        .versions
                        .borrow_mut()
                        .record(self.last_answer, page.version);
                    self.cursor = Some(page.version);
                    if is_snapshot {
                        return TableUpdate::Snapshot(page.rows);
                    }
                    if !page.rows.is_empty() {
                        return TableUpdate::Changes(page.rows);
                    }
                }
                Err(PlatformError::HistoryLost) => {
                    self.count("history_lost");
                    warn!(self.gateway.logger, "the store lost its history; reading the whole table";
                        "table" => self.table);
                    self.cursor = None;
                }
                Err(error) => {
                    self.record_failure(&error);
                    sleep(FAILURE_RETRY_DELAY).await;
                }
            }
        }
    }

    async fn read(&self) -> Result<FeedPage> {
        match self.cursor {
            None => self.gateway.store.snapshot(self.table).await,
            Some(version) => self.gateway.store.changes(self.table, version, self.wait).await,
        }
    }

    fn record_answer(&mut self) {
        self.count("answered");
        let now = self.gateway.clock.now();
        self.gateway.accounts.mark_store_reachable();
        if std::mem::take(&mut self.is_unreachable) {
            self.recovered_at = Some(now);
            info!(self.gateway.logger, "the store is back";
                "table" => self.table, "away_ms" => now.since(self.last_answer).as_millis() as u64);
        }
        self.last_answer = now;
        self.gateway
            .metrics
            .feed_age
            .with_label_values(&[self.duty])
            .set(0);
    }

    fn record_failure(&mut self, error: &PlatformError) {
        self.count("failed");
        let age = self.gateway.clock.now().since(self.last_answer);
        let age_ms = i64::try_from(age.as_millis()).unwrap_or(i64::MAX);
        self.gateway
            .metrics
            .feed_age
            .with_label_values(&[self.duty])
            .set(age_ms);
        self.gateway.accounts.mark_store_unreachable("a feed failed");
        if !std::mem::replace(&mut self.is_unreachable, true) {
            warn!(self.gateway.logger, "the store does not answer";
                "table" => self.table, "error" => %error);
        }
    }

    fn count(&self, outcome: &str) {
        let labels = [self.duty, outcome];
        self.gateway.metrics.store_calls.with_label_values(&labels).inc();
    }
}

/// Follows the configuration.
pub(crate) async fn watch_routing(gateway: Rc<Gateway>) {
    let (table, key) = gateway.dialect.routing_row();
    let mut watch = TableWatch::open(&gateway, table, "routing", FEED_WAIT);
    loop {
        let (TableUpdate::Snapshot(rows) | TableUpdate::Changes(rows)) = watch.next().await;
        let values = rows.iter().filter(|row| row.key == key);
        for value in values.filter_map(|row| row.value.as_deref()) {
            apply_routing(&gateway, value);
        }
    }
}

/// Puts a configuration in force, unless the same or a newer version is in force.
fn apply_routing(gateway: &Gateway, value: &[u8]) {
    let mut table = match gateway.dialect.decode_routing(value) {
        Ok(table) => table,
        Err(error) => {
            warn!(gateway.logger, "a configuration cannot be read"; "error" => %error);
            return;
        }
    };
    let version = table.version();
    let before = gateway.routing();
    let current = before.as_ref().map(|routing| routing.version());
    if current.is_some_and(|current| current >= version) {
        info!(gateway.logger, "an older configuration was ignored";
            "version" => version.0, "in_force" => current.unwrap_or_default().0);
        return;
    }
    if let Some(before) = &before {
        table.keep_quotas(before);
    }
    info!(gateway.logger, "configuration in force";
        "version" => version.0, "before" => current.unwrap_or_default().0, "routes" => table.routes().count(),
        "customers" => table.has_customers().then(|| table.customers().count()));
    customers::report_faults(gateway, &table);
    gateway
        .metrics
        .customer_calls
        .retain(|name| table.customer(name).is_some());
    gateway
        .metrics
        .routing_version
        .set(i64::try_from(version.0).unwrap_or(i64::MAX));
    *gateway.routing.borrow_mut() = Some(Rc::new(table));
    streams::update_listed(gateway);
    gateway.update_health();
}

/// Follows the list of targets.
pub(crate) async fn watch_targets(gateway: Rc<Gateway>) {
    let mut watch = TableWatch::open(&gateway, gateway.dialect.target_table(), "targets", FEED_WAIT);
    let list = TargetList {
        gateway: Rc::clone(&gateway),
        store_recovered_at: Cell::default(),
    };
    loop {
        let update = watch.next().await;
        list.store_recovered_at.set(watch.recovered_at);
        match update {
            TableUpdate::Snapshot(rows) => list.replace(&rows),
            TableUpdate::Changes(rows) => list.apply_all(&rows),
        }
        streams::update_listed(&gateway);
        gateway.has_targets.set(true);
        gateway.update_health();
        sleep(TARGET_BATCH_DELAY).await;
    }
}

/// Follows the table of gateways, with the crashes that they recorded.
pub(crate) async fn watch_fleet(gateway: Rc<Gateway>) {
    let mut watch = TableWatch::open(&gateway, fleet::TABLE, "fleet", FLEET_WAIT);
    loop {
        match watch.next().await {
            TableUpdate::Snapshot(rows) => {
                gateway.crashes.apply_rows(&rows);
                gateway.fleet.replace(&rows);
            }
            TableUpdate::Changes(rows) => {
                gateway.crashes.apply_rows(&rows);
                gateway.fleet.apply(&rows);
            }
        }
        gateway.has_fleet.set(true);
        gateway.update_health();
    }
}

/// Applies the platform's list to the board.
struct TargetList {
    gateway: Rc<Gateway>,
    /// When the store first answered after its last outage; `None` if there was no outage.
    store_recovered_at: Cell<Option<ClockTime>>,
}

impl TargetList {
    /// Replaces the whole list. A target that is missing may have lapsed during an outage of the store.
    fn replace(&self, rows: &[FeedRow]) {
        let names = self.gateway.board.borrow().names();
        for name in names {
            if !rows.iter().any(|row| row.key == name.as_str()) {
                self.remove_or_mark_unlisted(&name);
            }
        }
        self.apply_all(rows);
    }

    fn apply_all(&self, rows: &[FeedRow]) {
        for row in rows {
            self.apply(row);
        }
        let targets = self.gateway.board.borrow().names().len();
        self.gateway
            .metrics
            .targets
            .set(i64::try_from(targets).unwrap_or(i64::MAX));
    }

    fn apply(&self, row: &FeedRow) {
        let logger = &self.gateway.logger;
        let Ok(name) = TargetName::parse(&row.key) else {
            warn!(logger, "a target has an invalid name"; "key" => &row.key);
            return;
        };
        let Some(value) = &row.value else {
            self.remove_or_mark_unlisted(&name);
            return;
        };
        let record = match self.gateway.dialect.decode_target(name, value) {
            Ok(record) => record,
            Err(error) => {
                warn!(logger, "the entry of a target cannot be read"; "target" => &row.key, "error" => %error);
                return;
            }
        };
        let (service, domain) = (record.service.clone(), record.domain.clone());
        let (name, incarnation) = (record.name.clone(), record.incarnation());
        let version = record.version.clone();
        self.forget_replaced_version(&record);
        let change = self.gateway.board.borrow_mut().apply(record);
        match change {
            TargetChange::Added(_) => info!(logger, "target added";
                "target" => &row.key, "service" => service.as_str(), "domain" => domain.as_str(),
                "version" => version.as_str()),
            TargetChange::Draining(_) => {
                leaving::log_and_count(&self.gateway, &name, incarnation, LeavingSource::Store)
            }
            TargetChange::Outdated => {
                info!(logger, "the entry of an earlier incarnation of a target was ignored"; "target" => &row.key)
            }
            TargetChange::Unchanged(_) => {}
        }
    }

    /// Forgets the streams of a target whose entry says that it was restarted with another version.
    fn forget_replaced_version(&self, record: &TargetRecord) {
        let board = self.gateway.board.borrow();
        let known = board.record(&record.name);
        let is_replaced =
            known.is_some_and(|known| known.version != record.version && known.born <= record.born);
        if is_replaced {
            self.gateway.streams.forget_target(&record.name);
        }
    }

    /// Removes a target, or marks it as unlisted for the rest of [`UNLISTED_GRACE`] after an outage of the store.
    fn remove_or_mark_unlisted(&self, name: &TargetName) {
        let now = self.gateway.clock.now();
        let mut board = self.gateway.board.borrow_mut();
        match self
            .store_recovered_at
            .get()
            .map(|recovered| recovered + UNLISTED_GRACE)
        {
            Some(until) if now < until => {
                info!(self.gateway.logger, "target lapsed"; "target" => name.as_str());
                board.mark_unlisted(name, until);
            }
            _ if board.remove(name, now).is_some() => {
                info!(self.gateway.logger, "target removed"; "target" => name.as_str());
            }
            _ => {}
        }
    }
}

/// Reports the resident memory of the process as a metric.
pub(crate) async fn watch_memory(gateway: Rc<Gateway>) {
    loop {
        match resident_bytes() {
            Ok(bytes) => gateway.metrics.memory.set(bytes),
            Err(error) => {
                warn!(gateway.logger, "the memory of the process cannot be read"; "error" => %error);
                return;
            }
        }
        sleep(MEMORY_INTERVAL).await;
    }
}

/// Returns the resident memory. The second field of the file is its number of pages.
fn resident_bytes() -> std::io::Result<i64> {
    let text = std::fs::read_to_string("/proc/self/statm")?;
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse::<i64>().ok());
    let pages = pages.ok_or(std::io::ErrorKind::InvalidData)?;
    Ok(pages * PAGE_BYTES)
}

/// Periodically removes lapsed targets, unusable idle connections, idle accounts and expired crashes, returns unused
/// cover and sends known crashes to newly linked gateways, probes delisted targets with unanswered calls, and updates
/// gauges.
pub(crate) async fn run_maintenance(gateway: Rc<Gateway>) {
    loop {
        sleep(MAINTENANCE_INTERVAL).await;
        let now = gateway.clock.now();
        let removed = gateway.board.borrow_mut().remove_expired(now);
        if !removed.is_empty() {
            streams::update_listed(&gateway);
        }
        for name in removed {
            info!(gateway.logger, "target removed"; "target" => name.as_str());
        }
        gateway.streams.expire();
        gateway
            .client
            .prune(|target| gateway.board.borrow().is_ready(target));
        gateway.accounts.evict_idle();
        gateway.accounts.note_possible_outage();
        let opened = gateway.links.take_newly_linked();
        if !opened.is_empty() {
            gateway.accounts.return_idle_cover();
            gateway.crashes.send_all(&opened);
            limits::send_all(&gateway, &opened);
        }
        gateway.crashes.expire();
        TargetProbes::probe_unanswered(&gateway);
        let gauge = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        gateway.metrics.accounts.set(gauge(gateway.accounts.len()));
        let conversation_bytes = gauge(gateway.conversations.cache_bytes());
        gateway.metrics.conversation_bytes.set(conversation_bytes);
        limits::expire(&gateway);
        gateway.metrics.links.set(gauge(gateway.links.len()));
        let limited_targets = gauge(gateway.board.borrow().limited_targets());
        gateway.metrics.limited_targets.set(limited_targets);
        gateway.metrics.open_calls.set(gauge(gateway.open_calls.get()));
    }
}
