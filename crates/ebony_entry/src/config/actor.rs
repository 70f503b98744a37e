//! The actor that loads, holds and distributes the configuration.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix::{Actor, ActorFutureExt, AsyncContext, Context, Recipient, WrapFuture};
use bytes::Bytes;
use ebony_config::update::MAX_UPDATE_BYTES;
use ebony_config::{
    ConfigAudience, ConfigDocument, ConfigHolder, ConfigTracker, ConfigUpdate, EditOutcome, LearningState,
    OfferOutcome, OperatorName, PROPAGATION_DEADLINE, ServingState, VersionSource, WallTime,
};
use ebony_platform::{ObjectStore, TableService};
use ebony_telemetry::ProcessClock;
use ebony_types::ClockTime;
use ebony_wire::{ConfigPush, ConfigStatus};
use rand::SeedableRng;
use rand::rngs::StdRng;
use slog::{Logger, info, warn};
use tokio::sync::broadcast;

use super::change_log::ChangeLog;
use super::messages::{BroadcastStatus, ConnectConfig, RequestConfig, WatchEvent};
use super::store::{ConfigStore, Result};
use super::view::ConfigView;
use crate::burn::BurnCounters;
use crate::dispatch::ConfigPublished;

/// The interval at which the table is polled: a fifth of the time within which a version must be in force everywhere.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// The interval at which missing versions are requested from other entries.
const MISSING_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// The interval of status reports. A process that misses five of them is shown as silent.
const STATUS_INTERVAL: Duration = Duration::from_secs(2);

/// The maximum number of linked side processes whose status is tracked.
const MAX_TRACKED_SIDES: usize = 4_096;

/// The status of a side process that has not reported for this long is no longer sent to other entries.
const SIDE_STATUS_TIMEOUT: Duration = Duration::from_secs(60);

/// The maximum number of events buffered for a slow reader of the live view.
const WATCH_BUFFER_EVENTS: usize = 256;

/// Configuration and collaborators of [`ConfigActor`].
pub struct ConfigOptions {
    /// The process's name.
    pub process: String,
    /// The table service.
    pub table: Rc<dyn TableService>,
    /// The object store.
    pub objects: Rc<dyn ObjectStore>,
    /// Gives HTTP handlers access to the configuration.
    pub view: ConfigView,
    /// Measures the service-level objectives of the configuration.
    pub burn: BurnCounters,
    /// The process's logger.
    pub logger: Logger,
}

enum HolderState {
    Learning {
        holder: ConfigHolder<LearningState>,
        known: u64,
    },
    Serving(ConfigHolder<ServingState>),
    /// Placeholder while the state is replaced.
    Transition,
}

struct SideStatus {
    version: u64,
    reported: Instant,
}

/// Loads, holds and distributes the configuration.
pub struct ConfigActor {
    pub(super) options: ConfigOptions,
    pub(super) store: ConfigStore,
    pub(super) tracker: ConfigTracker,
    pub(super) events: broadcast::Sender<WatchEvent>,
    pub(super) recipients: Option<ConnectConfig>,
    pub(super) has_peer_reports: bool,
    pub(super) rng: StdRng,
    holder: HolderState,
    /// The highest version that any process or the table has reported.
    highest_seen: u64,
    log: ChangeLog,
    clock: ProcessClock,
    sides: BTreeMap<String, SideStatus>,
}

impl ConfigActor {
    /// Creates the actor.
    pub fn new(options: ConfigOptions) -> Self {
        let holder = ConfigHolder::open(ConfigAudience::Entry, ClockTime::default());
        let (events, _) = broadcast::channel(WATCH_BUFFER_EVENTS);
        Self {
            store: ConfigStore::new(Rc::clone(&options.table), Rc::clone(&options.objects)),
            options,
            tracker: ConfigTracker::default(),
            events,
            recipients: None,
            has_peer_reports: false,
            rng: StdRng::from_os_rng(),
            holder: HolderState::Learning { holder, known: 0 },
            highest_seen: 0,
            log: ChangeLog::default(),
            clock: ProcessClock::start(),
            sides: BTreeMap::new(),
        }
    }

    pub(super) fn now(&self) -> ClockTime {
        self.clock.now()
    }

    /// Returns the document in force.
    pub(super) fn document(&self) -> Option<std::sync::Arc<ConfigDocument>> {
        match &self.holder {
            HolderState::Serving(holder) => Some(holder.document()),
            _ => None,
        }
    }

