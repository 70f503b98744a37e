//! Guards against changed names and defaults of the options, which operators use in settings.

use ebony_policy::options::{PolicyName, PolicyOptions};
use ebony_policy::placement::PlacementRule;

const NAMES: [PolicyName; 5] = [
    PolicyName::Ebonyswitch,
    PolicyName::RoundRobin,
    PolicyName::LeastOutstanding,
    PolicyName::LastTarget,
    PolicyName::FirstComeFirstServed,
];

#[test]
fn defaults_are_stable() {
    insta::assert_json_snapshot!(PolicyOptions::default());
}

#[test]
fn options_survive_json_and_are_valid() {
    for name in NAMES {
        let options = PolicyOptions::named(name);
        options.validate().unwrap();
        let text = serde_json::to_string(&options).unwrap();
        assert_eq!(serde_json::from_str::<PolicyOptions>(&text).unwrap(), options);
    }
    let names = serde_json::to_string(&NAMES).unwrap();
    assert_eq!(
        names,
        r#"["ebonyswitch","round-robin","least-outstanding","last-target","first-come-first-served"]"#
    );
}

/// A misspelt option is refused instead of ignored, and a missing option has its default.
#[test]
fn unknown_options_are_refused() {
    assert!(serde_json::from_str::<PolicyOptions>(r#"{"latency_wieght": 0.3}"#).is_err());
    let text = r#"{"latency_weight": 0.3, "placement": {"rule": "round-robin"}}"#;
    let options: PolicyOptions = serde_json::from_str(text).unwrap();
    assert_eq!(options.placement.rule, PlacementRule::RoundRobin);
    assert_eq!(
        options.placement.samples,
        PolicyOptions::default().placement.samples
    );
}

#[test]
fn ranges_are_checked() {
    let mut options = PolicyOptions {
        latency_weight: 1.5,
        ..PolicyOptions::default()
    };
    let error = options.validate().unwrap_err();
    assert_eq!(error.to_string(), "latency_weight is out of range: 0 to 1");
    options = PolicyOptions::default();
    options.placement.samples = 0;
    assert!(options.validate().is_err());
}
