//! Message handlers of the configuration actor, except for edits.

use actix::{Context, Handler, MessageResult, ResponseFuture};
use ebony_config::tracker::SILENT_AFTER;
use ebony_config::{ChangeRecord, ConfigAudience, ConfigDocument, ConfigUpdate, VersionSource};
use ebony_types::{ProblemCode, ProblemReport};
use ebony_wire::ConfigStatus;
use slog::warn;

use super::actor::ConfigActor;
use super::messages::{
    ConfigOffered, ConnectConfig, FleetStatus, PeerStatusReported, PeersReported, ProcessRow,
    ReadFleetStatus, ReadHistory, ReadMissing, ReadVersion, SideConfigWanted, SideStatusReported,
    SubscribedWatch, WatchFleet,
};
use super::store::StoreError;
use crate::dispatch::ConfigPublished;

/// The `Retry-After`, in seconds, if the stored configuration could not be read.
const RETRY_SECONDS: u32 = 5;

impl Handler<ConnectConfig> for ConfigActor {
    type Result = ();

    fn handle(&mut self, message: ConnectConfig, _: &mut Context<Self>) {
        self.recipients = Some(message);
        self.broadcast_status();
    }
}

impl Handler<ConfigOffered> for ConfigActor {
    type Result = ();

    fn handle(&mut self, ConfigOffered(push): ConfigOffered, _: &mut Context<Self>) {
        if push.version <= self.known() {
            return;
        }
        match ConfigUpdate::decode(&push.document) {
            Ok(update) => {
                self.observe_version(update.version(), VersionSource::Peer);
                self.offer(update);
            }
            Err(report) => {
                warn!(self.options.logger, "ignored a malformed configuration update"; "error" => %report);
            }
        }
    }
}

impl ConfigActor {
    fn observe_statuses(&mut self, statuses: &[ConfigStatus]) {
        for status in statuses {
            // After a restart, reports about the previous incarnation still carry the name of this entry.
            if status.process != self.options.process {
                self.record_version(&status.process, status.version);
            }
        }
        if let Some(highest) = statuses.iter().map(|status| status.version).max() {
            self.observe_version(highest, VersionSource::Peer);
            self.try_serve();
        }
    }
}

impl Handler<SideStatusReported> for ConfigActor {
    type Result = ();

    fn handle(&mut self, SideStatusReported(statuses): SideStatusReported, _: &mut Context<Self>) {
        for status in &statuses {
            self.record_side(status);
        }
        self.observe_statuses(&statuses);
    }
}

impl Handler<PeerStatusReported> for ConfigActor {
    type Result = ();

    fn handle(&mut self, PeerStatusReported(statuses): PeerStatusReported, _: &mut Context<Self>) {
        self.observe_statuses(&statuses);
    }
}

impl Handler<PeersReported> for ConfigActor {
    type Result = ();

    fn handle(&mut self, _: PeersReported, _: &mut Context<Self>) {
        self.has_peer_reports = true;
        self.try_serve();
    }
}

impl Handler<ReadMissing> for ConfigActor {
    type Result = MessageResult<ReadMissing>;

    fn handle(&mut self, message: ReadMissing, _: &mut Context<Self>) -> Self::Result {
        MessageResult(self.missing_updates(message.known, message.audience))
    }
}

impl Handler<SideConfigWanted> for ConfigActor {
    type Result = ();

    fn handle(&mut self, message: SideConfigWanted, _: &mut Context<Self>) {
        for push in self.missing_updates(message.known, ConfigAudience::Side) {
            message.reply.do_send(ConfigPublished(push));
        }
    }
}

impl Handler<ReadFleetStatus> for ConfigActor {
    type Result = MessageResult<ReadFleetStatus>;

    fn handle(&mut self, _: ReadFleetStatus, _: &mut Context<Self>) -> Self::Result {
        let now = self.now();
        let millis = |duration: std::time::Duration| u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        let rows = self.tracker.states(now).map(|state| ProcessRow {
            process: state.process.to_owned(),
            version: state.version,
            reported_ms_ago: millis(state.silence),
            lag_ms: millis(state.behind.unwrap_or_default()),
            is_silent: state.silence >= SILENT_AFTER,
        });
        MessageResult(FleetStatus {
            newest: self.tracker.newest(),
            in_force: self.document().map_or(0, |document| document.version),
            processes: rows.collect(),
        })
    }
}

impl Handler<WatchFleet> for ConfigActor {
    type Result = MessageResult<WatchFleet>;

    fn handle(&mut self, _: WatchFleet, _: &mut Context<Self>) -> Self::Result {
        MessageResult(SubscribedWatch(self.events.subscribe()))
    }
}

impl Handler<ReadHistory> for ConfigActor {
    type Result = ResponseFuture<Result<Vec<ChangeRecord>, ProblemReport>>;

    fn handle(&mut self, message: ReadHistory, _: &mut Context<Self>) -> Self::Result {
        let store = self.store.clone();
        Box::pin(async move {
            let records = store.history(message.newest, message.limit).await;
            records.map_err(|error| to_problem(&error))
        })
    }
}

impl Handler<ReadVersion> for ConfigActor {
    type Result = ResponseFuture<Result<ConfigDocument, ProblemReport>>;

    fn handle(&mut self, ReadVersion(version): ReadVersion, _: &mut Context<Self>) -> Self::Result {
        let store = self.store.clone();
        Box::pin(async move {
            let document = store.document(version).await;
            document.map_err(|error| to_problem(&error))
        })
    }
}

/// Converts a storage error to the problem reported to operators.
pub(super) fn to_problem(error: &StoreError) -> ProblemReport {
    let code = match error {
        StoreError::Platform(_) => ProblemCode::PlatformUnavailable,
        StoreError::Absent(_) => ProblemCode::NotFound,
        StoreError::History(ebony_config::HistoryError::MissingVersion(_)) => ProblemCode::NotFound,
        StoreError::History(_) => ProblemCode::Internal,
    };
    let problem = ProblemReport::not_run(code, error.to_string());
    match code {
        ProblemCode::PlatformUnavailable => problem.retry_after(RETRY_SECONDS),
        _ => problem,
    }
}
