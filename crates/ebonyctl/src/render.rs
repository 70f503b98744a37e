//! Renders answers of entries as text.

use ebony_burn::page::DataTable;
use serde_json::Value;

/// The text of a cell without a value.
const EMPTY_CELL: &str = "-";

/// The length in characters at which the text of a cell is truncated.
const MAX_CELL_CHARS: usize = 60;

fn cell(value: &Value) -> String {
    let text = match value {
        Value::Null => EMPTY_CELL.to_owned(),
        Value::String(text) if text.is_empty() => EMPTY_CELL.to_owned(),
        Value::String(text) => text.clone(),
        Value::Array(items) => items.iter().map(cell).collect::<Vec<_>>().join(", "),
        Value::Object(members) => {
            let members = members.iter().map(|(name, value)| match value {
                Value::Object(_) => format!("{name}.{}", cell(value)),
                value => format!("{name}={}", cell(value)),
            });
            members.collect::<Vec<_>>().join(" ")
        }
        value => value.to_string(),
    };
    // Texts come from callers and operators; control characters in them must not reach the terminal.
    let clean: String = text.chars().filter(|character| !character.is_control()).collect();
    match clean.char_indices().nth(MAX_CELL_CHARS) {
        Some((end, _)) => format!("{}…", &clean[..end]),
        None => clean,
    }
}

fn table(caption: &str, columns: &[(&str, &str)], rows: &[Value]) -> String {
    let row = |row: &Value| columns.iter().map(|(_, key)| cell(&row[*key])).collect();
    let table = DataTable {
        caption: caption.to_owned(),
        columns: columns.iter().map(|(title, _)| (*title).to_owned()).collect(),
        rows: rows.iter().map(row).collect(),
    };
    table.text()
}

fn items(value: &Value) -> &[Value] {
    value.as_array().map(Vec::as_slice).unwrap_or_default()
}

/// Renders a page of the configuration history.
pub fn history_table(answer: &Value) -> String {
    let columns = [
        ("version", "version"),
        ("author", "author"),
        ("time", "time"),
        ("reverts", "reverts"),
        ("summary", "summary"),
    ];
    table("Accepted changes", &columns, items(&answer["records"]))
}

/// Renders which version is in force in each process.
pub fn status_table(status: &Value) -> String {
    let columns = [
        ("process", "process"),
        ("version", "version"),
        ("reported ms ago", "reported_ms_ago"),
        ("behind for ms", "lag_ms"),
        ("silent", "is_silent"),
    ];
    let caption = format!("Newest version: {}", status["newest"]);
    table(&caption, &columns, items(&status["processes"]))
}

/// Renders an event of `config watch` as a line.
///
/// ```
/// use ebonyctl::render::change_line;
/// use serde_json::json;
///
/// let change = json!({"event": "status", "process": "entry-1", "from": 7, "to": 8, "after_ms": 12});
/// assert_eq!(change_line(&change), "entry-1: version 8 in force, before that 7, after 12 ms");
/// ```
pub fn change_line(change: &Value) -> String {
    if change["event"] == "version" {
        return format!("version {} accepted", change["version"]);
    }
    format!(
        "{}: version {} in force, before that {}, after {} ms",
        cell(&change["process"]),
        change["to"],
        change["from"],
        change["after_ms"]
    )
}

/// Renders the exceptions of a configuration document.
pub fn exception_table(document: &Value) -> String {
    let columns = [
        ("exception", "name"),
        ("for", "scope"),
        ("values", "values"),
        ("reason", "reason"),
        ("author", "author"),
        ("expires", "expires"),
    ];
    let exceptions = document["exceptions"].as_object();
    let to_row = |(name, exception): (&String, &Value)| {
        let mut row = exception.clone();
        row["name"] = Value::from(name.as_str());
        row
    };
    let rows: Vec<Value> = exceptions.into_iter().flatten().map(to_row).collect();
    table("Exceptions", &columns, &rows)
}

/// Renders targets.
pub fn target_table(answer: &Value) -> String {
    let columns = [
        ("target", "target"),
        ("host", "host"),
        ("failure domain", "domain"),
        ("state", "state"),
        ("serves", "serves"),
        ("slots", "slots"),
        ("calls", "calls"),
    ];
    table("Targets", &columns, items(&answer["targets"]))
}

/// Renders a program.
pub fn program_table(program: &Value) -> String {
    let columns = [
        ("program", "id"),
        ("state", "state"),
        ("turns", "turns"),
        ("used", "used"),
        ("budget left", "budget_left"),
        ("open children", "open_children"),
    ];
    table("Program", &columns, std::slice::from_ref(program))
}
