//! The seeded schedule of faults.

use std::collections::BTreeMap;
use std::time::Duration;

use ebony_fleet::MemberPlace;
use ebony_standins::OutageMode;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Entries of the fleet, one for each failure domain.
pub(crate) const ENTRIES: usize = 3;

/// Engines of the fleet, one for each failure domain.
pub(crate) const ENGINES: usize = 3;

/// Plain services of the fleet.
pub(crate) const SERVICES: usize = 2;

/// Side processes of the fleet: those of engines, then those of services.
pub(crate) const SIDES: usize = ENGINES + SERVICES;

/// Failure domains of the fleet.
pub(crate) const DOMAINS: usize = 3;

/// The time before the first fault, in which programs begin.
const CALM_MS: u64 = 2_000;

/// The time for which a planned stop keeps other faults from its process. A stop has to end the calls under way.
const STOP_MS: u64 = 8_000;

/// Draws of one fault that meet only occupied processes, after which its moment passes without a fault.
const MAX_DRAWS: u32 = 8;

/// What is done to a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FaultKind {
    /// A process is killed and replaced at the end.
    Kill(MemberPlace),
    /// An entry is paused and resumed at the end.
    Pause(usize),
    /// The links of a side process are closed and refused.
    CutLink(usize),
    /// The links of a side process carry nothing.
    FreezeLink(usize),
    /// An entry's connections to the platform are closed and refused.
    CutPlatform(usize),
    /// An entry's connections to the platform carry nothing.
    FreezePlatform(usize),
    /// Table service and object store are out of service.
    Outage(OutageMode),
    /// Table service and object store take this many milliseconds longer.
    SlowPlatform(u64),
    /// The table service loses this many replies of writes.
    LostWrites(u32),
    /// A service loses this many answers after the run.
    LostAnswers(usize, u32),
    /// An engine crashes and comes back at the end.
    EngineCrash(usize),
    /// A service runs calls and does not answer them until the end.
    HungTool(usize),
    /// A process is stopped as planned and replaced.
    Stop(MemberPlace),
    /// All processes are stopped as planned and replaced, one after the other.
    RollAll,
    /// A failure domain is lost and comes back at the end.
    LoseDomain(usize),
    /// This many operators change the configuration at the same moment.
    OperatorRace(usize),
}

impl FaultKind {
    /// Returns `true` for planned changes, which must interrupt nothing.
    pub(crate) fn is_planned(self) -> bool {
        matches!(self, Self::Stop(_) | Self::RollAll | Self::OperatorRace(_))
    }
}

/// A fault with its times since the start of the load.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlannedFault {
    pub(crate) kind: FaultKind,
    pub(crate) start: Duration,
    pub(crate) end: Duration,
}

/// Returns the faults of a seed for a load of the given length, by their start.
pub(crate) fn plan_faults(seed: u64, length: Duration) -> Vec<PlannedFault> {
    let mut source = StdRng::seed_from_u64(seed);
    let mut occupied: BTreeMap<String, u64> = BTreeMap::new();
    let mut faults = Vec::new();
    let length = u64::try_from(length.as_millis()).unwrap_or(u64::MAX);
    let mut now = CALM_MS;
    while now < length {
        for _ in 0..MAX_DRAWS {
            let (kind, lasts) = draw(&mut source);
            let keys = resources(kind);
            let is_free = keys
                .iter()
                .all(|key| occupied.get(key).is_none_or(|until| *until <= now));
            if is_free {
                occupied.extend(keys.into_iter().map(|key| (key, now + lasts)));
                faults.push(PlannedFault {
                    kind,
                    start: Duration::from_millis(now),
                    end: Duration::from_millis((now + lasts).min(length)),
                });
                break;
            }
        }
        // Half of the faults come alone, and half while earlier ones last.
        now += if source.random_bool(0.5) {
            source.random_range(50..700)
        } else {
            source.random_range(1_500..4_000)
        };
    }
    faults
}

