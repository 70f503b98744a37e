//! Guards against placing work on a target that is leaving, silent or replaced, and against dialing hosts too often.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use arbitrary::Unstructured;
use ebony_membership::dial_backoff::{BASE_WAIT, MAX_WAIT, STABLE_AFTER};
use ebony_membership::{HostHint, SidePhase, TargetDecision, TargetEvent, TargetKey, TargetRegistry};
use ebony_types::{ClockTime, DomainName, HostName, ProcessIncarnation, ServiceName, TargetName};
use ebony_wire::{TargetKind, TargetReport};

const TICK: Duration = Duration::from_millis(250);

/// The design's bound on how long a target may receive new work after the first sign that it is leaving or gone.
const STOP_WITHIN: Duration = Duration::from_secs(3);

fn host(number: u16) -> HostName {
    HostName::parse(&format!("host-{number}")).expect("a valid name")
}

fn incarnation(number: u8) -> ProcessIncarnation {
    ProcessIncarnation::from_bytes([number; 16])
}

fn hint(number: u16, is_leaving: bool) -> HostHint {
    HostHint {
        host: host(number),
        address: ([127, 0, 0, 1], 9_000 + number).into(),
        domain: DomainName::parse("domain-1").expect("a valid name"),
        is_leaving,
    }
}

fn target_name(number: u16) -> TargetName {
    TargetName::parse(&format!("target-{number}")).expect("a valid name")
}

fn describe(number: u16, is_draining: bool) -> TargetEvent {
    let service = ServiceName::parse("workshop").expect("a valid name");
    let report = TargetReport {
        target: target_name(number),
        kind: TargetKind::Service { service },
        slots: 4,
        checks_fencing: false,
    };
    TargetEvent::Described {
        host: host(number),
        domain: hint(number, false).domain,
        targets: vec![report],
        is_draining,
    }
}

fn open_registry() -> TargetRegistry {
    TargetRegistry::open(HostName::parse("entry-1").expect("a valid name"), 1)
}

/// For each sign that a host is leaving or gone, when it began; and when the last frame from the host arrived.
#[derive(Clone, Debug, Default)]
struct HostSigns {
    listed_leaving: Option<ClockTime>,
    announced: Option<ClockTime>,
    ordered: Option<ClockTime>,
    link_lost: Option<ClockTime>,
    last_frame: Option<ClockTime>,
    incarnations: u8,
}

impl HostSigns {
    fn open() -> Self {
        Self {
            link_lost: Some(ClockTime::default()),
            ..Self::default()
        }
    }

    fn must_not_serve(&self, now: ClockTime) -> bool {
        let signs = [
            self.listed_leaving,
            self.announced,
            self.ordered,
            self.link_lost,
            self.last_frame,
        ];
        signs
            .into_iter()
            .flatten()
            .any(|since| now.since(since) >= STOP_WITHIN)
    }
}

/// A registry, the signs that it was given, and the targets that it has announced as open for placement.
struct TrackedRegistry {
    registry: TargetRegistry,
    now: ClockTime,
    signs: BTreeMap<u16, HostSigns>,
    announced: BTreeMap<TargetKey, u16>,
    placed: u32,
}

impl TrackedRegistry {
    fn apply(&mut self, event: TargetEvent) {
        for decision in self.registry.apply(event, self.now) {
            match decision {
                TargetDecision::OpenPlacement { target } => {
                    let record = self.registry.target(target).expect("an open target");
                    let number = (1..=4).find(|number| *record.name() == target_name(*number));
                    self.announced.insert(target, number.expect("a known target"));
                }
                TargetDecision::StopPlacement { target, .. } => {
                    assert!(
                        self.announced.remove(&target).is_some(),
                        "placement was stopped for a target that was not open"
                    );
                }
                TargetDecision::CloseLink { host: closed } => {
                    let signs = self.signs.iter_mut().find(|(number, _)| host(**number) == closed);
                    let (_, signs) = signs.expect("a known host");
                    signs.link_lost.get_or_insert(self.now);
                }
                _ => {}
            }
        }
        self.check();
    }

