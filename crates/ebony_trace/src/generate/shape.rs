//! Program shapes: the distributions of turns, tokens, tools and sub-agents.

use crate::generate::quantile::QuantileTable;

/// Distributions of the sub-agents of a program.
#[derive(Clone, Copy, Debug)]
pub(super) struct FanOutShape {
    /// Number of sub-agents that start after the same turn.
    pub(super) children: QuantileTable,
    /// Share of sub-agents that the parent waits for.
    pub(super) blocking_per_mille: u32,
    /// Share of turns that start sub-agents.
    pub(super) chance_per_mille: u32,
    /// Shape of the sub-agents.
    pub(super) child: &'static ProgramShape,
}

/// Distributions of one kind of program.
#[derive(Clone, Copy, Debug)]
pub(super) struct ProgramShape {
    pub(super) turns: QuantileTable,
    /// Prompt tokens that programs of one caller and model share.
    pub(super) shared_tokens: u32,
    /// New prompt tokens of a turn: the user's request or a tool result.
    pub(super) new_tokens: QuantileTable,
    /// Tokens of an answer that calls a tool.
    pub(super) output_tokens: QuantileTable,
    /// Duration of a tool in milliseconds.
    pub(super) pause_ms: QuantileTable,
    /// Share of tools that run at a plain service.
    pub(super) routed_per_mille: u32,
    /// Share of service calls that must run at most once.
    pub(super) runs_once_per_mille: u32,
    /// Share of service calls that hang.
    pub(super) hung_per_mille: u32,
    pub(super) fan_out: Option<FanOutShape>,
}

/// Tokens of the last answer of a program. The documentation of [`crate::generate`] cites the source of the median.
pub(super) const FINAL_ANSWER: QuantileTable =
    QuantileTable(&[(0, 10), (500, 129), (900, 300), (990, 500), (1_000, 600)]);

/// Tokens of the request or tool result that a turn adds to the prompt.
const TOOL_RESULT: QuantileTable =
    QuantileTable(&[(0, 20), (500, 350), (900, 1_600), (990, 4_000), (1_000, 6_000)]);

/// Tokens of an answer that calls a tool.
const TOOL_REQUEST: QuantileTable =
    QuantileTable(&[(0, 10), (500, 55), (900, 130), (990, 260), (1_000, 320)]);

/// An agent that solves one task with several tools.
pub(super) const AGENT: ProgramShape = ProgramShape {
    turns: QuantileTable(&[(0, 1), (500, 6), (900, 13), (990, 24), (1_000, 30)]),
    shared_tokens: 1_500,
    new_tokens: TOOL_RESULT,
    output_tokens: TOOL_REQUEST,
    pause_ms: QuantileTable(&[(0, 50), (500, 700), (900, 3_000), (990, 9_000), (1_000, 12_000)]),
    routed_per_mille: 300,
    runs_once_per_mille: 400,
    hung_per_mille: 0,
    fan_out: None,
};

/// A short exchange of one to three turns.
pub(super) const SHORT_EXCHANGE: ProgramShape = ProgramShape {
    turns: QuantileTable(&[(0, 1), (600, 1), (601, 2), (900, 2), (901, 3), (1_000, 3)]),
    shared_tokens: 600,
    ..AGENT
};

/// A session of 40 to 84 turns; the design scale has 84.
pub(super) const LONG_SESSION: ProgramShape = ProgramShape {
    turns: QuantileTable(&[(0, 40), (500, 60), (1_000, 84)]),
    shared_tokens: 2_000,
    new_tokens: QuantileTable(&[(0, 20), (500, 250), (900, 900), (1_000, 2_500)]),
    output_tokens: QuantileTable(&[(0, 10), (500, 35), (900, 80), (1_000, 150)]),
    pause_ms: QuantileTable(&[(0, 50), (500, 400), (900, 1_200), (1_000, 3_000)]),
    routed_per_mille: 150,
    ..AGENT
};

/// An agent whose tools take up to a minute, some of which hang.
pub(super) const SLOW_TOOL_AGENT: ProgramShape = ProgramShape {
    pause_ms: QuantileTable(&[
        (0, 200),
        (500, 4_000),
        (900, 18_000),
        (990, 45_000),
        (1_000, 60_000),
    ]),
    routed_per_mille: 400,
    hung_per_mille: 60,
    ..AGENT
};

/// A sub-agent that works on one question alone.
const SUB_AGENT: ProgramShape = ProgramShape {
    turns: QuantileTable(&[(0, 1), (500, 3), (1_000, 6)]),
    shared_tokens: 800,
    ..AGENT
};

/// A sub-agent that starts sub-agents of its own.
const DELEGATING_SUB_AGENT: ProgramShape = ProgramShape {
    turns: QuantileTable(&[(0, 2), (500, 3), (1_000, 5)]),
    shared_tokens: 800,
    fan_out: Some(FanOutShape {
        children: QuantileTable(&[(0, 1), (1_000, 3)]),
        blocking_per_mille: 1_000,
        chance_per_mille: 200,
        child: &SUB_AGENT,
    }),
    ..AGENT
};

/// An agent that divides its task among sub-agents.
pub(super) const DELEGATING_AGENT: ProgramShape = ProgramShape {
    turns: QuantileTable(&[(0, 2), (500, 4), (1_000, 8)]),
    fan_out: Some(FanOutShape {
        children: QuantileTable(&[(0, 2), (500, 3), (1_000, 6)]),
        blocking_per_mille: 850,
        chance_per_mille: 350,
        child: &DELEGATING_SUB_AGENT,
    }),
    ..AGENT
};
