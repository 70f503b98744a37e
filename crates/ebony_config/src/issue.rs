//! Validation errors of a configuration.

use std::fmt;

use ebony_types::{ProblemCode, ProblemReport};

/// The most issues that a report lists. Further ones are only counted.
pub const MAX_ISSUES: usize = 100;

/// The kind of a validation error.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum IssueKind {
    /// The bytes are not the expected JSON.
    #[error("malformed: {0}")]
    Malformed(String),
    /// A value lies outside its bounds.
    #[error("expected {expected}, found {found}")]
    OutOfBounds {
        /// The bounds.
        expected: String,
        /// The value.
        found: String,
    },
    /// A required text is blank or too long.
    #[error("expected a text of 1 to {max} bytes that is not blank")]
    BadText {
        /// The most bytes.
        max: usize,
    },
    /// There are too few or too many items.
    #[error("expected {min} to {max} items, found {found}")]
    BadCount {
        /// The fewest items.
        min: usize,
        /// The most items.
        max: usize,
        /// The items found.
        found: usize,
    },
    /// A name refers to a record that does not exist.
    #[error("there is no {kind} `{name}`")]
    Unknown {
        /// The kind of record that the name should refer to.
        kind: &'static str,
        /// The name.
        name: String,
    },
    /// Two callers or operators have the same key, which would not identify its user.
    #[error("the key is also held by {holder}")]
    SharedKey {
        /// The other holder.
        holder: String,
    },
    /// A change or an exception changes no value.
    #[error("expected at least one changed value")]
    NoChange,
    /// An exception expires before it starts.
    #[error("the expiry {expires} does not lie after the creation {created}")]
    BadExpiry {
        /// Seconds since 1970.
        created: u64,
        /// Seconds since 1970.
        expires: u64,
    },
    /// The configuration is too large to be distributed.
    #[error("the configuration has {found} bytes, more than {max}")]
    TooLarge {
        /// The size in bytes.
        found: usize,
        /// The most bytes.
        max: usize,
    },
}

/// One validation error and the value that it concerns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigIssue {
    /// The path of the value, such as `exceptions.big-budget.reason`; empty for the whole input.
    pub path: String,
    /// What is wrong.
    pub kind: IssueKind,
}

impl fmt::Display for ConfigIssue {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.path.is_empty() {
            fmt::Display::fmt(&self.kind, formatter)
        } else {
            write!(formatter, "`{}`: {}", self.path, self.kind)
        }
    }
}

/// All validation errors of a configuration or of a change to it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConfigReport {
    /// The issues, at most [`MAX_ISSUES`].
    pub issues: Vec<ConfigIssue>,
    /// The number of issues beyond those listed.
    pub omitted: usize,
}

/// The result of checking a configuration.
pub type Result<T, E = ConfigReport> = std::result::Result<T, E>;

impl ConfigReport {
    /// Returns a report on input that cannot be decoded.
    pub(crate) fn malformed(message: impl fmt::Display) -> Self {
        let mut report = Self::default();
        report.add(String::new(), IssueKind::Malformed(message.to_string()));
        report
    }

    /// Adds an issue, or counts it if the report is full.
    pub(crate) fn add(&mut self, path: String, kind: IssueKind) {
        if self.issues.len() < MAX_ISSUES {
            self.issues.push(ConfigIssue { path, kind });
        } else {
            self.omitted += 1;
        }
    }

    /// Adds an issue unless the count is within the bounds.
    pub(crate) fn check_count(&mut self, path: &str, found: usize, bounds: std::ops::RangeInclusive<usize>) {
        if !bounds.contains(&found) {
            let (min, max) = bounds.into_inner();
            self.add(path.to_owned(), IssueKind::BadCount { min, max, found });
        }
    }

    /// Adds an issue if the text is blank or too long.
    pub(crate) fn check_text(&mut self, path: String, text: &str, max: usize) {
        if text.trim().is_empty() || text.len() > max {
            self.add(path, IssueKind::BadText { max });
        }
    }

    /// Returns `Ok` if there is no issue.
    pub(crate) fn into_result(self) -> Result<()> {
        if self.issues.is_empty() { Ok(()) } else { Err(self) }
    }
}

impl fmt::Display for ConfigReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<_> = self.issues.iter().map(ConfigIssue::to_string).collect();
        formatter.write_str(&lines.join("\n"))?;
        match self.omitted {
            0 => Ok(()),
            omitted => write!(formatter, "\n{omitted} more issues"),
        }
    }
}

impl std::error::Error for ConfigReport {}

impl From<ConfigReport> for ProblemReport {
    fn from(report: ConfigReport) -> Self {
        Self::not_run(ProblemCode::InvalidConfig, report.to_string())
    }
}
