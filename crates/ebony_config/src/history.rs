//! Storage of the configuration: one row for the newest version, one row for each recent version before it, and whole
//! documents as objects.
//!
//! - The row [`CURRENT_KEY`] holds the [`ChangeRecord`] of the newest version. A change is accepted when this row is
//!   replaced.
//! - The row [`history_key`] of each older version holds that version's record. The writer of a version first ensures
//!   that the record of the previous version is stored, so that history has no gaps.
//! - A *checkpoint* is a whole document in the object store. Each record names the newest checkpoint up to its version.
//!   The document of a version is that checkpoint with the later changes applied.
//!
//! This keeps the row that every entry polls small. If it held the whole document, each poll would read several
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

/// The number of versions that history keeps. At 17,000 changes a day, they cover 85 minutes.
pub const MAX_HISTORY_ROWS: u64 = 1_000;

/// The number of versions from one checkpoint to the next. A starting process reads at most this many changes.
pub const CHECKPOINT_INTERVAL: u64 = 128;

/// The largest change that a record contains, in bytes of JSON. A larger change is stored as a checkpoint instead,
/// because every entry reads the newest record each second and may use 23 KB/s for all control traffic.
pub const MAX_PATCH_BYTES: usize = 8 * 1024;

/// Identifies one edit, so that reading a record shows whether the edit's write took effect.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EditNonce(pub [u8; 16]);

impl EditNonce {
    /// Returns the nonce as a number, for the table service.
    pub fn as_number(self) -> u128 {
        u128::from_be_bytes(self.0)
    }
}

serde_as_hex!(EditNonce, "a nonce of 32 digits");

/// Identifies a whole document in the object store.
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
    /// The operator's description of the change.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub summary: String,
    /// The time of the change.
    pub time: WallTime,
    /// The version whose content the change restored, if it is a revert.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reverts: Option<u64>,
    /// The newest checkpoint, of this version or an older one.
    pub checkpoint: CheckpointRef,
    /// The change; absent if it is larger than [`MAX_PATCH_BYTES`]. The checkpoint then has this version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub patch: Option<ConfigPatch>,
}

/// The result of reading stored configuration.
pub type Result<T, E = HistoryError> = std::result::Result<T, E>;

/// An error in stored configuration.
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

    /// Returns the update from the previous version to this one; `None` if this version is stored as a checkpoint only.
    pub fn to_update(&self) -> Option<ConfigUpdate> {
        let patch = self.patch.clone()?;
        let version = self.version;
        Some(ConfigUpdate::Delta(Box::new(ConfigDelta { version, patch })))
    }
}

/// How a process gets from the version that it knows to the newest one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CatchUp {
    /// The process has the newest version.
    UpToDate,
    /// The process reads the records after this version and applies their changes.
    ReadHistory {
        /// The version that the process knows.
        after: u64,
    },
    /// The process reads this checkpoint and the records after it.
    ReadCheckpoint(CheckpointRef),
}

/// Returns how a process gets from version `known` to the version of `current`.
///
/// Records after a checkpoint always contain their change, and there are fewer than [`CHECKPOINT_INTERVAL`] of them.
pub fn plan_catch_up(known: u64, current: &ChangeRecord) -> CatchUp {
    if known >= current.version {
        CatchUp::UpToDate
    } else if known >= current.checkpoint.version {
        CatchUp::ReadHistory { after: known }
    } else {
        CatchUp::ReadCheckpoint(current.checkpoint)
    }
}

/// Rebuilds the document of version `target` from an older document and the records after it, in any order.
///
/// Up to [`CHECKPOINT_INTERVAL`] of the oldest versions in history cannot be rebuilt: their checkpoint is older than
/// history, and the records between the two have been deleted.
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

/// A deletion that keeps history bounded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PruneAction {
    /// Deletes the row of a version.
    DeleteRow(u64),
    /// Deletes the object of a checkpoint that no later record names.
    DeleteObject(CheckpointRef),
}

/// Returns what to delete when `current` is the newest version. `oldest` holds the oldest records in the order of
/// their keys.
///
/// The object of a checkpoint is deleted before the row that names it, so that a writer that fails in between leaves no
/// unreferenced object. Rows that an earlier writer failed to delete are found again, because they are the oldest.
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
