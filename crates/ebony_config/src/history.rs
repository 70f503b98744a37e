//! How the configuration is kept: a small row for the newest version, a row for each of the last versions, and whole
//! documents as objects.
//!
//! - The row [`CURRENT_KEY`] holds the [`ChangeRecord`] of the newest version. Replacing it is what accepts a change.
//! - The row [`history_key`] of each older version holds that version's record. The writer of a version first makes
//!   sure that the record before it is there, so that history has no gaps.
//! - A *checkpoint* is a whole document in the object store. Records name the newest checkpoint at their version, and
//!   the document of a version is its checkpoint with the changes after it.
//!
//! The row that every entry polls stays small this way. With the whole document in it, each poll would read several
//! megabytes at the design scale.

use serde::{Deserialize, Serialize};

use crate::document::{ConfigDocument, decode_json, encode_json};
use crate::hex_text::serde_as_hex;
use crate::issue::ConfigReport;
use crate::name::OperatorName;
use crate::patch::ConfigPatch;
use crate::update::{ConfigDelta, ConfigUpdate};
use crate::wall_time::WallTime;

/// The key of the row of the newest version.
pub const CURRENT_KEY: &str = "config/current";

/// The prefix of the keys of older versions.
pub const HISTORY_PREFIX: &str = "config/history/";

/// Versions that history keeps: 85 minutes at 17,000 changes a day.
pub const MAX_HISTORY_ROWS: u64 = 1_000;

/// Versions from one checkpoint to the next. A process that starts reads at most this many changes.
pub const CHECKPOINT_INTERVAL: u64 = 128;

/// The largest change that a record carries, in bytes of JSON. A larger one gets a checkpoint instead, because every
/// entry reads the newest record each second and may use 23 KB/s for all control traffic.
pub const MAX_PATCH_BYTES: usize = 8 * 1024;

/// Marks one edit, so that a read tells whether its write took effect.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EditNonce(pub [u8; 16]);

impl EditNonce {
    /// Returns the nonce as a number, for the table service.
    pub fn as_number(self) -> u128 {
        u128::from_be_bytes(self.0)
    }
}

serde_as_hex!(EditNonce, "a nonce of 32 digits");

/// Names a whole document in the object store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CheckpointRef {
    /// The version of the document.
    pub version: u64,
    /// The nonce of the edit that wrote it. Two writers of the same version write different objects.
    pub nonce: EditNonce,
}

impl CheckpointRef {
    /// Returns the key of the object.
    pub fn object_key(&self) -> String {
        format!("config/{:012}-{}", self.version, self.nonce)
    }
}

/// One accepted change.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRecord {
    /// The version that the change created.
    pub version: u64,
    /// The nonce of the edit.
    pub nonce: EditNonce,
    /// The operator who made the change.
    pub author: OperatorName,
    /// What the operator wrote about it.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub summary: String,
    /// When it was made.
    pub time: WallTime,
    /// The version whose content this version has again, if it is a revert.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reverts: Option<u64>,
    /// The newest checkpoint; its version is at most this one.
    pub checkpoint: CheckpointRef,
    /// The change; absent if it is larger than [`MAX_PATCH_BYTES`], and the checkpoint then has this version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub patch: Option<ConfigPatch>,
}

/// The result of reading stored configuration.
pub type Result<T, E = HistoryError> = std::result::Result<T, E>;

/// Says why stored configuration cannot be used.
#[derive(Clone, Debug, PartialEq)]
#[derive(thiserror::Error)]
pub enum HistoryError {
    /// A record of a version is missing.
    #[error("the change that leads to version {0} is missing")]
    MissingVersion(u64),
    /// A record cannot be decoded or applied.
    #[error("stored configuration is damaged: {0}")]
    Damaged(#[from] ConfigReport),
}

/// Returns the key of the row of an older version. Keys sort by version.
pub fn history_key(version: u64) -> String {
    format!("{HISTORY_PREFIX}{version:012}")
}

impl ChangeRecord {
    /// Decodes a row.
    ///
    /// # Errors
    ///
    /// Returns [`HistoryError::Damaged`] if the bytes are not a record.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        Ok(decode_json(bytes)?)
    }

    /// Returns the value of the row.
    pub fn encode(&self) -> Vec<u8> {
        encode_json(self)
    }

    /// Returns the update that leads from the version before to this one; `None` if only the checkpoint has it.
    pub fn to_update(&self) -> Option<ConfigUpdate> {
        let patch = self.patch.clone()?;
        let version = self.version;
        Some(ConfigUpdate::Delta(Box::new(ConfigDelta { version, patch })))
    }
}

/// How a process that knows an older version reaches the newest one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CatchUp {
    /// The process has the newest version.
    UpToDate,
    /// The records after this version lead to the newest one.
    ReadHistory {
        /// The version that the process knows.
        after: u64,
    },
    /// The checkpoint and the records after it lead to the newest version.
    ReadCheckpoint(CheckpointRef),
}

/// Returns how a process that knows version `known` reaches the version of `current`.
///
/// Records after a checkpoint always carry their change, and those are at most [`CHECKPOINT_INTERVAL`].
pub fn plan_catch_up(known: u64, current: &ChangeRecord) -> CatchUp {
    if known >= current.version {
        CatchUp::UpToDate
    } else if known >= current.checkpoint.version {
        CatchUp::ReadHistory { after: known }
    } else {
        CatchUp::ReadCheckpoint(current.checkpoint)
    }
}

/// Returns the document of version `target`, from an older document and the records after it in any order.
///
/// The checkpoint of the oldest versions in history lies before them. Since the records in between are gone, up to
/// [`CHECKPOINT_INTERVAL`] of the oldest versions cannot be rebuilt.
///
/// # Errors
///
/// Returns [`HistoryError`] if a record is missing or cannot be applied.
pub fn rebuild(older: ConfigDocument, records: &[ChangeRecord], target: u64) -> Result<ConfigDocument> {
    let mut document = older;
    while document.version < target {
        let next = document.version + 1;
        let record = records.iter().find(|record| record.version == next);
        let patch = record
            .and_then(|record| record.patch.as_ref())
            .ok_or(HistoryError::MissingVersion(next))?;
        document = patch.apply(&document)?;
    }
    Ok(document)
}

/// Something that history no longer needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PruneAction {
    /// Deletes the row of a version.
    DeleteRow(u64),
    /// Deletes the object of a checkpoint that no later record names.
    DeleteObject(CheckpointRef),
}

/// Returns what to delete when `current` is the newest version, given the oldest records in the order of their keys.
///
/// The object of a checkpoint goes before the row that names it, so that a writer that dies in between leaves no object
/// that nothing names. Rows that an earlier writer failed to delete are found again, because they are the oldest.
pub fn plan_pruning(oldest: &[ChangeRecord], current: u64) -> Vec<PruneAction> {
    let mut actions = Vec::new();
    for pair in oldest.windows(2) {
        let [record, next] = pair else { continue };
        if record.version.saturating_add(MAX_HISTORY_ROWS) > current {
            break;
        }
        if record.checkpoint != next.checkpoint {
            actions.push(PruneAction::DeleteObject(record.checkpoint));
        }
        actions.push(PruneAction::DeleteRow(record.version));
    }
    actions
}
