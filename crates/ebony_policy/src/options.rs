//! Options of the whole policy, with a switch for every mechanism, and named policies including the baselines.

use serde::{Deserialize, Serialize};

use crate::admission::AdmissionOptions;
use crate::cache_model::CacheOptions;
use crate::loading::LoadingOptions;
use crate::placement::{PlacementOptions, PlacementRule};
use crate::queue::{QueueOptions, QueueOrder};
use crate::retention::RetentionOptions;
use crate::retry::RetryOptions;
use crate::speed::EngineSpeed;

/// Maximum number of targets that placement samples in a failure domain.
const MAX_SAMPLES: usize = 7;

/// Why options are invalid.
#[derive(Clone, Debug, PartialEq)]
#[derive(thiserror::Error)]
pub enum OptionsError {
    /// A number is out of range.
    #[error("{field} is out of range: {reason}")]
    OutOfRange {
        /// The path of the option.
        field: &'static str,
        /// The valid range.
        reason: &'static str,
    },
}

/// The result of validating options.
pub type Result<T, E = OptionsError> = std::result::Result<T, E>;

/// The name of a complete policy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PolicyName {
    /// All mechanisms.
    #[default]
    Ebonyswitch,
    /// Round-robin placement, first come first served queueing, no admission control and no retention.
    RoundRobin,
    /// Placement on the target with the fewest calls; the rest as in `RoundRobin`.
    LeastOutstanding,
    /// Placement on the program's last target; the rest as in `LeastOutstanding`. A reference, not a baseline.
    LastTarget,
    /// All mechanisms, but with first come first served queueing of calls.
    FirstComeFirstServed,
}

/// Options of all decisions.
///
/// ```
/// use ebony_policy::options::{PolicyName, PolicyOptions};
/// use ebony_policy::placement::PlacementRule;
///
/// let options = PolicyOptions::named(PolicyName::RoundRobin);
/// assert_eq!(options.placement.rule, PlacementRule::RoundRobin);
/// assert!(!options.admission.enabled);
/// assert_eq!(PolicyOptions::default().latency_weight, 0.5);
/// ```
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PolicyOptions {
    /// Weight of program latency against wasted cache: 0 favours little wasted cache most, 1 favours low latency most.
    pub latency_weight: f64,
    /// Speed of the engines.
    pub speed: EngineSpeed,
    /// Call queue of the side process.
    pub queue: QueueOptions,
    /// Placement.
    pub placement: PlacementOptions,
    /// Prefix cache model.
    pub cache: CacheOptions,
    /// Retention of KV cache.
    pub retention: RetentionOptions,
    /// Admission control.
    pub admission: AdmissionOptions,
    /// Retries and hedging.
    pub retry: RetryOptions,
    /// Model loading.
    pub loading: LoadingOptions,
}

impl Default for PolicyOptions {
    fn default() -> Self {
        Self {
            latency_weight: 0.5,
            speed: EngineSpeed::default(),
            queue: QueueOptions::default(),
            placement: PlacementOptions::default(),
            cache: CacheOptions::default(),
            retention: RetentionOptions::default(),
            admission: AdmissionOptions::default(),
            retry: RetryOptions::default(),
            loading: LoadingOptions::default(),
        }
    }
}

impl PolicyOptions {
    /// Returns the options of a named policy.
    pub fn named(name: PolicyName) -> Self {
        let mut options = Self::default();
        match name {
            PolicyName::Ebonyswitch => {}
            PolicyName::FirstComeFirstServed => options.queue.order = QueueOrder::FirstComeFirstServed,
            PolicyName::RoundRobin => options.make_baseline(PlacementRule::RoundRobin),
            PolicyName::LeastOutstanding => options.make_baseline(PlacementRule::LeastOutstanding),
            PolicyName::LastTarget => options.make_baseline(PlacementRule::LastTarget),
        }
        options
    }

    /// Checks the ranges of all options.
    ///
    /// # Errors
    ///
    /// Returns the first [`OptionsError`].
    pub fn validate(&self) -> Result<()> {
        let checks = [
            (
                (0.0..=1.0).contains(&self.latency_weight),
                "latency_weight",
                "0 to 1",
            ),
            (
                self.speed.prefill_tokens_per_second >= 1.0,
                "speed.prefill_tokens_per_second",
                "at least 1",
            ),
            (
                self.speed.step_base_ms >= 0.0 && self.speed.step_per_call_ms >= 0.0,
                "speed.step_base_ms and speed.step_per_call_ms",
                "at least 0",
            ),
            (
                (1..=1_048_576).contains(&self.queue.capacity),
                "queue.capacity",
                "1 to 1,048,576",
            ),
            (
                (1..=MAX_SAMPLES).contains(&self.placement.samples),
                "placement.samples",
                "1 to 7",
            ),
            (
                (0.0..=1.0).contains(&self.cache.trust_per_lost_event),
                "cache.trust_per_lost_event",
                "0 to 1",
            ),
            (
                (1..=65_536).contains(&self.cache.programs_per_target),
                "cache.programs_per_target",
                "1 to 65,536",
            ),
            (
                (1..=65_536).contains(&self.retention.held_programs),
                "retention.held_programs",
                "1 to 65,536",
            ),
            (
                self.retention.pause_kinds <= 65_536,
                "retention.pause_kinds",
                "at most 65,536",
            ),
            (self.retention.repeat_ms >= 1, "retention.repeat_ms", "at least 1"),
            (
                (1..=self.admission.max_limit).contains(&self.admission.min_limit),
                "admission.min_limit",
                "1 to admission.max_limit",
            ),
            (
                self.admission.waiting_places <= 1_048_576,
                "admission.waiting_places",
                "at most 1,048,576",
            ),
            (
                self.retry.share_percent <= 100,
                "retry.share_percent",
                "at most 100",
            ),
            (
                self.loading.low_share < self.loading.high_share,
                "loading.low_share",
                "below loading.high_share",
            ),
        ];
        match checks.into_iter().find(|(is_valid, _, _)| !is_valid) {
            Some((_, field, reason)) => Err(OptionsError::OutOfRange { field, reason }),
            None => Ok(()),
        }
    }

    fn make_baseline(&mut self, rule: PlacementRule) {
        self.placement.rule = rule;
        self.queue.order = QueueOrder::FirstComeFirstServed;
        self.queue.fair_share = false;
        self.queue.early_refusal = false;
        self.queue.bypass_calls = 0;
        self.cache.enabled = false;
        self.retention.keep = false;
        self.retention.export = false;
        self.retention.release_ended = false;
        self.admission.enabled = false;
        self.retry.hedging = false;
    }
}
