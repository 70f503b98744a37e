//! An operator's change by compare-and-swap.
//!
//! [`ConfigEdit`] is a state machine without I/O. It returns one action at a time; its driver performs the action and
//! passes the result to [`ConfigEdit::step`]. The row of the newest version is replaced only if it still has the version
//! that the operator read. If the reply to that write is lost, the nonce in the row tells whether the write took effect.

mod machine;
mod request;

use std::sync::Arc;

use ebony_types::{ProblemCode, ProblemReport};

use crate::document::ConfigDocument;
use crate::history::{ChangeRecord, CheckpointRef, EditNonce};
use crate::name::OperatorName;
use crate::wall_time::WallTime;

pub use machine::ConfigEdit;
pub use request::{EditNote, EditRequest, MAX_SUMMARY_BYTES, RevertParts};

/// Seconds after which an operator may retry a change that the platform did not accept.
const RETRY_SECONDS: u32 = 5;

/// The version that the table service gives to the row of the newest configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RowStamp(pub u64);

/// The row of the newest version as it was read.
#[derive(Clone, Debug, PartialEq)]
pub struct CurrentRow {
    /// The table service's version of the row.
    pub stamp: RowStamp,
    /// The row's value.
    pub record: ChangeRecord,
}

/// The next action that the driver of a [`ConfigEdit`] performs.
#[derive(Clone, Debug, PartialEq)]
pub enum EditAction {
    /// Reads [`crate::history::CURRENT_KEY`].
    ReadCurrent,
    /// Reads the [`crate::history::history_key`] of a version.
    ReadHistory(u64),
    /// Creates the history row of a record. The reply is [`EditReply::Conflict`] if the row exists.
    CreateHistory(Arc<ChangeRecord>),
    /// Writes a whole document to the object store.
    PutCheckpoint {
        /// Identifies the object.
        checkpoint: CheckpointRef,
        /// The document.
        document: Arc<ConfigDocument>,
    },
    /// Replaces [`crate::history::CURRENT_KEY`] if its stamp matches, or creates it if there is none.
    WriteCurrent {
        /// The stamp that the row must have; `None` if the row must be absent.
        expected: Option<RowStamp>,
        /// The new value.
        record: Arc<ChangeRecord>,
    },
    /// Reports the outcome to the operator; the edit has ended.
    Finish(EditOutcome),
}

/// The result of an action.
#[derive(Clone, Debug, PartialEq)]
pub enum EditReply {
    /// The row of the newest version was read.
    Current(Option<Box<CurrentRow>>),
    /// A history row was read.
    History(Option<Box<ChangeRecord>>),
    /// The write took effect.
    Done,
    /// The write did not take effect, because its condition does not hold.
    Conflict,
    /// The action did not run.
    NotRun,
    /// It is unknown whether the action ran.
    Unknown,
}

/// How an edit ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EditOutcome {
    /// The change is accepted as this version.
    Accepted(u64),
    /// Another change was accepted first; this one is not accepted and never will be.
    Conflict {
        /// The version of the change that won.
        winner: u64,
        /// Its author.
        author: OperatorName,
        /// When it was made.
        time: WallTime,
    },
    /// The change is not accepted and never will be, because the platform did not write it. Holds the reason.
    NotAccepted(&'static str),
    /// It is unknown whether the change is or will be accepted. If it is, a record in history has this nonce.
    Unresolved(EditNonce),
}

impl EditOutcome {
    /// Returns the problem that the operator receives; `None` if the change is accepted.
    ///
    /// ```
    /// use ebony_config::{EditNonce, EditOutcome};
    /// use ebony_types::RunVerdict;
    ///
    /// let problem = EditOutcome::Unresolved(EditNonce([1; 16])).to_problem().expect("an unresolved outcome is a problem");
    /// assert_eq!(problem.run, RunVerdict::MayHaveRun);
    /// assert_eq!(EditOutcome::Accepted(8).to_problem(), None);
    /// ```
    pub fn to_problem(&self) -> Option<ProblemReport> {
        match self {
            Self::Accepted(_) => None,
            Self::Conflict { winner, author, .. } => {
                let detail = format!("version {winner} by `{author}` was accepted first");
                Some(ProblemReport::not_run(ProblemCode::VersionConflict, detail))
            }
            Self::NotAccepted(reason) => {
                let problem = ProblemReport::not_run(ProblemCode::PlatformUnavailable, *reason);
                Some(problem.retry_after(RETRY_SECONDS))
            }
            Self::Unresolved(nonce) => {
                let detail = format!("it is unknown whether the change with the nonce {nonce} was accepted");
                Some(ProblemReport::may_have_run(
                    ProblemCode::PlatformUnavailable,
                    detail,
                ))
            }
        }
    }
}
