//! Service-level objectives of caller groups.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::counts::{CounterKind, EventCounts};
use crate::label::GroupKey;

/// One million parts per million: all events.
pub const ALL_PPM: u32 = 1_000_000;

/// The maximum number of exceptions in a [`SloCatalog`].
pub const MAX_EXCEPTIONS: usize = 256;

/// The reason why a [`SloCatalog`] is invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum ObjectiveError {
    /// The target share is 100%, which leaves no error budget, or 0%, which requires nothing.
    #[error("{key}: the target of {objective} is {good_ppm} parts per million; it must be 1 to 999999")]
    Share {
        /// The group, or "default".
        key: String,
        /// The objective.
        objective: ObjectiveKind,
        /// The invalid share, in parts per million.
        good_ppm: u32,
    },
    /// Two exceptions name the same group.
    #[error("{0} has two exceptions")]
    Repeated(GroupKey),
    /// The catalog has more than [`MAX_EXCEPTIONS`] exceptions.
    #[error("{0} exceptions; at most {MAX_EXCEPTIONS} are allowed")]
    TooMany(usize),
}

/// The result of checking objectives.
pub type Result<T, E = ObjectiveError> = std::result::Result<T, E>;

/// The kind of a service-level objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ObjectiveKind {
    /// Programs end within a bound.
    ProgramLatency,
    /// First tokens arrive within a bound.
    FirstToken,
    /// Tokens follow each other within a bound.
    TokenInterval,
    /// Accepted calls get a complete answer.
    KeptPromises,
}

impl ObjectiveKind {
    /// All kinds, in the order in which reports list them.
    pub const ALL: [Self; 4] = [
        Self::ProgramLatency,
        Self::FirstToken,
        Self::TokenInterval,
        Self::KeptPromises,
    ];

    /// Returns the display name.
    pub fn title(self) -> &'static str {
        match self {
            Self::ProgramLatency => "program latency",
            Self::FirstToken => "first token",
            Self::TokenInterval => "time between tokens",
            Self::KeptPromises => "kept promises",
        }
    }

    /// Returns the number of good events.
    pub fn good(self, counts: &EventCounts) -> u64 {
        match self {
            Self::ProgramLatency => counts.get(CounterKind::ProgramGood),
            Self::FirstToken => counts.get(CounterKind::FirstTokenGood),
            Self::TokenInterval => counts.get(CounterKind::IntervalGood),
            Self::KeptPromises => counts.get(CounterKind::Answered),
        }
    }

    /// Returns the number of bad events.
    pub fn bad(self, counts: &EventCounts) -> u64 {
        match self {
            Self::ProgramLatency => counts.get(CounterKind::ProgramBad),
            Self::FirstToken => counts.get(CounterKind::FirstTokenBad),
            Self::TokenInterval => counts.get(CounterKind::IntervalBad),
            Self::KeptPromises => CounterKind::BROKEN
                .into_iter()
                .fold(0, |sum, counter| sum.saturating_add(counts.get(counter))),
        }
    }
}

impl fmt::Display for ObjectiveKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.title())
    }
}

/// An upper bound on a latency and the share of events that must be within it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LatencyTarget {
    /// The bound, in milliseconds. An event at the bound is good.
    pub bound_ms: u32,
    /// The share of events within the bound, in parts per million.
    pub good_ppm: u32,
}

impl LatencyTarget {
    /// Returns `true` if `latency` is within the bound.
    pub fn allows(self, latency: Duration) -> bool {
        latency <= Duration::from_millis(u64::from(self.bound_ms))
    }
}

/// The objectives of one caller group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct GroupObjectives {
    /// Time from a program's first call to the end of its last.
    pub program_latency: LatencyTarget,
    /// Time from a model call to its first token.
    pub first_token: LatencyTarget,
    /// Time between two tokens of an answer.
    pub token_interval: LatencyTarget,
    /// The share of accepted calls that must get a complete answer, in parts per million.
    pub kept_promises_ppm: u32,
}

