//! Replay plan: which step a driver sends at which time.
//!
//! The driver runs a loop: it takes due steps with [`ReplayPlan::take_due`], sends them, and calls
//! [`ReplayPlan::complete`] when a call has ended. In between it waits until [`ReplayPlan::next_due`]. [`prompt`]
//! generates the prompt texts.

mod program_state;
pub mod prompt;
mod replay_plan;
mod step;

pub use replay_plan::{MAX_ATTEMPTS, PlanError, ReplayPlan, Result};
pub use step::{
    DueStep, ModelStep, ParseStepError, ProgramEnd, ProgramOutcome, StepCompletion, StepEnd, StepKey,
    StepKind, ToolStep,
};
