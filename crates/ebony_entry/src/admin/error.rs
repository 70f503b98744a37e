//! Problem reports for operators.

use std::fmt;

use actix_web::http::StatusCode;
use actix_web::http::header::RETRY_AFTER;
use actix_web::{HttpResponse, ResponseError};
use ebony_config::{EditOutcome, OperatorName, WallTime};
use ebony_types::{ProblemCode, ProblemReport};
use serde::Serialize;

/// The change that won an edit conflict.
#[derive(Debug)]
#[derive(Serialize)]
pub(super) struct WinningChange {
    version: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    author: Option<OperatorName>,
    #[serde(skip_serializing_if = "Option::is_none")]
    time: Option<WallTime>,
}

/// A problem and, for an edit conflict, the change that was accepted first.
#[derive(Debug)]
pub(super) struct AdminProblem {
    report: ProblemReport,
    winner: Option<WinningChange>,
}

/// The result of an operator's request.
pub(super) type Result<T, E = AdminProblem> = std::result::Result<T, E>;

impl AdminProblem {
    /// Creates the problem of a request that did not run.
    pub(super) fn not_run(code: ProblemCode, detail: impl Into<std::borrow::Cow<'static, str>>) -> Self {
        Self::from(ProblemReport::not_run(code, detail))
    }

    /// Creates the problem of an actor that has stopped or is too busy.
    pub(super) fn busy() -> Self {
        let detail = "the process is too busy or is stopping";
        Self::from(ProblemReport::not_run(ProblemCode::Overloaded, detail).retry_after(1))
    }

    /// For an edit conflict without a known winner, names the version in force as the winner.
    pub(super) fn with_default_winner(mut self, version: u64) -> Self {
        if self.report.code == ProblemCode::VersionConflict && self.winner.is_none() {
            let (author, time) = (None, None);
            self.winner = Some(WinningChange {
                version,
                author,
                time,
            });
        }
        self
    }

    /// Returns the problem of an edit that was not accepted.
    pub(super) fn of_outcome(outcome: &EditOutcome) -> Option<Self> {
        let report = outcome.to_problem()?;
        let winner = match outcome {
            EditOutcome::Conflict { winner, author, time } => Some(WinningChange {
                version: *winner,
                author: Some(author.clone()),
                time: Some(*time),
            }),
            _ => None,
        };
        Some(Self { report, winner })
    }
}

impl From<ProblemReport> for AdminProblem {
    fn from(report: ProblemReport) -> Self {
        let winner = None;
        Self { report, winner }
    }
}

impl fmt::Display for AdminProblem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.report, formatter)
    }
}

impl ResponseError for AdminProblem {
    fn status_code(&self) -> StatusCode {
        StatusCode::from_u16(self.report.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
    }

    fn error_response(&self) -> HttpResponse {
        let mut builder = HttpResponse::build(self.status_code());
        builder.content_type("application/problem+json");
        if let Some(seconds) = self.report.retry_after_seconds {
            builder.insert_header((RETRY_AFTER, seconds.to_string()));
        }
        let mut body = self.report.to_json();
        if let Some(winner) = &self.winner {
            body["winner"] = serde_json::to_value(winner).unwrap_or_default();
        }
        builder.body(body.to_string())
    }
}
