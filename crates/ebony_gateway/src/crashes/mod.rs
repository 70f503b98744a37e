//! Requests that were running when their targets crashed.
//!
//! [`fingerprint`] identifies a request that a caller repeats, [`probe`] distinguishes a crashed target from a broken
//! connection, [`registry`] decides which requests are refused and informs the other gateways, and [`rows`] stores the
//! crashes.

pub(crate) mod fingerprint;
pub(crate) mod probe;
pub(crate) mod registry;
pub(crate) mod rows;

pub(crate) use fingerprint::RequestFingerprint;
pub(crate) use probe::TargetProbes;
pub(crate) use registry::{CrashPermit, CrashRegistry, CrashSource};
