//! Ownership of programs: sessions, shards, journal, recovery, order, budgets and intents.
//!
//! The crate takes events and the current time and returns actions. It has no clock, socket or thread, and its
//! randomness is seeded, so that its output depends only on its inputs.
//!
//! The guarantees, and the modules that implement them:
//!
//! - The calls of a program run in order, one at a time: [`program::queue`].
//! - No change takes effect before its record is durable: [`journal`] and [`OwnerCore`].
//! - Budgets limit a program and its ancestors, also across a failover: [`budget`].
//! - A call with an idempotency key is dispatched at most once: [`intent`].
//! - An owner that was paused while another session took over its shards cannot complete anything afterwards, because
//!   its journal is sealed: [`takeover`].

pub mod action;
pub mod budget;
pub mod call;
pub mod codec;
pub mod event;
pub mod intent;
pub mod journal;
mod owner_core;
pub mod program;
mod retry;
pub mod session;
pub mod settings;
pub mod shard;
pub mod storage;
pub mod takeover;
pub mod timer;
pub mod wall_time;

/// The types that a shell needs.
pub mod prelude {
    pub use crate::action::OwnerAction;
    pub use crate::event::OwnerEvent;
    pub use crate::intent::one_call_program;
    pub use crate::journal::{AppendOutcome, AppendRow, BodyPlace};
    pub use crate::owner_core::{OwnerCore, OwnerReport};
    pub use crate::program::{HistoryPlan, MessageList, TurnBody, assemble_history};
    pub use crate::session::{LiveSession, preferred_session};
    pub use crate::settings::OwnerSettings;
    pub use crate::storage::{RequestTicket, StorageReply, StorageRequest, StoredRow, StoredShardRow};
    pub use crate::wall_time::WallTime;
}

pub use prelude::*;
