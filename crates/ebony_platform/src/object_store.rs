//! Access to the object store.

use async_trait::async_trait;
use bytes::Bytes;

pub use crate::error::Result;

/// An object store. Objects are written once, under keys that are never reused, so repeating a write is safe.
#[async_trait(?Send)]
pub trait ObjectStore {
    /// Writes an object.
    async fn put(&self, key: &str, bytes: Bytes) -> Result<()>;

    /// Reads an object; `None` if it does not exist.
    async fn get(&self, key: &str) -> Result<Option<Bytes>>;

    /// Deletes an object.
    async fn delete(&self, key: &str) -> Result<()>;
}
