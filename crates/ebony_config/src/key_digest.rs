//! Digests of bearer keys.

use sha2::{Digest, Sha256};

use crate::hex_text::serde_as_hex;

/// The SHA-256 digest of a bearer key. The configuration stores digests only, never the keys.
///
/// ```
/// use ebony_config::KeyDigest;
///
/// let digest = KeyDigest::of_key("calabash-operator");
/// assert!(digest.to_string().starts_with("cbdca046"));
/// assert_eq!(digest.to_string().parse(), Ok(digest));
/// ```
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyDigest(pub [u8; 32]);

impl KeyDigest {
    /// Returns the digest of a bearer key.
    pub fn of_key(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// Returns the first eight bytes of the digest as a hash for tables. Bytes of a SHA-256 digest are uniformly
    /// distributed, so that they need no further hashing.
    pub(crate) fn table_hash(&self) -> u64 {
        let [first, second, third, fourth, fifth, sixth, seventh, eighth, ..] = self.0;
        u64::from_le_bytes([first, second, third, fourth, fifth, sixth, seventh, eighth])
    }
}

serde_as_hex!(KeyDigest, "a SHA-256 digest of 64 digits");
