//! Target state of one entry, placement of calls and admission of programs.
//!
//! [`TargetBoard`] holds the targets that the platform lists, with the load, failures and cached prompts that the entry
//! observed through its own calls. [`placement::place`] chooses a target by a [`PlacementRule`], and [`ProgramGate`]
//! refuses new programs under overload. The crate does no I/O and reads no clock.

pub mod admission;
pub mod board;
pub mod even_load;
mod expected_time;
pub mod fault;
mod limits;
pub mod load;
mod memory;
pub mod options;
mod past;
pub mod permit_bar;
pub mod placement;
pub mod prompt;
pub mod slowdown;
pub mod speed;
pub mod spread;
mod timing;
pub mod work_admission;

/// Re-exports the board, placement and admission.
pub mod prelude {
    pub use crate::admission::{ProgramAdmission, ProgramGate, service_load};
    pub use crate::board::{
        RunKey, TargetBoard, TargetChange, TargetIncarnation, TargetKey, TargetPhase, TargetRecord,
    };
    pub use crate::even_load::{CallDemand, EvenLoad};
    pub use crate::fault::TargetFault;
    pub use crate::load::TargetLoad;
    pub use crate::options::{AdmissionRule, DispatchOptions, PlacementRule};
    pub use crate::permit_bar::PermitBar;
    pub use crate::placement::{PlacementRequest, VersionRule, place, place_with};
    pub use crate::prompt::PromptPart;
    pub use crate::work_admission::{ProgramRequest, SharedSlots, WorkAdmission, WorkDecision, WorkRefusal};
}

pub use prelude::*;
