//! Fixed-length hexadecimal strings.

use std::fmt;

/// Parses exactly `N` bytes from lower-case hexadecimal digits.
pub(crate) fn parse_hex<const N: usize>(text: &str) -> Option<[u8; N]> {
    let digits = text.as_bytes();
    if digits.len() != N * 2 {
        return None;
    }
    let mut bytes = [0; N];
    for (byte, pair) in bytes.iter_mut().zip(digits.chunks_exact(2)) {
        *byte = (digit_value(pair[0])? << 4) | digit_value(pair[1])?;
    }
    Some(bytes)
}

fn digit_value(digit: u8) -> Option<u8> {
    match digit {
        b'0'..=b'9' => Some(digit - b'0'),
        b'a'..=b'f' => Some(digit - b'a' + 10),
        _ => None,
    }
}

/// Writes bytes as lower-case hexadecimal digits.
pub(crate) fn write_hex(formatter: &mut fmt::Formatter<'_>, bytes: &[u8]) -> fmt::Result {
    bytes.iter().try_for_each(|byte| write!(formatter, "{byte:02x}"))
}

/// Implements formatting, parsing and serde for a byte-array type as lower-case hexadecimal digits.
macro_rules! serde_as_hex {
    ($type:ty, $expected:literal) => {
        impl std::fmt::Display for $type {
            fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                crate::hex_text::write_hex(formatter, &self.0)
            }
        }

        impl std::fmt::Debug for $type {
            fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                crate::hex_text::write_hex(formatter, &self.0)
            }
        }

        impl std::str::FromStr for $type {
            type Err = crate::hex_text::HexError;

            fn from_str(text: &str) -> std::result::Result<Self, Self::Err> {
                crate::hex_text::parse_hex(text)
                    .map(Self)
                    .ok_or(crate::hex_text::HexError($expected))
            }
        }

        impl serde::Serialize for $type {
            fn serialize<S: serde::Serializer>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error> {
                serializer.collect_str(self)
            }
        }

        impl<'de> serde::Deserialize<'de> for $type {
            fn deserialize<D: serde::Deserializer<'de>>(
                deserializer: D,
            ) -> std::result::Result<Self, D::Error> {
                let text = String::deserialize(deserializer)?;
                text.parse().map_err(serde::de::Error::custom)
            }
        }
    };
}

pub(crate) use serde_as_hex;

/// The error of parsing a hexadecimal string. Holds a description of what was expected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("expected {0} in lower-case hexadecimal digits")]
pub struct HexError(pub(crate) &'static str);
