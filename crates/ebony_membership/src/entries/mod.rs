//! Tracks the other entries: their sessions and shards, which of them are leaving, and which are suspected to be dead.

mod event;
mod peer;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use ebony_types::{ClockTime, HostName, ProcessIncarnation, SessionId, ShardKey};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

pub use self::event::{EntryDecision, EntryEvent, SessionStatus};
use self::peer::PeerRecord;
use crate::dialed_link::{LinkAction, MAX_TICK_GAP};
use crate::host_hint::HostHint;
use crate::rendezvous::rendezvous_weight;

/// Maximum number of peers that are taken from the host list, in the order of their names. The design scale is 390
/// nodes.
pub const MAX_PEERS: usize = 1_024;

/// Time without a frame from a peer after which its session is suspected, while frames from other peers arrive.
pub const PEER_LEASE: Duration = Duration::from_secs(5);

/// Time without a frame from a peer after which its session is suspected if no peer at all sends frames. In that case
/// this process is more likely to be cut off than all peers are to be dead.
pub const ISOLATED_LEASE: Duration = Duration::from_secs(15);

/// Maximum number of ended sessions that are remembered. The oldest is forgotten first and then counts as unclaimed.
const MAX_ENDED_SESSIONS: usize = 1_024;

/// Tracks the liveness of the other entries and the sessions that they hold.
///
/// The host list adds at most [`MAX_PEERS`] peers. A peer is removed when it is not listed, has no link, and its
/// session is suspected or ended.
///
/// ```
/// use ebony_membership::{EntryRegistry, SessionStatus};
/// use ebony_types::{ClockTime, HostName, SessionId};
///
/// let start = ClockTime::default();
/// let registry = EntryRegistry::open(HostName::parse("entry-1")?, 7, start);
/// let session = SessionId::from_bytes([1; 16]);
/// assert_eq!(registry.session_status(session, start), SessionStatus::Unknown);
/// # Ok::<(), ebony_types::name::NameError>(())
/// ```
#[derive(Clone, Debug)]
pub struct EntryRegistry {
    own_host: HostName,
    started_at: ClockTime,
    last_tick_at: ClockTime,
    /// Silence of a peer is measured from this time at the earliest. Set when a pause of this process ends, and when a
    /// frame arrives after a time in which no peer sent any.
    observing_since: ClockTime,
    rng: ChaCha8Rng,
    peers: BTreeMap<HostName, PeerRecord>,
    ended_sessions: VecDeque<SessionId>,
}

impl EntryRegistry {
    /// Creates the registry of the entry on `own_host`. `seed` initializes the random jitter of attempts to dial.
    pub fn open(own_host: HostName, seed: u64, now: ClockTime) -> Self {
        Self {
            own_host,
            started_at: now,
            last_tick_at: now,
            observing_since: now,
            rng: ChaCha8Rng::seed_from_u64(seed),
            peers: BTreeMap::new(),
            ended_sessions: VecDeque::new(),
        }
    }

    /// Applies an event and returns the resulting decisions, in order.
    pub fn apply(&mut self, event: EntryEvent, now: ClockTime) -> Vec<EntryDecision> {
        let mut decisions = Vec::new();
        match event {
            EntryEvent::HostsListed(hints) => {
                self.apply_list(hints, now);
                self.tick(now, &mut decisions);
            }
            EntryEvent::LinkUp { peer, incarnation } => {
                self.link_up(peer, incarnation, now, &mut decisions);
            }
            EntryEvent::Presence { ref peer, .. } | EntryEvent::FrameReceived { ref peer } => {
                self.record_frame(peer, now, &mut decisions);
                self.apply_presence(event, now, &mut decisions);
            }
            EntryEvent::LinkDown { peer } => {
                if let Some(record) = self.peers.get_mut(&peer) {
                    record.link.on_lost(now, &mut self.rng);
                }
            }
            EntryEvent::Tick => self.tick(now, &mut decisions),
        }
        decisions
    }

    fn apply_list(&mut self, hints: Vec<HostHint>, now: ClockTime) {
        let hints = hints.into_iter().filter(|hint| hint.host != self.own_host);
        let listed: BTreeMap<HostName, HostHint> = hints.map(|hint| (hint.host.clone(), hint)).collect();
        for record in self.peers.values_mut() {
            record.is_listed = listed.contains_key(&record.host);
        }
        for (host, hint) in listed.into_iter().take(MAX_PEERS) {
            match self.peers.get_mut(&host) {
                Some(record) => {
                    record.address = hint.address;
                    record.is_listed_leaving = hint.is_leaving;
                }
                None => {
                    self.peers.insert(host, PeerRecord::new(hint, now));
                }
            }
        }
    }

    fn link_up(
        &mut self,
        peer: HostName,
        incarnation: ProcessIncarnation,
        now: ClockTime,
        decisions: &mut Vec<EntryDecision>,
    ) {
        let Some(record) = self.peers.get_mut(&peer) else {
            decisions.push(EntryDecision::CloseLink { peer });
            return;
        };
        if record.link.on_opened(incarnation, now).is_some() {
            let session = record.session.take();
            record.shards.clear();
            self.end_session(session, decisions);
        }
        self.record_frame(&peer, now, decisions);
    }

