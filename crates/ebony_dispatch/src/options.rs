//! Options of placement and admission.

use std::time::Duration;

/// The algorithm that chooses a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlacementRule {
    /// The target with the fewest of the entry's own calls; ties are broken by a hash of the call's affinity. A
    /// baseline for comparisons.
    LeastOwnLoad,
    /// The program's home target, which rendezvous hashing of its affinity selects, unless it has many more of the
    /// entry's own calls than the least loaded one. A baseline for comparisons.
    HomeTarget,
    /// The target with the least estimated delay, counting the call's own delay and the one that it causes to the calls
    /// running there.
    #[default]
    EstimatedDelay,
}

impl PlacementRule {
    /// Parses the name of a rule; `None` if it is unknown.
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
    /// The algorithm that chooses a target.
    pub rule: PlacementRule,
    /// How many more of the entry's own calls than the least loaded target the home target may have.
    pub home_extra_calls: u32,
    /// Prompt tokens that an engine prefills in a millisecond. The default is the slower of the two deployments, whose
    /// engines prefill 61 and 102.
    pub prefill_tokens_per_ms: f64,
    /// The round-trip delay of a call to another failure domain, in milliseconds.
    pub domain_delay_ms: f64,
    /// The half-life of the load of other entries, as last reported by a target.
    pub report_half_life: Duration,
    /// The estimated time for which a queued call occupies a slot, in milliseconds. Queue delay is a multiple of it.
    pub slot_time_ms: f64,
    /// The estimated time by which a call about an object takes longer at another target than at the one that serves the
    /// object, in milliseconds. The default is above the costs of a target whose slots are taken and that is in another
    /// failure domain (about 5 ms), and below that of one queued call (31 to 42 ms at 8 to 6 slots), so that the
    /// preference gives way to queues only.
    pub object_delay_ms: f64,
    /// The load of a service, in calls per slot, from which on programs are refused. The engines of the two deployments
    /// stay below it at twice their usual traffic, with all programs finishing in time.
    pub max_program_load: f64,
    /// The time constant of the average of a service's load. Programs are refused only if the average is high too,
    /// because engines absorb shorter bursts in their queues.
    pub load_time_constant: Duration,
    /// The load of a service, in calls per slot, from which on programs of the most urgent routes are refused. It is
    /// above [`Self::max_program_load`], so that these programs take precedence, and is the load at which calls start
    /// to queue.
    pub max_urgent_load: f64,
    /// How long a target is avoided after a first failure. The time doubles with each consecutive failure.
    pub first_failure_backoff: Duration,
    /// The longest time for which a target is avoided after failures.
    pub max_failure_backoff: Duration,
    /// How long a target is avoided after it rejected a call because it was full.
    pub full_target_backoff: Duration,
}

impl Default for DispatchOptions {
    fn default() -> Self {
        Self {
            rule: PlacementRule::default(),
            home_extra_calls: 8,
            prefill_tokens_per_ms: 61.0,
            domain_delay_ms: 1.8,
            report_half_life: Duration::from_millis(400),
            slot_time_ms: 250.0,
            object_delay_ms: 10.0,
            max_program_load: 0.9,
            max_urgent_load: 1.0,
            load_time_constant: Duration::from_secs(4),
            first_failure_backoff: Duration::from_millis(250),
            max_failure_backoff: Duration::from_secs(4),
            full_target_backoff: Duration::from_millis(40),
        }
    }
}
