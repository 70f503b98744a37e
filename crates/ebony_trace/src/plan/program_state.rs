//! Where a program stands in a replay.

use ebony_types::ClockTime;

use crate::plan::step::StepKind;

/// What a program waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProgramPhase {
    /// Its start.
    Waiting,
    /// The time to send a call.
    Scheduled(StepKind),
    /// The end of a call.
    Sent(StepKind),
    /// The end of a tool at the caller, of sub-agents, or of both.
    Pausing,
    /// Nothing.
    Ended,
}

/// The state of one program.
#[derive(Clone, Copy, Debug)]
pub(super) struct ProgramState {
    pub(super) phase: ProgramPhase,
    pub(super) turn: usize,
    /// How often the current call was sent.
    pub(super) attempts: u8,
    pub(super) first_call: Option<ClockTime>,
    /// Whether the tool of the turn is not done.
    pub(super) has_open_tool: bool,
    /// Blocking sub-agents that have not ended.
    pub(super) open_children: usize,
}

impl ProgramState {
    pub(super) const WAITING: Self = Self {
        phase: ProgramPhase::Waiting,
        turn: 0,
        attempts: 0,
        first_call: None,
        has_open_tool: false,
        open_children: 0,
    };
}