    /// Returns the highest version held by this process, whether or not it is in force.
    pub(super) fn known(&self) -> u64 {
        match &self.holder {
            HolderState::Learning { known, .. } => *known,
            HolderState::Serving(holder) => holder.version(),
            HolderState::Transition => 0,
        }
    }

    /// Records that the table or another process has the given version.
    pub(super) fn observe_version(&mut self, version: u64, source: VersionSource) {
        let now = self.now();
        self.highest_seen = self.highest_seen.max(version);
        self.tracker.announce(version, now);
        match &mut self.holder {
            HolderState::Learning { holder, .. } => holder.observe_version(version, source),
            HolderState::Serving(holder) => holder.observe_version(version, now),
            HolderState::Transition => {}
        }
    }

    /// Applies an update if it is newer than the held version.
    pub(super) fn offer(&mut self, update: ConfigUpdate) {
        let now = self.now();
        self.highest_seen = self.highest_seen.max(update.version());
        self.tracker.announce(update.version(), now);
        let offered = match &mut self.holder {
            HolderState::Learning { holder, known } => {
                let offered = holder.offer(update.clone());
                if let Ok(OfferOutcome::Accepted(version)) = offered {
                    *known = version;
                }
                offered
            }
            HolderState::Serving(holder) => holder.offer(update.clone(), now),
            HolderState::Transition => return,
        };
        match offered {
            Ok(OfferOutcome::Accepted(_)) => self.on_accepted(&update),
            Ok(_) => {}
            Err(report) => {
                warn!(self.options.logger, "rejected an invalid configuration update"; "error" => %report);
            }
        }
        self.try_serve();
    }

    /// Puts the learned configuration in force once all peers have reported or the propagation deadline has passed,
    /// unless the holder refuses.
    pub(super) fn try_serve(&mut self) {
        let now = self.now();
        let has_waited = now.since(ClockTime::default()) >= PROPAGATION_DEADLINE;
        if !self.has_peer_reports && !has_waited {
            return;
        }
        match std::mem::replace(&mut self.holder, HolderState::Transition) {
            HolderState::Learning { holder, known } => match holder.into_serving(now) {
                Ok(holder) => {
                    self.options.view.set(holder.cell());
                    let document = holder.document();
                    self.holder = HolderState::Serving(holder);
                    self.on_accepted(&ConfigUpdate::Full(Box::new((*document).clone())));
                }
                Err(blocked) => {
                    let holder = blocked.holder;
                    self.holder = HolderState::Learning { holder, known };
                }
            },
            state => self.holder = state,
        }
    }

    /// Distributes an update that has come into force.
    fn on_accepted(&mut self, update: &ConfigUpdate) {
        let Some(document) = self.document() else {
            return;
        };
        let version = document.version;
        info!(self.options.logger, "configuration in force"; "version" => version);
        if let Err(error) = self.options.burn.set_objectives(&document) {
            warn!(self.options.logger, "cannot apply the objectives; the previous ones stay in force";
                "error" => %error);
        }
        self.log.add(update);
        if let Some(recipients) = &self.recipients {
            // A full document is not pushed to entries: those that lack it request it when they see its version.
            if matches!(update, ConfigUpdate::Delta(_)) {
                publish(&recipients.peers, update);
            }
            publish(&recipients.sides, &update.clone().for_side());
        }
        // Fails only if there are no subscribers.
        let _ = self.events.send(WatchEvent::Version { version });
        let process = self.options.process.clone();
        self.record_version(&process, version);
        self.broadcast_status();
    }

    /// Records the version in force in a process, and notifies subscribers if it changed.
    pub(super) fn record_version(&mut self, process: &str, version: u64) {
        let now = self.now();
        let Some(change) = self.tracker.record(process, version, now) else {
            return;
        };
        let after = self.tracker.since_announced(change.to, now).unwrap_or_default();
        let event = WatchEvent::Status {
            process: change.process,
            from: change.from,
            to: change.to,
            after_ms: u64::try_from(after.as_millis()).unwrap_or(u64::MAX),
        };
        // Fails only if there are no subscribers.
        let _ = self.events.send(event);
    }

    /// Records the status of a linked side process, to report it to other entries.
    pub(super) fn record_side(&mut self, status: &ConfigStatus) {
        if self.sides.len() >= MAX_TRACKED_SIDES && !self.sides.contains_key(&status.process) {
            return;
        }
        let (version, reported) = (status.version, Instant::now());
        self.sides
            .insert(status.process.clone(), SideStatus { version, reported });
    }

