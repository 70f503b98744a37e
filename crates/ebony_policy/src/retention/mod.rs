//! Retention: KV cache that is kept, exported, imported and released around tool pauses.
//!
//! The owner learns how long pauses take ([`PauseModel`]) and decides at each turn's end whether the history is worth
//! its memory ([`HoldPlan`]). The side process carries this out and sees to it that nothing stays held for programs
//! that no longer exist ([`HeldTable`]).

mod held_state;
mod held_table;
mod hold_plan;
mod options;
mod pause_model;

pub use self::held_table::{HeldOrder, HeldTable, ListedProgram};
pub use self::hold_plan::{HoldDecision, HoldPlan, MemoryPressure};
pub use self::options::RetentionOptions;
pub use self::pause_model::{PauseHistogram, PauseKind, PauseModel};
