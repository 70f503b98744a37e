//! Names of customers.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// Maximum length of a customer's name in bytes. It limits the size of map keys, metric labels and messages.
pub const MAX_CUSTOMER_BYTES: usize = 256;

/// The error for a text that is not a valid name of a customer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error(
    "a customer's name has 1 to {MAX_CUSTOMER_BYTES} printable ASCII characters and no space at its ends"
)]
pub struct CustomerNameError;

/// The result of validating a customer's name.
pub type Result<T, E = CustomerNameError> = std::result::Result<T, E>;

/// The name of a customer, which owns API keys. It is a valid value of a header field.
///
/// Unlike other names it may contain spaces, because operators write the names of organisations.
///
/// ```
/// use ebony_types::CustomerName;
///
/// assert_eq!(CustomerName::parse("Drum Works 2")?.as_str(), "Drum Works 2");
/// assert!(CustomerName::parse("").is_err());
/// assert!(CustomerName::parse(" lali").is_err());
/// assert!(CustomerName::parse("a\r\nb").is_err());
/// # Ok::<(), ebony_types::customer::CustomerNameError>(())
/// ```
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CustomerName(Arc<str>);

impl CustomerName {
    /// Creates a name from a valid text.
    ///
    /// # Errors
    ///
    /// Returns [`CustomerNameError`] if the text is empty, too long, or cannot be sent unchanged as a header value.
    pub fn parse(text: &str) -> Result<Self> {
        let is_printable = text.bytes().all(|byte| byte == b' ' || byte.is_ascii_graphic());
        let is_bounded = !text.is_empty() && text.len() <= MAX_CUSTOMER_BYTES;
        if !is_printable || !is_bounded || text.trim() != text {
            return Err(CustomerNameError);
        }
        Ok(Self(Arc::from(text)))
    }

    /// Returns the name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for CustomerName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl fmt::Debug for CustomerName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl Serialize for CustomerName {
    fn serialize<S: Serializer>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error> {
        serializer.serialize_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for CustomerName {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> std::result::Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        Self::parse(&text).map_err(de::Error::custom)
    }
}
