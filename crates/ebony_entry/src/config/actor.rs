//! The actor that learns, keeps and spreads the configuration.

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
use crate::burn::BurnCell;
use crate::dispatch::ConfigPublished;

/// The time between two reads of the table. Five of them fit into the time within which a version is in force
/// everywhere.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// The time between two looks at whether versions are missing.
const REVIEW_INTERVAL: Duration = Duration::from_millis(500);

/// The time between two reports of the status. A process that has been silent for five of them is shown as silent.
const STATUS_INTERVAL: Duration = Duration::from_secs(2);

/// The most linked side processes whose status is kept.
const MAX_SIDES: usize = 4_096;

/// A side process that has not reported for this long is no longer reported to other entries.
const FORGET_SIDE_AFTER: Duration = Duration::from_secs(60);

/// Events that wait for a slow reader of the live view.
const WATCH_EVENTS: usize = 256;

/// What the actor needs to run.
pub struct ConfigOptions {
    /// The process's name.
    pub process: String,
    /// The table service.
    pub table: Rc<dyn TableService>,
    /// The object store.
    pub objects: Rc<dyn ObjectStore>,
    /// Shows the configuration to the handlers.
    pub view: ConfigView,
    /// Measures the objectives of the configuration.
    pub burn: BurnCell,
    /// The process's logger.
    pub logger: Logger,
}

enum HolderState {
    Learning {
        holder: ConfigHolder<LearningState>,
        known: u64,
    },
    Serving(ConfigHolder<ServingState>),
    /// Only while the state changes.
    Changing,
}

struct SideStatus {
    version: u64,
    reported: Instant,
}

/// Learns, keeps and spreads the configuration.
pub struct ConfigActor {
    pub(super) options: ConfigOptions,
    pub(super) store: ConfigStore,
    pub(super) tracker: ConfigTracker,
    pub(super) events: broadcast::Sender<WatchEvent>,
    pub(super) links: Option<ConnectConfig>,
    pub(super) is_settled: bool,
    pub(super) source: StdRng,
    holder: HolderState,
    /// The highest version that this process has heard of.
    heard: u64,
    log: ChangeLog,
    clock: ProcessClock,
    sides: BTreeMap<String, SideStatus>,
}