    fn check(&mut self) {
        for (target, number) in &self.announced {
            let signs = &self.signs[number];
            assert!(
                !signs.must_not_serve(self.now),
                "announced: {number} {signs:?} {:?}",
                self.now
            );
            self.placed += u32::from(self.registry.may_place(*target, self.now));
        }
        for (_, record) in self.registry.placeable(self.now) {
            let number = (1..=4).find(|number| host(*number) == record.host);
            let signs = &self.signs[&number.expect("a known host")];
            assert!(!signs.must_not_serve(self.now), "placeable: {signs:?}");
            assert_eq!(record.incarnation, incarnation(signs.incarnations));
        }
    }

    fn list(&mut self, input: &mut Unstructured<'_>) -> ebony_testkit::Result<()> {
        let mut hints = Vec::new();
        for (number, signs) in &mut self.signs {
            match input.int_in_range(0..=5)? {
                0 => continue,
                1 => {
                    signs.listed_leaving.get_or_insert(self.now);
                    hints.push(hint(*number, true));
                }
                _ => {
                    signs.listed_leaving = None;
                    hints.push(hint(*number, false));
                }
            }
        }
        self.apply(TargetEvent::HostsListed(hints));
        Ok(())
    }

    fn link_up(&mut self, number: u16, is_new_incarnation: bool) {
        let signs = self.signs.get_mut(&number).expect("a known host");
        if is_new_incarnation || signs.incarnations == 0 {
            signs.incarnations += 1;
            signs.announced = None;
        }
        signs.link_lost = None;
        signs.last_frame = Some(self.now);
        let incarnation = incarnation(signs.incarnations);
        self.apply(TargetEvent::LinkUp {
            host: host(number),
            incarnation,
        });
    }

    fn step(&mut self, input: &mut Unstructured<'_>) -> ebony_testkit::Result<()> {
        let number = input.int_in_range(1..=4)?;
        let now = self.now;
        let signs = self.signs.get_mut(&number).expect("a known host");
        let is_up = signs.link_lost.is_none();
        match input.int_in_range(0..=11)? {
            0 => self.list(input)?,
            1 | 2 => {
                let is_new_incarnation = input.ratio(1, 3)?;
                self.link_up(number, is_new_incarnation);
            }
            3 | 4 if is_up => {
                let is_draining = signs.announced.is_some() || input.ratio(1, 8)?;
                signs.last_frame = Some(now);
                if is_draining {
                    signs.announced.get_or_insert(now);
                }
                self.apply(describe(number, is_draining));
            }
            5 if is_up => {
                signs.announced.get_or_insert(now);
                self.apply(TargetEvent::DrainAnnounced { host: host(number) });
            }
            6 | 7 if is_up => {
                signs.last_frame = Some(now);
                self.apply(TargetEvent::FrameReceived { host: host(number) });
            }
            8 => {
                signs.link_lost.get_or_insert(now);
                self.apply(TargetEvent::LinkDown { host: host(number) });
            }
            9 => {
                let drains = if signs.ordered.take().is_some() {
                    BTreeSet::new()
                } else {
                    signs.ordered = Some(now);
                    BTreeSet::from([target_name(number)])
                };
                let is_other = |other: &u16| *other != number;
                self.signs
                    .iter_mut()
                    .filter(|(other, _)| is_other(other))
                    .for_each(|(_, signs)| signs.ordered = None);
                self.apply(TargetEvent::DrainsOrdered(drains));
            }
            _ => {
                for _ in 0..input.int_in_range(0..=8)? {
                    self.now = self.now + TICK;
                    self.apply(TargetEvent::Tick);
                }
            }
        }
        Ok(())
    }
}

