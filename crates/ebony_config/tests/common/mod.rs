//! Documents for the tests.

use std::collections::BTreeMap;

use ebony_config::{CallerTable, ConfigDocument};

/// A valid document with a few records of each kind.
pub(crate) const SAMPLE: &str = include_str!("sample.json");

/// Returns the sample document.
pub(crate) fn sample() -> ConfigDocument {
    ConfigDocument::decode(SAMPLE.as_bytes()).expect("the sample decodes as a document")
}

/// Returns a table of callers with one key each, in 64 groups.
pub(crate) fn callers(count: u32) -> CallerTable {
    let record = |number: u32| {
        let key = ebony_config::KeyDigest::of_key(&format!("key-{number}"));
        serde_json::json!({ "group": format!("group-{:02}", number % 64), "keys": [key] })
    };
    let records: BTreeMap<String, _> = (0..count)
        .map(|number| (format!("caller-{number:06}"), record(number)))
        .collect();
    serde_json::from_value(serde_json::json!(records)).expect("the records decode as a table")
}
