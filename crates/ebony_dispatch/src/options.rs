//! Options of the choice of a target.

use std::time::Duration;

/// How a target is chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlacementRule {
    /// The target with the fewest of the entry's own calls; ties by a hash of the session. A baseline.
    LeastOwnLoad,
    /// The program's home target, unless it has many more of the entry's own calls than the least loaded one. A
    /// baseline.
    HomeTarget,
    /// The target with the least estimated delay, its own and that of the calls that run there.
    #[default]
    EstimatedDelay,
}

impl PlacementRule {
    /// Returns the rule with this spelling.
    ///
    /// ```
    /// use ebony_dispatch::PlacementRule;
    ///
    /// assert_eq!(PlacementRule::from_name("home_target"), Some(PlacementRule::HomeTarget));
    /// assert_eq!(PlacementRule::from_name("nearest"), None);
    /// ```
    pub fn from_name(name: &str) -> Option<Self> {
        match name {
            "least_own_load" => Some(Self::LeastOwnLoad),
            "home_target" => Some(Self::HomeTarget),
            "estimated_delay" => Some(Self::EstimatedDelay),
            _ => None,
        }
    }
}

/// Options of a [`crate::TargetBoard`] and of [`crate::place`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DispatchOptions {
    /// How a target is chosen.
    pub rule: PlacementRule,
    /// The home target may have this many more of the entry's own calls than the least loaded one.
    pub home_allowance: u32,
    /// Prompt tokens that an engine reads in a millisecond. A start value: 61 and 102 are what the engines of the two
    /// deployments read.
    pub prefill_tokens_per_ms: f64,
    /// The delay of a call in another failure domain, both ways, in milliseconds.
    pub domain_delay_ms: f64,
    /// The time after which half of the load that a target reported for other entries has ended.
    pub report_half_life: Duration,
    /// The expected time of a queued call on a slot, in milliseconds, as a share of the waiting time.
    pub slot_time_ms: f64,
    /// Calls for each slot of a service up to which programs begin. The engines of the two deployments carry twice their
    /// usual traffic below it, with all programs in time.
    pub most_program_load: f64,
    /// The time over which the load of a service is averaged before programs are refused. Engines absorb shorter bursts in
    /// their queues.
    pub load_memory: Duration,
    /// Calls for each slot of a service up to which programs of the most urgent routes begin: above the other bound, so that
    /// these go first, and where calls start to wait for slots.
    pub most_urgent_load: f64,
    /// How long a target is avoided after its first failure in a row. Doubles with each further one.
    pub fault_pause: Duration,
    /// The longest time for which a target is avoided.
    pub most_fault_pause: Duration,
    /// How long a target that turned a call away is avoided.
    pub full_pause: Duration,
}

impl Default for DispatchOptions {
    fn default() -> Self {
        Self {
            rule: PlacementRule::default(),
            home_allowance: 8,
            prefill_tokens_per_ms: 61.0,
            domain_delay_ms: 1.8,
            report_half_life: Duration::from_millis(400),
            slot_time_ms: 250.0,
            most_program_load: 0.9,
            most_urgent_load: 1.0,
            load_memory: Duration::from_secs(4),
            fault_pause: Duration::from_millis(250),
            most_fault_pause: Duration::from_secs(4),
            full_pause: Duration::from_millis(40),
        }
    }
}
