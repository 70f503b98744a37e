//! Renewal of the session row, tracking of other sessions, and the end of the own session.

use std::rc::Rc;
use std::time::Duration;

use actix::{ActorFutureExt, AsyncContext, Context, WrapFuture};
use bytes::Bytes;
use ebony_owner::OwnerEvent;
use ebony_owner::journal::AppendRow;
use ebony_platform::table::{create_resolved, replace_resolved};
use ebony_platform::{RowKey, WriteNonce};
use ebony_types::ShardKey;
use rand::Rng;

use super::actor::OwnerActor;
use super::members::SessionRow;
use super::messages::SessionsListed;

/// The maximum number of session rows listed at once.
const MAX_SESSIONS: u32 = 1_000;

/// The delay after a failed write of the session row.
const SESSION_RETRY: Duration = Duration::from_millis(250);

impl OwnerActor {
    fn own_shards(&self) -> Vec<ShardKey> {
        let shards = self.core.serving_shards().into_iter();
        shards.map(|(shard, _)| shard).collect()
    }

    fn session_row(&self) -> Option<Bytes> {
        let row = SessionRow {
            process: self.options.process.clone(),
            domain: self.options.domain.clone(),
            is_draining: self.is_draining,
            shards: self.own_shards(),
        };
        serde_json::to_vec(&row).ok().map(Bytes::from)
    }

    /// Creates or renews the session row, lists all rows, and schedules the next renewal.
    pub(super) fn write_session(&mut self, context: &mut Context<Self>) {
        let Some(row) = self.session_row() else { return };
        let session = self.core.session();
        let (table, version) = (Rc::clone(&self.options.table), self.session_version);
        let nonce = WriteNonce(self.rng.random());
        let renew = async move {
            let key = RowKey(format!("sessions/{session}"));
            let written = match version {
                Some(version) => replace_resolved(&*table, &key, version, row, nonce).await,
                None => create_resolved(&*table, &key, row, nonce).await,
            };
            let listed = table.list("sessions/", None, MAX_SESSIONS).await;
            (written, listed)
        };
        let renew = renew
            .into_actor(self)
            .map(move |(written, listed), actor, context| {
                if session != actor.core.session() {
                    return;
                }
                let pause = if written.is_ok() {
                    actor.options.heartbeat
                } else {
                    SESSION_RETRY
                };
                actor.session_version = written.ok().or(actor.session_version);
                if let Ok(rows) = listed {
                    context.notify(SessionsListed(rows));
                    actor.check_sealed(context);
                }
                context.run_later(pause, move |actor, context| {
                    if session == actor.core.session() {
                        actor.write_session(context);
                    }
                });
            });
        context.spawn(renew);
    }

    /// Ends the session, whose journal a successor has sealed or is about to seal, and opens a new one. Returns the
    /// rows that are not durable.
    pub(super) fn relinquish_session(&mut self, context: &mut Context<Self>) -> Vec<AppendRow> {
        let (rows, actions) = self.core.relinquish_session();
        for action in actions {
            self.carry_out(action, context);
        }
        self.schedule_wakeup(context);
        rows
    }

    /// Checks whether a successor has sealed the journal. An idle owner, which appends nothing, would otherwise not
    /// notice and would keep claiming shards that another entry serves.
    fn check_sealed(&self, context: &mut Context<Self>) {
        let report = self.core.report();
        if report.undurable_bytes > 0 {
            return;
        }
        let (session, durable) = (self.core.session(), report.durable_row);
        let storage = self.options.storage.clone();
        let check = async move { storage.has_row(session, durable + 1).await };
        let check = check.into_actor(self).map(move |is_sealed, actor, context| {
            let report = actor.core.report();
            let is_idle = report.undurable_bytes == 0 && report.durable_row == durable;
            if is_sealed && is_idle && session == actor.core.session() {
                actor.relinquish_session(context);
            }
        });
        context.spawn(check);
    }

    /// Passes the live sessions to the core.
    pub(super) fn publish_sessions(&mut self, context: &mut Context<Self>) {
        let mut sessions = self.members.live(self.options.lease, self.now());
        let own = self.core.session();
        if let Some(session) = sessions.iter_mut().find(|session| session.session == own) {
            session.is_draining = self.is_draining;
            session.shards = self.own_shards();
        }
        self.handle_event(OwnerEvent::SessionsChanged { sessions }, context);
    }

    /// Deletes the rows of expired sessions.
    pub(super) fn delete_expired(&self) {
        for session in self.members.expired(self.options.lease, self.now()) {
            let table = Rc::clone(&self.options.table);
            actix::spawn(async move {
                let key = RowKey(format!("sessions/{session}"));
                if let Ok(Some(row)) = table.read(&key).await {
                    // The delete may fail because another entry has already deleted the row.
                    let _ = table.delete(&key, row.version).await;
                }
            });
        }
    }
}
