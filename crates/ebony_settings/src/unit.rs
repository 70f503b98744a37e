//! Parsing and rendering of durations and byte sizes with units.

use std::time::Duration;

/// Why a text is not a quantity with a unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum UnitError {
    /// The text does not start with a whole number.
    #[error("no whole number")]
    NoNumber,
    /// The number has no unit.
    #[error("no unit")]
    NoUnit,
    /// The unit is not one of the known units.
    #[error("unknown unit")]
    UnknownUnit,
    /// The quantity does not fit into 64 bits.
    #[error("too large")]
    TooLarge,
}

/// The result of parsing a quantity.
pub type Result<T, E = UnitError> = std::result::Result<T, E>;

/// A unit and its factor.
struct UnitFactor {
    name: &'static str,
    factor: u64,
}

/// Units of durations, in milliseconds.
const DURATION_UNITS: [UnitFactor; 4] = [
    UnitFactor {
        name: "ms",
        factor: 1,
    },
    UnitFactor {
        name: "s",
        factor: 1_000,
    },
    UnitFactor {
        name: "m",
        factor: 60_000,
    },
    UnitFactor {
        name: "h",
        factor: 3_600_000,
    },
];

/// Units of sizes, in bytes.
const SIZE_UNITS: [UnitFactor; 4] = [
    UnitFactor { name: "B", factor: 1 },
    UnitFactor {
        name: "KiB",
        factor: 1 << 10,
    },
    UnitFactor {
        name: "MiB",
        factor: 1 << 20,
    },
    UnitFactor {
        name: "GiB",
        factor: 1 << 30,
    },
];

/// Parses a duration such as `250ms`, `5s`, `2m` or `24h`.
///
/// ```
/// use std::time::Duration;
/// use ebony_settings::{UnitError, parse_duration};
///
/// assert_eq!(parse_duration("250ms"), Ok(Duration::from_millis(250)));
/// assert_eq!(parse_duration("5"), Err(UnitError::NoUnit));
/// assert_eq!(parse_duration("5 s"), Err(UnitError::UnknownUnit));
/// ```
///
/// # Errors
///
/// Returns [`UnitError`] unless the text is a whole number directly followed by a known unit.
pub fn parse_duration(text: &str) -> Result<Duration> {
    parse_quantity(text, &DURATION_UNITS).map(Duration::from_millis)
}

/// Parses a size such as `512B`, `64KiB`, `4MiB` or `1GiB` and returns bytes.
///
/// ```
/// use ebony_settings::{UnitError, parse_size};
///
/// assert_eq!(parse_size("4MiB"), Ok(4 * 1024 * 1024));
/// assert_eq!(parse_size("4MB"), Err(UnitError::UnknownUnit));
/// ```
///
/// # Errors
///
/// Returns [`UnitError`] unless the text is a whole number directly followed by a known unit.
pub fn parse_size(text: &str) -> Result<u64> {
    parse_quantity(text, &SIZE_UNITS)
}

fn parse_quantity(text: &str, units: &[UnitFactor]) -> Result<u64> {
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    let (number, name) = text.split_at(digits);
    if number.is_empty() {
        return Err(UnitError::NoNumber);
    }
    if name.is_empty() {
        return Err(UnitError::NoUnit);
    }
    let unit = units
        .iter()
        .find(|unit| unit.name == name)
        .ok_or(UnitError::UnknownUnit)?;
    let number: u64 = number.parse().map_err(|_| UnitError::TooLarge)?;
    number.checked_mul(unit.factor).ok_or(UnitError::TooLarge)
}

/// Renders milliseconds in the largest unit that gives a whole number.
pub(crate) fn render_duration(millis: u64) -> String {
    render_quantity(millis, &DURATION_UNITS)
}

/// Renders bytes in the largest unit that gives a whole number.
pub(crate) fn render_size(bytes: u64) -> String {
    render_quantity(bytes, &SIZE_UNITS)
}

fn render_quantity(amount: u64, units: &[UnitFactor]) -> String {
    let divides = |unit: &&UnitFactor| amount >= unit.factor && amount.is_multiple_of(unit.factor);
    match units.iter().rev().find(divides) {
        Some(unit) => format!("{}{}", amount / unit.factor, unit.name),
        None => format!("{amount}{}", units.first().map_or("", |unit| unit.name)),
    }
}
