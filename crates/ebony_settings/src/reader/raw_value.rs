//! A value as written in the file or in a default of the schema.

use jsonc_parser::ast::{Array, Object, Value};

use crate::schema::ValueKind;

/// The most characters of a value that an error message quotes.
const MAX_SHOWN_CHARS: usize = 48;

/// A value before it is checked.
#[derive(Clone, Copy, Debug)]
pub(super) enum RawValue<'v> {
    /// A text.
    Text(&'v str),
    /// The digits of a number.
    Number(&'v str),
    /// `true` or `false`.
    Flag(bool),
    /// `null`.
    Null,
    /// An object; `None` if it is an empty default.
    Object(Option<&'v Object<'v>>),
    /// A list; `None` if it is an empty default.
    List(Option<&'v Array<'v>>),
}

impl<'v> RawValue<'v> {
    /// Wraps a value of the syntax tree.
    pub(super) fn from_tree(value: &'v Value<'v>) -> Self {
        match value {
            Value::StringLit(lit) => Self::Text(&lit.value),
            Value::NumberLit(lit) => Self::Number(lit.value),
            Value::BooleanLit(lit) => Self::Flag(lit.value),
            Value::NullKeyword(_) => Self::Null,
            Value::Object(object) => Self::Object(Some(object)),
            Value::Array(array) => Self::List(Some(array)),
        }
    }

    /// Wraps a default of the schema.
    pub(super) fn from_default(kind: ValueKind, text: &'static str) -> Self {
        match kind {
            ValueKind::Section(_) | ValueKind::Options => Self::Object(None),
            ValueKind::List { .. } => Self::List(None),
            ValueKind::Count { .. } | ValueKind::Rate { .. } => Self::Number(text),
            ValueKind::Flag => Self::Flag(text == "true"),
            _ => Self::Text(text),
        }
    }

    /// Describes the value for error messages.
    pub(super) fn describe(self) -> String {
        match self {
            Self::Text(text) => format!("\"{}\"", shorten(text)),
            Self::Number(digits) => format!("the number {}", shorten(digits)),
            Self::Flag(flag) => flag.to_string(),
            Self::Null => "null".to_owned(),
            Self::Object(_) => "an object".to_owned(),
            Self::List(array) => match array.map_or(0, |array| array.elements.len()) {
                1 => "a list of 1 item".to_owned(),
                count => format!("a list of {count} items"),
            },
        }
    }
}

fn shorten(text: &str) -> String {
    let printable = |letter: char| if letter.is_control() { '\u{fffd}' } else { letter };
    let mut shown: String = text.chars().take(MAX_SHOWN_CHARS).map(printable).collect();
    if text.chars().nth(MAX_SHOWN_CHARS).is_some() {
        shown.push_str("...");
    }
    shown
}
