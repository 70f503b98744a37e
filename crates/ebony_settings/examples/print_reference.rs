//! Prints the rows of the reference page, `docs/settings.md`.

fn main() {
    for row in ebony_settings::settings_reference() {
        println!("{}", row.to_markdown());
    }
}
