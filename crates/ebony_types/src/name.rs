//! Names that are assigned by operators and callers.

/// Maximum length of a name in bytes. It limits the size of map keys and metric labels.
pub const MAX_NAME_BYTES: usize = 128;

/// The error for a text that is not a valid name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("a name has 1 to {MAX_NAME_BYTES} visible ASCII characters")]
pub struct NameError;

/// The result of validating a name.
pub type Result<T, E = NameError> = std::result::Result<T, E>;

/// Checks that a text is a valid name.
///
/// # Errors
///
/// Returns [`NameError`] if the text is empty, too long, or has characters other than visible ASCII.
pub fn check_name(text: &str) -> Result<()> {
    let is_visible = text.bytes().all(|byte| byte.is_ascii_graphic());
    let is_bounded = !text.is_empty() && text.len() <= MAX_NAME_BYTES;
    if is_visible && is_bounded {
        Ok(())
    } else {
        Err(NameError)
    }
}

/// Items of other crates that the expansion of [`crate::name_type`] uses.
#[doc(hidden)]
pub mod expansion {
    pub use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
}

/// Defines a type of validated names. All such types have the same rules and encoding.
///
/// ```
/// ebony_types::name_type! {
///     /// Names a drum.
///     DrumName
/// }
///
/// assert_eq!(DrumName::parse("lali")?.as_str(), "lali");
/// assert!(DrumName::parse("two words").is_err());
/// # Ok::<(), ebony_types::name::NameError>(())
/// ```
#[macro_export]
macro_rules! name_type {
    ($(#[$meta:meta])* $type:ident) => {
        $(#[$meta])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $type(::std::sync::Arc<str>);

        impl $type {
            /// Creates a name from a valid text.
            ///
            /// # Errors
            ///
            /// Returns [`NameError`]($crate::name::NameError) if the text is empty, too long, or has characters other
            /// than visible ASCII.
            pub fn parse(text: &str) -> $crate::name::Result<Self> {
                $crate::name::check_name(text)?;
                Ok(Self(::std::sync::Arc::from(text)))
            }

            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl ::std::borrow::Borrow<str> for $type {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl ::std::fmt::Display for $type {
            fn fmt(&self, formatter: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl ::std::fmt::Debug for $type {
            fn fmt(&self, formatter: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl $crate::name::expansion::Serialize for $type {
            fn serialize<S: $crate::name::expansion::Serializer>(
                &self,
                serializer: S,
            ) -> ::std::result::Result<S::Ok, S::Error> {
                serializer.serialize_str(&self.0)
            }
        }

        impl<'de> $crate::name::expansion::Deserialize<'de> for $type {
            fn deserialize<D: $crate::name::expansion::Deserializer<'de>>(
                deserializer: D,
            ) -> ::std::result::Result<Self, D::Error> {
                let text = <String as $crate::name::expansion::Deserialize>::deserialize(deserializer)?;
                Self::parse(&text).map_err($crate::name::expansion::de::Error::custom)
            }
        }
    };
}

name_type! {
    /// The name of a caller: a customer whose agents send programs.
    CallerName
}

name_type! {
    /// The name of a failure domain.
    DomainName
}

name_type! {
    /// The name of a host.
    HostName
}

name_type! {
    /// The name of a target: a model engine or plain service behind a side process.
    TargetName
}

name_type! {
    /// The name of a model.
    ModelName
}

name_type! {
    /// The name of a plain service.
    ServiceName
}

name_type! {
    /// A key that makes a non-idempotent call run at most once. Keys of different callers are independent.
    IdempotencyKey
}

name_type! {
    /// The name that a caller gave an agent program.
    ProgramName
}

name_type! {
    /// The name of a turn of a conversation, which is the caller's name of the attempt that was answered.
    TurnName
}
