//! Names that operators and callers choose.

/// The longest name in bytes. It bounds keys of maps and metric labels.
pub const MAX_NAME_BYTES: usize = 128;

/// Says why a text is not a name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("a name has 1 to {MAX_NAME_BYTES} visible ASCII characters")]
pub struct NameError;

/// The result of checking a name.
pub type Result<T, E = NameError> = std::result::Result<T, E>;

/// Checks a text against the rule of all names.
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

/// What the expansion of [`crate::name_type`] needs from other crates.
#[doc(hidden)]
pub mod expansion {
    pub use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
}

/// Defines a type of checked names, with the rule and the encoding that all names share.
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
            /// Checks and wraps a name.
            ///
            /// # Errors
            ///
            /// Returns [`NameError`]($crate::name::NameError) if the text is empty, too long, or has characters other than visible ASCII.
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

name_type! {
    /// Names an agent program, as its caller does.
    ProgramName
}

name_type! {
    /// Names a turn of a conversation: the caller's name of the attempt that was answered.
    TurnName
}
