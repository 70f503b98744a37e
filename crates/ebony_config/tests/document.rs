//! Guards against lost records, invalid documents that pass validation, and wrong resolved values.

mod common;

use common::{callers, sample};
use ebony_config::{
    CallerRecord, ConfigDocument, ConfigPatch, ConfigUpdate, KeyDigest, MAX_DOCUMENT_BYTES, MapPatch,
    ResolveScope, WallTime,
};
use ebony_types::{CallerName, ModelName};

/// The number of callers at the design scale.
const CALLERS: u32 = 49_000;

#[test]
fn the_canonical_form_is_stable() {
    let document = sample();
    assert_eq!(ConfigDocument::decode(&document.encode()), Ok(document.clone()));
    document.validate_for_writing().unwrap();
    insta::assert_json_snapshot!(document);
}

#[test]
fn all_violations_are_reported_at_once() {
    let mut value: serde_json::Value = serde_json::from_str(common::SAMPLE).unwrap();
    value["defaults"]["policy"]["latency_weight"] = 1.5.into();
    value["defaults"]["retries"] = serde_json::json!({ "percent": 101, "attempts": 0 });
    value["exceptions"]["kalo-queue"]["reason"] = " \n".into();
    value["exceptions"]["kalo-queue"]["author"] = "".into();
    value["exceptions"]["kalo-queue"]["scope"] = serde_json::json!({ "model": "gone" });
    value["exceptions"]["kalo-queue"]["values"] = serde_json::json!({});
    value["exceptions"]["shop-budget"]["expires"] = 2000.into();
    value["exceptions"]["shop-budget"]["scope"] = serde_json::json!({ "caller": "nobody" });
    value["exceptions"]["shop-budget"]["values"]["budget"]["tokens"] = 0.into();
    value["objectives"]["retail"]["availability"] = 1.0.into();
    value["objectives"]["retail"]["first_token"]["millis"] = 0.into();
    value["callers"]["depot"]["weight"] = 0.into();
    value["callers"]["depot"]["models"] = serde_json::json!(["kalo", "other"]);
    value["callers"]["depot"]["keys"] = value["callers"]["shop"]["keys"].clone();
    value["operators"]["ana"] = value["operators"]["sela"].clone();
    value["operators"]["tui"] = serde_json::json!({ "keys": [] });
    value["callers"]["yard"] =
        serde_json::json!({ "group": "g", "keys": value["operators"]["sela"]["keys"] });
    let document: ConfigDocument = serde_json::from_value(value).unwrap();
    insta::assert_snapshot!(document.validate().unwrap_err());
    insta::assert_snapshot!(ConfigDocument::default().validate().unwrap_err());
}

#[test]
fn malformed_documents_are_refused() {
    let texts = [
        "",
        "{ \"version\": 1, \"defualts\": {} }",
        "{ \"version\": -1 }",
        "{ \"version\": 1, \"defaults\": { \"budget\": { \"tokens\": \"1\" } } }",
        "{ \"version\": 1, \"operators\": { \"a\": { \"keys\": [\"12\"] } } }",
        "{ \"version\": 1, \"callers\": { \"a\": { \"group\": \"\", \"keys\": [] } } }",
        "{ \"version\": 1, \"callers\": { \"a\": { \"group\": \"g\", \"keys\": [] }, \"a\": { \"group\": \"g\", \"keys\": [] } } }",
    ];
    let reports = texts.map(|text| ConfigDocument::decode(text.as_bytes()).unwrap_err().to_string());
    insta::assert_snapshot!(reports.join("\n"));
    assert!(ConfigDocument::decode(&vec![b' '; ebony_config::MAX_DOCUMENT_BYTES + 1]).is_err());
}

