//! Guards against takeovers of entries that are alive, and against dead ones that nobody suspects.

use std::collections::BTreeSet;
use std::time::Duration;

use ebony_membership::{EntryDecision, EntryEvent, EntryRegistry, HostHint, SessionStanding};
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

fn link_up(number: u16, life: u8) -> EntryEvent {
    let incarnation = ProcessIncarnation::from_bytes([life; 16]);
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

    /// Lets time pass while the given peers send heartbeats; returns what is said of sessions.
    fn pass(&mut self, time: Duration, heard: &[u16]) -> Vec<EntryDecision> {
        let end = self.now + time;
        let mut seen = Vec::new();
        while self.now < end {
            self.now = self.now + TICK;
            for number in heard {
                seen.extend(
                    self.registry
                        .apply(EntryEvent::Heard { peer: host(*number) }, self.now),
                );
            }
            seen.extend(self.registry.apply(EntryEvent::Tick, self.now));
        }
        seen.retain(|decision| {
            let is_link = matches!(
                decision,
                EntryDecision::Dial { .. } | EntryDecision::Ping { .. } | EntryDecision::HangUp { .. }
            );
            !is_link
        });
        seen
    }

    fn standing(&self, number: u8) -> SessionStanding {
        self.registry.standing(session(number), self.now)
    }
}

#[test]
fn a_silent_peer_is_suspected_and_recovers() {
    let mut linked = LinkedRegistry::open();
    assert_eq!(linked.pass(Duration::from_secs(4), &[2]), []);
    let suspected = EntryDecision::SessionSuspected { session: session(3) };
    assert_eq!(linked.pass(Duration::from_secs(2), &[2]), [suspected]);
    assert_eq!(linked.standing(3), SessionStanding::Suspected);
    assert_eq!(linked.registry.peer_of_shard(ShardKey(3)), None);
    let recovered = EntryDecision::SessionRecovered { session: session(3) };
    assert_eq!(linked.pass(TICK, &[2, 3]), [recovered]);
    assert_eq!(linked.standing(3), SessionStanding::Live);
}

/// An entry that hears nobody is probably cut off itself. When it is back, the others get a full lease to report.
#[test]
fn an_isolated_entry_waits_longer() {
    let mut linked = LinkedRegistry::open();
    assert_eq!(linked.pass(Duration::from_secs(14), &[]), []);
    assert_eq!(linked.pass(Duration::from_secs(4), &[2]), []);
    assert_eq!(linked.pass(Duration::from_secs(2), &[2]).len(), 1);
    let mut linked = LinkedRegistry::open();
    assert_eq!(
        linked.pass(Duration::from_secs(16), &[]).len(),
        2,
        "all peers may be dead"
    );
}

/// A process that was paused finds every peer silent, with their frames unread.
#[test]
fn a_paused_entry_suspects_nobody() {
    let mut linked = LinkedRegistry::open();
    linked.now = linked.now + Duration::from_secs(60);
    assert_eq!(linked.pass(TICK, &[]), []);
    assert_eq!(linked.pass(Duration::from_secs(4), &[2, 3]), []);
}

#[test]
fn a_new_life_or_session_ends_the_old_session() {
    let mut linked = LinkedRegistry::open();
    let ended = |number| EntryDecision::SessionEnded {
        session: session(number),
    };
    let now = linked.now;
    assert_eq!(linked.registry.apply(link_up(2, 9), now), [ended(2)]);
    assert_eq!(linked.registry.apply(presence(3, session(8)), now), [ended(3)]);
    assert_eq!(
        (linked.standing(2), linked.standing(3)),
        (SessionStanding::Ended, SessionStanding::Ended)
    );
    assert_eq!(linked.standing(8), SessionStanding::Live);
    assert_eq!(linked.standing(7), SessionStanding::Unheard);
    linked.pass(Duration::from_secs(15), &[2, 3]);
    assert_eq!(
        linked.standing(7),
        SessionStanding::Suspected,
        "nobody has claimed it for long"
    );
}

/// Guards against successors that all change when one entry is lost.
#[test]
fn only_the_shards_of_a_lost_successor_move() {
    let mut linked = LinkedRegistry::open();
    let successors = |linked: &LinkedRegistry| -> Vec<HostName> {
        (0..64)
            .map(|shard| linked.registry.successor_of(ShardKey(shard)).clone())
            .collect()
    };
    let before = successors(&linked);
    linked.pass(Duration::from_secs(6), &[2]);
    let after = successors(&linked);
    for (before, after) in before.iter().zip(&after) {
        assert!(before == after || *before == host(3));
        assert_ne!(*after, host(3));
    }
    assert_eq!(after.iter().collect::<BTreeSet<_>>().len(), 2);
}
