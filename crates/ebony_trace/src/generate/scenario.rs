//! Scenarios that traces are generated for.

use std::fmt;

use crate::generate::arrival::RateCurve;
use crate::generate::shape::{
    AGENT, DELEGATING_AGENT, LONG_SESSION, ProgramShape, SHORT_EXCHANGE, SLOW_TOOL_AGENT,
};

/// A burst of programs from one caller.
#[derive(Clone, Copy, Debug)]
pub(super) struct BurstShape {
    /// Share of all programs that belong to the burst.
    pub(super) share_per_mille: u32,
    pub(super) start_ms: u32,
    pub(super) window_ms: u32,
}

/// The period in which a failure domain is lost.
#[derive(Clone, Copy, Debug)]
pub(super) struct OutageSpan {
    pub(super) lost_ms: u32,
    pub(super) restored_ms: u32,
}

/// The load pattern or failure that a trace exercises.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TraceScenario {
    /// The load of a day, compressed into four minutes: a quiet night, two peaks and an evening.
    OrdinaryDay,
    /// One caller sends half of all programs within a few seconds.
    Burst,
    /// Two callers run sessions of up to 84 turns beside the short exchanges of the others.
    LongBesideShort,
    /// Tools take up to a minute, and some hang until their deadline.
    ToolPauses,
    /// Programs divide their tasks between sub-agents, up to two levels deep.
    SubAgents,
    /// A failure domain is lost under load and comes back later.
    LostDomain,
    /// The load moves from the larger model to the smaller one.
    ModelShift,
}

impl TraceScenario {
    /// Every scenario.
    pub const ALL: [Self; 7] = [
        Self::OrdinaryDay,
        Self::Burst,
        Self::LongBesideShort,
        Self::ToolPauses,
        Self::SubAgents,
        Self::LostDomain,
        Self::ModelShift,
    ];

    /// Returns the name that headers and file names use.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::OrdinaryDay => "ordinary-day",
            Self::Burst => "burst",
            Self::LongBesideShort => "long-beside-short",
            Self::ToolPauses => "tool-pauses",
            Self::SubAgents => "sub-agents",
            Self::LostDomain => "lost-domain",
            Self::ModelShift => "model-shift",
        }
    }

    /// Returns the description that headers contain.
    pub fn description(self) -> &'static str {
        match self {
            Self::OrdinaryDay => {
                "The load of a day within four minutes: a quiet night, two peaks, an evening."
            }
            Self::Burst => {
                "Steady load, and one caller that sends half of all programs within ten seconds. \
                 The others should hardly notice."
            }
            Self::LongBesideShort => {
                "Two callers run sessions of up to 84 turns beside the short exchanges of the others. \
                 Short programs should not wait behind long ones."
            }
            Self::ToolPauses => {
                "Tools take up to a minute, and some hang until their deadline. \
                 It shows whether the cache of a waiting program is kept, exported or wasted."
            }
            Self::SubAgents => "Programs divide their tasks between sub-agents; most wait for them.",
            Self::LostDomain => {
                "Steady load; after 90 s a failure domain is lost with all that runs there, and returns after 170 s."
            }
            Self::ModelShift => {
                "The load moves from the larger model to the smaller one within the middle of the trace, \
                 so that engines have to load another model."
            }
        }
    }

    /// Returns the shape of each caller's programs, by caller index. Callers beyond the list use the last shape.
    pub(super) fn shapes(self) -> &'static [ProgramShape] {
        match self {
            Self::OrdinaryDay | Self::Burst | Self::LostDomain | Self::ModelShift => &[AGENT],
            Self::LongBesideShort => &[
                SHORT_EXCHANGE,
                SHORT_EXCHANGE,
                SHORT_EXCHANGE,
                SHORT_EXCHANGE,
                SHORT_EXCHANGE,
                SHORT_EXCHANGE,
                LONG_SESSION,
            ],
            Self::ToolPauses => &[SLOW_TOOL_AGENT],
            Self::SubAgents => &[DELEGATING_AGENT],
        }
    }

    /// Returns the number of programs, sub-agents excluded. With it, engines are neither idle nor, except in the burst,
    /// overloaded for long, and the file stays under 200 KB. The example `generate` prints the load.
    pub(super) fn arrivals(self) -> u32 {
        match self {
            Self::OrdinaryDay => 230,
            Self::Burst => 180,
            Self::LongBesideShort => 320,
            Self::ToolPauses | Self::LostDomain | Self::ModelShift => 220,
            Self::SubAgents => 60,
        }
    }

    /// Returns the arrival rate.
    pub(super) fn curve(self) -> RateCurve {
        let steady = |window_ms| RateCurve {
            window_ms,
            weights: &[1],
        };
        match self {
            Self::OrdinaryDay => RateCurve {
                window_ms: 240_000,
                weights: &[3, 2, 2, 3, 5, 8, 10, 9, 10, 9, 6, 4],
            },
            Self::Burst | Self::SubAgents => steady(200_000),
            Self::LongBesideShort => steady(160_000),
            Self::ToolPauses => steady(180_000),
            Self::LostDomain | Self::ModelShift => steady(240_000),
        }
    }

    /// Returns the burst, if the scenario has one.
    pub(super) fn burst(self) -> Option<BurstShape> {
        (self == Self::Burst).then_some(BurstShape {
            share_per_mille: 500,
            start_ms: 80_000,
            window_ms: 10_000,
        })
    }

    /// Returns the weights of the larger and the smaller model for a program that arrives at `at_ms`.
    pub(super) fn model_weights(self, at_ms: u32) -> [u32; 2] {
        match (self, at_ms) {
            (Self::ModelShift, 0..80_000) => [85, 15],
            (Self::ModelShift, 80_000..120_000) => [50, 50],
            (Self::ModelShift, _) => [15, 85],
            _ => [60, 40],
        }
    }

    /// Returns the outage of a failure domain, if the scenario has one.
    pub(super) fn outage(self) -> Option<OutageSpan> {
        (self == Self::LostDomain).then_some(OutageSpan {
            lost_ms: 90_000,
            restored_ms: 170_000,
        })
    }
}

impl fmt::Display for TraceScenario {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}
