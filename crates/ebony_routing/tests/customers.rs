//! Lookup of API keys, and the identity of callers.

use std::time::Duration;

use ebony_routing::{
    CallSemantics, CallerIdentity, CallerLimits, CustomerDirectory, CustomerRule, FaultKind, KeyDigest,
    KeyError, RouteRule, RoutingTable, RoutingVersion,
};
use ebony_types::CustomerName;

fn route(is_public: bool) -> RouteRule {
    RouteRule {
        name: "r".into(),
        host: "app.example".into(),
        prefix: "/".into(),
        semantics: CallSemantics::Idempotent,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(150),
        max_targets: 1,
        urgency: 3,
        services: Vec::new(),
        program: None,
        is_public,
        is_sticky: false,
    }
}

fn rule(name: &str, keys: &[&str]) -> CustomerRule {
    CustomerRule {
        name: CustomerName::parse(name).expect("a valid name"),
        keys: keys.iter().map(|key| KeyDigest::of(key.as_bytes())).collect(),
        priority: None,
        rate: None,
        burst: 0.0,
        has_valid_quota: true,
    }
}

/// Returns a table without customers.
fn open_table(version: u64) -> RoutingTable {
    let limits = CallerLimits {
        head_bytes: 16_384,
        body_bytes: 1_000,
        head_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    RoutingTable::open(RoutingVersion(version), Vec::new(), Vec::new(), limits)
}

fn table(rules: Vec<CustomerRule>) -> RoutingTable {
    open_table(1).with_customers(CustomerDirectory::open(rules, Vec::new()))
}

fn identify(table: &RoutingTable, is_public: bool, key: Option<&str>) -> Result<CallerIdentity, KeyError> {
    let key = key.map(|key| KeyDigest::of(key.as_bytes()));
    table.identify(&route(is_public), key.as_ref())
}

fn customer(name: &str) -> Result<CallerIdentity, KeyError> {
    Ok(CallerIdentity::Customer(
        CustomerName::parse(name).expect("a valid name"),
    ))
}

/// Guards against calls without a known key on routes that need one, and against calls of customers on public routes
/// that count for nobody.
#[test]
fn known_keys_identify_customers_and_public_routes_need_none() {
    let table = table(vec![rule("lali", &["k1", "k2"]), rule("derua", &[])]);
    for is_public in [false, true] {
        assert_eq!(identify(&table, is_public, Some("k1")), customer("lali"));
        assert_eq!(identify(&table, is_public, Some("k2")), customer("lali"));
    }
    assert_eq!(identify(&table, false, Some("k3")), Err(KeyError::Unknown));
    assert_eq!(identify(&table, false, Some("")), Err(KeyError::Unknown));
    assert_eq!(identify(&table, false, None), Err(KeyError::Missing));
    assert_eq!(identify(&table, true, Some("k3")), Ok(CallerIdentity::Public));
    assert_eq!(identify(&table, true, None), Ok(CallerIdentity::Public));
}

/// Guards against an empty list that opens all routes, and against a missing list that closes them.
#[test]
fn an_empty_list_of_customers_differs_from_none() {
    assert_eq!(
        identify(&table(Vec::new()), false, Some("k1")),
        Err(KeyError::Unknown)
    );
    assert!(table(Vec::new()).has_customers());
    let without = open_table(1);
    assert!(!without.has_customers());
    for key in [None, Some("k1")] {
        assert_eq!(identify(&without, false, key), Ok(CallerIdentity::Unrestricted));
    }
}

/// Guards against a key that gives one customer the calls of another.
#[test]
fn a_key_of_several_customers_belongs_to_none() {
    let rules = vec![
        rule("lali", &["both", "k1"]),
        rule("derua", &["k2", "both"]),
        rule("pahu", &["both"]),
    ];
    let table = table(rules);
    assert_eq!(identify(&table, false, Some("both")), Err(KeyError::Shared));
    assert_eq!(identify(&table, true, Some("both")), Ok(CallerIdentity::Public));
    assert_eq!(identify(&table, false, Some("k1")), customer("lali"));
    assert_eq!(identify(&table, false, Some("k2")), customer("derua"));
    let faults = table.customer_faults();
    let places: Vec<_> = faults
        .iter()
        .map(|fault| (fault.kind, fault.place.as_str()))
        .collect();
    let expected = [
        (FaultKind::SharedKey, "lali, derua"),
        (FaultKind::SharedKey, "several, pahu"),
    ];
    assert_eq!(places, expected);
}

/// Guards against a key that a customer lists twice and that is taken for a shared one.
#[test]
fn repeated_keys_and_names_belong_to_one_customer() {
    let mut second = rule("lali", &["k2", "k1"]);
    second.priority = Some(9);
    let table = table(vec![rule("lali", &["k1", "k1"]), second]);
    assert_eq!(identify(&table, false, Some("k1")), customer("lali"));
    assert_eq!(identify(&table, false, Some("k2")), customer("lali"));
    let lali = CustomerName::parse("lali").expect("a valid name");
    assert_eq!(table.customer(&lali).and_then(|rule| rule.priority), None);
    let kinds: Vec<_> = table.customer_faults().iter().map(|fault| fault.kind).collect();
    assert_eq!(kinds, [FaultKind::RepeatedName]);
}

/// Guards against a priority of the route that stays in force beside that of the customer.
#[test]
fn the_priority_of_a_customer_replaces_that_of_the_route() {
    let mut urgent = rule("lali", &["k1"]);
    urgent.priority = Some(0);
    let table = table(vec![urgent, rule("derua", &["k2"])]);
    let urgency = |key: Option<&str>| {
        let identity = identify(&table, true, key).expect("the route is public");
        table.urgency(&route(true), &identity)
    };
    assert_eq!(
        [urgency(Some("k1")), urgency(Some("k2")), urgency(None)],
        [0, 3, 3]
    );
}

/// Guards against a rate that cannot be read and that lifts the customer's limit.
#[test]
fn an_unreadable_rate_leaves_the_quota_as_it_was() {
    let lali = CustomerName::parse("lali").expect("a valid name");
    let unreadable = |rules: &[&str]| {
        let rules = rules.iter().map(|name| CustomerRule {
            has_valid_quota: false,
            ..rule(name, &[])
        });
        table(rules.collect())
    };
    let quota = |table: &RoutingTable| table.customer(&lali).map(|rule| (rule.rate, rule.burst));
    let mut limited = rule("lali", &["k1"]);
    (limited.rate, limited.burst) = (Some(2.5), 4.0);
    let first = table(vec![limited]);
    let mut second = unreadable(&["lali", "derua"]);
    second.keep_quotas(&first);
    assert_eq!(quota(&second), Some((Some(2.5), 4.0)));
    // The quota stays over several versions.
    let mut third = unreadable(&["lali"]);
    third.keep_quotas(&second);
    assert_eq!(quota(&third), Some((Some(2.5), 4.0)));
    // A quota that is removed on purpose is not kept.
    let mut fourth = table(vec![rule("lali", &["k1"])]);
    fourth.keep_quotas(&third);
    assert_eq!(quota(&fourth), Some((None, 0.0)));
    // Nor is there one without an earlier version.
    assert_eq!(quota(&unreadable(&["lali"])), Some((None, 0.0)));
}

/// Guards against keys, or digests against which guesses could be tested, in error and debug texts.
#[test]
fn debug_output_has_no_digest() {
    let text = |key: &str| format!("{:?}", table(vec![rule("lali", &[key])]));
    assert!(text("k1").contains("lali"));
    assert_eq!(text("k1"), text("k2"));
}
