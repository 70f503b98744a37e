//! Errors of commands and their exit codes.

use serde_json::Value;

/// The error of a command.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum ControlError {
    /// The arguments or a file are wrong.
    #[error("{0}")]
    Usage(String),
    /// No entry could be reached; the request did not run.
    #[error("no entry can be reached: {0}")]
    Unreachable(String),
    /// The connection failed after the request was sent; it is unknown whether the request ran.
    #[error("the answer was lost: {0}")]
    AnswerLost(String),
    /// An entry refused the request; has the JSON problem report.
    #[error("{}", problem_text(.0))]
    Refused(Value),
    /// A response cannot be parsed or lacks a required field.
    #[error("malformed answer: {0}")]
    Malformed(String),
    /// Output cannot be written.
    #[error("cannot write: {0}")]
    Output(#[from] std::io::Error),
}

/// The result of a command.
pub type Result<T, E = ControlError> = std::result::Result<T, E>;

impl ControlError {
    /// Returns the exit code, as `ebonyctl --help` documents it.
    ///
    /// ```
    /// use ebonyctl::error::ControlError;
    /// use serde_json::json;
    ///
    /// let problem = json!({"code": "version_conflict", "status": 409, "run": "not_run", "winner": {"version": 8}});
    /// assert_eq!(ControlError::Refused(problem).exit_code(), 3);
    /// ```
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Usage(_) => 2,
            Self::AnswerLost(_) => 7,
            Self::Refused(problem) => problem_exit_code(problem),
            Self::Unreachable(_) | Self::Malformed(_) | Self::Output(_) => 1,
        }
    }
}

fn problem_exit_code(problem: &Value) -> u8 {
    if problem["run"] == "may_have_run" {
        return 7;
    }
    if problem["code"] == "version_conflict" {
        return 3;
    }
    match problem["status"].as_u64() {
        Some(401 | 403) => 4,
        Some(404) => 5,
        Some(400 | 413 | 422) => 6,
        _ => 1,
    }
}

fn problem_text(problem: &Value) -> String {
    let code = problem["code"].as_str().unwrap_or("unknown problem");
    let detail = problem["detail"].as_str().unwrap_or_default();
    let mut text = format!("{code}: {detail}");
    if let Some(version) = problem["winner"]["version"].as_u64() {
        text.push_str(&format!(" (the winning version is {version})"));
    }
    if let Some(seconds) = problem["retry_after"].as_u64() {
        text.push_str(&format!(" (try again in {seconds} s)"));
    }
    text
}
