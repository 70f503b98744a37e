//! Renders the schema as rows of the reference page.

use super::{GATEWAY_ROOT, KeyPresence, KeySpec, ROOT, SectionSpec, ValueKind};

/// One row of the reference page.
///
/// ```
/// use ebony_settings::settings_reference;
///
/// let rows = settings_reference();
/// let heartbeat = rows.iter().find(|row| row.path == "links.heartbeat").expect("the key exists");
/// assert_eq!(heartbeat.default, "`500ms`");
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyReference {
    /// The path of the key; `[]` marks the items of a list.
    pub path: String,
    /// The type and unit.
    pub type_text: String,
    /// The default, `required` or `none`.
    pub default: String,
    /// The bounds.
    pub bounds: String,
    /// The description, with the role if only one has the key.
    pub about: String,
}

impl KeyReference {
    fn new(path: String, spec: &KeySpec) -> Self {
        let default = match (spec.presence, spec.kind) {
            (KeyPresence::Required, _) => "required".to_owned(),
            (KeyPresence::Optional, _) => "none".to_owned(),
            (KeyPresence::Default(_), ValueKind::Section(_)) => "that of its keys".to_owned(),
            (KeyPresence::Default(value), _) => format!("`{value}`"),
        };
        let role = spec
            .role
            .map(|role| format!("Role `{role}` only. "))
            .unwrap_or_default();
        Self {
            path,
            type_text: spec.kind.type_text(),
            default,
            bounds: spec.kind.bounds_text(),
            about: format!("{role}{}", spec.about),
        }
    }

    /// Renders the row of the reference page in Markdown.
    pub fn to_markdown(&self) -> String {
        let Self {
            path,
            type_text,
            default,
            bounds,
            about,
        } = self;
        let bounds = if bounds.is_empty() { "-" } else { bounds };
        format!("| `{path}` | {type_text} | {default} | {bounds} | {about} |")
    }
}

/// Returns every key of a settings file, sections before their keys.
pub fn settings_reference() -> Vec<KeyReference> {
    let mut rows = Vec::new();
    add_section("", &ROOT, &mut rows);
    rows
}

/// Returns every key of a gateway's settings file, sections before their keys.
///
/// ```
/// use ebony_settings::schema::gateway_reference;
///
/// assert!(gateway_reference().iter().any(|row| row.path == "store.url"));
/// ```
pub fn gateway_reference() -> Vec<KeyReference> {
    let mut rows = Vec::new();
    add_section("", &GATEWAY_ROOT, &mut rows);
    rows
}

fn add_section(prefix: &str, section: &SectionSpec, rows: &mut Vec<KeyReference>) {
    for spec in section.keys {
        let path = if prefix.is_empty() {
            spec.name.to_owned()
        } else {
            format!("{prefix}.{}", spec.name)
        };
        rows.push(KeyReference::new(path.clone(), spec));
        match spec.kind {
            ValueKind::Section(inner) => add_section(&path, inner, rows),
            ValueKind::List {
                item: ValueKind::Section(inner),
                ..
            } => add_section(&format!("{path}[]"), inner, rows),
            _ => {}
        }
    }
}
