//! Tracks which sessions of entries are live, as observed by this entry.

use std::collections::HashMap;
use std::time::Duration;

use ebony_owner::session::LiveSession;
use ebony_types::{ClockTime, DomainName, SessionId, ShardKey};
use serde::{Deserialize, Serialize};

use crate::peers::{PeerKey, PresenceChanged};

/// The value of a row `sessions/{session}`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(super) struct SessionRow {
    /// The process's name from its settings.
    pub(super) process: String,
    /// The failure domain of its host.
    pub(super) domain: DomainName,
    /// Whether the process is leaving.
    pub(super) is_draining: bool,
    /// The shards that it serves.
    pub(super) shards: Vec<ShardKey>,
}

struct ObservedRow {
    row: SessionRow,
    version: u64,
    renewed: ClockTime,
}

/// Session rows, and the presence that linked entries announce.
///
/// A row is renewed when this process observes a new version of it. Time is measured with the clock of this process
/// only; clocks of different hosts are never compared.
#[derive(Default)]
pub(super) struct MemberTable {
    rows: HashMap<SessionId, ObservedRow>,
    presence: HashMap<PeerKey, PresenceChanged>,
}

impl MemberTable {
    /// Applies a listing of all session rows.
    pub(super) fn list(&mut self, rows: Vec<(SessionId, u64, SessionRow)>, now: ClockTime) {
        self.rows
            .retain(|session, _| rows.iter().any(|(listed, _, _)| listed == session));
        for (session, version, row) in rows {
            let renewed = match self.rows.get(&session) {
                Some(seen) if seen.version == version => seen.renewed,
                _ => now,
            };
            self.rows.insert(
                session,
                ObservedRow {
                    row,
                    version,
                    renewed,
                },
            );
        }
    }

    /// Sets the presence that a linked entry announced; `None` removes it.
    pub(super) fn set_presence(&mut self, peer: PeerKey, presence: Option<PresenceChanged>) {
        match presence {
            Some(presence) => self.presence.insert(peer, presence),
            None => self.presence.remove(&peer),
        };
    }

    /// Returns the live sessions, whose rows were renewed within `lease`, sorted by identifier.
    pub(super) fn live(&self, lease: Duration, now: ClockTime) -> Vec<LiveSession> {
        let live = self
            .rows
            .iter()
            .filter(|(_, seen)| now.since(seen.renewed) < lease);
        let mut sessions: Vec<LiveSession> = live
            .map(|(session, seen)| self.describe(*session, &seen.row))
            .collect();
        sessions.sort_by_key(|session| session.session);
        sessions
    }

    /// Returns the sessions whose rows have not been renewed for ten times the lease.
    pub(super) fn expired(&self, lease: Duration, now: ClockTime) -> Vec<SessionId> {
        let expired = self
            .rows
            .iter()
            .filter(|(_, seen)| now.since(seen.renewed) > lease * 10);
        expired.map(|(session, _)| *session).collect()
    }

    /// Describes a session. The presence announced over a link is fresher than the row and takes precedence.
    fn describe(&self, session: SessionId, row: &SessionRow) -> LiveSession {
        let presence = self
            .presence
            .values()
            .find(|presence| presence.session == Some(session));
        LiveSession {
            session,
            domain: row.domain.clone(),
            is_draining: presence.map_or(row.is_draining, |presence| presence.is_draining),
            shards: match presence {
                Some(presence) => presence.shards.iter().map(|claim| claim.shard).collect(),
                None => row.shards.clone(),
            },
        }
    }
}
