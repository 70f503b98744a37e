//! The actor that learns, keeps and spreads the configuration.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix::{Actor, ActorFutureExt, AsyncContext, Context, Handler, MessageResult, Recipient, WrapFuture};
use bytes::Bytes;
use ebony_config::{
    ConfigAudience, ConfigDocument, ConfigHolder, ConfigUpdate, LearningState, OfferOutcome, ServingState,
    VersionSource,
};
use ebony_platform::{RowKey, RowRecord, TableService};
use ebony_types::ClockTime;
use ebony_wire::{ConfigPush, ConfigStatus};
use slog::{Logger, info, warn};

use super::messages::{ConfigOffered, LinkConfig, ReadFleetStatus, StatusHeard};
use super::view::ConfigView;
use crate::dispatch::ConfigPublished;

/// The time between two reads of the table. A quarter of the time within which a version is in force everywhere.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// The most processes whose status is kept.
const MAX_STATUSES: usize = 16_384;

/// What the actor needs to run.
pub struct ConfigOptions {
    /// The process's name.
    pub process: String,
    /// The table service.
    pub table: Rc<dyn TableService>,
    /// Shows the configuration to the handlers.
    pub view: ConfigView,
    /// The process's logger.
    pub logger: Logger,
}

enum HolderState {
    Learning(ConfigHolder<LearningState>),
    Serving(ConfigHolder<ServingState>),
    /// Only while the state changes.
    Changing,
}

/// Learns, keeps and spreads the configuration.
pub struct ConfigActor {
    options: ConfigOptions,
    holder: HolderState,
    started: Instant,
    publish: Vec<Recipient<ConfigPublished>>,
    status: Option<Recipient<StatusHeard>>,
    statuses: BTreeMap<String, u64>,
}

/// Returns the key of the row with the present document.
pub(crate) fn current_key() -> RowKey {
    RowKey("config/current".to_owned())
}

impl ConfigActor {
    /// Creates the actor.
    pub fn new(options: ConfigOptions) -> Self {
        Self {
            options,
            holder: HolderState::Learning(ConfigHolder::open(ConfigAudience::Entry, ClockTime::default())),
            started: Instant::now(),
            publish: Vec::new(),
            status: None,
            statuses: BTreeMap::new(),
        }
    }

    fn now(&self) -> ClockTime {
        ClockTime::from_micros(u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX))
    }

    fn poll(&self, context: &mut Context<Self>) {
        let table = Rc::clone(&self.options.table);
        let read = async move { table.read(&current_key()).await };
        let read = read.into_actor(self).map(|read, actor, context| {
            if let Ok(Some(row)) = read {
                actor.accept_row(&row);
            }
            context.run_later(POLL_INTERVAL, |actor, context| actor.poll(context));
        });
        context.spawn(read);
    }

    fn accept_row(&mut self, row: &RowRecord) {
        match ConfigDocument::decode(&row.value) {
            Ok(document) => self.offer(ConfigUpdate::Full(Box::new(document)), VersionSource::Table),
            Err(report) => warn!(self.options.logger, "malformed configuration row"; "error" => %report),
        }
    }

    fn offer(&mut self, update: ConfigUpdate, source: VersionSource) {
        let now = self.now();
        let version = update.version();
        let offered = match &mut self.holder {
            HolderState::Learning(holder) => {
                holder.hear(version, source);
                holder.offer(update)
            }
            HolderState::Serving(holder) => holder.offer(update, now),
            HolderState::Changing => return,
        };
        match offered {
            Ok(OfferOutcome::Accepted(version)) => self.accepted(version),
            Ok(_) => {}
            Err(report) => warn!(self.options.logger, "invalid configuration"; "error" => %report),
        }
        self.try_serve();
    }

    /// Puts the configuration in force if the process may serve with it.
    fn try_serve(&mut self) {
        let now = self.now();
        self.holder = match std::mem::replace(&mut self.holder, HolderState::Changing) {
            HolderState::Learning(holder) => match holder.into_serving(now) {
                Ok(holder) => {
                    self.options.view.set(holder.cell());
                    let version = holder.version();
                    self.holder = HolderState::Serving(holder);
                    return self.accepted(version);
                }
                Err(blocked) => HolderState::Learning(blocked.holder),
            },
            state => state,
        };
    }

    fn accepted(&mut self, version: u64) {
        let HolderState::Serving(holder) = &self.holder else {
            return;
        };
        info!(self.options.logger, "configuration in force"; "version" => version);
        let document = Bytes::from(ConfigUpdate::Full(Box::new((*holder.document()).clone())).encode());
        let push = ConfigPush { version, document };
        for recipient in &self.publish {
            recipient.do_send(ConfigPublished(push.clone()));
        }
        self.statuses.insert(self.options.process.clone(), version);
        self.spread_status();
    }

    fn spread_status(&self) {
        if let Some(recipient) = &self.status {
            recipient.do_send(StatusHeard(self.fleet_status()));
        }
    }

    fn fleet_status(&self) -> Vec<ConfigStatus> {
        let status = |(process, version): (&String, &u64)| ConfigStatus {
            process: process.clone(),
            version: *version,
        };
        self.statuses.iter().map(status).collect()
    }
}

impl Actor for ConfigActor {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        self.poll(context);
        context.run_interval(POLL_INTERVAL, |actor, _| actor.try_serve());
    }
}

impl Handler<LinkConfig> for ConfigActor {
    type Result = ();

    fn handle(&mut self, message: LinkConfig, _: &mut Context<Self>) {
        self.publish = message.publish;
        self.status = Some(message.status);
    }
}

impl Handler<ConfigOffered> for ConfigActor {
    type Result = ();

    fn handle(&mut self, ConfigOffered(push): ConfigOffered, _: &mut Context<Self>) {
        match ConfigUpdate::decode(&push.document) {
            Ok(update) => self.offer(update, VersionSource::Peer),
            Err(report) => warn!(self.options.logger, "malformed configuration push"; "error" => %report),
        }
    }
}

impl Handler<StatusHeard> for ConfigActor {
    type Result = ();

    fn handle(&mut self, StatusHeard(statuses): StatusHeard, _: &mut Context<Self>) {
        for status in statuses {
            let known = self.statuses.get(&status.process).copied();
            let has_room = known.is_some() || self.statuses.len() < MAX_STATUSES;
            if has_room && known.is_none_or(|version| version < status.version) {
                self.statuses.insert(status.process, status.version);
            }
        }
    }
}

impl Handler<ReadFleetStatus> for ConfigActor {
    type Result = MessageResult<ReadFleetStatus>;

    fn handle(&mut self, _: ReadFleetStatus, _: &mut Context<Self>) -> Self::Result {
        MessageResult(self.fleet_status())
    }
}
