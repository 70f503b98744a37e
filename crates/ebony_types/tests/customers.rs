//! Names of customers, which are sent as header values.

use ebony_types::CustomerName;
use ebony_types::customer::MAX_CUSTOMER_BYTES;

/// Guards against names that change on their way to a target or end its request head.
#[test]
fn names_are_header_values() {
    for name in [
        "a",
        "Drum Works",
        "a/b:c,d;e=\"f\"",
        "others",
        &"n".repeat(MAX_CUSTOMER_BYTES),
    ] {
        assert_eq!(
            CustomerName::parse(name).map(|name| name.to_string()),
            Ok(name.to_owned())
        );
    }
    let too_long = "n".repeat(MAX_CUSTOMER_BYTES + 1);
    for name in [
        "",
        " ",
        " a",
        "a ",
        "a\tb",
        "a\r\nX: y",
        "a\0",
        "a\x7f",
        "tambour-é",
        &too_long,
    ] {
        assert!(CustomerName::parse(name).is_err(), "{name:?}");
    }
}