impl ConfigActor {
    /// Creates the actor.
    pub fn new(options: ConfigOptions) -> Self {
        let holder = ConfigHolder::open(ConfigAudience::Entry, ClockTime::default());
        let (events, _) = broadcast::channel(WATCH_EVENTS);
        Self {
            store: ConfigStore::new(Rc::clone(&options.table), Rc::clone(&options.objects)),
            options,
            tracker: ConfigTracker::default(),
            events,
            links: None,
            is_settled: false,
            source: StdRng::from_os_rng(),
            holder: HolderState::Learning { holder, known: 0 },
            heard: 0,
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

    /// Returns the highest version that is known, in force or not.
    pub(super) fn known(&self) -> u64 {
        match &self.holder {
            HolderState::Learning { known, .. } => *known,
            HolderState::Serving(holder) => holder.version(),
            HolderState::Changing => 0,
        }
    }

    /// Notes the highest version of the table or of another process.
    pub(super) fn hear(&mut self, version: u64, source: VersionSource) {
        let now = self.now();
        self.heard = self.heard.max(version);
        self.tracker.announce(version, now);
        match &mut self.holder {
            HolderState::Learning { holder, .. } => holder.hear(version, source),
            HolderState::Serving(holder) => holder.hear(version, now),
            HolderState::Changing => {}
        }
    }

    /// Takes an update if it is newer than what is known.
    pub(super) fn offer(&mut self, update: ConfigUpdate) {
        let now = self.now();
        self.heard = self.heard.max(update.version());
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
            HolderState::Changing => return,
        };
        match offered {
            Ok(OfferOutcome::Accepted(_)) => self.accepted(&update),
            Ok(_) => {}
            Err(report) => warn!(self.options.logger, "invalid configuration"; "error" => %report),
        }
        self.try_serve();
    }

    /// Puts the configuration in force if the process may serve with it.
    pub(super) fn try_serve(&mut self) {
        let now = self.now();
        let has_waited = now.since(ClockTime::default()) >= PROPAGATION_DEADLINE;
        if !self.is_settled && !has_waited {
            return;
        }
        match std::mem::replace(&mut self.holder, HolderState::Changing) {
            HolderState::Learning { holder, known } => match holder.into_serving(now) {
                Ok(holder) => {
                    self.options.view.set(holder.cell());
                    let document = holder.document();
                    self.holder = HolderState::Serving(holder);
                    self.accepted(&ConfigUpdate::Full(Box::new((*document).clone())));
                }
                Err(blocked) => {
                    let holder = blocked.holder;
                    self.holder = HolderState::Learning { holder, known };
                }
            },
            state => self.holder = state,
        }
    }

    /// Spreads what has come into force.
    fn accepted(&mut self, update: &ConfigUpdate) {
        let Some(document) = self.document() else {
            return;
        };
        let version = document.version;
        info!(self.options.logger, "configuration in force"; "version" => version);
        if let Err(error) = self.options.burn.set_objectives(&document) {
            warn!(self.options.logger, "objectives are not measured"; "error" => %error);
        }
        self.log.add(update);
        if let Some(links) = &self.links {
            // Other entries that miss the versions before a whole document ask for it when they hear of it.
            if matches!(update, ConfigUpdate::Delta(_)) {
                publish(&links.peers, update);
            }
            publish(&links.sides, &update.clone().for_side());
        }
        // Without readers there is nobody to tell.
        let _ = self.events.send(WatchEvent::Version { version });
        let process = self.options.process.clone();
        self.record(&process, version);
        self.spread_status();
    }

    /// Notes the version in force in a process.
    pub(super) fn record(&mut self, process: &str, version: u64) {
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
        // Without readers there is nobody to tell.
        let _ = self.events.send(event);
    }

    /// Keeps the status of a linked side process, to report it to other entries.
    pub(super) fn keep_side(&mut self, status: &ConfigStatus) {
        if self.sides.len() >= MAX_SIDES && !self.sides.contains_key(&status.process) {
            return;
        }
        let (version, reported) = (status.version, Instant::now());
        self.sides
            .insert(status.process.clone(), SideStatus { version, reported });
    }

    /// Reports the version in force here and in the linked side processes.
    pub(super) fn spread_status(&mut self) {
        self.sides
            .retain(|_, status| status.reported.elapsed() < FORGET_SIDE_AFTER);
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
        if let Some(links) = &self.links {
            links.status.do_send(BroadcastStatus(statuses));
        }
        self.record(&process, version);
    }

    /// Returns what leads a process from `known` to the version in force.
    pub(super) fn missing(&self, known: u64, audience: ConfigAudience) -> Vec<ConfigPush> {
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
                Err(error) => warn!(actor.options.logger, "configuration not read"; "error" => %error),
            }
            context.run_later(POLL_INTERVAL, |actor, context| actor.poll(context));
        });
        context.spawn(read);
    }

    /// Takes what the table has.
    pub(super) fn accept_newer(&mut self, newer: Option<NewerVersions>) {
        let Some(NewerVersions { newest, updates, .. }) = newer else {
            return;
        };
        self.hear(newest, VersionSource::Table);
        for update in updates {
            self.offer(update);
        }
        self.try_serve();
    }

    /// Asks other entries for versions that exist and are not known.
    fn review(&mut self) {
        self.try_serve();
        let known = self.known();
        let is_learning = matches!(self.holder, HolderState::Learning { .. });
        if (self.heard > known || is_learning)
            && let Some(links) = &self.links
        {
            links.request.do_send(RequestConfig { known });
        }
    }
}

/// What the table has above a known version.
pub(super) struct NewerVersions {
    newest: u64,
    author: OperatorName,
    time: WallTime,
    updates: Vec<ConfigUpdate>,
}

impl NewerVersions {
    /// Returns the newest version, and the outcome of an edit that lost to it.
    pub(super) fn to_winner(&self) -> (u64, EditOutcome) {
        let conflict = EditOutcome::Conflict {
            winner: self.newest,
            author: self.author.clone(),
            time: self.time,
        };
        (self.newest, conflict)
    }
}

/// Reads what the table has above a known version; `None` if it has no configuration.
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

/// Spreads an update. One that no link takes, such as the change from one large document to another, is left out: those
/// who hear of its version read the table or ask for a whole document.
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
        context.run_interval(REVIEW_INTERVAL, |actor, _| actor.review());
        context.run_interval(STATUS_INTERVAL, |actor, _| actor.spread_status());
    }
}
