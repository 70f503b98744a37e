//! Routes: which calls they match, and how these are treated.

use std::time::Duration;

use ebony_types::ServiceName;

/// How often a route's calls may run, and whether their answers are streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallSemantics {
    /// The call may run more than once.
    Idempotent,
    /// The call runs at most once.
    AtMostOnce,
    /// The answer is a stream of events.
    Stream {
        /// Whether another target may resume the stream after the last event received.
        is_resumable: bool,
    },
}

impl CallSemantics {
    /// Returns whether a call may be sent again after an attempt that may have run.
    ///
    /// ```
    /// use ebony_routing::CallSemantics;
    ///
    /// assert!(CallSemantics::Idempotent.is_repeatable());
    /// assert!(!CallSemantics::AtMostOnce.is_repeatable());
    /// assert!(!CallSemantics::Stream { is_resumable: false }.is_repeatable());
    /// ```
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { is_resumable: true })
    }

    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// The share of a route's calls that one service gets.
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
    /// How long a stopped program may be resumed, and how long after its end a kept turn may be continued.
    pub retention: Duration,
    /// Whether the system stores the turns, so that a caller sends only the new input and the name of the previous
    /// turn.
    pub keeps_turns: bool,
}

/// A rule that matches calls by host and path prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteRule {
    /// The name, unique in the table.
    pub name: String,
    /// The host that requests are addressed to.
    pub host: String,
    /// The prefix of the request path.
    pub prefix: String,
    /// Whether calls may run more than once, and whether answers are streams.
    pub semantics: CallSemantics,
    /// The longest time from the request to the end of the answer.
    pub timeout: Duration,
    /// The latency objective; for a stream, the time until its first event.
    pub objective: Duration,
    /// The most targets that may run one call. Attempts that certainly did not run it do not count.
    pub max_targets: u32,
    /// The urgency; 0 is the most urgent.
    pub urgency: u8,
    /// The services that share the route's calls.
    pub services: Vec<ServiceShare>,
    /// The rule for agent programs, if the route carries their turns.
    pub program: Option<ProgramRule>,
    /// Whether calls need no key although customers are configured.
    pub is_public: bool,
    /// Whether calls about one object prefer the target that served it before.
    pub is_sticky: bool,
}

impl RouteRule {
    /// Chooses the service for a call by weight. The same `seed` yields the same service while the shares are
    /// unchanged.
    ///
    /// Returns `None` if there is no service or all weights are zero.
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
