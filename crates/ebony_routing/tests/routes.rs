//! Matching of routes, and distribution of calls over the services of a route.

use std::time::Duration;

use ebony_routing::{CallSemantics, CallerLimits, RouteRule, RoutingTable, RoutingVersion, ServiceShare};
use ebony_types::ServiceName;

fn rule(name: &str, prefix: &str, shares: &[(&str, u32)]) -> RouteRule {
    let services = shares.iter().map(|(service, weight)| ServiceShare {
        service: ServiceName::parse(service).expect("a valid name"),
        weight: *weight,
    });
    RouteRule {
        name: name.into(),
        host: "App.example".into(),
        prefix: prefix.into(),
        semantics: CallSemantics::AtMostOnce,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(150),
        max_targets: 1,
        urgency: 0,
        services: services.collect(),
        program: None,
        is_public: false,
        is_sticky: false,
    }
}

fn table(routes: Vec<RouteRule>) -> RoutingTable {
    let limits = CallerLimits {
        head_bytes: 16_384,
        body_bytes: 1_000,
        head_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    RoutingTable::open(RoutingVersion(3), routes, Vec::new(), limits)
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let routes = vec![
        rule("a", "/a/", &[]),
        rule("a-b", "/a/b/", &[]),
        rule("root", "/", &[]),
    ];
    let table = table(routes);
    let paths = ["/a/b/c", "/a/b", "/a/x/b/", "/A/b/", "/", "/ab"];
    let found = paths.map(|path| {
        let route = table.route("app.EXAMPLE:8080", path);
        format!("{path} -> {}", route.map_or("none", |route| route.name.as_str()))
    });
    insta::assert_debug_snapshot!(found);
}

#[test]
fn services_are_chosen_by_weight_and_stable_for_a_seed() {
    let route = rule("r", "/", &[("old", 90), ("new", 10), ("off", 0)]);
    let mut counts = std::collections::BTreeMap::new();
    for seed in 0..1_000_u64 {
        let service = route.service_for(seed).expect("a weight is positive");
        assert_eq!(route.service_for(seed), Some(service));
        *counts.entry(service.as_str()).or_insert(0) += 1;
    }
    insta::assert_debug_snapshot!(counts);
    assert_eq!(rule("r", "/", &[("off", 0)]).service_for(1), None);
    assert_eq!(rule("r", "/", &[]).service_for(1), None);
}
