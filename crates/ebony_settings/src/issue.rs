//! Errors in a settings file.

use std::fmt;

use crate::position::TextPosition;

/// The most issues that a report lists. Further ones are only counted.
pub const MAX_ISSUES: usize = 200;

/// The kind of an error in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum IssueKind {
    /// The text is not JSON with comments. Parsing stops at the first such error.
    #[error("not JSON with comments: {0}")]
    Syntax(String),
    /// The section has no such key.
    #[error("unknown key{}", suggestion_text(suggestion))]
    UnknownKey {
        /// A known key with a similar spelling.
        suggestion: Option<&'static str>,
    },
    /// The key is for processes of the other role.
    #[error("this key is for a process with the role `{0}`")]
    OtherRole(&'static str),
    /// The key occurs twice in its section.
    #[error("duplicate key; it is first set in line {first}")]
    DuplicateKey {
        /// The line of the first occurrence.
        first: u32,
    },
    /// A required key is missing from the section that starts here.
    #[error("missing; expected {expected}")]
    MissingKey {
        /// A description of accepted values.
        expected: String,
    },
    /// The value has the wrong type, the wrong unit or lies outside its bounds.
    #[error("expected {expected}, found {found}{}", suggestion_text(suggestion))]
    WrongValue {
        /// A description of accepted values.
        expected: String,
        /// The value in the file.
        found: String,
        /// An accepted value with a similar spelling.
        suggestion: Option<&'static str>,
    },
    /// The value contradicts another value or the environment.
    #[error("{0}")]
    BrokenRule(String),
}

fn suggestion_text(suggestion: &Option<&'static str>) -> String {
    suggestion
        .map(|key| format!("; did you mean `{key}`?"))
        .unwrap_or_default()
}

/// One error with its position and key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsIssue {
    /// The position in the file.
    pub position: TextPosition,
    /// The path of the key, such as `links.heartbeat`; empty for the whole file.
    pub path: String,
    /// What is wrong.
    pub kind: IssueKind,
}

impl fmt::Display for SettingsIssue {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.path.is_empty() {
            write!(formatter, "{}: {}", self.position, self.kind)
        } else {
            write!(formatter, "{}: `{}`: {}", self.position, self.path, self.kind)
        }
    }
}

/// All errors in one settings file, sorted by position.
///
/// ```
/// use ebony_settings::ProcessSettings;
///
/// let report = ProcessSettings::parse("{ \"proces\": \"entry-1\" }", "entry.jsonc").unwrap_err();
/// let text = report.to_string();
/// assert!(text.contains("entry.jsonc:1:1: `host`: missing;"));
/// assert!(text.contains("entry.jsonc:1:3: `proces`: unknown key; did you mean `process`?"));
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsReport {
    /// The name of the file.
    pub file: String,
    /// The issues, at most [`MAX_ISSUES`].
    pub issues: Vec<SettingsIssue>,
    /// The number of issues beyond those listed.
    pub omitted: usize,
}

/// The result of checking settings.
pub type Result<T, E = SettingsReport> = std::result::Result<T, E>;

impl SettingsReport {
    /// Sorts the issues by their position in the file and keeps the first [`MAX_ISSUES`].
    pub(crate) fn new(file: &str, mut issues: Vec<SettingsIssue>) -> Self {
        issues.sort_by(|left, right| (left.position, &left.path).cmp(&(right.position, &right.path)));
        let omitted = issues.len().saturating_sub(MAX_ISSUES);
        issues.truncate(MAX_ISSUES);
        Self {
            file: file.to_owned(),
            issues,
            omitted,
        }
    }
}

impl fmt::Display for SettingsReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for issue in &self.issues {
            writeln!(formatter, "{}:{issue}", self.file)?;
        }
        let count = self.issues.len() + self.omitted;
        let noun = if count == 1 { "error" } else { "errors" };
        write!(formatter, "{}: {count} {noun}", self.file)?;
        if self.omitted > 0 {
            write!(formatter, ", {} not shown", self.omitted)?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsReport {}
