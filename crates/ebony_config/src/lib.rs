//! The fleet-wide configuration: one versioned document with defaults and exceptions. Versions only increase.
//!
//! - [`ConfigDocument`] holds the values, callers, operators and objectives, and is validated as a whole.
//! - [`ConfigPatch`] is a change to it, and [`ConfigUpdate`] is the message that distributes a version over links.
//! - [`ConfigHolder`] holds the version in force in one process and accepts higher versions only.
//! - [`ConfigEdit`] commits an operator's change by compare-and-swap, and [`history`] defines how versions are stored.
//! - [`ConfigTracker`] tracks which version is in force in each process.
//!
//! The crate does no I/O and reads no clock: it is given events and the current time, and returns what to do next.

pub mod caller;
pub mod cell;
pub mod document;
pub mod edit;
pub mod exception;
mod hex_text;
pub mod history;
pub mod holder;
pub mod issue;
pub mod key_digest;
pub mod name;
pub mod objective;
pub mod patch;
pub mod resolve;
pub mod tracker;
pub mod update;
pub mod validate;
pub mod values;
pub mod wall_time;

/// Re-exports the types that most users need.
pub mod prelude {
    pub use crate::caller::{CallerRecord, CallerTable, CallerView};
    pub use crate::cell::ConfigCell;
    pub use crate::document::{ConfigDocument, MAX_DOCUMENT_BYTES, OperatorRecord};
    pub use crate::edit::{
        ConfigEdit, CurrentRow, EditAction, EditNote, EditOutcome, EditReply, EditRequest, RevertParts,
        RowStamp,
    };
    pub use crate::exception::{ConfigException, ExceptionScope, ExceptionTable};
    pub use crate::history::{
        CatchUp, ChangeRecord, CheckpointRef, EditNonce, HistoryError, PruneAction, plan_catch_up,
        plan_pruning, rebuild,
    };
    pub use crate::holder::{
        BlockedHolder, ConfigAudience, ConfigHolder, ConfigLag, LearningState, OfferOutcome,
        PROPAGATION_DEADLINE, ServeBlock, ServingState, VersionSource,
    };
    pub use crate::issue::{ConfigIssue, ConfigReport, IssueKind};
    pub use crate::key_digest::KeyDigest;
    pub use crate::name::{ExceptionName, GroupName, OperatorName};
    pub use crate::objective::{GroupObjective, LatencyObjective};
    pub use crate::patch::{ConfigPatch, MapPatch};
    pub use crate::resolve::ResolveScope;
    pub use crate::tracker::{ConfigTracker, ProcessDelay, ProcessState, StatusChange, TrackerReport};
    pub use crate::update::{ConfigDelta, ConfigUpdate};
    pub use crate::values::{FleetValues, ValueChanges};
    pub use crate::wall_time::WallTime;
}

pub use prelude::*;
