//! The schema of a settings file: every key with its type, default, bounds and description.
//!
//! Files are checked against these tables and the reference page is generated from them, so that both agree.

mod gateway_keys;
mod keys;
mod reference;
mod value_kind;

use crate::settings::ProcessRole;

pub use reference::{KeyReference, gateway_reference, settings_reference};
pub use value_kind::{AddressUse, ValueKind};

pub(crate) use gateway_keys::GATEWAY_ROOT;
pub(crate) use keys::ROOT;
pub(crate) use value_kind::MIN_KEY_BYTES;

/// Whether a key has to be set.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum KeyPresence {
    /// The key has to be set.
    Required,
    /// The key may be left out.
    Optional,
    /// The key may be left out and then has this value.
    Default(&'static str),
}

/// One key of a section.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KeySpec {
    /// The key's name within its section.
    pub name: &'static str,
    /// The type and bounds of the value.
    pub kind: ValueKind,
    /// Whether the key has to be set.
    pub presence: KeyPresence,
    /// The role that the key is for; `None` for both.
    pub role: Option<ProcessRole>,
    /// A description for the reference page.
    pub about: &'static str,
}

impl KeySpec {
    const fn new(name: &'static str, kind: ValueKind, presence: KeyPresence, about: &'static str) -> Self {
        Self {
            name,
            kind,
            presence,
            role: None,
            about,
        }
    }

    const fn required(name: &'static str, kind: ValueKind, about: &'static str) -> Self {
        Self::new(name, kind, KeyPresence::Required, about)
    }

    const fn optional(name: &'static str, kind: ValueKind, about: &'static str) -> Self {
        Self::new(name, kind, KeyPresence::Optional, about)
    }

    const fn defaults_to(
        value: &'static str,
        name: &'static str,
        kind: ValueKind,
        about: &'static str,
    ) -> Self {
        Self::new(name, kind, KeyPresence::Default(value), about)
    }

    const fn only_for(mut self, role: ProcessRole) -> Self {
        self.role = Some(role);
        self
    }

    /// Returns `true` if processes of `role` have the key. While the role is unknown, every key is accepted.
    pub(crate) fn is_for(&self, role: Option<ProcessRole>) -> bool {
        self.role.is_none() || role.is_none() || self.role == role
    }
}

/// The keys of one section.
#[derive(Debug, PartialEq)]
pub struct SectionSpec {
    /// The keys, in the order of the reference page.
    pub keys: &'static [KeySpec],
}
