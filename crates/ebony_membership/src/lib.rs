//! Liveness, incarnation and draining of targets and entries.
//!
//! [`TargetRegistry`] tracks side processes and the targets behind them; [`EntryRegistry`] tracks the other entries.
//! Neither performs I/O: both take events with the current time and return decisions for the calling actor, such as
//! which hosts to dial, which links to close, which targets may receive work, and whose calls or sessions are lost.
//!
//! The host list lags, so it is only a hint. A process counts as live because of its link and the incarnation that it
//! reported on it. Suspecting a process grants no rights: a takeover is safe because the old session is sealed, not
//! because a lease expired.

pub mod dial_backoff;
pub mod dialed_link;
pub mod entries;
pub mod host_hint;
pub use ebony_types::rendezvous;
pub mod subset;
pub mod targets;

/// Re-exports the registries, their events and decisions.
pub mod prelude {
    pub use crate::dialed_link::LinkPhase;
    pub use crate::entries::{EntryDecision, EntryEvent, EntryRegistry, SessionStatus};
    pub use crate::host_hint::HostHint;
    pub use crate::subset::{OfferName, SubsetCandidate, SubsetPlanner};
    pub use crate::targets::{
        SidePhase, TargetDecision, TargetEvent, TargetKey, TargetRecord, TargetRegistry,
    };
}

pub use prelude::*;
