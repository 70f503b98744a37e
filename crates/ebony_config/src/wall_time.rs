//! Wall-clock time, for times that people set.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Seconds since 1970-01-01 00:00 UTC.
///
/// Used for the expiry of exceptions, which people set and several hosts compare. Hosts whose clocks differ see an
/// exception expire at different moments; no safety property depends on it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct WallTime(pub u64);

impl fmt::Display for WallTime {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, formatter)
    }
}