    /// Sends the versions in force in this entry and its linked side processes to other entries.
    pub(super) fn broadcast_status(&mut self) {
        self.sides
            .retain(|_, status| status.reported.elapsed() < SIDE_STATUS_TIMEOUT);
        let own = ConfigStatus {
            process: self.options.process.clone(),
            version: self.document().map_or(0, |document| document.version),
        };
        let (process, version) = (own.process.clone(), own.version);
        let sides = self.sides.iter().map(|(process, status)| ConfigStatus {
            process: process.clone(),
            version: status.version,
        });
        let statuses = std::iter::once(own).chain(sides).collect();
        if let Some(recipients) = &self.recipients {
            recipients.status.do_send(BroadcastStatus(statuses));
        }
        self.record_version(&process, version);
    }

    /// Returns the updates that bring a process from version `known` to the version in force.
    pub(super) fn missing_updates(&self, known: u64, audience: ConfigAudience) -> Vec<ConfigPush> {
        let Some(document) = self.document().filter(|document| document.version > known) else {
            return Vec::new();
        };
        let whole = || vec![ConfigUpdate::Full(Box::new((*document).clone()))];
        let updates = self.log.since(known, document.version).unwrap_or_else(whole);
        let fit = |update: ConfigUpdate| match audience {
            ConfigAudience::Entry => update,
            ConfigAudience::Side => update.for_side(),
        };
        updates.into_iter().map(|update| to_push(&fit(update))).collect()
    }

    fn poll(&self, context: &mut Context<Self>) {
        let (store, known) = (self.store.clone(), self.known());
        let read = async move { read_newer(&store, known).await };
        let read = read.into_actor(self).map(|read, actor, context| {
            match read {
                Ok(newer) => actor.accept_newer(newer),
                Err(error) => {
                    warn!(actor.options.logger, "cannot read the configuration"; "error" => %error);
                }
            }
            context.run_later(POLL_INTERVAL, |actor, context| actor.poll(context));
        });
        context.spawn(read);
    }

    /// Applies newer versions read from the table.
    pub(super) fn accept_newer(&mut self, newer: Option<NewerVersions>) {
        let Some(NewerVersions { newest, updates, .. }) = newer else {
            return;
        };
        self.observe_version(newest, VersionSource::Table);
        for update in updates {
            self.offer(update);
        }
        self.try_serve();
    }

    /// Requests versions from other entries if this process lags behind or is still learning.
    fn request_missing(&mut self) {
        self.try_serve();
        let known = self.known();
        let is_learning = matches!(self.holder, HolderState::Learning { .. });
        if (self.highest_seen > known || is_learning)
            && let Some(recipients) = &self.recipients
        {
            recipients.request.do_send(RequestConfig { known });
        }
    }
}

/// The versions in the table above a known version.
pub(super) struct NewerVersions {
    newest: u64,
    author: OperatorName,
    time: WallTime,
    updates: Vec<ConfigUpdate>,
}

impl NewerVersions {
    /// Returns the newest version, and the conflict outcome of an edit that was made against an older one.
    pub(super) fn to_winner(&self) -> (u64, EditOutcome) {
        let conflict = EditOutcome::Conflict {
            winner: self.newest,
            author: self.author.clone(),
            time: self.time,
        };
        (self.newest, conflict)
    }
}

/// Reads the versions above a known version from the table. Returns `None` if the table has no configuration.
pub(super) async fn read_newer(store: &ConfigStore, known: u64) -> Result<Option<NewerVersions>> {
    let Some(current) = store.read_current().await? else {
        return Ok(None);
    };
    let updates = store.catch_up(known, &current.record).await?;
    Ok(Some(NewerVersions {
        newest: current.record.version,
        author: current.record.author,
        time: current.record.time,
        updates,
    }))
}

/// Sends an update to a recipient. An update too large for a link, such as a delta between two large documents, is not
/// sent: processes that see its version read the table or request a full document.
fn publish(recipient: &Recipient<ConfigPublished>, update: &ConfigUpdate) {
    let push = to_push(update);
    if push.document.len() <= MAX_UPDATE_BYTES {
        recipient.do_send(ConfigPublished(push));
    }
}

fn to_push(update: &ConfigUpdate) -> ConfigPush {
    ConfigPush {
        version: update.version(),
        document: Bytes::from(update.encode()),
    }
}

impl Actor for ConfigActor {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        self.poll(context);
        context.run_interval(MISSING_CHECK_INTERVAL, |actor, _| actor.request_missing());
        context.run_interval(STATUS_INTERVAL, |actor, _| actor.broadcast_status());
    }
}
