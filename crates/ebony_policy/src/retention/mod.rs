//! Retention: keeps, exports, imports and releases KV cache around tool pauses.
//!
//! The owner learns the length of pauses ([`PauseModel`]) and decides at the end of each turn whether the KV cache is
//! held ([`HoldPlan`]). The side process carries this out and ensures that no KV cache stays held for programs that no
//! longer exist ([`HeldTable`]).

mod held_state;
mod held_table;
mod hold_plan;
mod options;
mod pause_model;

pub use self::held_table::{HeldOrder, HeldTable, ListedProgram};
pub use self::hold_plan::{HoldDecision, HoldPlan, MemoryPressure};
pub use self::options::RetentionOptions;
pub use self::pause_model::{PauseHistogram, PauseKind, PauseModel};
