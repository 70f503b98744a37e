//! Names that occur in the configuration only.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use ebony_types::HostName;
use ebony_types::name::NameError;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// The result of checking a name.
pub type Result<T, E = NameError> = std::result::Result<T, E>;

macro_rules! config_name {
    ($(#[$meta:meta])* $type:ident) => {
        $(#[$meta])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $type(Arc<str>);

        impl $type {
            /// Checks and wraps a name.
            ///
            /// # Errors
            ///
            /// Returns [`NameError`] if the text is empty, too long, or has characters other than visible ASCII.
            pub fn parse(text: &str) -> Result<Self> {
                // All names share the rule of `ebony_types`; a host's name stands for the others.
                HostName::parse(text)?;
                Ok(Self(Arc::from(text)))
            }

            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl Borrow<str> for $type {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl fmt::Debug for $type {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl Serialize for $type {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.serialize_str(&self.0)
            }
        }

        impl<'de> Deserialize<'de> for $type {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                let text = String::deserialize(deserializer)?;
                Self::parse(&text).map_err(serde::de::Error::custom)
            }
        }
    };
}

config_name! {
    /// Names a group of callers that share service-level objectives.
    GroupName
}

config_name! {
    /// Names an operator.
    OperatorName
}

config_name! {
    /// Names an exception.
    ExceptionName
}
