//! The decoded credential of a call.

use ebony_routing::KeyDigest;

/// The credential of a call. It contains the digest of a key and never the key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerCredential {
    /// The call has no credential.
    Absent,
    /// The call has one key.
    Key(KeyDigest),
    /// The call has several credentials.
    Repeated,
    /// The credential is not a key but of another scheme.
    OtherScheme,
    /// The key is empty or has control characters.
    Malformed,
}

impl CallerCredential {
    /// Returns the digest of the key, if the call has one usable key.
    ///
    /// ```
    /// use ebony_dialect::CallerCredential;
    ///
    /// assert_eq!(CallerCredential::Repeated.key(), None);
    /// ```
    pub fn key(&self) -> Option<&KeyDigest> {
        match self {
            Self::Key(key) => Some(key),
            _ => None,
        }
    }

    /// Returns the kind of the credential as text for logs.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Absent => "absent",
            Self::Key(_) => "key",
            Self::Repeated => "repeated",
            Self::OtherScheme => "other_scheme",
            Self::Malformed => "malformed",
        }
    }
}
