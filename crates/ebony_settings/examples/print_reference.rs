//! Prints the rows of the reference pages, `docs/settings.md` and `docs/gateway-settings.md`.

use ebony_settings::schema::gateway_reference;
use ebony_settings::settings_reference;

fn main() {
    for row in settings_reference() {
        println!("{}", row.to_markdown());
    }
    println!();
    for row in gateway_reference() {
        println!("{}", row.to_markdown());
    }
}
