//! Versions of the software that targets run.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// Maximum length of a version in bytes. It limits the size of log lines and stored rows.
pub const MAX_VERSION_BYTES: usize = 256;

/// The error for a text that is not a valid software version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("a software version has 1 to {MAX_VERSION_BYTES} bytes")]
pub struct SoftwareVersionError;

/// The result of validating a software version.
pub type Result<T, E = SoftwareVersionError> = std::result::Result<T, E>;

/// The version of the software that a target runs. Versions are equal or not; they have no order.
///
/// ```
/// use ebony_types::SoftwareVersion;
///
/// assert_eq!(SoftwareVersion::parse("v1.2")?.as_str(), "v1.2");
/// assert!(SoftwareVersion::parse("").is_err());
/// # Ok::<(), ebony_types::software_version::SoftwareVersionError>(())
/// ```
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SoftwareVersion(Arc<str>);

impl SoftwareVersion {
    /// Creates a version from a text.
    ///
    /// # Errors
    ///
    /// Returns [`SoftwareVersionError`] if the text is empty or longer than [`MAX_VERSION_BYTES`].
    pub fn parse(text: &str) -> Result<Self> {
        if text.is_empty() || text.len() > MAX_VERSION_BYTES {
            return Err(SoftwareVersionError);
        }
        Ok(Self(Arc::from(text)))
    }

    /// Returns the version as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl fmt::Debug for SoftwareVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl Serialize for SoftwareVersion {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for SoftwareVersion {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        Self::parse(&text).map_err(de::Error::custom)
    }
}
