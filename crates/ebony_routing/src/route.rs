//! One route.

use std::time::Duration;

use ebony_types::ServiceName;

/// What may be repeated of a route's calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallNature {
    /// The call may run more than once.
    Idempotent,
    /// The call runs at most once.
    AtMostOnce,
    /// The answer is a stream of events.
    Stream {
        /// Whether another target may continue the stream behind its last event.
        is_resumable: bool,
    },
}

impl CallNature {
    /// Returns whether a call that may have run can be sent again.
    ///
    /// ```
    /// use ebony_routing::CallNature;
    ///
    /// assert!(CallNature::Idempotent.is_repeatable());
    /// assert!(!CallNature::AtMostOnce.is_repeatable());
    /// assert!(!CallNature::Stream { is_resumable: false }.is_repeatable());
    /// ```
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { is_resumable: true })
    }

    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service with its share of a route's calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceShare {
    /// The service.
    pub service: ServiceName,
    /// The weight, relative to the route's other services.
    pub weight: u32,
}

/// How a route treats the turns of agent programs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProgramRule {
    /// How long a stopped program may come back, and how long after its end a kept turn may be continued.
    pub retention: Duration,
    /// Whether the system keeps the turns. A turn then carries only its new input and names the turn before it.
    pub keeps_turns: bool,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteRule {
    /// The name, unique in the table.
    pub name: String,
    /// The host that callers name.
    pub host: String,
    /// What the path starts with.
    pub prefix: String,
    /// What may be repeated.
    pub nature: CallNature,
    /// The longest time from the request to the end of its answer.
    pub timeout: Duration,
    /// The latency objective; for a stream, up to its first event.
    pub objective: Duration,
    /// The most targets that may run one call.
    pub most_targets: u32,
    /// The urgency; 0 goes first.
    pub urgency: u8,
    /// The services that serve the route.
    pub services: Vec<ServiceShare>,
    /// The treatment of agent programs, if the route carries their turns.
    pub program: Option<ProgramRule>,
}

impl RouteRule {
    /// Returns the service of a call. The same `seed` yields the same service as long as the shares stay.
    ///
    /// Returns `None` if all weights are zero.
    pub fn service_for(&self, seed: u64) -> Option<&ServiceName> {
        let total: u64 = self.services.iter().map(|share| u64::from(share.weight)).sum();
        let mut point = seed.checked_rem(total)?;
        for share in &self.services {
            let weight = u64::from(share.weight);
            if point < weight {
                return Some(&share.service);
            }
            point -= weight;
        }
        None
    }
}
