//! Checks of values other than sections, lists and options.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::{Value, json};

use super::close_match::find_close_match;
use super::raw_value::RawValue;
use crate::base_url::BaseUrl;
use crate::issue::IssueKind;
use crate::schema::{AddressUse, MIN_KEY_BYTES, ValueKind};
use crate::unit::{parse_duration, parse_size};

/// Hexadecimal digits of a SHA-256 digest.
const DIGEST_DIGITS: usize = 64;

/// Checks a value against its type and returns it in the form that the settings' types decode.
///
/// # Errors
///
/// Returns an issue that describes the expected and the found value.
pub(super) fn check_scalar(kind: ValueKind, raw: RawValue<'_>) -> Result<Value, IssueKind> {
    match raw {
        RawValue::Text(text) => check_text(kind, text),
        RawValue::Number(digits) => check_number(kind, digits),
        RawValue::Flag(flag) if kind == ValueKind::Flag => Some(Value::Bool(flag)),
        _ => None,
    }
    .ok_or_else(|| wrong_value(kind, raw))
}

/// Returns the issue for a value that its key does not accept.
pub(super) fn wrong_value(kind: ValueKind, raw: RawValue<'_>) -> IssueKind {
    let found = match (kind, raw) {
        (ValueKind::Secret, RawValue::Text(text)) => format!("{} bytes", text.len()),
        // A secret must not be logged, even if it was written in place of its section.
        (ValueKind::Secret | ValueKind::Section(_), RawValue::Text(_) | RawValue::Number(_)) => {
            "a plain value".to_owned()
        }
        _ => raw.describe(),
    };
    let suggestion = match (kind, raw) {
        (ValueKind::Choice(words), RawValue::Text(text)) => find_close_match(text, words.iter().copied()),
        _ => None,
    };
    IssueKind::WrongValue {
        expected: kind.expected(),
        found,
        suggestion,
    }
}

fn check_text(kind: ValueKind, text: &str) -> Option<Value> {
    match kind {
        ValueKind::Name => is_name(text).then(|| json!(text)),
        ValueKind::Choice(words) => words.contains(&text).then(|| json!(text)),
        ValueKind::Duration { min, max } => check_duration(text, min, max),
        ValueKind::Size { min, max } => {
            let bytes = parse_size(text).ok()?;
            (min..=max).contains(&bytes).then(|| json!(bytes))
        }
        ValueKind::Address(usage) => check_address(text, usage),
        ValueKind::Url => BaseUrl::parse(text).ok().map(|url| json!(url)),
        ValueKind::File => (!text.is_empty() && !text.contains('\0')).then(|| json!(text)),
        ValueKind::Secret => (text.len() >= MIN_KEY_BYTES).then(|| json!(text)),
        ValueKind::Digest => is_digest(text).then(|| json!(text)),
        _ => None,
    }
}

fn check_number(kind: ValueKind, digits: &str) -> Option<Value> {
    match kind {
        ValueKind::Count { min, max } => {
            let count: u64 = digits.parse().ok()?;
            (min..=max).contains(&count).then(|| json!(count))
        }
        ValueKind::Rate { min, max } => {
            let rate: f64 = digits.parse().ok()?;
            (min..=max).contains(&rate).then(|| json!(rate))
        }
        _ => None,
    }
}

fn is_name(text: &str) -> bool {
    // All names follow the same rule, so that checking as a host name covers every kind.
    ebony_types::HostName::parse(text).is_ok()
}

fn is_digest(text: &str) -> bool {
    text.len() == DIGEST_DIGITS && text.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'))
}

fn check_duration(text: &str, min: u64, max: u64) -> Option<Value> {
    let duration = parse_duration(text).ok()?;
    let bounds = Duration::from_millis(min)..=Duration::from_millis(max);
    bounds.contains(&duration).then(|| json!(duration))
}

fn check_address(text: &str, usage: AddressUse) -> Option<Value> {
    let address: SocketAddr = text.parse().ok()?;
    let is_wildcard = address.ip().is_unspecified();
    let fits = match usage {
        AddressUse::Listener { takes_wildcard } => takes_wildcard || !is_wildcard,
        AddressUse::Remote => !is_wildcard && address.port() != 0,
    };
    fits.then(|| json!(address))
}