/// Draws a fault and how many milliseconds it lasts.
fn draw(source: &mut StdRng) -> (FaultKind, u64) {
    let entry = source.random_range(0..ENTRIES);
    let side = source.random_range(0..SIDES);
    let service = source.random_range(0..SERVICES);
    match source.random_range(0..100) {
        0..9 => (
            FaultKind::Kill(MemberPlace::Entry(entry)),
            source.random_range(100..3_000),
        ),
        9..17 => (
            FaultKind::Kill(MemberPlace::Side(side)),
            source.random_range(100..3_000),
        ),
        17..25 => (FaultKind::Pause(entry), source.random_range(2_500..6_000)),
        25..31 => (FaultKind::CutLink(side), source.random_range(20..2_500)),
        31..37 => (FaultKind::FreezeLink(side), source.random_range(300..4_000)),
        37..42 => (FaultKind::CutPlatform(entry), source.random_range(200..4_000)),
        42..47 => (FaultKind::FreezePlatform(entry), source.random_range(500..4_000)),
        47..53 => (
            FaultKind::Outage(draw_outage(source)),
            source.random_range(500..5_000),
        ),
        53..58 => (
            FaultKind::SlowPlatform(source.random_range(50..600)),
            source.random_range(1_000..5_000),
        ),
        58..64 => (FaultKind::LostWrites(source.random_range(1..6)), 1_500),
        64..69 => (FaultKind::LostAnswers(service, source.random_range(1..4)), 2_000),
        69..75 => (
            FaultKind::EngineCrash(source.random_range(0..ENGINES)),
            source.random_range(200..3_000),
        ),
        75..80 => (FaultKind::HungTool(service), source.random_range(1_000..4_000)),
        80..86 => (FaultKind::Stop(MemberPlace::Entry(entry)), STOP_MS),
        86..91 => (FaultKind::Stop(MemberPlace::Side(side)), STOP_MS),
        91..93 => (FaultKind::RollAll, STOP_MS),
        93..95 => (
            FaultKind::LoseDomain(source.random_range(0..DOMAINS)),
            source.random_range(1_500..5_000),
        ),
        _ => (FaultKind::OperatorRace(source.random_range(2..5)), 0),
    }
}

fn draw_outage(source: &mut StdRng) -> OutageMode {
    match source.random_range(0..3) {
        0 => OutageMode::Refuse,
        1 => OutageMode::Reject,
        _ => OutageMode::Hang,
    }
}

fn place_key(place: MemberPlace) -> String {
    match place {
        MemberPlace::Entry(index) => format!("entry-{index}"),
        MemberPlace::Side(index) => format!("side-{index}"),
    }
}

/// Returns what a fault occupies; two faults at the same moment occupy nothing in common.
fn resources(kind: FaultKind) -> Vec<String> {
    match kind {
        FaultKind::Kill(place) | FaultKind::Stop(place) => vec![place_key(place)],
        FaultKind::Pause(entry) => vec![place_key(MemberPlace::Entry(entry))],
        FaultKind::CutLink(side) | FaultKind::FreezeLink(side) => vec![format!("link-{side}")],
        FaultKind::CutPlatform(entry) | FaultKind::FreezePlatform(entry) => vec![format!("path-{entry}")],
        FaultKind::Outage(_) => vec!["outage".to_owned()],
        FaultKind::SlowPlatform(_) => vec!["latency".to_owned()],
        FaultKind::LostWrites(_) => vec!["writes".to_owned()],
        FaultKind::LostAnswers(service, _) => vec![format!("answers-{service}")],
        FaultKind::HungTool(service) => vec![format!("tool-{service}")],
        FaultKind::EngineCrash(engine) => vec![format!("engine-{engine}")],
        FaultKind::RollAll => {
            let entries = (0..ENTRIES).map(MemberPlace::Entry);
            let sides = (0..SIDES).map(MemberPlace::Side);
            entries.chain(sides).map(place_key).collect()
        }
        FaultKind::LoseDomain(domain) => {
            let sides = (0..SIDES).map(MemberPlace::Side);
            // Engines and services are spread over the failure domains, each from the first one on.
            let sides = sides.filter(|place| domain_of(*place) == domain);
            let mut keys: Vec<String> = sides.map(place_key).collect();
            keys.push(place_key(MemberPlace::Entry(domain)));
            keys.push(format!("engine-{domain}"));
            keys
        }
        FaultKind::OperatorRace(_) => Vec::new(),
    }
}

fn domain_of(place: MemberPlace) -> usize {
    match place {
        MemberPlace::Entry(index) => index % DOMAINS,
        MemberPlace::Side(index) if index < ENGINES => index % DOMAINS,
        MemberPlace::Side(index) => (index - ENGINES) % DOMAINS,
    }
}