impl Default for GroupObjectives {
    /// Returns the 95th percentile latencies of the design: 0.93 s to the first token and 41 ms between tokens. The
    /// design sets no bound on program latency and no share of kept promises; 60 s for 95% of programs and 99.9% of
    /// calls are assumptions that a deployment should replace.
    fn default() -> Self {
        Self {
            program_latency: LatencyTarget {
                bound_ms: 60_000,
                good_ppm: 950_000,
            },
            first_token: LatencyTarget {
                bound_ms: 930,
                good_ppm: 950_000,
            },
            token_interval: LatencyTarget {
                bound_ms: 41,
                good_ppm: 950_000,
            },
            kept_promises_ppm: 999_000,
        }
    }
}

impl GroupObjectives {
    /// Returns the share of events that must be good, in parts per million.
    pub fn good_ppm(&self, kind: ObjectiveKind) -> u32 {
        self.latency(kind)
            .map_or(self.kept_promises_ppm, |target| target.good_ppm)
    }

    /// Returns the latency target, or `None` if the objective has no latency.
    pub fn latency(&self, kind: ObjectiveKind) -> Option<LatencyTarget> {
        match kind {
            ObjectiveKind::ProgramLatency => Some(self.program_latency),
            ObjectiveKind::FirstToken => Some(self.first_token),
            ObjectiveKind::TokenInterval => Some(self.token_interval),
            ObjectiveKind::KeptPromises => None,
        }
    }

    fn check(&self, key: &dyn fmt::Display) -> Result<()> {
        for objective in ObjectiveKind::ALL {
            let good_ppm = self.good_ppm(objective);
            if !(1..ALL_PPM).contains(&good_ppm) {
                let key = key.to_string();
                return Err(ObjectiveError::Share {
                    key,
                    objective,
                    good_ppm,
                });
            }
        }
        Ok(())
    }
}

/// The objectives of one group, in place of the default.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ObjectiveException {
    /// The group.
    pub key: GroupKey,
    /// Its objectives.
    pub objectives: GroupObjectives,
}

/// The objectives of all groups: a default, and exceptions for single groups.
///
/// ```
/// use ebony_burn::{GroupKey, GroupObjectives, LabelName, ObjectiveException, SloCatalog};
///
/// let key = GroupKey { deployment: LabelName::parse("fanghi")?, group: LabelName::parse("cantieri")? };
/// let objectives = GroupObjectives { kept_promises_ppm: 999_900, ..GroupObjectives::default() };
/// let exceptions = vec![ObjectiveException { key: key.clone(), objectives }];
/// let catalog = SloCatalog { exceptions, ..SloCatalog::default() };
/// assert!(catalog.check().is_ok());
/// assert_eq!(catalog.objectives(&key).kept_promises_ppm, 999_900);
/// # Ok::<(), ebony_types::name::NameError>(())
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct SloCatalog {
    /// The objectives of groups without an exception.
    pub default: GroupObjectives,
    /// Groups that do not use the default, at most [`MAX_EXCEPTIONS`].
    pub exceptions: Vec<ObjectiveException>,
}

impl SloCatalog {
    /// Returns the objectives of a group.
    pub fn objectives(&self, key: &GroupKey) -> GroupObjectives {
        self.exceptions
            .iter()
            .find(|exception| exception.key == *key)
            .map_or(self.default, |exception| exception.objectives)
    }

    /// Checks that every objective leaves an error budget and that no group has two exceptions.
    ///
    /// # Errors
    ///
    /// Returns the first [`ObjectiveError`] found.
    pub fn check(&self) -> Result<()> {
        if self.exceptions.len() > MAX_EXCEPTIONS {
            return Err(ObjectiveError::TooMany(self.exceptions.len()));
        }
        self.default.check(&"default")?;
        for (index, exception) in self.exceptions.iter().enumerate() {
            exception.objectives.check(&exception.key)?;
            let earlier = &self.exceptions[..index];
            if earlier.iter().any(|other| other.key == exception.key) {
                return Err(ObjectiveError::Repeated(exception.key.clone()));
            }
        }
        Ok(())
    }
}
