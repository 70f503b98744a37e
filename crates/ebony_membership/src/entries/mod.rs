//! The other entries: their sessions and shards, who is leaving, and who is suspected dead.

mod event;
mod peer;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use ebony_types::{ClockTime, HostName, SessionId, ShardKey};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

pub use self::event::{EntryDecision, EntryEvent, SessionStanding};
use self::peer::PeerRecord;
use crate::dialed_link::{LinkStep, MAX_TICK_GAP};
use crate::host_hint::HostHint;
use crate::rendezvous::rendezvous_weight;

/// The most peers that are taken from the host list, in the order of their names. The design scale is 390 nodes.
pub const MAX_PEERS: usize = 1_024;

/// Silence after which a peer's session is suspected, while other peers are heard.
pub const PEER_LEASE: Duration = Duration::from_secs(5);

/// Silence after which a peer's session is suspected if no peer at all is heard. This process is then more likely to
/// be cut off than all peers are to be dead.
pub const ISOLATED_LEASE: Duration = Duration::from_secs(15);

/// Ended sessions that are remembered; the oldest is forgotten first and counts as never heard of.
const MAX_ENDED_SESSIONS: usize = 1_024;

/// The membership of entries.
///
/// Peers are bounded by [`MAX_PEERS`]; a peer leaves when it is not listed, has no link, and its session is suspected or
/// ended.
///
/// ```
/// use ebony_membership::{EntryRegistry, SessionStanding};
/// use ebony_types::{ClockTime, HostName, SessionId};
///
/// let start = ClockTime::default();
/// let registry = EntryRegistry::open(HostName::parse("entry-1")?, 7, start);
/// let session = SessionId::from_bytes([1; 16]);
/// assert_eq!(registry.standing(session, start), SessionStanding::Unheard);
/// # Ok::<(), ebony_types::name::NameError>(())
/// ```
#[derive(Clone, Debug)]
pub struct EntryRegistry {
    own: HostName,
    opened_at: ClockTime,
    ticked_at: ClockTime,
    /// Silence counts from here on: the end of a pause of this process, or of a time in which it heard no peer.
    observing_since: ClockTime,
    source: ChaCha8Rng,
    peers: BTreeMap<HostName, PeerRecord>,
    ended: VecDeque<SessionId>,
}

impl EntryRegistry {
    /// Creates the registry of the entry on the host `own`. The seed spreads attempts to dial.
    pub fn open(own: HostName, seed: u64, now: ClockTime) -> Self {
        Self {
            own,
            opened_at: now,
            ticked_at: now,
            observing_since: now,
            source: ChaCha8Rng::seed_from_u64(seed),
            peers: BTreeMap::new(),
            ended: VecDeque::new(),
        }
    }