#[test]
fn no_work_is_placed_three_seconds_after_the_first_sign() {
    let mut placed = 0;
    ebony_testkit::check_seeds(1_000, 600, |input| {
        let mut tracked = TrackedRegistry {
            registry: open_registry(),
            now: ClockTime::default(),
            signs: (1..=4).map(|number| (number, HostSigns::open())).collect(),
            announced: BTreeMap::new(),
            placed: 0,
        };
        let hints = (1..=4).map(|number| hint(number, false)).collect();
        tracked.apply(TargetEvent::HostsListed(hints));
        for _ in 0..100 {
            tracked.step(input)?;
        }
        placed += tracked.placed;
        Ok(())
    });
    // The checks above also pass if nothing is ever placeable.
    assert!(placed > 10_000, "{placed}");
}

/// The phases of one side process: joining, draining, replaced by a new incarnation, lost.
#[test]
fn life_cycle_of_a_side_process() {
    let mut registry = open_registry();
    let mut seen = Vec::new();
    let seconds = |seconds: u64| ClockTime::from_millis(seconds * 1_000);
    let link_up = |number| TargetEvent::LinkUp {
        host: host(1),
        incarnation: incarnation(number),
    };
    let steps = [
        ("listed", TargetEvent::HostsListed(vec![hint(1, false)]), 0),
        ("link up", link_up(1), 0),
        ("described", describe(1, false), 0),
        ("missing from the list", TargetEvent::HostsListed(vec![]), 1),
        ("link lost", TargetEvent::LinkDown { host: host(1) }, 2),
        ("redialed after the backoff", TargetEvent::Tick, 3),
        ("link back", link_up(1), 3),
        ("described again", describe(1, false), 3),
        ("leaving", TargetEvent::DrainAnnounced { host: host(1) }, 4),
        ("replaced", link_up(2), 5),
        ("new incarnation described", describe(1, false), 5),
        ("silent", TargetEvent::Tick, 8),
        ("frame received", TargetEvent::FrameReceived { host: host(1) }, 8),
        ("link lost again", TargetEvent::LinkDown { host: host(1) }, 9),
        ("dialed to resume calls", TargetEvent::Tick, 10),
        ("dial failed", TargetEvent::LinkDown { host: host(1) }, 10),
        ("given up", TargetEvent::Tick, 40),
    ];
    for (name, event, at) in steps {
        let decisions = registry.apply(event, seconds(at));
        seen.push((name, registry.phase(&host(1), seconds(at)), decisions));
    }
    insta::assert_debug_snapshot!(seen);
}

/// Dials a host whose link is lost as soon as it is up, and returns the waits between the attempts.
fn flap(registry: &mut TargetRegistry, attempts: usize) -> Vec<Duration> {
    let mut waits = Vec::new();
    let mut now = ClockTime::default();
    let mut failed_at = now;
    registry.apply(TargetEvent::HostsListed(vec![hint(1, false)]), now);
    while waits.len() < attempts {
        registry.apply(
            TargetEvent::LinkUp {
                host: host(1),
                incarnation: incarnation(1),
            },
            now,
        );
        registry.apply(describe(1, false), now);
        registry.apply(TargetEvent::LinkDown { host: host(1) }, now);
        loop {
            now = now + Duration::from_millis(1);
            let decisions = registry.apply(TargetEvent::Tick, now);
            if decisions
                .iter()
                .any(|decision| matches!(decision, TargetDecision::Dial { .. }))
            {
                break;
            }
        }
        waits.push(now.since(failed_at));
        failed_at = now;
    }
    waits
}

