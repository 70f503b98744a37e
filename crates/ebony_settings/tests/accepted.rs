//! Guards against a schema that refuses the samples, or that accepts files which the settings' types cannot decode.

use std::fs;
use std::path::{Path, PathBuf};

use ebony_settings::{KeySource, ProcessSettings, RoleSettings};

const ENTRY: &str = include_str!("minimal/entry.jsonc");
const SIDE: &str = include_str!("minimal/side.jsonc");

fn sample(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../samples")
        .join(name)
}

#[test]
fn the_samples_of_both_deployments_are_accepted() {
    let entries = ["calabash/entry.jsonc", "fanghi/entry.jsonc"];
    let sides = [
        "calabash/side-kalo.jsonc",
        "calabash/side-workshop.jsonc",
        "fanghi/side-modelli.jsonc",
        "fanghi/side-cantiere.jsonc",
    ];
    for name in entries {
        let settings = ProcessSettings::open(sample(name)).unwrap_or_else(|report| panic!("{report}"));
        assert!(matches!(settings.role, RoleSettings::Entry(_)), "{name}");
    }
    for name in sides {
        let settings = ProcessSettings::open(sample(name)).unwrap_or_else(|report| panic!("{report}"));
        assert!(matches!(settings.role, RoleSettings::Side(_)), "{name}");
    }
}

#[test]
fn the_shortest_files_get_their_defaults() {
    let entry = ProcessSettings::parse(ENTRY, "entry.jsonc").unwrap();
    insta::assert_debug_snapshot!("minimal_entry", entry);
    let side = ProcessSettings::parse(SIDE, "side.jsonc").unwrap();
    insta::assert_debug_snapshot!("minimal_side", side.role);
}

#[test]
fn options_of_the_policy_pass_unchanged() {
    let text = ENTRY.replace(
        "\"callers\"",
        "\"policy\": { \"a\": [1, null, { \"b\": 1.5 }] }, \"callers\"",
    );
    let settings = ProcessSettings::parse(&text, "entry.jsonc").unwrap();
    let expected = serde_json::json!({ "a": [1, null, { "b": 1.5 }] });
    assert_eq!(serde_json::Value::Object(settings.policy), expected);
}

/// Creates a folder for one test, for files that settings name.
fn folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::create_dir_all(&folder).expect("the folder can be created");
    folder
}

#[test]
fn files_are_found_beside_the_settings() {
    let folder = folder("files_are_found");
    let key = "{ \"file\": \"cluster.key\" }, \"tls\": { \"certificate\": \"a\", \"key\": \"b\", \"authority\": \"c\" }";
    let text = ENTRY.replace("{ \"inline\": \"0123456789abcdef\" }", key);
    fs::write(folder.join("entry.jsonc"), text).unwrap();
    fs::write(folder.join("cluster.key"), "0123456789abcdef\n").unwrap();
    for name in ["a", "b", "c"] {
        fs::write(folder.join(name), "").unwrap();
    }
    let settings =
        ProcessSettings::open(folder.join("entry.jsonc")).unwrap_or_else(|report| panic!("{report}"));
    assert_eq!(
        settings.links.cluster_key,
        KeySource::File(folder.join("cluster.key"))
    );
    assert_eq!(settings.links.tls.unwrap().certificate, folder.join("a"));
    assert!(settings.links.cluster_key.load().is_ok());
}

#[test]
fn missing_files_and_short_keys_are_reported_together() {
    let folder = folder("missing_files");
    let key = "{ \"file\": \"cluster.key\" }, \"tls\": { \"certificate\": \".\", \"key\": \"no\", \"authority\": \"no\" }";
    let text = ENTRY
        .replace("{ \"inline\": \"0123456789abcdef\" }", key)
        .replace("host-1", "");
    fs::write(folder.join("entry.jsonc"), text).unwrap();
    // Trailing white space does not count towards the length of the key.
    fs::write(folder.join("cluster.key"), "0123456789abcde\n\n\n").unwrap();
    let mut report = ProcessSettings::open(folder.join("entry.jsonc")).unwrap_err();
    report.file = "entry.jsonc".to_owned();
    insta::assert_snapshot!(report);
}
