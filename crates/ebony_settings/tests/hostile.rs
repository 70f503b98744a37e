//! Guards against panics on malformed files, and against errors without a position in the file.

use arbitrary::Unstructured;
use ebony_settings::ProcessSettings;
use ebony_testkit::{Result, check_seeds};

const BASES: [&str; 2] = [
    include_str!("minimal/entry.jsonc"),
    include_str!("minimal/side.jsonc"),
];

/// Texts with a meaning in the syntax or in the schema.
const TOKENS: [&str; 24] = [
    "{",
    "}",
    "[",
    "]",
    ",",
    ":",
    "\"",
    "//",
    "/*",
    "null",
    "true",
    "-1",
    "1e999",
    "\"role\"",
    "\"links\"",
    "\"5s\"",
    "\"4MiB\"",
    "\"[::1]:0\"",
    "\u{feff}",
    "\\u0000",
    "\u{1f980}",
    "\r",
    "99999999999999999999",
    "\"targets\"",
];

fn check(text: &str) {
    let Err(report) = ProcessSettings::parse(text, "file.jsonc") else {
        return;
    };
    assert!(!report.issues.is_empty());
    let lines = text.split('\n').count();
    for issue in report.issues {
        let (line, column) = (issue.position.line as usize, issue.position.column as usize);
        assert!((1..=lines).contains(&line) && column >= 1, "{issue}");
    }
}

/// Damages a file at a few positions by cutting out text and inserting tokens.
fn damage(base: &str, input: &mut Unstructured<'_>) -> Result<String> {
    let mut letters: Vec<char> = base.chars().collect();
    for _ in 0..input.int_in_range(1..=6)? {
        let start = input.choose_index(letters.len().max(1))?;
        let end = (start + input.int_in_range(0..=12)?).min(letters.len());
        let token = input.choose(&TOKENS)?;
        letters.splice(start.min(end)..end, token.chars());
    }
    Ok(letters.into_iter().collect())
}

#[test]
fn damaged_files_never_panic() {
    check_seeds(10_000, 64, |input| {
        let base = *input.choose(&BASES)?;
        check(&damage(base, input)?);
        Ok(())
    });
}

#[test]
fn arbitrary_texts_never_panic() {
    check_seeds(10_000, 64, |input| {
        let mut text = String::new();
        while !input.is_empty() {
            match input.arbitrary::<u8>()? {
                number @ 0..=127 => text.push_str(TOKENS[usize::from(number) % TOKENS.len()]),
                _ => text.push(input.arbitrary()?),
            }
        }
        check(&text);
        Ok(())
    });
}

#[test]
fn deep_nesting_is_refused() {
    for open in ["[", "{\"policy\":", "{\"a\":["] {
        check(&open.repeat(100_000));
    }
    let depth = 500;
    let (opened, closed) = ("{\"a\":".repeat(depth), "}".repeat(depth));
    let nested = format!("\"policy\": {opened}0{closed}, \"callers\"");
    check(&BASES[0].replace("\"callers\"", &nested));
}
