//! Guards against a reference page that differs from the schema.

use std::collections::BTreeSet;

use ebony_settings::settings_reference;

const PAGE: &str = include_str!("../../../docs/settings.md");

#[test]
fn the_page_lists_exactly_the_keys_of_the_schema() {
    let expected: BTreeSet<String> = settings_reference().iter().map(|row| row.to_markdown()).collect();
    let listed: BTreeSet<String> = PAGE
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
