//! The limit in force at one target, as its answers show it.

use ebony_types::ClockTime;

use crate::rate::RequestRate;

/// What one answer of a target shows: the target named the rate, or none, at some time between the two.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitObservation {
    /// The rate; `None` if the answer names no limit.
    pub rate: Option<RequestRate>,
    /// When the request was sent.
    pub sent_at: ClockTime,
    /// When the head of the answer arrived.
    pub received_at: ClockTime,
}

/// The effect of an observation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChange {
    /// The target limits its rate now.
    Begun(RequestRate),
    /// The target names another rate.
    Changed {
        /// The rate before.
        before: RequestRate,
        /// The rate in force.
        rate: RequestRate,
    },
    /// The target no longer limits its rate.
    Ended {
        /// The rate before.
        before: RequestRate,
    },
    /// The limit in force was confirmed.
    Confirmed,
    /// The answer is older than the one that the belief comes from, or may be older and names a higher limit.
    Outdated,
}

/// The limit in force at one incarnation of a target.
///
/// Answers arrive out of order, and a target makes its statement at some time between request and answer. An answer
/// whose request was sent after the last one arrived is newer. If the order is unknown, the lower limit is in force
/// until a newer answer arrives.
///
/// ```
/// use ebony_limit::{LimitBelief, LimitChange, LimitObservation, RequestRate};
/// use ebony_types::ClockTime;
///
/// let at = ClockTime::from_millis;
/// let rate = RequestRate::per_second(5.0)?;
/// let named = LimitObservation { rate: Some(rate), sent_at: at(10), received_at: at(30) };
/// let (mut belief, change) = LimitBelief::open(named);
/// assert_eq!(change, LimitChange::Begun(rate));
/// // The target may have answered this request before it named the limit.
/// let earlier = LimitObservation { rate: None, sent_at: at(20), received_at: at(40) };
/// assert_eq!(belief.apply(earlier), LimitChange::Outdated);
/// let later = LimitObservation { rate: None, sent_at: at(30), received_at: at(50) };
/// assert_eq!(belief.apply(later), LimitChange::Ended { before: rate });
/// # Ok::<(), ebony_limit::rate::RateError>(())
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitBelief {
    /// The observation that the belief comes from.
    latest: LimitObservation,
}

impl LimitBelief {
    /// Creates the belief that follows from a first observation.
    pub fn open(observation: LimitObservation) -> (Self, LimitChange) {
        let change = observation
            .rate
            .map_or(LimitChange::Confirmed, LimitChange::Begun);
        (Self { latest: observation }, change)
    }

    /// Returns the limit in force.
    pub fn rate(&self) -> Option<RequestRate> {
        self.latest.rate
    }

    /// Returns the observation that the belief comes from.
    pub fn latest(&self) -> LimitObservation {
        self.latest
    }

    /// Applies an observation.
    pub fn apply(&mut self, observation: LimitObservation) -> LimitChange {
        let (before, rate) = (self.latest.rate, observation.rate);
        let is_newer = observation.sent_at >= self.latest.received_at;
        let is_older = observation.received_at <= self.latest.sent_at;
        if before == rate {
            if observation.received_at > self.latest.received_at {
                self.latest = observation;
            }
            return LimitChange::Confirmed;
        }
        if !is_newer && (is_older || !is_lower(rate, before)) {
            return LimitChange::Outdated;
        }
        self.latest = observation;
        match (before, rate) {
            (None, Some(rate)) => LimitChange::Begun(rate),
            (Some(before), Some(rate)) => LimitChange::Changed { before, rate },
            (Some(before), None) => LimitChange::Ended { before },
            (None, None) => LimitChange::Confirmed,
        }
    }
}

/// Returns whether a limit is lower than another one. No limit is the highest.
fn is_lower(rate: Option<RequestRate>, other: Option<RequestRate>) -> bool {
    match (rate, other) {
        (Some(rate), Some(other)) => rate < other,
        (rate, None) => rate.is_some(),
        (None, Some(_)) => false,
    }
}
