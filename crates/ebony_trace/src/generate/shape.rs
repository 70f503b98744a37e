//! Shapes of programs: the distributions of their turns, tokens, tools and sub-agents.

use crate::generate::quantile::QuantileTable;

/// How the sub-agents of a program are made.
#[derive(Clone, Copy, Debug)]
pub(super) struct FanOutShape {
    /// Sub-agents that start after the same turn.
    pub(super) children: QuantileTable,
    /// The share of sub-agents that the parent waits for, in per mille.
    pub(super) blocking: u32,
    /// The share of turns with a fan-out, in per mille.
    pub(super) turns: u32,
    /// The programs that the sub-agents run.
    pub(super) child: &'static ProgramShape,
}

/// The distributions of one kind of program.
#[derive(Clone, Copy, Debug)]
pub(super) struct ProgramShape {
    pub(super) turns: QuantileTable,
    /// Tokens that programs of one caller and model share.
    pub(super) shared_tokens: u32,
    /// New prompt tokens of a turn: the request or the result of a tool.
    pub(super) new_tokens: QuantileTable,
    /// Tokens of an answer that calls a tool.
    pub(super) output_tokens: QuantileTable,
    /// Duration of a tool in milliseconds.
    pub(super) pause_ms: QuantileTable,
    /// The share of tools that run at a plain service, in per mille.
    pub(super) routed: u32,
    /// The share of those that must run at most once, in per mille.
    pub(super) once: u32,
    /// The share of those that hang, in per mille.
    pub(super) hung: u32,
    pub(super) fan_out: Option<FanOutShape>,
}

/// Tokens of the last answer of a program; the module documentation cites the median.
pub(super) const FINAL_ANSWER: QuantileTable =
    QuantileTable(&[(0, 10), (500, 129), (900, 300), (990, 500), (1_000, 600)]);

const TOOL_RESULT: QuantileTable =
    QuantileTable(&[(0, 20), (500, 350), (900, 1_600), (990, 4_000), (1_000, 6_000)]);

const TOOL_REQUEST: QuantileTable =
    QuantileTable(&[(0, 10), (500, 55), (900, 130), (990, 260), (1_000, 320)]);

/// An agent that solves one task with several tools.
pub(super) const AGENT: ProgramShape = ProgramShape {
    turns: QuantileTable(&[(0, 1), (500, 6), (900, 13), (990, 24), (1_000, 30)]),
    shared_tokens: 1_500,
    new_tokens: TOOL_RESULT,
    output_tokens: TOOL_REQUEST,
    pause_ms: QuantileTable(&[(0, 50), (500, 700), (900, 3_000), (990, 9_000), (1_000, 12_000)]),
    routed: 300,
    once: 400,
    hung: 0,
    fan_out: None,
};

/// A short exchange of one to three turns.
pub(super) const SHORT: ProgramShape = ProgramShape {
    turns: QuantileTable(&[(0, 1), (600, 1), (601, 2), (900, 2), (901, 3), (1_000, 3)]),
    shared_tokens: 600,
    ..AGENT
};

/// A session up to the 84 turns of the design scale.
pub(super) const LONG: ProgramShape = ProgramShape {
    turns: QuantileTable(&[(0, 40), (500, 60), (1_000, 84)]),
    shared_tokens: 2_000,
    new_tokens: QuantileTable(&[(0, 20), (500, 250), (900, 900), (1_000, 2_500)]),
    output_tokens: QuantileTable(&[(0, 10), (500, 35), (900, 80), (1_000, 150)]),
    pause_ms: QuantileTable(&[(0, 50), (500, 400), (900, 1_200), (1_000, 3_000)]),
    routed: 150,
    ..AGENT
};

/// An agent whose tools take long, and of which some hang.
pub(super) const WAITING: ProgramShape = ProgramShape {
    pause_ms: QuantileTable(&[
        (0, 200),
        (500, 4_000),
        (900, 18_000),
        (990, 45_000),
        (1_000, 60_000),
    ]),
    routed: 400,
    hung: 60,
    ..AGENT
};

/// A sub-agent that looks into one question.
const HELPER: ProgramShape = ProgramShape {
    turns: QuantileTable(&[(0, 1), (500, 3), (1_000, 6)]),
    shared_tokens: 800,
    ..AGENT
};

/// A sub-agent that starts helpers of its own.
const LEADER: ProgramShape = ProgramShape {
    turns: QuantileTable(&[(0, 2), (500, 3), (1_000, 5)]),
    shared_tokens: 800,
    fan_out: Some(FanOutShape {
        children: QuantileTable(&[(0, 1), (1_000, 3)]),
        blocking: 1_000,
        turns: 200,
        child: &HELPER,
    }),
    ..AGENT
};

/// An agent that divides its task between sub-agents.
pub(super) const DIVIDING: ProgramShape = ProgramShape {
    turns: QuantileTable(&[(0, 2), (500, 4), (1_000, 8)]),
    fan_out: Some(FanOutShape {
        children: QuantileTable(&[(0, 2), (500, 3), (1_000, 6)]),
        blocking: 850,
        turns: 350,
        child: &LEADER,
    }),
    ..AGENT
};
