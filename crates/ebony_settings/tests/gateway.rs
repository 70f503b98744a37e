//! Guards against wrong defaults and missed errors in the settings of gateways.

use std::path::Path;

use ebony_settings::{GatewaySettings, is_gateway_file};

fn sample(name: &str) -> std::path::PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../samples")
        .join(name)
}

#[test]
fn the_sample_is_right_and_fills_in_defaults() {
    let path = sample("platform/gateway.jsonc");
    assert!(is_gateway_file(&path).expect("the file can be read"));
    let settings = GatewaySettings::open(&path).expect("the sample is valid");
    insta::assert_debug_snapshot!(settings);
    assert!(!is_gateway_file(sample("calabash/entry.jsonc")).expect("the file can be read"));
}

#[test]
fn all_that_is_wrong_is_reported_at_once() {
    let text = r#"{
  "process": "gateway 1",
  "role": "gateway",
  "host": "front-1",
  "region": "r",
  "failure_domain": "a",
  "callers": { "listen": "127.0.0.1:17100" },
  "links": { "listen": "127.0.0.1:17100" },
  "metrics": { "listen": "localhost:1" },
  "store": { "url": "127.0.0.1:17900", "timeout": 1 },
  "drain_time": "8",
  "policy": { "placement": "nearest" },
  "targetz": {},
}"#;
    let report = GatewaySettings::parse(text, "gateway.jsonc").expect_err("the text is invalid");
    insta::assert_snapshot!(report.to_string());
}
