//! State of a program during a replay.

use ebony_types::ClockTime;

use crate::plan::step::StepKind;

/// Progress of a program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProgramPhase {
    /// It has not arrived, or its parent has not started it.
    NotStarted,
    /// A call is queued until its due time.
    Scheduled(StepKind),
    /// A call was sent and has not ended.
    InFlight(StepKind),
    /// It waits for a tool on the caller's side, for blocking sub-agents, or for both.
    BetweenTurns,
    /// It has ended.
    Ended,
}

/// The state of one program.
#[derive(Clone, Copy, Debug)]
pub(super) struct ProgramState {
    pub(super) phase: ProgramPhase,
    pub(super) turn: usize,
    /// Number of times that the current call was sent.
    pub(super) attempts: u8,
    pub(super) first_call: Option<ClockTime>,
    /// Whether the tool of the current turn is still running.
    pub(super) has_open_tool: bool,
    /// Blocking sub-agents that have not ended.
    pub(super) open_children: usize,
}

impl ProgramState {
    pub(super) const NOT_STARTED: Self = Self {
        phase: ProgramPhase::NotStarted,
        turn: 0,
        attempts: 0,
        first_call: None,
        has_open_tool: false,
        open_children: 0,
    };
}
