//! Measures sizes and times of a configuration at the design scale: 49,000 callers, 33 models, 17,000 changes a day.
//!
//! Run it with `cargo run --release -p ebony_config --example measure_config`.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use ebony_config::{
    CallerTable, ConfigDelta, ConfigDocument, ConfigPatch, ConfigUpdate, KeyDigest, WallTime,
};
use ebony_types::{CallerName, ModelName};

const CALLERS: u32 = 49_000;
const GROUPS: u32 = 64;
const MODELS: u32 = 33;
const CHANGES_PER_DAY: f64 = 17_000.0;
const SECONDS_PER_DAY: f64 = 86_400.0;

/// The number of repetitions of each timed step. The median is printed.
const REPETITIONS: usize = 21;

fn main() {
    let document = document();
    println!(
        "caller table: {} bytes for each caller on the heap",
        document.callers.heap_bytes() / CALLERS as usize
    );
    print_sizes(&document);
    print_times(&document);
}

fn document() -> ConfigDocument {
    let model = |number: u32| ModelName::parse(&format!("model-{number:02}")).expect("the name is valid");
    let record = |number: u32| {
        let key = KeyDigest::of_key(&format!("key-{number}"));
        serde_json::json!({ "group": format!("group-{:02}", number % GROUPS), "keys": [key] })
    };
    let records: BTreeMap<String, _> = (0..CALLERS)
        .map(|number| (format!("caller-{number:06}"), record(number)))
        .collect();
    let callers: CallerTable =
        serde_json::from_value(serde_json::json!(records)).expect("the records decode as a table");
    let operator = serde_json::json!({ "sela": { "keys": [KeyDigest::of_key("operator")] } });
    ConfigDocument {
        version: 1,
        models: (0..MODELS).map(model).collect(),
        operators: serde_json::from_value(operator).expect("the record decodes as an operator"),
        callers: Arc::new(callers),
        ..ConfigDocument::default()
    }
}

/// Returns typical changes: to a caller's key, an exception and a default.
fn patches(document: &ConfigDocument) -> [(&'static str, ConfigPatch); 3] {
    let mut caller = ConfigPatch::default();
    if let Some(view) = document.callers.find_name("caller-000007") {
        let mut record = view.to_record();
        record.keys.push(KeyDigest::of_key("second"));
        caller
            .callers
            .set
            .extend(CallerName::parse(view.name).map(|name| (name, record)));
    }
    let exception = br#"{ "exceptions": { "set": { "queue-of-model-07": {
        "scope": { "model": "model-07" }, "values": { "admission": { "queue_calls": 32 } },
        "reason": "Long prompts fill the queue while the new version is loaded.", "author": "sela",
        "created": 1764720000, "expires": 1764806400 } } } }"#;
    let default = br#"{ "defaults": { "policy": { "latency_weight": 0.8 } } }"#;
    let decode = |bytes: &[u8]| ConfigPatch::decode(bytes).expect("the change is well formed");
    [
        ("a caller's key", caller),
        ("an exception", decode(exception)),
        ("a default", decode(default)),
    ]
}

fn print_sizes(document: &ConfigDocument) {
    let rate = CHANGES_PER_DAY / SECONDS_PER_DAY;
    let print = |name: &str, bytes: usize| {
        println!(
            "{name}: {bytes} bytes; at {rate:.3} changes/s {:.0} bytes/s over a link",
            bytes as f64 * rate
        );
    };
    print(
        "whole document",
        ConfigUpdate::Full(Box::new(document.clone())).encode().len(),
    );
    print(
        "whole document for a side process",
        ConfigUpdate::Full(Box::new(document.clone()))
            .for_side()
            .encode()
            .len(),
    );
    for (name, patch) in patches(document) {
        let delta = ConfigDelta { version: 2, patch };
        print(name, ConfigUpdate::Delta(Box::new(delta)).encode().len());
    }
}

fn print_times(document: &ConfigDocument) {
    let bytes = document.encode();
    print_time("decode the whole document", || {
        ConfigDocument::decode(&bytes).is_ok()
    });
    print_time("validate it", || document.validate().is_ok());
    for (name, patch) in patches(document) {
        print_time(&format!("apply a change: {name}"), || {
            patch.apply(document).is_ok()
        });
    }
    let key = KeyDigest::of_key("key-25000");
    print_time("1,000 look-ups by key", || {
        (0..1_000).all(|_| document.callers.find_key(&key).is_some())
    });
    let scope = ebony_config::ResolveScope::default();
    print_time("1,000 resolutions", || {
        (0..1_000).all(|_| document.resolve(&scope, WallTime(0)).budget.calls > 0)
    });
}

fn print_time(name: &str, mut step: impl FnMut() -> bool) {
    let mut times: Vec<_> = (0..REPETITIONS)
        .map(|_| {
            let start = Instant::now();
            assert!(std::hint::black_box(step()), "{name} failed");
            start.elapsed()
        })
        .collect();
    times.sort();
    println!("{name}: {:?}", times[REPETITIONS / 2]);
}