#[test]
fn exceptions_apply_in_the_documented_order() {
    let patch = r#"{ "exceptions": { "set": {
        "a-later": { "scope": { "model": "kalo" }, "values": { "admission": { "queue_calls": 16 } },
                     "reason": "r", "author": "sela", "created": 1500 },
        "b-equal": { "scope": { "model": "kalo" }, "values": { "admission": { "queue_calls": 8 } },
                     "reason": "r", "author": "sela", "created": 1500, "expires": 5000 },
        "target": { "scope": { "target": "kalo-01" }, "values": { "admission": { "queue_ms": 100 } },
                    "reason": "r", "author": "sela", "created": 1 }
    } } }"#;
    let document = ConfigPatch::decode(patch.as_bytes())
        .unwrap()
        .apply(&sample())
        .unwrap();
    let (shop, kalo) = (
        CallerName::parse("shop").unwrap(),
        ModelName::parse("kalo").unwrap(),
    );
    let target = ebony_types::TargetName::parse("kalo-01").unwrap();
    let model_only = ResolveScope {
        model: Some(&kalo),
        ..ResolveScope::default()
    };
    let with_target = ResolveScope {
        target: Some(&target),
        ..model_only
    };
    let all = ResolveScope {
        caller: Some(&shop),
        ..with_target
    };
    let resolve = |scope, now| {
        let values = document.resolve(&scope, WallTime(now));
        (
            values.budget.tokens,
            values.admission.queue_calls,
            values.admission.queue_ms,
        )
    };
    assert_eq!(resolve(ResolveScope::default(), 3000), (500_000, 64, 10_000));
    // The newer exceptions of the model override the older one; those with the same creation time apply by name.
    assert_eq!(resolve(model_only, 3000), (500_000, 8, 5_000));
    assert_eq!(resolve(with_target, 3000), (500_000, 8, 100));
    assert_eq!(resolve(all, 3000), (900_000, 8, 60_000));
    // An exception ends at its expiry.
    assert_eq!(resolve(model_only, 5000), (500_000, 16, 5_000));
    assert_eq!(resolve(all, 9000), (500_000, 16, 100));
}

#[test]
fn callers_are_found_by_key_and_name_after_changes() {
    let table = callers(1_000);
    let name = |number: u32| CallerName::parse(&format!("caller-{number:06}")).unwrap();
    let key = |text: &str| KeyDigest::of_key(text);
    let mut patch = MapPatch::<CallerName, CallerRecord>::default();
    patch.remove.insert(name(3));
    let mut record = table.find_name("caller-000004").unwrap().to_record();
    record.keys = vec![key("new-4a"), key("new-4b")];
    record.weight = 7;
    patch.set.insert(name(4), record.clone());
    patch.set.insert(
        CallerName::parse("a-first").unwrap(),
        CallerRecord {
            keys: vec![key("first")],
            ..record
        },
    );
    let next = table.apply(&patch);
    assert_eq!(next.len(), 1_000);
    assert_eq!(next.find_key(&key("key-3")), None);
    assert_eq!(
        next.find_key(&key("key-4")),
        None,
        "a replaced key finds no caller"
    );
    for text in ["new-4a", "new-4b"] {
        assert_eq!(next.find_key(&key(text)).map(|caller| caller.weight), Some(7));
    }
    assert_eq!(
        next.find_key(&key("first")).map(|caller| caller.name),
        Some("a-first")
    );
    for number in (0..1_000).filter(|number| ![3, 4].contains(number)) {
        let found = next.find_key(&key(&format!("key-{number}"))).unwrap();
        assert_eq!(found.name, name(number).as_str());
        assert_eq!(Some(found), next.find_name(found.name));
    }
}

#[test]
fn the_design_scale_fits_into_a_frame_and_little_memory() {
    let document = ConfigDocument {
        callers: callers(CALLERS).into(),
        ..sample()
    };
    let per_caller = document.callers.heap_bytes() / CALLERS as usize;
    assert!(per_caller <= 96, "{per_caller} bytes for each caller");
    let bytes = ConfigUpdate::Full(Box::new(document.clone())).encode();
    assert!(
        bytes.len() < ebony_config::MAX_DOCUMENT_BYTES,
        "{} bytes",
        bytes.len()
    );
    assert_eq!(
        ConfigUpdate::decode(&bytes),
        Ok(ConfigUpdate::Full(Box::new(document)))
    );
}

/// Guards against a document that passes the size check and is then refused by every process that receives it.
#[test]
fn the_largest_document_fits_into_an_update() {
    let mut value: serde_json::Value = serde_json::from_str(common::SAMPLE).unwrap();
    let size = |value: &serde_json::Value| {
        let document: ConfigDocument = serde_json::from_value(value.clone()).unwrap();
        document.encode().len()
    };
    value["exceptions"]["kalo-queue"]["reason"] = "".into();
    let room = MAX_DOCUMENT_BYTES - size(&value);
    value["exceptions"]["kalo-queue"]["reason"] = "r".repeat(room).into();
    assert_eq!(size(&value), MAX_DOCUMENT_BYTES);
    let document: ConfigDocument = serde_json::from_value(value).unwrap();
    let update = ConfigUpdate::Full(Box::new(document));
    assert_eq!(ConfigUpdate::decode(&update.encode()), Ok(update));
}
