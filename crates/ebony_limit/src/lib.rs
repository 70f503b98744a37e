//! Request rates that targets limit, and their division among gateways.
//!
//! A target in need states in its answers how many requests a second it takes from all gateways together.
//! [`LimitBelief`] derives the limit in force from answers that arrive out of order. The crate does no I/O and reads no
//! clock.

pub mod belief;
pub mod rate;

/// Re-exports the types that gateways use.
pub mod prelude {
    pub use crate::belief::{LimitBelief, LimitChange, LimitObservation};
    pub use crate::rate::RequestRate;
}

pub use prelude::*;
