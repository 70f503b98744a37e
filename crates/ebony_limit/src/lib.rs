//! Request rates that targets limit, and their division among gateways.
//!
//! A target in need states in its answers how many requests a second it takes from all gateways together.
//! [`LimitBelief`] derives the limit in force from answers that arrive out of order. One gateway issues the permits of a
//! target to all others, which [`division_role`] determines; [`PermitDesk`] issues them at the rate of the limit.
//! [`ReturnSchedule`] spreads the callers that are refused. The crate does no I/O and reads no clock.

pub mod belief;
pub mod bucket;
pub mod desk;
pub mod division;
pub mod quota;
pub mod rate;
pub mod return_schedule;

/// Re-exports the types that gateways use.
pub mod prelude {
    pub use crate::belief::{LimitBelief, LimitChange, LimitObservation};
    pub use crate::bucket::{PermitBucket, PermitDecision};
    pub use crate::desk::{DeskAnswer, LimitedTarget, PermitDesk};
    pub use crate::division::{DivisionRole, LimitPart, PeerState, division_role};
    pub use crate::rate::RequestRate;
    pub use crate::return_schedule::ReturnSchedule;
}

pub use prelude::*;
