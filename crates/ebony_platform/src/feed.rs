//! A feed of the changes to the rows of a table.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;

pub use crate::error::Result;
use crate::table::RowVersion;

/// A row in a [`FeedPage`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FeedRow {
    /// The key within the table.
    pub key: String,
    /// The value; `None` if the row was removed.
    pub value: Option<Bytes>,
}

/// Rows of a table, and the version of the store up to which they are current.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FeedPage {
    /// The rows, in the order of their changes or of their keys.
    pub rows: Vec<FeedRow>,
    /// The version to continue from.
    pub version: RowVersion,
}

/// Reads a whole table, and then its changes.
#[async_trait(?Send)]
pub trait RowFeed {
    /// Reads all rows of a table.
    async fn snapshot(&self, table: &str) -> Result<FeedPage>;

    /// Waits up to `wait` for changes of a table after the version `after`. The page is empty if there were none.
    ///
    /// [`crate::PlatformError::HistoryLost`] means that changes are missing, so the caller has to read a new snapshot.
    async fn changes(&self, table: &str, after: RowVersion, wait: Duration) -> Result<FeedPage>;
}
