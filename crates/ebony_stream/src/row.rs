//! The stored record of the streams that a gateway began.

use ebony_types::{ServiceName, SoftwareVersion};
use serde::{Deserialize, Serialize};

use crate::digest::StreamDigest;

/// A software version of the targets of a service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ServiceRelease {
    /// The service.
    pub service: ServiceName,
    /// The version.
    pub version: SoftwareVersion,
}

/// The streams that began at one version.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ReleaseStreams {
    /// The version.
    pub release: ServiceRelease,
    /// The streams.
    pub streams: Vec<StreamDigest>,
}

/// The streams that one gateway began and that may still be resumed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StreamRow {
    /// The streams by version.
    pub releases: Vec<ReleaseStreams>,
}