    fn record_frame(&mut self, peer: &HostName, now: ClockTime, decisions: &mut Vec<EntryDecision>) {
        if self.is_isolated(now) {
            self.observing_since = now;
        }
        let Some(record) = self.peers.get_mut(peer) else {
            return;
        };
        record.link.on_frame(now);
        record.last_frame_at = now;
        let was_suspected = std::mem::take(&mut record.is_suspected);
        if let (true, Some(session)) = (was_suspected, record.session) {
            decisions.push(EntryDecision::SessionRecovered { session });
        }
    }

    fn apply_presence(&mut self, event: EntryEvent, now: ClockTime, decisions: &mut Vec<EntryDecision>) {
        let EntryEvent::Presence {
            peer,
            session,
            is_draining,
            shards,
        } = event
        else {
            return;
        };
        let Some(record) = self.peers.get_mut(&peer) else {
            return;
        };
        record.link.on_described(now);
        record.is_draining = is_draining;
        record.shards = shards;
        let previous = std::mem::replace(&mut record.session, session);
        if previous != session {
            self.end_session(previous, decisions);
        }
    }

    fn end_session(&mut self, session: Option<SessionId>, decisions: &mut Vec<EntryDecision>) {
        let Some(session) = session else { return };
        self.ended_sessions.push_back(session);
        if self.ended_sessions.len() > MAX_ENDED_SESSIONS {
            self.ended_sessions.pop_front();
        }
        decisions.push(EntryDecision::SessionEnded { session });
    }

    fn tick(&mut self, now: ClockTime, decisions: &mut Vec<EntryDecision>) {
        for record in self.peers.values_mut() {
            let may_dial = record.is_listed || record.session.is_some();
            let peer = record.host.clone();
            match record.link.tick(may_dial, now, &mut self.rng) {
                Some(LinkAction::Dial) => {
                    let address = record.address;
                    decisions.push(EntryDecision::Dial { peer, address });
                }
                Some(LinkAction::Ping) => decisions.push(EntryDecision::Ping { peer }),
                Some(LinkAction::Close) => decisions.push(EntryDecision::CloseLink { peer }),
                None => {}
            }
            record.link.take_expired_incarnation(now);
        }
        self.suspect_silent_peers(now, decisions);
        self.peers.retain(|_, record| !record.is_removable());
    }

    fn suspect_silent_peers(&mut self, now: ClockTime, decisions: &mut Vec<EntryDecision>) {
        let is_paused = now.since(std::mem::replace(&mut self.last_tick_at, now)) > MAX_TICK_GAP;
        if is_paused {
            self.observing_since = now;
        }
        let lease = self.lease(now);
        let observing_since = self.observing_since;
        for record in self.peers.values_mut() {
            let Some(session) = record.session else { continue };
            let silence = now.since(record.last_frame_at.max(observing_since));
            if !record.is_suspected && silence >= lease {
                record.is_suspected = true;
                decisions.push(EntryDecision::SessionSuspected { session });
            }
        }
    }

    fn lease(&self, now: ClockTime) -> Duration {
        if self.is_isolated(now) {
            ISOLATED_LEASE
        } else {
            PEER_LEASE
        }
    }

    /// Returns `true` if no frame arrived from any peer within [`PEER_LEASE`].
    fn is_isolated(&self, now: ClockTime) -> bool {
        !self
            .peers
            .values()
            .any(|record| now.since(record.last_frame_at) < PEER_LEASE)
    }

    /// Returns the status of a session, for instance of the one that a shard's row names.
    pub fn session_status(&self, session: SessionId, now: ClockTime) -> SessionStatus {
        if self.ended_sessions.contains(&session) {
            return SessionStatus::Ended;
        }
        let claimant = self.peers.values().find(|record| record.session == Some(session));
        match claimant {
            Some(record) if record.is_suspected => SessionStatus::Suspected,
            Some(_) => SessionStatus::Live,
            None if now.since(self.started_at) < ISOLATED_LEASE => SessionStatus::Unknown,
            None => SessionStatus::Suspected,
        }
    }

    /// Returns the peer that claims to serve a shard. This is a hint; only the shard's row is authoritative.
    pub fn peer_of_shard(&self, shard: ShardKey) -> Option<&HostName> {
        let serves = |record: &&PeerRecord| record.shards.contains(&shard) && !record.is_suspected;
        self.peers.values().find(serves).map(|record| &record.host)
    }

    /// Returns the peer that has a session.
    pub fn peer_of_session(&self, session: SessionId) -> Option<&HostName> {
        let record = self
            .peers
            .values()
            .find(|record| record.session == Some(session))?;
        Some(&record.host)
    }

    /// Returns `true` if a link to the peer is live.
    pub fn is_linked(&self, peer: &HostName, now: ClockTime) -> bool {
        self.peers
            .get(peer)
            .is_some_and(|record| record.link.is_live(now))
    }

    /// Returns the entry that should take over a shard: the one with the highest rendezvous weight among this entry and
    /// the peers that are live and not leaving. Entries that see different peers may disagree; sealing resolves that.
    pub fn successor_of(&self, shard: ShardKey) -> &HostName {
        let chooser = shard.to_string();
        let peers = self.peers.values().filter(|record| record.may_take_over());
        let hosts = peers.map(|record| &record.host).chain([&self.own_host]);
        hosts
            .max_by_key(|host| rendezvous_weight(&chooser, host.as_str()))
            .unwrap_or(&self.own_host)
    }
}
