//! What gateways tell each other about the limits of targets.

use std::net::SocketAddr;
use std::time::Duration;

use ebony_dispatch::TargetIncarnation;
use ebony_limit::{LimitObservation, RequestRate};
use ebony_types::{ClockTime, TargetName};
use serde::{Deserialize, Serialize};

/// What an answer of a target showed of its limit. It holds ages instead of times, because gateways have different
/// clocks; a report that arrives late looks newer than it is, until the next answer of the target.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LimitReport {
    /// The target.
    pub target: TargetName,
    /// The start of the incarnation, as in the target's entry in the list.
    pub born: u64,
    /// The target's address.
    pub address: SocketAddr,
    /// The limit; `None` if the target named none.
    pub rate: Option<RequestRate>,
    /// The microseconds since the request was sent.
    pub sent_age_us: u64,
    /// The microseconds since the answer arrived.
    pub received_age_us: u64,
}

impl LimitReport {
    /// Creates the report of an observation.
    pub(crate) fn of(
        target: &TargetName,
        incarnation: TargetIncarnation,
        observation: LimitObservation,
        now: ClockTime,
    ) -> Self {
        let age_us = |time: ClockTime| u64::try_from(now.since(time).as_micros()).unwrap_or(u64::MAX);
        Self {
            target: target.clone(),
            born: incarnation.born,
            address: incarnation.address,
            rate: observation.rate,
            sent_age_us: age_us(observation.sent_at),
            received_age_us: age_us(observation.received_at),
        }
    }

    /// Returns the incarnation of the target.
    pub(crate) fn incarnation(&self) -> TargetIncarnation {
        TargetIncarnation {
            born: self.born,
            address: self.address,
        }
    }

    /// Returns the observation by the receiver's clock.
    pub(crate) fn observation(&self, now: ClockTime) -> LimitObservation {
        let time = |age_us: u64| ClockTime::from_micros(now.as_micros().saturating_sub(age_us));
        LimitObservation {
            rate: self.rate,
            sent_at: time(self.sent_age_us),
            received_at: time(self.received_age_us),
        }
    }
}

/// The answer to a request for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum PermitReply {
    /// The call may be sent after a wait.
    Granted {
        /// The microseconds to wait.
        wait_us: u64,
    },
    /// The next permit is not due within the time that the call may wait.
    Denied {
        /// The microseconds until it is due.
        wait_us: u64,
    },
    /// The asked gateway neither issues permits for the target nor reaches the one that does.
    Unavailable,
}

impl PermitReply {
    pub(crate) fn granted(wait: Duration) -> Self {
        let wait_us = u64::try_from(wait.as_micros()).unwrap_or(u64::MAX);
        Self::Granted { wait_us }
    }

    pub(crate) fn denied(wait: Duration) -> Self {
        let wait_us = u64::try_from(wait.as_micros()).unwrap_or(u64::MAX);
        Self::Denied { wait_us }
    }
}
