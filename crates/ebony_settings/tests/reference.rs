//! Guards against reference pages that differ from the schema.

use std::collections::BTreeSet;

use ebony_settings::schema::gateway_reference;
use ebony_settings::{KeyReference, settings_reference};

const GATEWAY_PAGE: &str = include_str!("../../../docs/gateway-settings.md");
const PAGE: &str = include_str!("../../../docs/settings.md");

#[test]
fn the_page_lists_exactly_the_keys_of_the_schema() {
    check_page(PAGE, &settings_reference());
}

#[test]
fn the_page_of_gateways_lists_exactly_the_keys_of_their_schema() {
    check_page(GATEWAY_PAGE, &gateway_reference());
}

fn check_page(page: &str, rows: &[KeyReference]) {
    let expected: BTreeSet<String> = rows.iter().map(KeyReference::to_markdown).collect();
    let listed: BTreeSet<String> = page
        .lines()
        .filter(|line| line.starts_with("| `"))
        .map(str::to_owned)
        .collect();
    let missing: Vec<_> = expected.difference(&listed).collect();
    let stale: Vec<_> = listed.difference(&expected).collect();
    assert!(
        missing.is_empty() && stale.is_empty(),
        "missing from the page: {missing:#?}\nstale: {stale:#?}"
    );
}
