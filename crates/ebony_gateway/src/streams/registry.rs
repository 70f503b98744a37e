//! The versions of streams, their rows in the store, and the tasks that maintain these.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;

use ebony_dispatch::TargetRecord;
use ebony_platform::{TableService, WriteNonce};
use ebony_stream::book::{RESUME_WINDOW, VOUCHING_TIME};
use ebony_stream::{ServiceRelease, StreamBook};
use ebony_types::{ClockTime, ServiceName, SoftwareVersion, TargetName};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use slog::{info, warn};
use tokio::sync::{Notify, oneshot};
use tokio::time::{sleep, timeout};

use super::rows::{self, ReleaseRow, Result, StreamRows};
use crate::decision_log::{DecisionLog, LineKind};
use crate::fleet::FleetView;
use crate::gateway::{Gateway, GatewayClock};
use crate::links::PeerLinks;
use crate::metrics::GatewayMetrics;
use crate::routed_call::RoutedCall;

/// The time between two reads of the rows of versions without a lookup.
const READ_INTERVAL: Duration = Duration::from_secs(20);

/// How long the row of a version stays after its last target has gone. No stream of the version can be resumed by then,
/// and gateways that still list the version no longer count its row as confirmed.
const RELEASE_RETENTION: Duration = Duration::from_secs(2 * RESUME_WINDOW.as_secs());

/// How long gateways wait for the one that creates the row of a new version before they create it themselves.
const CREATION_DELAY: Duration = Duration::from_millis(50);

/// The delay before the next request to the store after a failed one.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// The least time between two writes of this gateway's row.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(50);

/// The most writes a second in one partition by all gateways together. The store allows 200.
const PART_WRITES_PER_SECOND: f64 = 150.0;

/// How much longer than its caller waits a stream is recorded.
const EXPIRY_MARGIN: Duration = Duration::from_secs(1);

/// The versions of streams, as far as this gateway knows them.
pub(crate) struct StreamRegistry {
    pub(super) book: RefCell<StreamBook>,
    rows: StreamRows,
    /// Lookups that wait for the next read of the store.
    waiting: RefCell<Vec<oneshot::Sender<bool>>>,
    /// Notified when a lookup waits.
    read_due: Notify,
    /// Notified when a stream has to be recorded.
    row_due: Notify,
    /// Notified when a version without a row is listed.
    release_due: Notify,
    /// Since when recorded versions have had no listed target.
    unlisted_since: RefCell<HashMap<ServiceRelease, ClockTime>>,
    /// When this process first knew the list of targets.
    listed_since: Cell<Option<ClockTime>>,
    /// The number of lookups that wait for other gateways.
    pub(super) peer_lookups: Cell<usize>,
    fleet: Rc<FleetView>,
    pub(super) links: Rc<PeerLinks>,
    clock: GatewayClock,
    random: RefCell<StdRng>,
    pub(super) decisions: Rc<DecisionLog>,
    pub(super) metrics: Rc<GatewayMetrics>,
}

impl StreamRegistry {
    pub(crate) fn open(
        store: Rc<dyn TableService>,
        fleet: Rc<FleetView>,
        links: Rc<PeerLinks>,
        clock: GatewayClock,
        decisions: Rc<DecisionLog>,
        metrics: Rc<GatewayMetrics>,
    ) -> Rc<Self> {
        Rc::new(Self {
            book: RefCell::default(),
            rows: StreamRows::open(store, fleet.process()),
            waiting: RefCell::default(),
            read_due: Notify::new(),
            row_due: Notify::new(),
            release_due: Notify::new(),
            unlisted_since: RefCell::default(),
            listed_since: Cell::default(),
            peer_lookups: Cell::default(),
            fleet,
            links,
            clock,
            random: RefCell::new(StdRng::from_os_rng()),
            decisions,
            metrics,
        })
    }

    /// Returns the listed versions of a service at which no stream should begin yet.
    pub(crate) fn unconfirmed_versions(&self, service: &ServiceName) -> Vec<SoftwareVersion> {
        let now = self.clock.now();
        self.book.borrow().unconfirmed_versions(service, now)
    }

