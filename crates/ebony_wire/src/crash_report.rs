//! Crashes of targets by request, as processes exchange them.

use ebony_types::{ProcessIncarnation, RequestDigest, TargetName};
use serde::{Deserialize, Serialize};

/// One crash: a target, and the life of it that ended.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct CrashSite {
    /// The target.
    pub target: TargetName,
    /// The life of the target, as its side process counts them.
    pub incarnation: ProcessIncarnation,
}

/// A crash site in a [`CrashReport`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SiteReport {
    /// The crash.
    pub site: CrashSite,
    /// Microseconds until the crash no longer counts. Clocks of processes are not comparable, durations are.
    pub remaining_micros: u64,
    /// Whether the request has completed since.
    pub is_cleared: bool,
}

/// The crashes of one request, as processes exchange them.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CrashReport {
    /// The request.
    pub digest: RequestDigest,
    /// The crashes.
    pub sites: Vec<SiteReport>,
}
