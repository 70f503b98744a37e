//! Targets as one entry sees them, and the choice of a target for a call.
//!
//! [`TargetBoard`] holds the targets of the platform's list with what the entry's own calls showed of them: load,
//! faults and cached prompts. [`placement::place`] chooses a target under a [`PlacementRule`]. Nothing here does I/O or
//! reads a clock.

pub mod admission;
pub mod board;
pub mod fault;
pub mod load;
pub mod options;
pub mod placement;
pub mod prompt;

/// Re-exports the board, its messages and the choice.
pub mod prelude {
    pub use crate::admission::{ProgramAdmission, ProgramGate, service_load};
    pub use crate::board::{
        RunKey, TargetBoard, TargetChange, TargetKey, TargetLife, TargetPhase, TargetRecord,
    };
    pub use crate::fault::TargetFault;
    pub use crate::load::TargetLoad;
    pub use crate::options::{DispatchOptions, PlacementRule};
    pub use crate::placement::{CallShape, place};
    pub use crate::prompt::PromptPart;
}

pub use prelude::*;