    /// Records the target that began or resumed a call's stream. Turns of kept conversations are not resumed.
    pub(crate) fn record_begun(&self, call: &RoutedCall, target: &TargetRecord) {
        let Some(stream) = call.stream().filter(|_| call.kept.is_none()) else {
            return;
        };
        let release = ServiceRelease {
            service: call.service.clone(),
            version: target.version.clone(),
        };
        let waits = call.head.time_left.unwrap_or(RESUME_WINDOW);
        let until = call.arrived + waits.min(RESUME_WINDOW) + EXPIRY_MARGIN;
        let mut book = self.book.borrow_mut();
        book.begin(stream, release, target.name.clone(), self.clock.now(), until);
        if book.is_mixed(&call.service) {
            self.row_due.notify_one();
            self.update_gauges(&book);
        }
    }

    /// Forgets the streams of a target that was restarted with another version: they may have begun after the restart.
    pub(crate) fn forget_target(&self, target: &TargetName) {
        self.book.borrow_mut().forget_target(target);
    }

    /// Sets the versions of the listed targets.
    fn set_listed(&self, releases: BTreeSet<ServiceRelease>) {
        if self.listed_since.get().is_none() {
            self.listed_since.set(Some(self.clock.now()));
        }
        let mut book = self.book.borrow_mut();
        book.set_listed(releases);
        if !book.unconfirmed().is_empty() {
            self.release_due.notify_one();
        }
        if book.unrecorded() > 0 {
            self.row_due.notify_one();
        }
    }

    /// Returns whether this process knows every version at which it, or an earlier process of this gateway, can have begun
    /// streams that may still be resumed.
    pub(super) fn vouches(&self) -> bool {
        let since = self.listed_since.get();
        since.is_some_and(|since| self.clock.now().since(since) >= VOUCHING_TIME)
    }

    /// Drops streams that cannot be resumed any more, and updates gauges.
    pub(crate) fn expire(&self) {
        let mut book = self.book.borrow_mut();
        book.expire(self.clock.now());
        self.update_gauges(&book);
    }

    fn update_gauges(&self, book: &StreamBook) {
        let gauge = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        self.metrics.streams.set(gauge(book.len()));
        self.metrics.unrecorded_streams.set(gauge(book.unrecorded()));
    }

    /// Reads the rows, and returns whether the store answered. The read begins after this call.
    pub(super) async fn read(&self) -> bool {
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().push(sender);
        self.read_due.notify_one();
        receiver.await.unwrap_or(false)
    }

    /// Reads the rows for lookups. Those that arrive during a read share the next one.
    pub(crate) async fn run_reads(self: Rc<Self>) {
        loop {
            self.read_due.notified().await;
            let waiting = self.waiting.take();
            let result = self.read_rows().await;
            self.count(if result.is_ok() { "read" } else { "read_failed" });
            if let Err(error) = &result
                && self.decisions.admits(LineKind::State)
            {
                warn!(self.decisions.logger, "the versions of streams cannot be read"; "error" => %error);
            }
            for sender in waiting {
                // The lookup may have timed out.
                sender.send(result.is_ok()).ok();
            }
            if let Ok(releases) = result {
                self.remove_unlisted(&releases).await;
            }
        }
    }

    /// Reads the rows of versions, and those of streams if a service has several versions.
    async fn read_rows(&self) -> Result<Vec<ReleaseRow>> {
        let began = self.clock.now();
        let releases = self.rows.read_releases().await?;
        self.apply_releases(&releases, began);
        if self.book.borrow().has_mixed() {
            for row in self.rows.read_streams().await? {
                self.book.borrow_mut().learn(row, began);
            }
        }
        Ok(releases)
    }

    fn apply_releases(&self, releases: &[ReleaseRow], began: ClockTime) {
        let mut book = self.book.borrow_mut();
        book.confirm_all(releases.iter().map(|row| row.release.clone()), began);
        if book.unrecorded() > 0 {
            self.row_due.notify_one();
        }
    }

    /// Removes the rows of versions that have had no target for [`RELEASE_RETENTION`], if this gateway is in charge of
    /// them.
    async fn remove_unlisted(&self, releases: &[ReleaseRow]) {
        let now = self.clock.now();
        let expired: Vec<&ReleaseRow> = {
            let book = self.book.borrow();
            let mut since = self.unlisted_since.borrow_mut();
            since.retain(|release, _| releases.iter().any(|row| row.release == *release));
            let is_expired = |row: &&ReleaseRow| {
                if book.is_listed(&row.release) {
                    since.remove(&row.release);
                    return false;
                }
                let since = *since.entry(row.release.clone()).or_insert(now);
                now.since(since) >= RELEASE_RETENTION && self.fleet.owns(&row.key.0)
            };
            releases.iter().filter(is_expired).collect()
        };
        for row in expired {
            match self.rows.remove_release(row).await {
                Ok(()) => info!(self.decisions.logger, "software version is gone";
                    "service" => row.release.service.as_str(), "version" => row.release.version.as_str()),
                Err(error) => warn!(self.decisions.logger, "the row of a software version cannot be removed";
                    "version" => row.release.version.as_str(), "error" => %error),
            }
        }
    }

