//! Admission control for programs.
//!
//! Above the capacity of the engines, each program that starts delays all others: turns run in batches, callers retry
//! late programs, and at three times the usual traffic hardly any program finishes in time. New programs are therefore
//! refused before their first turn, when they have cost nothing yet. Programs that have started are not refused.

use ebony_types::{ClockTime, ServiceName};

use crate::board::{TargetBoard, TargetEntry, TargetPhase};
use crate::options::DispatchOptions;

/// Whether a program may start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProgramAdmission {
    /// The program may send its first turn.
    Admitted,
    /// The service is overloaded.
    Refused {
        /// The estimated load of the service, in calls per slot.
        load: f64,
    },
}

/// Decides whether programs of one service may start.
///
/// ```
/// use ebony_dispatch::{DispatchOptions, ProgramAdmission, ProgramGate};
/// use ebony_types::ClockTime;
///
/// let options = DispatchOptions::default();
/// let start = ClockTime::default();
/// let mut gate = ProgramGate::open(start);
/// // A short burst is admitted, a lasting load is not.
/// assert_eq!(gate.admit(1.5, 1, &options, start), ProgramAdmission::Admitted);
/// let later = start + 5 * options.load_time_constant;
/// assert_eq!(gate.admit(1.5, 1, &options, later), ProgramAdmission::Refused { load: 1.5 });
/// assert_eq!(gate.admit(0.5, 1, &options, later), ProgramAdmission::Admitted);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct ProgramGate {
    /// The exponential average of the load, with [`DispatchOptions::load_time_constant`].
    mean_load: f64,
    updated_at: ClockTime,
}

impl ProgramGate {
    /// Creates the gate of an idle service.
    pub fn open(now: ClockTime) -> Self {
        Self {
            mean_load: 0.0,
            updated_at: now,
        }
    }

    /// Decides whether a program may start at a load in calls per slot.
    ///
    /// It is refused if both the load and its average reach the limit for the urgency of its route; 0 is the most
    /// urgent.
    pub fn admit(
        &mut self,
        load: f64,
        urgency: u8,
        options: &DispatchOptions,
        now: ClockTime,
    ) -> ProgramAdmission {
        let elapsed = now.since(self.updated_at).as_secs_f64() / options.load_time_constant.as_secs_f64();
        self.mean_load = load + (self.mean_load - load) * (-elapsed).exp();
        self.updated_at = now;
        let limit = match urgency {
            0 => options.max_urgent_load,
            _ => options.max_program_load,
        };
        if load < limit || self.mean_load < limit {
            ProgramAdmission::Admitted
        } else {
            ProgramAdmission::Refused { load }
        }
    }
}

/// The load of the targets without a limit, beside targets that limit their rate, that counts like a load of 1. The calls
/// that limited targets do not take pass through these targets, which serve them in somewhat longer time.
const UNLIMITED_LOAD: f64 = 1.6;

/// Returns the estimated load of a service, in calls per slot of its ready targets; 0 if it has none.
///
/// The slots of targets that limit their rate stay partly free, so that the load of the other targets counts if it is
/// much higher.
///
/// ```
/// use ebony_dispatch::{DispatchOptions, TargetBoard, service_load};
/// use ebony_types::{ClockTime, ServiceName};
///
/// let models = ServiceName::parse("models")?;
/// let load = service_load(&TargetBoard::default(), &models, &DispatchOptions::default(), ClockTime::default());
/// assert_eq!(load, 0.0);
/// # Ok::<(), ebony_types::name::NameError>(())
/// ```
pub fn service_load(
    board: &TargetBoard,
    service: &ServiceName,
    options: &DispatchOptions,
    now: ClockTime,
) -> f64 {
    let targets = board.targets().map(|(_, target)| target);
    let ready = targets
        .filter(|target| target.record.service == *service && target.record.phase == TargetPhase::Ready);
    let (limited, unlimited): (Vec<_>, Vec<_>) = ready.partition(|target| target.limit.is_some());
    let unlimited = LoadSum::of(&unlimited, options, now);
    if limited.is_empty() {
        return unlimited.per_slot();
    }
    let all = LoadSum::of(&limited, options, now).plus(unlimited);
    all.per_slot().max(unlimited.per_slot() / UNLIMITED_LOAD)
}

/// The calls and the slots of some targets.
#[derive(Clone, Copy, Debug, Default)]
struct LoadSum {
    calls: f64,
    slots: f64,
}

impl LoadSum {
    fn of(targets: &[&TargetEntry], options: &DispatchOptions, now: ClockTime) -> Self {
        let sums = targets.iter().map(|target| Self {
            calls: target.load.calls(options, now),
            slots: f64::from(target.record.slots.max(1)),
        });
        sums.fold(Self::default(), Self::plus)
    }

    fn plus(self, other: Self) -> Self {
        Self {
            calls: self.calls + other.calls,
            slots: self.slots + other.slots,
        }
    }

    fn per_slot(self) -> f64 {
        if self.slots > 0.0 {
            self.calls / self.slots
        } else {
            0.0
        }
    }
}