/// Guards against dialing a flapping host too often, and against a long backoff that remains after the link was stable.
#[test]
fn flapping_links_back_off_with_bounded_jitter() {
    let mut registry = open_registry();
    let waits = flap(&mut registry, 12);
    let mut expected = BASE_WAIT;
    for wait in &waits {
        let rounding = Duration::from_millis(1);
        assert!(
            *wait >= expected / 2 && *wait <= expected * 3 / 2 + rounding,
            "{waits:?}"
        );
        expected = (expected * 2).min(MAX_WAIT);
    }
    let start = ClockTime::from_millis(1_000_000);
    registry.apply(
        TargetEvent::LinkUp {
            host: host(1),
            incarnation: incarnation(1),
        },
        start,
    );
    let lost = start + STABLE_AFTER;
    registry.apply(TargetEvent::LinkDown { host: host(1) }, lost);
    let decisions = registry.apply(TargetEvent::Tick, lost + BASE_WAIT * 2);
    assert!(
        matches!(decisions[..], [TargetDecision::Dial { .. }]),
        "{decisions:?}"
    );
}

/// Guards against never learning what some hosts serve, and against a number of links that grows with the fleet.
#[test]
fn unknown_hosts_are_probed_a_few_at_a_time() {
    const HOSTS: u16 = 100;
    let mut registry = open_registry();
    let mut now = ClockTime::default();
    let mut linked = BTreeSet::new();
    let mut described = BTreeSet::new();
    let mut most = 0;
    let hints = (1..=HOSTS).map(|number| hint(number, false)).collect();
    let mut pending = registry.apply(TargetEvent::HostsListed(hints), now);
    for _ in 0..200 {
        for decision in std::mem::take(&mut pending) {
            let up = |host: HostName| TargetEvent::LinkUp {
                host,
                incarnation: incarnation(1),
            };
            match decision {
                TargetDecision::Dial { host, address } => {
                    linked.insert(host.clone());
                    described.insert(host.clone());
                    pending.extend(registry.apply(up(host), now));
                    pending.extend(registry.apply(describe(address.port() - 9_000, false), now));
                }
                TargetDecision::CloseLinkWhenIdle { host } if !registry.is_wanted(&host) => {
                    linked.remove(&host);
                    pending.extend(registry.apply(TargetEvent::LinkReleased { host }, now));
                }
                TargetDecision::Ping { host } => {
                    drop(registry.apply(TargetEvent::FrameReceived { host }, now))
                }
                _ => {}
            }
        }
        most = most.max(linked.len());
        now = now + TICK;
        pending.extend(registry.apply(TargetEvent::Tick, now));
    }
    assert_eq!(described.len(), usize::from(HOSTS));
    assert_eq!((linked.len(), registry.placeable(now).count()), (8, 8));
    assert!(most <= 24, "{most}");
    assert_eq!(registry.phase(&host(HOSTS + 1), now), SidePhase::Gone);
}

/// Guards against a host that is never dialed again after its process drained and stayed away for longer than calls can
/// resume.
#[test]
fn a_drained_host_is_dialed_again_for_its_next_incarnation() {
    for has_moved in [false, true] {
        let mut registry = open_registry();
        let mut now = ClockTime::from_millis(1_000);
        let mut listed = hint(1, false);
        registry.apply(TargetEvent::HostsListed(vec![listed.clone()]), now);
        registry.apply(TargetEvent::Tick, now);
        let up = TargetEvent::LinkUp {
            host: host(1),
            incarnation: incarnation(1),
        };
        registry.apply(up, now);
        registry.apply(describe(1, false), now);
        registry.apply(TargetEvent::DrainAnnounced { host: host(1) }, now);
        registry.apply(TargetEvent::LinkDown { host: host(1) }, now);
        if has_moved {
            listed.address = ([127, 0, 0, 1], 9_999).into();
        }
        let mut dials = 0;
        for _ in 0..400 {
            now = now + TICK;
            let list = TargetEvent::HostsListed(vec![listed.clone()]);
            let mut decisions = registry.apply(list, now);
            decisions.extend(registry.apply(TargetEvent::Tick, now));
            for decision in decisions {
                if let TargetDecision::Dial { host, .. } = decision {
                    dials += u32::from(now > ClockTime::from_millis(60_000));
                    registry.apply(TargetEvent::LinkDown { host }, now);
                }
            }
        }
        assert!(dials > 0, "moved: {has_moved}");
    }
}
