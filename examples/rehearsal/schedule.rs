//! Plans a schedule of faults from a seed.

use std::collections::BTreeMap;
use std::time::Duration;

use ebony_fleet::MemberPlace;
use ebony_standins::OutageMode;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Entries of the fleet, one in each failure domain.
pub(crate) const ENTRY_COUNT: usize = 3;

/// Engines of the fleet, one in each failure domain.
pub(crate) const ENGINE_COUNT: usize = 3;

/// Plain services of the fleet.
pub(crate) const SERVICE_COUNT: usize = 2;

/// Side processes of the fleet, first those of engines and then those of services.
pub(crate) const SIDE_COUNT: usize = ENGINE_COUNT + SERVICE_COUNT;

/// Failure domains of the fleet.
pub(crate) const DOMAIN_COUNT: usize = 3;

/// The delay before the first fault, in which programs start.
const FIRST_FAULT_DELAY_MS: u64 = 2_000;

/// The time for which no other fault is planned for a process that is stopped, since it has to end the calls in flight.
const STOP_RESERVATION_MS: u64 = 8_000;

/// Attempts to draw a fault with free resources. If all fail, no fault is planned for that time.
const MAX_DRAWS: u32 = 8;

/// A fault or a planned change in a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FaultKind {
    /// A process is killed, and replaced at the end of the fault.
    Kill(MemberPlace),
    /// An entry is paused, and resumed at the end of the fault.
    Pause(usize),
    /// The links of a side process are closed and refused.
    CutLink(usize),
    /// The links of a side process transfer no data.
    FreezeLink(usize),
    /// An entry's connections to the platform are closed and refused.
    CutPlatform(usize),
    /// An entry's connections to the platform transfer no data.
    FreezePlatform(usize),
    /// Table service and object store are unavailable.
    Outage(OutageMode),
    /// Table service and object store have this additional latency in milliseconds.
    SlowPlatform(u64),
    /// The table service loses the replies to this many writes.
    LostWrites(u32),
    /// A service completes this many runs and loses their answers.
    LostAnswers(usize, u32),
    /// An engine crashes, and is restarted at the end of the fault.
    EngineCrash(usize),
    /// A service runs calls and does not answer them until the end of the fault.
    HungTool(usize),
    /// A process is stopped gracefully and replaced.
    Stop(MemberPlace),
    /// A rolling restart: all processes are stopped gracefully and replaced, one after the other.
    RollAll,
    /// A failure domain is lost, and restored at the end of the fault.
    LoseDomain(usize),
    /// This many operators change the configuration at the same time.
    OperatorRace(usize),
}

impl FaultKind {
    /// Returns `true` for planned changes, which must not interrupt anything.
    pub(crate) fn is_planned(self) -> bool {
        matches!(self, Self::Stop(_) | Self::RollAll | Self::OperatorRace(_))
    }
}

/// A fault with its start and end, relative to the start of the load.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlannedFault {
    pub(crate) kind: FaultKind,
    pub(crate) start: Duration,
    pub(crate) end: Duration,
}

/// Plans the faults of a seed for a load of the given length, in the order of their start.
pub(crate) fn plan_faults(seed: u64, length: Duration) -> Vec<PlannedFault> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut occupied: BTreeMap<String, u64> = BTreeMap::new();
    let mut faults = Vec::new();
    let length = u64::try_from(length.as_millis()).unwrap_or(u64::MAX);
    let mut now = FIRST_FAULT_DELAY_MS;
    while now < length {
        for _ in 0..MAX_DRAWS {
            let (kind, duration_ms) = draw_fault(&mut rng);
            let keys = occupied_resources(kind);
            let is_free = keys
                .iter()
                .all(|key| occupied.get(key).is_none_or(|until| *until <= now));
            if is_free {
                occupied.extend(keys.into_iter().map(|key| (key, now + duration_ms)));
                faults.push(PlannedFault {
                    kind,
                    start: Duration::from_millis(now),
                    end: Duration::from_millis((now + duration_ms).min(length)),
                });
                break;
            }
        }
        // Half of the faults start while earlier ones last, and the other half start alone.
        now += if rng.random_bool(0.5) {
            rng.random_range(50..700)
        } else {
            rng.random_range(1_500..4_000)
        };
    }
    faults
}

/// Draws a fault and its duration in milliseconds.
fn draw_fault(rng: &mut StdRng) -> (FaultKind, u64) {
    let entry = rng.random_range(0..ENTRY_COUNT);
    let side = rng.random_range(0..SIDE_COUNT);
    let service = rng.random_range(0..SERVICE_COUNT);
    match rng.random_range(0..100) {
        0..9 => (
            FaultKind::Kill(MemberPlace::Entry(entry)),
            rng.random_range(100..3_000),
        ),
        9..17 => (
            FaultKind::Kill(MemberPlace::Side(side)),
            rng.random_range(100..3_000),
        ),
        17..25 => (FaultKind::Pause(entry), rng.random_range(2_500..6_000)),
        25..31 => (FaultKind::CutLink(side), rng.random_range(20..2_500)),
        31..37 => (FaultKind::FreezeLink(side), rng.random_range(300..4_000)),
        37..42 => (FaultKind::CutPlatform(entry), rng.random_range(200..4_000)),
        42..47 => (FaultKind::FreezePlatform(entry), rng.random_range(500..4_000)),
        47..53 => (FaultKind::Outage(draw_outage(rng)), rng.random_range(500..5_000)),
        53..58 => (
            FaultKind::SlowPlatform(rng.random_range(50..600)),
            rng.random_range(1_000..5_000),
        ),
        58..64 => (FaultKind::LostWrites(rng.random_range(1..6)), 1_500),
        64..69 => (FaultKind::LostAnswers(service, rng.random_range(1..4)), 2_000),
        69..75 => (
            FaultKind::EngineCrash(rng.random_range(0..ENGINE_COUNT)),
            rng.random_range(200..3_000),
        ),
        75..80 => (FaultKind::HungTool(service), rng.random_range(1_000..4_000)),
        80..86 => (FaultKind::Stop(MemberPlace::Entry(entry)), STOP_RESERVATION_MS),
        86..91 => (FaultKind::Stop(MemberPlace::Side(side)), STOP_RESERVATION_MS),
        91..93 => (FaultKind::RollAll, STOP_RESERVATION_MS),
        93..95 => (
            FaultKind::LoseDomain(rng.random_range(0..DOMAIN_COUNT)),
            rng.random_range(1_500..5_000),
        ),
        _ => (FaultKind::OperatorRace(rng.random_range(2..5)), 0),
    }
}

fn draw_outage(rng: &mut StdRng) -> OutageMode {
    match rng.random_range(0..3) {
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

/// Returns the resources that a fault occupies. Faults at the same time never share a resource.
fn occupied_resources(kind: FaultKind) -> Vec<String> {
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
            let entries = (0..ENTRY_COUNT).map(MemberPlace::Entry);
            let sides = (0..SIDE_COUNT).map(MemberPlace::Side);
            entries.chain(sides).map(place_key).collect()
        }
        FaultKind::LoseDomain(domain) => {
            let sides = (0..SIDE_COUNT).map(MemberPlace::Side);
            // Engines and services are each distributed over the failure domains in turn, from the first one on.
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
        MemberPlace::Entry(index) => index % DOMAIN_COUNT,
        MemberPlace::Side(index) if index < ENGINE_COUNT => index % DOMAIN_COUNT,
        MemberPlace::Side(index) => (index - ENGINE_COUNT) % DOMAIN_COUNT,
    }
}
