//! Messages by which processes share crashes of targets, grouped by request.

use ebony_types::{ProcessIncarnation, RequestDigest, TargetName};
use serde::{Deserialize, Serialize};

/// One crash, identified by the target and the incarnation that ended.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct CrashSite {
    /// The target.
    pub target: TargetName,
    /// The incarnation of the target, as identified by the process that recorded the crash.
    pub incarnation: ProcessIncarnation,
}

/// A crash site in a [`CrashReport`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SiteReport {
    /// The crash.
    pub site: CrashSite,
    /// Microseconds until the crash expires. This is a duration, because the clocks of processes are not comparable.
    pub remaining_micros: u64,
    /// Whether the request has completed since the crash.
    pub is_cleared: bool,
}

/// The crashes of targets in which one request is involved.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CrashReport {
    /// The request.
    pub digest: RequestDigest,
    /// The crashes.
    pub sites: Vec<SiteReport>,
}