    /// Reads the rows of versions from time to time, and creates those of new versions.
    pub(crate) async fn maintain_releases(self: Rc<Self>) {
        loop {
            while !self.read().await {
                sleep(RETRY_DELAY).await;
            }
            while let Err(error) = self.create_releases().await {
                self.count("release_failed");
                if self.decisions.admits(LineKind::State) {
                    warn!(self.decisions.logger, "a software version is not recorded"; "error" => %error);
                }
                sleep(RETRY_DELAY).await;
            }
            let has_new = timeout(READ_INTERVAL, self.release_due.notified()).await.is_ok();
            if has_new && !self.creates_unconfirmed() {
                sleep(CREATION_DELAY).await;
            }
        }
    }

    /// Returns whether this gateway is the one that creates the rows of new versions at once.
    fn creates_unconfirmed(&self) -> bool {
        let unconfirmed = self.book.borrow().unconfirmed();
        unconfirmed
            .iter()
            .any(|release| self.fleet.owns(&rows::release_key(release).0))
    }

    async fn create_releases(&self) -> Result<()> {
        let unconfirmed = self.book.borrow().unconfirmed();
        for release in unconfirmed {
            self.rows.create_release(&release).await?;
            self.count("release_created");
            info!(self.decisions.logger, "software version is recorded";
                "service" => release.service.as_str(), "version" => release.version.as_str());
            let now = self.clock.now();
            self.book.borrow_mut().confirm(release, now);
        }
        if self.book.borrow().unrecorded() > 0 {
            self.row_due.notify_one();
        }
        Ok(())
    }

    /// Writes this gateway's row after streams began, and repeats a failed write until it succeeds.
    pub(crate) async fn maintain_row(self: Rc<Self>) {
        loop {
            self.row_due.notified().await;
            let mut is_lost = false;
            while let Err(error) = self.write_row().await {
                self.count("write_failed");
                if !std::mem::replace(&mut is_lost, true) {
                    warn!(self.decisions.logger, "streams are not recorded"; "error" => %error);
                }
                sleep(RETRY_DELAY).await;
            }
            sleep(self.write_interval()).await;
        }
    }

    async fn write_row(&self) -> Result<()> {
        let earlier = self.rows.read_own_unknown().await?;
        self.book.borrow_mut().adopt(earlier, self.clock.now());
        if self.book.borrow().unrecorded() == 0 {
            return Ok(());
        }
        let row = self.book.borrow().own_row();
        let nonce = WriteNonce(self.random.borrow_mut().random());
        self.rows.write_own(&row, nonce).await?;
        let mut book = self.book.borrow_mut();
        book.mark_recorded(&row);
        self.update_gauges(&book);
        self.count("written");
        Ok(())
    }

    /// Returns the time between two writes, by which all gateways together keep the limit of a partition.
    fn write_interval(&self) -> Duration {
        let writers = self.fleet.len() as f64 / rows::STREAM_PARTS as f64;
        MIN_WRITE_INTERVAL.max(Duration::from_secs_f64(writers / PART_WRITES_PER_SECOND))
    }

    fn count(&self, outcome: &str) {
        self.metrics
            .store_calls
            .with_label_values(&["streams", outcome])
            .inc();
    }
}

/// Sets the versions of the listed targets of services with streams.
pub(crate) fn update_listed(gateway: &Gateway) {
    let Some(routing) = gateway.routing() else { return };
    let routes = routing.routes().filter(|route| route.semantics.is_stream());
    let shares = routes.flat_map(|route| &route.services);
    let services: BTreeSet<&ServiceName> = shares.map(|share| &share.service).collect();
    let board = gateway.board.borrow();
    let records = board.targets().map(|(_, target)| &target.record);
    let releases = records
        .filter(|record| services.contains(&record.service))
        .map(|record| ServiceRelease {
            service: record.service.clone(),
            version: record.version.clone(),
        });
    let releases = releases.collect();
    drop(board);
    gateway.streams.set_listed(releases);
}
