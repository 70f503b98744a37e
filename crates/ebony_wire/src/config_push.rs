//! Distribution of the configuration over links.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Distributes one version of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ConfigPush {
    /// The version. Receivers ignore the message unless this version is higher than theirs.
    pub version: u64,
    /// The full document, or the delta from the previous version, as JSON.
    pub document: Bytes,
}

/// The version that is in force in one process.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ConfigStatus {
    /// The process, by the name in its settings.
    pub process: String,
    /// The version in force; 0 if none is.
    pub version: u64,
}
