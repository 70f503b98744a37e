//! Names that operators and callers choose.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// The longest name in bytes. It bounds keys of maps and metric labels.
pub const MAX_NAME_BYTES: usize = 128;

/// Says why a text is not a name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("a name has 1 to {MAX_NAME_BYTES} visible ASCII characters")]
pub struct NameError;

/// The result of checking a name.
pub type Result<T, E = NameError> = std::result::Result<T, E>;

fn check(text: &str) -> Result<()> {
    let is_visible = text.bytes().all(|byte| byte.is_ascii_graphic());
    let is_bounded = !text.is_empty() && text.len() <= MAX_NAME_BYTES;
    if is_visible && is_bounded {
        Ok(())
    } else {
        Err(NameError)
    }
}

macro_rules! name_type {
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
                check(text)?;
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

name_type! {
    /// Names a caller: a customer whose agents send programs.
    CallerName
}

name_type! {
    /// Names a failure domain.
    DomainName
}

name_type! {
    /// Names a host.
    HostName
}

name_type! {
    /// Names a target: a model engine or plain service behind a side process.
    TargetName
}

name_type! {
    /// Names a model.
    ModelName
}

name_type! {
    /// Names a plain service.
    ServiceName
}

name_type! {
    /// The key under which a caller's non-idempotent call runs at most once. It is scoped to its caller.
    IdempotencyKey
}