    /// Takes an event and returns what has to be done, in order.
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
            EntryEvent::Presence { ref peer, .. } | EntryEvent::Heard { ref peer } => {
                self.hear(peer, now, &mut decisions);
                self.apply_presence(event, now, &mut decisions);
            }
            EntryEvent::LinkDown { peer } => {
                if let Some(record) = self.peers.get_mut(&peer) {
                    record.link.lost(now, &mut self.source);
                }
            }
            EntryEvent::Tick => self.tick(now, &mut decisions),
        }
        decisions
    }

    fn apply_list(&mut self, hints: Vec<HostHint>, now: ClockTime) {
        let hints = hints.into_iter().filter(|hint| hint.host != self.own);
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
        incarnation: ebony_types::ProcessIncarnation,
        now: ClockTime,
        decisions: &mut Vec<EntryDecision>,
    ) {
        let Some(record) = self.peers.get_mut(&peer) else {
            decisions.push(EntryDecision::HangUp { peer });
            return;
        };
        if record.link.opened(incarnation, now).is_some() {
            let session = record.session.take();
            record.shards.clear();
            self.end_session(session, decisions);
        }
        self.hear(&peer, now, decisions);
    }

    fn hear(&mut self, peer: &HostName, now: ClockTime, decisions: &mut Vec<EntryDecision>) {
        if self.is_isolated(now) {
            self.observing_since = now;
        }
        let Some(record) = self.peers.get_mut(peer) else {
            return;
        };
        record.link.heard(now);
        record.heard_at = now;
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
        record.link.described(now);
        record.is_draining = is_draining;
        record.shards = shards;
        let former = std::mem::replace(&mut record.session, session);
        if former != session {
            self.end_session(former, decisions);
        }
    }

    fn end_session(&mut self, session: Option<SessionId>, decisions: &mut Vec<EntryDecision>) {
        let Some(session) = session else { return };
        self.ended.push_back(session);
        if self.ended.len() > MAX_ENDED_SESSIONS {
            self.ended.pop_front();
        }
        decisions.push(EntryDecision::SessionEnded { session });
    }

    fn tick(&mut self, now: ClockTime, decisions: &mut Vec<EntryDecision>) {
        for record in self.peers.values_mut() {
            let may_dial = record.is_listed || record.session.is_some();
            let peer = record.host.clone();
            match record.link.tick(may_dial, now, &mut self.source) {
                Some(LinkStep::Dial) => {
                    let address = record.address;
                    decisions.push(EntryDecision::Dial { peer, address });
                }
                Some(LinkStep::Ping) => decisions.push(EntryDecision::Ping { peer }),
                Some(LinkStep::HangUp) => decisions.push(EntryDecision::HangUp { peer }),
                None => {}
            }
            record.link.expire_lost(now);
        }
        self.suspect_silent(now, decisions);
        self.peers.retain(|_, record| !record.is_gone());
    }

    fn suspect_silent(&mut self, now: ClockTime, decisions: &mut Vec<EntryDecision>) {
        let is_paused = now.since(std::mem::replace(&mut self.ticked_at, now)) > MAX_TICK_GAP;
        if is_paused {
            self.observing_since = now;
        }
        let lease = self.lease(now);
        let observing_since = self.observing_since;
        for record in self.peers.values_mut() {
            let Some(session) = record.session else { continue };
            let silence = now.since(record.heard_at.max(observing_since));
            if !record.is_suspected && silence >= lease {
                record.is_suspected = true;
                decisions.push(EntryDecision::SessionSuspected { session });
            }
        }
    }

    /// Returns the lease that applies now.
    fn lease(&self, now: ClockTime) -> Duration {
        if self.is_isolated(now) {
            ISOLATED_LEASE
        } else {
            PEER_LEASE
        }
    }

    /// Returns `true` if no peer was heard of within [`PEER_LEASE`].
    fn is_isolated(&self, now: ClockTime) -> bool {
        !self
            .peers
            .values()
            .any(|record| now.since(record.heard_at) < PEER_LEASE)
    }

    /// Returns what is known of a session, for instance of one that a shard row names.
    pub fn standing(&self, session: SessionId, now: ClockTime) -> SessionStanding {
        if self.ended.contains(&session) {
            return SessionStanding::Ended;
        }
        let claimant = self.peers.values().find(|record| record.session == Some(session));
        match claimant {
            Some(record) if record.is_suspected => SessionStanding::Suspected,
            Some(_) => SessionStanding::Live,
            None if now.since(self.opened_at) < ISOLATED_LEASE => SessionStanding::Unheard,
            None => SessionStanding::Suspected,
        }
    }

    /// Returns the peer that says that it serves a shard. It is a hint: the shard row decides.
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

    /// Returns the entry that should take over a shard: the first by rendezvous hashing among this entry and the peers
    /// that are live and not leaving. Entries that see different peers may differ; sealing settles it.
    pub fn successor_of(&self, shard: ShardKey) -> &HostName {
        let chooser = shard.to_string();
        let peers = self.peers.values().filter(|record| record.may_succeed());
        let hosts = peers.map(|record| &record.host).chain([&self.own]);
        hosts
            .max_by_key(|host| rendezvous_weight(&chooser, host.as_str()))
            .unwrap_or(&self.own)
    }
}
