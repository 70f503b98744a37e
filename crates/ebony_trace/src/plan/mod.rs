//! What a driver sends when, and how it reports what became of it.
//!
//! The driver loops: it takes due steps with [`ReplayPlan::take_due`], sends them, and calls [`ReplayPlan::complete`]
//! when a call has ended; between these it waits until [`ReplayPlan::next_due`]. [`prompt`] makes the texts to send.

mod program_state;
pub mod prompt;
mod replay_plan;
mod step;

pub use replay_plan::{MAX_ATTEMPTS, PlanError, ReplayPlan, Result};
pub use step::{
    DueStep, ModelStep, ParseStepError, ProgramEnd, ProgramOutcome, StepCompletion, StepEnd, StepKey,
    StepKind, ToolStep,
};
