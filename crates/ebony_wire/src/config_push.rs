//! Distribution of the configuration over links.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// A version of the configuration document.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ConfigPush {
    /// The version; receivers ignore one that is not above theirs.
    pub version: u64,
    /// A whole document, or the change from the version before, as JSON.
    pub document: Bytes,
}

/// Which version is in force in one process.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ConfigStatus {
    /// The process, by the name in its settings.
    pub process: String,
    /// The version in force; 0 if none is.
    pub version: u64,
}
