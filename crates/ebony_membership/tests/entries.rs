//! Guards against suspecting entries that are alive, and against never suspecting dead ones.

use std::collections::BTreeSet;
use std::time::Duration;

use ebony_membership::{EntryDecision, EntryEvent, EntryRegistry, HostHint, SessionStatus};
use ebony_types::{ClockTime, DomainName, HostName, ProcessIncarnation, SessionId, ShardKey};

const TICK: Duration = Duration::from_millis(250);

fn host(number: u16) -> HostName {
    HostName::parse(&format!("entry-{number}")).expect("a valid name")
}

fn session(number: u8) -> SessionId {
    SessionId::from_bytes([number; 16])
}

fn presence(number: u16, session: SessionId) -> EntryEvent {
    EntryEvent::Presence {
        peer: host(number),
        session: Some(session),
        is_draining: false,
        shards: BTreeSet::from([ShardKey(number)]),
    }
}

fn link_up(number: u16, incarnation: u8) -> EntryEvent {
    let incarnation = ProcessIncarnation::from_bytes([incarnation; 16]);
    EntryEvent::LinkUp {
        peer: host(number),
        incarnation,
    }
}

/// A registry of entry 1 with links to entries 2 and 3, whose sessions are 2 and 3.
struct LinkedRegistry {
    registry: EntryRegistry,
    now: ClockTime,
}

impl LinkedRegistry {
    fn open() -> Self {
        let now = ClockTime::default();
        let mut registry = EntryRegistry::open(host(1), 1, now);
        let hints = (1..=3).map(|number| HostHint {
            host: host(number),
            address: ([127, 0, 0, 1], 9_000 + number).into(),
            domain: DomainName::parse("domain-1").expect("a valid name"),
            is_leaving: false,
        });
        registry.apply(EntryEvent::HostsListed(hints.collect()), now);
        for number in 2..=3 {
            registry.apply(link_up(number, number as u8), now);
            registry.apply(presence(number, session(number as u8)), now);
        }
        Self { registry, now }
    }

    /// Advances time by ticks while frames from the peers in `active` arrive. Returns the decisions about sessions.
    fn advance(&mut self, time: Duration, active: &[u16]) -> Vec<EntryDecision> {
        let end = self.now + time;
        let mut seen = Vec::new();
        while self.now < end {
            self.now = self.now + TICK;
            for number in active {
                seen.extend(
                    self.registry
                        .apply(EntryEvent::FrameReceived { peer: host(*number) }, self.now),
                );
            }
            seen.extend(self.registry.apply(EntryEvent::Tick, self.now));
        }
        seen.retain(|decision| {
            let is_link = matches!(
                decision,
                EntryDecision::Dial { .. } | EntryDecision::Ping { .. } | EntryDecision::CloseLink { .. }
            );
            !is_link
        });
        seen
    }

    fn session_status(&self, number: u8) -> SessionStatus {
        self.registry.session_status(session(number), self.now)
    }
}

#[test]
fn a_silent_peer_is_suspected_and_recovers() {
    let mut linked = LinkedRegistry::open();
    assert_eq!(linked.advance(Duration::from_secs(4), &[2]), []);
    let suspected = EntryDecision::SessionSuspected { session: session(3) };
    assert_eq!(linked.advance(Duration::from_secs(2), &[2]), [suspected]);
    assert_eq!(linked.session_status(3), SessionStatus::Suspected);
    assert_eq!(linked.registry.peer_of_shard(ShardKey(3)), None);
    let recovered = EntryDecision::SessionRecovered { session: session(3) };
    assert_eq!(linked.advance(TICK, &[2, 3]), [recovered]);
    assert_eq!(linked.session_status(3), SessionStatus::Live);
}

/// An entry that receives no frames at all is probably cut off itself, so it uses the longer lease. Once frames arrive
/// again, every other peer gets a full lease to report.
#[test]
fn an_isolated_entry_waits_longer() {
    let mut linked = LinkedRegistry::open();
    assert_eq!(linked.advance(Duration::from_secs(14), &[]), []);
    assert_eq!(linked.advance(Duration::from_secs(4), &[2]), []);
    assert_eq!(linked.advance(Duration::from_secs(2), &[2]).len(), 1);
    let mut linked = LinkedRegistry::open();
    assert_eq!(
        linked.advance(Duration::from_secs(16), &[]).len(),
        2,
        "all peers may be dead"
    );
}

/// After a pause of the process, all peers seem silent because their frames are still unread.
#[test]
fn a_paused_entry_suspects_nobody() {
    let mut linked = LinkedRegistry::open();
    linked.now = linked.now + Duration::from_secs(60);
    assert_eq!(linked.advance(TICK, &[]), []);
    assert_eq!(linked.advance(Duration::from_secs(4), &[2, 3]), []);
}

#[test]
fn a_new_incarnation_or_session_ends_the_old_session() {
    let mut linked = LinkedRegistry::open();
    let ended = |number| EntryDecision::SessionEnded {
        session: session(number),
    };
    let now = linked.now;
    assert_eq!(linked.registry.apply(link_up(2, 9), now), [ended(2)]);
    assert_eq!(linked.registry.apply(presence(3, session(8)), now), [ended(3)]);
    assert_eq!(
        (linked.session_status(2), linked.session_status(3)),
        (SessionStatus::Ended, SessionStatus::Ended)
    );
    assert_eq!(linked.session_status(8), SessionStatus::Live);
    assert_eq!(linked.session_status(7), SessionStatus::Unknown);
    linked.advance(Duration::from_secs(15), &[2, 3]);
    assert_eq!(
        linked.session_status(7),
        SessionStatus::Suspected,
        "no peer has claimed the session since the start"
    );
}

/// Guards against the loss of one entry changing the successors of shards that it was not to take over.
#[test]
fn only_the_shards_of_a_lost_successor_move() {
    let mut linked = LinkedRegistry::open();
    let successors = |linked: &LinkedRegistry| -> Vec<HostName> {
        (0..64)
            .map(|shard| linked.registry.successor_of(ShardKey(shard)).clone())
            .collect()
    };
    let before = successors(&linked);
    linked.advance(Duration::from_secs(6), &[2]);
    let after = successors(&linked);
    for (before, after) in before.iter().zip(&after) {
        assert!(before == after || *before == host(3));
        assert_ne!(*after, host(3));
    }
    assert_eq!(after.iter().collect::<BTreeSet<_>>().len(), 2);
}
