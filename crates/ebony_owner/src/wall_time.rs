//! Wall-clock time in records, so that ages survive a change of the owner.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Milliseconds since the Unix epoch, on the clock of the host that wrote the time.
///
/// The clocks of hosts differ. Where an error could break a guarantee, ages are therefore computed on the clock of
/// one owner; see [`WallTime::rebase`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct WallTime(u64);

impl WallTime {
    /// Creates a time from milliseconds since the Unix epoch.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Returns the milliseconds since the Unix epoch.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Returns the duration since `earlier`, or zero if `earlier` is later than `self`.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }

    /// Moves a time of a former owner onto the clock of its successor.
    ///
    /// The age at the former owner's last row is kept, and the time between that row and the takeover does not count.
    /// A retention that starts at the result therefore never ends too early, however far the two clocks differ.
    ///
    /// ```
    /// use ebony_owner::wall_time::WallTime;
    ///
    /// let ended = WallTime::from_millis(1_000);
    /// let last_row = WallTime::from_millis(4_000);
    /// let adopted = WallTime::from_millis(900_000);
    /// assert_eq!(ended.rebase(last_row, adopted), WallTime::from_millis(897_000));
    /// ```
    pub fn rebase(self, last_row: Self, adopted: Self) -> Self {
        let age = last_row.0.saturating_sub(self.0);
        Self(adopted.0.saturating_sub(age))
    }
}

impl std::ops::Add<Duration> for WallTime {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        let millis = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(millis))
    }
}
