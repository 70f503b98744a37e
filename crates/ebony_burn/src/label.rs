//! Names of deployments and caller groups.

use std::fmt;
use std::sync::Arc;

use ebony_types::name_type;
use serde::{Deserialize, Serialize};

/// The name of the group that counts the events of all groups beyond the maximum number of groups.
pub const OTHER_GROUP: &str = "other";

name_type! {
    /// The name of a deployment or a caller group.
    ///
    /// ```
    /// use ebony_burn::LabelName;
    ///
    /// assert!(LabelName::parse("workshops").is_ok());
    /// assert!(LabelName::parse("two words").is_err());
    /// ```
    LabelName
}

impl LabelName {
    /// Returns [`OTHER_GROUP`] as a name.
    pub fn other() -> Self {
        Self(Arc::from(OTHER_GROUP))
    }
}

/// Identifies one caller group of one deployment.
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
    /// Returns the key that counts the events of all groups beyond the maximum of a snapshot.
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
