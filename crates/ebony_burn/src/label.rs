//! Names of deployments and caller groups.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use ebony_types::name::{MAX_NAME_BYTES, NameError};
use serde::{Deserialize, Serialize};

/// The group that counts the events of all groups beyond a table's bound.
pub const OTHER_GROUP: &str = "other";

/// The result of checking a name.
pub type Result<T, E = NameError> = std::result::Result<T, E>;

/// Names a deployment or a caller group.
///
/// ```
/// use ebony_burn::LabelName;
///
/// assert!(LabelName::parse("workshops").is_ok());
/// assert!(LabelName::parse("two words").is_err());
/// ```
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct LabelName(Arc<str>);

impl LabelName {
    /// Checks and wraps a name.
    ///
    /// # Errors
    ///
    /// Returns [`NameError`] if the text is empty, too long, or has characters other than visible ASCII.
    pub fn parse(text: &str) -> Result<Self> {
        let is_visible = text.bytes().all(|byte| byte.is_ascii_graphic());
        if is_visible && (1..=MAX_NAME_BYTES).contains(&text.len()) {
            Ok(Self(Arc::from(text)))
        } else {
            Err(NameError)
        }
    }

    /// Returns the name of the group for events beyond a bound.
    pub fn other() -> Self {
        Self(Arc::from(OTHER_GROUP))
    }

    /// Returns the name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl Borrow<str> for LabelName {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl TryFrom<String> for LabelName {
    type Error = NameError;

    fn try_from(text: String) -> Result<Self> {
        Self::parse(&text)
    }
}

impl From<LabelName> for String {
    fn from(name: LabelName) -> Self {
        name.as_str().to_owned()
    }
}

impl fmt::Display for LabelName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl fmt::Debug for LabelName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// Names one caller group of one deployment.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupKey {
    /// The deployment.
    pub deployment: LabelName,
    /// The caller group within the deployment.
    pub group: LabelName,
}

impl GroupKey {
    /// Returns the key that counts the events of all groups beyond a snapshot's bound.
    pub fn other() -> Self {
        Self {
            deployment: LabelName::other(),
            group: LabelName::other(),
        }
    }
}

impl fmt::Display for GroupKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.deployment, self.group)
    }
}
