//! The admission of programs.
//!
//! Answers loads above what the engines can carry, where each program that begins delays all others: turns run in batches,
//! late programs are sent again, and with three times the usual traffic hardly any program ends in time. A program that is
//! turned away before its first turn has cost nothing, and those that began go on.

use ebony_types::{ClockTime, ServiceName};

use crate::board::{TargetBoard, TargetPhase};
use crate::options::DispatchOptions;

/// Whether a program may begin.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProgramAdmission {
    /// Its first turn is sent.
    Admitted,
    /// Too many of the engines' slots are taken.
    Refused {
        /// Calls for each slot of the service, as far as known.
        load: f64,
    },
}

/// Decides whether programs of one service may begin.
///
/// ```
/// use ebony_dispatch::{DispatchOptions, ProgramAdmission, ProgramGate};
/// use ebony_types::ClockTime;
///
/// let options = DispatchOptions::default();
/// let start = ClockTime::default();
/// let mut gate = ProgramGate::open(start);
/// // A burst passes, and a load that lasts does not.
/// assert_eq!(gate.admit(1.5, 1, &options, start), ProgramAdmission::Admitted);
/// let later = start + 5 * options.load_memory;
/// assert_eq!(gate.admit(1.5, 1, &options, later), ProgramAdmission::Refused { load: 1.5 });
/// assert_eq!(gate.admit(0.5, 1, &options, later), ProgramAdmission::Admitted);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct ProgramGate {
    /// The load, averaged over the time of [`DispatchOptions::load_memory`].
    mean_load: f64,
    updated_at: ClockTime,
}

impl ProgramGate {
    /// Creates the gate of a service without load.
    pub fn open(now: ClockTime) -> Self {
        Self {
            mean_load: 0.0,
            updated_at: now,
        }
    }

    /// Decides whether a program may begin at a load, by the urgency of its route, 0 being the most urgent. It may not
    /// while the load is high and has been so for some time.
    pub fn admit(
        &mut self,
        load: f64,
        urgency: u8,
        options: &DispatchOptions,
        now: ClockTime,
    ) -> ProgramAdmission {
        let passed = now.since(self.updated_at).as_secs_f64() / options.load_memory.as_secs_f64();
        self.mean_load = load + (self.mean_load - load) * (-passed).exp();
        self.updated_at = now;
        let most = match urgency {
            0 => options.most_urgent_load,
            _ => options.most_program_load,
        };
        if load < most || self.mean_load < most {
            ProgramAdmission::Admitted
        } else {
            ProgramAdmission::Refused { load }
        }
    }
}

/// Returns the calls for each slot of the service's targets, as far as known; 0 without any target.
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
    let (calls, slots) = ready.fold((0.0, 0.0), |(calls, slots), target| {
        let target_slots = f64::from(target.record.slots.max(1));
        (calls + target.load.calls(options, now), slots + target_slots)
    });
    if slots > 0.0 { calls / slots } else { 0.0 }
}
