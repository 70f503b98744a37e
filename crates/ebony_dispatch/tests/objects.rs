//! Placement of plain calls about objects, each of which runs faster at the target that served its object before.

use std::collections::HashSet;

use ebony_dispatch::{
    DispatchOptions, PlacementRequest, TargetBoard, TargetChange, TargetKey, TargetPhase, TargetRecord,
    VersionRule, place,
};
use ebony_types::{ClockTime, DomainName, ServiceName, SoftwareVersion, TargetName};

const NOW: ClockTime = ClockTime::from_millis(1_000);
const TARGETS: usize = 6;
const SLOTS: u32 = 6;

/// The view of one gateway.
struct Entry {
    board: TargetBoard,
    keys: Vec<TargetKey>,
    domain: DomainName,
}

impl Entry {
    /// Opens the view of a gateway in a failure domain. Targets are in the domains `a` and `b` by turns.
    fn open(domain: &str) -> Self {
        let parse = |domain: &str| DomainName::parse(domain).expect("a name");
        let mut board = TargetBoard::default();
        let keys = (0..TARGETS).map(|number| {
            let record = TargetRecord {
                name: TargetName::parse(&format!("t-{number}")).expect("a name"),
                service: ServiceName::parse("stock").expect("a name"),
                address: ([10, 0, 0, 1], 80).into(),
                domain: parse(if number % 2 == 0 { "a" } else { "b" }),
                version: SoftwareVersion::parse("v1").expect("a version"),
                slots: SLOTS,
                phase: TargetPhase::Ready,
                born: 1,
            };
            match board.apply(record) {
                TargetChange::Added(key) => key,
                change => panic!("{change:?}"),
            }
        });
        Self {
            keys: keys.collect(),
            board,
            domain: parse(domain),
        }
    }

    /// Returns the index of the target for a call.
    fn place(&self, affinity: &str, is_sticky: bool, tried: &[TargetKey]) -> usize {
        let request = PlacementRequest {
            service: &ServiceName::parse("stock").expect("a name"),
            domain: &self.domain,
            affinity,
            is_sticky,
            prompt: &[],
            tried,
            max_connections: 100,
            max_permit_wait: None,
            versions: VersionRule::Any,
        };
        let key = place(&self.board, &request, &DispatchOptions::default(), NOW).expect("a target");
        let mut keys = self.keys.iter();
        keys.position(|found| *found == key).expect("the key is known")
    }

    fn begin(&mut self, target: usize, calls: u32) {
        for _ in 0..calls {
            self.board.begin(self.keys[target], &[], None);
        }
    }
}

/// Guards against gateways that each take another target for the one that serves an object.
#[test]
fn all_gateways_prefer_the_same_target_for_an_object() {
    let mut first = Entry::open("a");
    let second = Entry::open("b");
    // What one gateway sends does not change what it prefers, as long as slots are free.
    for target in 0..TARGETS {
        first.begin(target, target as u32 % 5);
    }
    let mut homes = HashSet::new();
    for object in 0..100 {
        let affinity = format!("lali\n{object}");
        let home = first.place(&affinity, true, &[]);
        assert_eq!(second.place(&affinity, true, &[]), home, "{affinity}");
        homes.insert(home);
    }
    assert_eq!(homes.len(), TARGETS, "objects are spread over all targets");
}

/// Guards against a preference that makes calls about a popular object queue while other targets have room, and against
/// a call that cannot be sent again because its preferred target failed.
#[test]
fn the_preference_gives_way_to_load_and_failures() {
    let mut entry = Entry::open("a");
    let home = entry.place("lali\n17", true, &[]);
    entry.begin(home, SLOTS - 1);
    assert_eq!(entry.place("lali\n17", true, &[]), home);
    entry.begin(home, 1);
    let next = entry.place("lali\n17", true, &[]);
    assert_ne!(next, home, "the slots of the preferred target are taken");
    assert_ne!(entry.place("lali\n17", true, &[entry.keys[next]]), next);
}

/// Guards against a preference where it gains nothing.
#[test]
fn calls_about_no_object_are_placed_as_before() {
    let mut entry = Entry::open("a");
    for object in 0..100 {
        let affinity = format!("c{object}");
        let target = entry.place(&affinity, false, &[]);
        assert_eq!(target % 2, 0, "targets in the own failure domain cost less");
    }
    entry.begin(0, 1);
    entry.begin(2, 1);
    assert_eq!(entry.place("c1", false, &[]), 4);
}
