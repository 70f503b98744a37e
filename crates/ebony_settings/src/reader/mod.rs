//! Checks a syntax tree against the schema, collects every error with its position, and fills in defaults.

mod close_match;
mod options;
mod raw_value;
mod scalar;
mod section;

use std::time::Duration;

use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use serde::de::DeserializeOwned;
use serde_json::Map;

use crate::issue::{IssueKind, SettingsIssue};
use crate::position::{LineIndex, TextPosition};
use crate::schema::{ROOT, SectionSpec, ValueKind};
use crate::settings::ProcessRole;
use section::{SectionReader, ValueLocation};

/// Accepts JSON with comments and trailing commas, and no other extension.
const PARSE_OPTIONS: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_loose_object_property_names: false,
    allow_trailing_commas: true,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

/// A value that was checked against the schema.
#[derive(Debug)]
pub(crate) struct CheckedValue {
    /// The path of the key, such as `links.heartbeat`.
    pub(crate) path: String,
    /// The position of the value, or of its section if the value is a default.
    pub(crate) position: TextPosition,
    /// The type that the schema gives to the value.
    pub(crate) kind: ValueKind,
    /// The value in the form that the settings' types decode, or `null` for a section; `None` if it is invalid.
    json: Option<serde_json::Value>,
}

impl CheckedValue {
    /// Returns `true` if the value is valid. The values within a section are not considered.
    pub(crate) fn is_valid(&self) -> bool {
        self.json.is_some()
    }

    /// Returns the value if it is a valid text.
    pub(crate) fn text(&self) -> Option<&str> {
        self.json.as_ref().and_then(serde_json::Value::as_str)
    }

    /// Decodes the value as `T`; `None` if it is invalid or of another type.
    pub(crate) fn decode<T: DeserializeOwned>(&self) -> Option<T> {
        T::deserialize(self.json.as_ref()?).ok()
    }

    /// Returns an issue at the position of the value.
    pub(crate) fn violation(&self, message: impl Into<String>) -> SettingsIssue {
        SettingsIssue {
            position: self.position,
            path: self.path.clone(),
            kind: IssueKind::BrokenRule(message.into()),
        }
    }
}

/// A settings file that was checked against the schema.
#[derive(Debug)]
pub(crate) struct CheckedFile {
    /// The process's role, if it could be read.
    pub(crate) role: Option<ProcessRole>,
    /// Every checked value, defaults included, in the order of the schema. A section follows the values in it.
    pub(crate) values: Vec<CheckedValue>,
    /// The errors found so far.
    pub(crate) issues: Vec<SettingsIssue>,
    root: Map<String, serde_json::Value>,
}

impl CheckedFile {
    /// Parses a text and checks it against the schema `root_spec`.
    ///
    /// # Errors
    ///
    /// Returns an issue if the text cannot be parsed as an object. Other issues are collected in the file.
    pub(crate) fn read(text: &str, root_spec: &'static SectionSpec) -> Result<Self, SettingsIssue> {
        let index = LineIndex::new(text);
        let tree = parse_to_ast(text, &CollectOptions::default(), &PARSE_OPTIONS)
            .map_err(|error| syntax_issue(&index, error.range().start, error.kind().to_string()))?;
        let root = match tree.value {
            Some(Value::Object(root)) => root,
            Some(other) => {
                let message = "expected an object in braces".to_owned();
                return Err(syntax_issue(&index, other.range().start, message));
            }
            None => return Err(syntax_issue(&index, 0, "the file is empty".to_owned())),
        };
        let role = root
            .get_string("role")
            .and_then(|lit| ProcessRole::from_name(&lit.value));
        let location = ValueLocation::root(index.position(root.range.start));
        let mut reader = SectionReader::new(index, role);
        let root = reader.read_section(root_spec, Some(&root), &location);
        Ok(Self {
            role,
            values: reader.values,
            issues: reader.issues,
            root,
        })
    }

    /// Returns the value with this path.
    pub(crate) fn value(&self, path: &str) -> Option<&CheckedValue> {
        self.values.iter().find(|value| value.path == path)
    }

    /// Returns the duration with this path.
    pub(crate) fn duration(&self, path: &str) -> Option<Duration> {
        self.value(path)?.decode()
    }

    /// Returns the whole file, defaults included.
    pub(crate) fn into_root(self) -> serde_json::Value {
        serde_json::Value::Object(self.root)
    }

    /// Returns the whole file in the form that [`crate::ProcessSettings`] decodes, in which `role` is an object that
    /// contains the keys of the role under the role's name.
    pub(crate) fn into_value(self) -> serde_json::Value {
        let mut root = self.root;
        let Some(role) = self.role else {
            return serde_json::Value::Object(root);
        };
        let role_keys = ROOT.keys.iter().filter(|spec| spec.role == Some(role));
        let role_values: Map<_, _> = role_keys
            .filter_map(|spec| root.remove_entry(spec.name))
            .collect();
        root.insert(
            "role".to_owned(),
            serde_json::json!({ role.as_str(): role_values }),
        );
        serde_json::Value::Object(root)
    }
}

fn syntax_issue(index: &LineIndex<'_>, offset: usize, message: String) -> SettingsIssue {
    SettingsIssue {
        position: index.position(offset),
        path: String::new(),
        kind: IssueKind::Syntax(message),
    }
}
