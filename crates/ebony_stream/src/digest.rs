//! Digests that identify streams.

use ebony_types::CustomerName;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Identifies a stream by the customer and the attempt that brought its first event. A customer cannot refer to a stream
/// of another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct StreamDigest(pub u64);

impl StreamDigest {
    /// Returns the digest of the stream that an attempt of a customer began.
    ///
    /// ```
    /// use ebony_stream::StreamDigest;
    /// use ebony_types::CustomerName;
    ///
    /// let customer = CustomerName::parse("drums")?;
    /// assert_ne!(StreamDigest::of(Some(&customer), "9c41"), StreamDigest::of(None, "9c41"));
    /// # Ok::<(), ebony_types::customer::CustomerNameError>(())
    /// ```
    pub fn of(customer: Option<&CustomerName>, attempt: &str) -> Self {
        let mut hasher = Sha256::new();
        hasher.update(customer.map_or("", CustomerName::as_str));
        // A customer's name has no line feed, so that the boundary is unambiguous.
        hasher.update(b"\n");
        hasher.update(attempt);
        let digest: [u8; 32] = hasher.finalize().into();
        let mut first = [0; 8];
        first.copy_from_slice(&digest[..8]);
        Self(u64::from_be_bytes(first))
    }
}
