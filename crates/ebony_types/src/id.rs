//! Identifiers of programs, calls, sessions, shards and processes.

use std::fmt;
use std::str::FromStr;

use rand::RngCore;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// The error of parsing a malformed identifier.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("malformed identifier")]
pub struct IdError;

/// The result of parsing an identifier.
pub type Result<T, E = IdError> = std::result::Result<T, E>;

fn parse_hex<const N: usize>(text: &str) -> Result<[u8; N]> {
    if text.len() != N * 2 || !text.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f')) {
        return Err(IdError);
    }
    let mut bytes = [0; N];
    for (index, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[index * 2..index * 2 + 2], 16).map_err(|_| IdError)?;
    }
    Ok(bytes)
}

fn write_hex(formatter: &mut fmt::Formatter<'_>, bytes: &[u8]) -> fmt::Result {
    bytes.iter().try_for_each(|byte| write!(formatter, "{byte:02x}"))
}

macro_rules! serde_as_text {
    ($type:ty) => {
        impl Serialize for $type {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.collect_str(self)
            }
        }

        impl<'de> Deserialize<'de> for $type {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                let text = String::deserialize(deserializer)?;
                text.parse().map_err(serde::de::Error::custom)
            }
        }

        impl fmt::Debug for $type {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(self, formatter)
            }
        }
    };
}

/// Identifies a shard. Programs are divided into a fixed number of shards.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ShardKey(pub u16);

impl fmt::Display for ShardKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:04x}", self.0)
    }
}

/// Identifies a program. The shard is part of the identifier, so that any entry finds the owner without a look-up, and
/// a child program can be placed in its parent's shard.
///
/// ```
/// use ebony_types::{ProgramId, ShardKey};
///
/// let id = ProgramId::from_parts(ShardKey(7), [1; 14]);
/// assert_eq!(id.to_string(), "p-0007-0101010101010101010101010101");
/// assert_eq!(id.to_string().parse(), Ok(id));
/// assert_eq!(id.shard(), ShardKey(7));
/// ```
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProgramId {
    shard: ShardKey,
    random: [u8; 14],
}

impl ProgramId {
    /// Creates an identifier from its parts.
    pub const fn from_parts(shard: ShardKey, random: [u8; 14]) -> Self {
        Self { shard, random }
    }

    /// Creates a random identifier within `shard`.
    pub fn random(shard: ShardKey, rng: &mut impl RngCore) -> Self {
        let mut random = [0; 14];
        rng.fill_bytes(&mut random);
        Self { shard, random }
    }

    /// Returns the shard that the program belongs to.
    pub const fn shard(self) -> ShardKey {
        self.shard
    }
}

impl fmt::Display for ProgramId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "p-{}-", self.shard)?;
        write_hex(formatter, &self.random)
    }
}

impl FromStr for ProgramId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self> {
        let rest = text.strip_prefix("p-").ok_or(IdError)?;
        let (shard, random) = rest.split_once('-').ok_or(IdError)?;
        let shard = ShardKey(u16::from_be_bytes(parse_hex(shard)?));
        Ok(Self {
            shard,
            random: parse_hex(random)?,
        })
    }
}

serde_as_text!(ProgramId);

macro_rules! random_id {
    ($(#[$meta:meta])* $type:ident, $prefix:literal) => {
        $(#[$meta])*
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $type([u8; 16]);

        impl $type {
            /// Creates an identifier from its bytes.
            pub const fn from_bytes(bytes: [u8; 16]) -> Self {
                Self(bytes)
            }

            /// Creates a random identifier.
            pub fn random(rng: &mut impl RngCore) -> Self {
                let mut bytes = [0; 16];
                rng.fill_bytes(&mut bytes);
                Self(bytes)
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str($prefix)?;
                write_hex(formatter, &self.0)
            }
        }

        impl FromStr for $type {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self> {
                let hex = text.strip_prefix($prefix).ok_or(IdError)?;
                parse_hex(hex).map(Self)
            }
        }

        serde_as_text!($type);
    };
}

random_id! {
    /// Identifies one call of a program in all processes that handle it.
    CallId, "c-"
}

random_id! {
    /// Identifies a session of an entry process. A session owns shards and appends to one journal.
    SessionId, "s-"
}

random_id! {
    /// Identifies one run of a process. A restarted process has a new incarnation.
    ProcessIncarnation, "i-"
}

/// A fencing token. A later holder of the same right has a higher token. A target or side process refuses an order
/// whose token is lower than one that it has received before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct FencingToken(pub u64);
