//! A change as an operator requests it, checked against the version that the operator read.

use std::sync::Arc;

use crate::document::{ConfigDocument, encode_json};
use crate::history::{CHECKPOINT_INTERVAL, ChangeRecord, CheckpointRef, EditNonce, MAX_PATCH_BYTES};
use crate::issue::{ConfigReport, IssueKind, Result};
use crate::name::OperatorName;
use crate::patch::ConfigPatch;
use crate::wall_time::WallTime;

/// The longest summary of a change in bytes.
pub const MAX_SUMMARY_BYTES: usize = 1_000;

/// Who makes a change, when, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EditNote {
    /// The authenticated operator.
    pub author: OperatorName,
    /// The operator's description of the change; may be empty.
    pub summary: String,
    /// The time of the change.
    pub time: WallTime,
}

/// Which parts a revert restores.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RevertParts {
    /// Everything except callers and operators. Keys that were revoked since the older version stay revoked.
    Values,
    /// Everything. Keys that were revoked since the older version become valid again.
    All,
}

/// A validated change to one version of the configuration.
#[derive(Clone, Debug)]
pub struct EditRequest {
    pub(super) base: u64,
    pub(super) next: Arc<ConfigDocument>,
    pub(super) patch: ConfigPatch,
    note: EditNote,
    reverts: Option<u64>,
}

impl EditRequest {
    /// Checks a change to `base`. The exceptions that it sets get the author and time of the note.
    ///
    /// ```
    /// use ebony_config::{ConfigDocument, ConfigPatch, EditNote, EditRequest, OperatorName, WallTime};
    ///
    /// let note = EditNote {
    ///     author: OperatorName::parse("sela").expect("the name is valid"),
    ///     summary: String::new(),
    ///     time: WallTime(1_764_720_000),
    /// };
    /// let patch = ConfigPatch::decode(br#"{ "defaults": { "policy": { "latency_weight": 2 } } }"#)?;
    /// let report = EditRequest::change(&ConfigDocument::default(), patch, note).unwrap_err();
    /// assert!(report.to_string().contains("`defaults.policy.latency_weight`: expected 0 to 1, found 2"));
    /// # Ok::<(), ebony_config::ConfigReport>(())
    /// ```
    ///
    /// # Errors
    ///
    /// Returns a [`ConfigReport`] with all rules that the next version would break.
    pub fn change(base: &ConfigDocument, mut patch: ConfigPatch, note: EditNote) -> Result<Self> {
        patch.stamp_exceptions(&note.author, note.time);
        Self::new(base, patch, note, None)
    }

    /// Checks a whole document that replaces the content of `base`. The version in `next` is ignored.
    ///
    /// # Errors
    ///
    /// Returns a [`ConfigReport`] with all rules that the next version would break.
    pub fn replace(base: &ConfigDocument, next: &ConfigDocument, note: EditNote) -> Result<Self> {
        Self::change(base, ConfigPatch::diff(base, next), note)
    }

    /// Checks a revert of `base` to the content of an older version. Exceptions keep their authors.
    ///
    /// # Errors
    ///
    /// Returns a [`ConfigReport`] with all rules that the next version would break.
    pub fn revert(
        base: &ConfigDocument,
        older: &ConfigDocument,
        parts: RevertParts,
        note: EditNote,
    ) -> Result<Self> {
        let mut patch = ConfigPatch::diff(base, older);
        if parts == RevertParts::Values {
            patch.callers = Default::default();
            patch.operators = Default::default();
        }
        Self::new(base, patch, note, Some(older.version))
    }

    fn new(base: &ConfigDocument, patch: ConfigPatch, note: EditNote, reverts: Option<u64>) -> Result<Self> {
        let mut report = ConfigReport::default();
        if patch == ConfigPatch::default() {
            report.add(String::new(), IssueKind::NoChange);
        }
        if note.summary.len() > MAX_SUMMARY_BYTES {
            report.add(
                "summary".to_owned(),
                IssueKind::BadText {
                    max: MAX_SUMMARY_BYTES,
                },
            );
        }
        report.into_result()?;
        let next = patch.apply(base)?;
        next.validate_for_writing()?;
        Ok(Self {
            base: base.version,
            next: Arc::new(next),
            patch,
            note,
            reverts,
        })
    }

    /// Returns the record of the next version. The record keeps `previous`, the checkpoint of the version before, unless
    /// the change is too large for a record or [`CHECKPOINT_INTERVAL`] versions have passed.
    pub(super) fn to_record(&self, nonce: EditNonce, previous: Option<CheckpointRef>) -> ChangeRecord {
        let version = self.next.version;
        let is_small = encode_json(&self.patch).len() <= MAX_PATCH_BYTES;
        let is_recent =
            |checkpoint: &CheckpointRef| version.saturating_sub(checkpoint.version) < CHECKPOINT_INTERVAL;
        let kept = previous.filter(|checkpoint| is_small && is_recent(checkpoint));
        ChangeRecord {
            version,
            nonce,
            author: self.note.author.clone(),
            summary: self.note.summary.clone(),
            time: self.note.time,
            reverts: self.reverts,
            checkpoint: kept.unwrap_or(CheckpointRef { version, nonce }),
            patch: is_small.then(|| self.patch.clone()),
        }
    }
}
