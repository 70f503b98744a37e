//! The types of values in settings files.

use super::SectionSpec;
use crate::unit::{render_duration, render_size};

/// The shortest cluster key in bytes.
pub(crate) const MIN_KEY_BYTES: usize = ebony_wire::handshake::MIN_CLUSTER_KEY_BYTES;

/// What an address is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AddressUse {
    /// The process listens on it. Port 0 takes any free port.
    Listener {
        /// Whether the wildcard address, which listens on every interface, is accepted.
        takes_wildcard: bool,
    },
    /// The process connects to it.
    Remote,
}

/// The type and bounds of a value.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ValueKind {
    /// A name of visible ASCII characters.
    Name,
    /// One of several words.
    Choice(&'static [&'static str]),
    /// `true` or `false`.
    Flag,
    /// A whole number.
    Count {
        /// The smallest value.
        min: u64,
        /// The largest value.
        max: u64,
    },
    /// A number that may have a fraction.
    Rate {
        /// The smallest value.
        min: f64,
        /// The largest value.
        max: f64,
    },
    /// A duration with its unit.
    Duration {
        /// The shortest value in milliseconds.
        min: u64,
        /// The longest value in milliseconds.
        max: u64,
    },
    /// A size with its unit.
    Size {
        /// The smallest value in bytes.
        min: u64,
        /// The largest value in bytes.
        max: u64,
    },
    /// An IP number and a port.
    Address(AddressUse),
    /// A base URL with an IP number and a port.
    Url,
    /// The path of a file. A relative path is resolved against the folder of the settings file.
    File,
    /// A secret text.
    Secret,
    /// A SHA-256 digest in lower-case hexadecimal digits.
    Digest,
    /// A section with keys of its own.
    Section(&'static SectionSpec),
    /// A list.
    List {
        /// The type of each item.
        item: &'static ValueKind,
        /// The fewest items.
        min: usize,
        /// The most items.
        max: usize,
    },
    /// An object that another crate interprets.
    Options,
}

impl ValueKind {
    /// Returns the name of the type with its units, if it has any.
    pub fn type_text(&self) -> String {
        match self {
            Self::Name => "name".to_owned(),
            Self::Choice(words) => words
                .iter()
                .map(|word| format!("`{word}`"))
                .collect::<Vec<_>>()
                .join(", "),
            Self::Flag => "`true`, `false`".to_owned(),
            Self::Count { .. } => "whole number".to_owned(),
            Self::Rate { .. } => "number".to_owned(),
            Self::Duration { .. } => "duration in `ms`, `s`, `m` or `h`".to_owned(),
            Self::Size { .. } => "size in `B`, `KiB`, `MiB` or `GiB`".to_owned(),
            Self::Address(_) => "IP number and port".to_owned(),
            Self::Url => "URL with IP number and port".to_owned(),
            Self::File => "file path".to_owned(),
            Self::Secret => "secret text".to_owned(),
            Self::Digest => "SHA-256 digest".to_owned(),
            Self::Section(_) => "section".to_owned(),
            Self::List { item, .. } => format!("list: {}", item.type_text()),
            Self::Options => "object".to_owned(),
        }
    }

    /// Returns the bounds; empty if there are none.
    pub fn bounds_text(&self) -> String {
        match self {
            Self::Name => format!(
                "1 to {} visible ASCII characters",
                ebony_types::name::MAX_NAME_BYTES
            ),
            Self::Count { min, max } => format!("{min} to {max}"),
            Self::Rate { min, max } => format!("{min} to {max}"),
            Self::Duration { min, max } => format!("{} to {}", render_duration(*min), render_duration(*max)),
            Self::Size { min, max } => format!("{} to {}", render_size(*min), render_size(*max)),
            Self::Address(AddressUse::Listener { takes_wildcard: true }) => {
                "port 0 is any free port".to_owned()
            }
            Self::Address(AddressUse::Listener { .. }) => "no wildcard; port 0 is any free port".to_owned(),
            Self::Address(AddressUse::Remote) | Self::Url => "no wildcard, no port 0".to_owned(),
            Self::Secret => format!("at least {MIN_KEY_BYTES} bytes"),
            Self::Digest => "64 hexadecimal digits".to_owned(),
            Self::List { min, max, .. } => format!("{min} to {max} items"),
            Self::Choice(_) | Self::Flag | Self::File | Self::Section(_) | Self::Options => String::new(),
        }
    }

    /// Describes the accepted values for error messages.
    pub(crate) fn expected(&self) -> String {
        match self {
            Self::Name => format!("a name of {}", self.bounds_text()),
            Self::Choice(words) => format!("one of \"{}\"", words.join("\", \"")),
            Self::Flag => "true or false".to_owned(),
            Self::Count { .. } => format!("a whole number from {}", self.bounds_text()),
            Self::Rate { .. } => format!("a number from {}", self.bounds_text()),
            Self::Duration { .. } => {
                format!(
                    "a duration from {} with its unit (ms, s, m, h), such as \"5s\"",
                    self.bounds_text()
                )
            }
            Self::Size { .. } => {
                format!(
                    "a size from {} with its unit (B, KiB, MiB, GiB), such as \"4KiB\"",
                    self.bounds_text()
                )
            }
            Self::Address(AddressUse::Listener { takes_wildcard: true }) => {
                "an IP number and a port, such as \"127.0.0.1:7000\"".to_owned()
            }
            Self::Address(AddressUse::Listener { .. }) => {
                "the IP number of one interface and a port, such as \"127.0.0.1:7000\"".to_owned()
            }
            Self::Address(AddressUse::Remote) => {
                "an IP number and a port that can be connected to, such as \"127.0.0.1:7000\"".to_owned()
            }
            Self::Url => "a URL with an IP number and a port, such as \"http://127.0.0.1:7300\"".to_owned(),
            Self::File => "the path of a file".to_owned(),
            Self::Secret => format!("a text of {}", self.bounds_text()),
            Self::Digest => format!("a SHA-256 digest of {} in lower case", self.bounds_text()),
            Self::Section(_) => "a section in braces".to_owned(),
            Self::List { .. } => format!("a list of {}", self.bounds_text()),
            Self::Options => "an object in braces".to_owned(),
        }
    }
}
