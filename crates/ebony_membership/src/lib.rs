//! Liveness, incarnation and draining of targets and entries.
//!
//! [`TargetRegistry`] tracks side processes and the targets behind them; [`EntryRegistry`] tracks the other entries.
//! Both take events with the current time and return decisions for a shell: which hosts to dial, which links to hang
//! up, which targets may receive work, and whose calls or sessions are lost.
//!
//! The host list is a hint and lags. Evidence of liveness is a link and the incarnation of the process behind it.
//! Suspicion never grants a right by itself: a takeover is safe because of sealing, not because of a lease.

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
    pub use crate::entries::{EntryDecision, EntryEvent, EntryRegistry, SessionStanding};
    pub use crate::host_hint::HostHint;
    pub use crate::subset::{OfferName, SubsetCandidate, SubsetPlanner};
    pub use crate::targets::{
        SidePhase, TargetDecision, TargetEvent, TargetKey, TargetRecord, TargetRegistry,
    };
}

pub use prelude::*;
