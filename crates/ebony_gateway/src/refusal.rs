//! Answers of the gateway itself.

use std::time::Duration;

use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use actix_web::http::header::{HeaderName, HeaderValue, RETRY_AFTER};
use ebony_dialect::CallDialect;
use ebony_types::{ProblemCode, ProblemReport, RunVerdict};

/// The time after which a call that found no target may come back: a heartbeat of the list of targets.
pub(crate) const NO_TARGET_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Why a call is not answered by a target, with a verdict on whether it may have run.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("{report}")]
pub struct CallRefusal {
    /// The problem.
    pub report: ProblemReport,
    /// When the call has a chance; set only if it has not run.
    pub retry_after: Option<Duration>,
}

/// The result of a step of a call.
pub type Result<T, E = CallRefusal> = std::result::Result<T, E>;

impl CallRefusal {
    /// Creates a refusal of a call that no target ran and none will.
    ///
    /// ```
    /// use ebony_gateway::refusal::CallRefusal;
    /// use ebony_types::{ProblemCode, RunVerdict};
    ///
    /// let refusal = CallRefusal::not_run(ProblemCode::NotFound, "no route");
    /// assert_eq!(refusal.report.run, RunVerdict::NotRun);
    /// ```
    pub fn not_run(code: ProblemCode, detail: &'static str) -> Self {
        Self {
            report: ProblemReport::not_run(code, detail),
            retry_after: None,
        }
    }

    /// Creates a refusal of a call that may have run.
    pub fn may_have_run(code: ProblemCode, detail: &'static str) -> Self {
        Self {
            report: ProblemReport::may_have_run(code, detail),
            retry_after: None,
        }
    }

    /// Sets when the call has a chance.
    #[must_use]
    pub fn retry_after(mut self, after: Duration) -> Self {
        debug_assert_eq!(self.report.run, RunVerdict::NotRun);
        self.retry_after = Some(after);
        self
    }

    /// Returns the answer to the caller.
    pub(crate) fn into_response(self, call: Option<&str>, dialect: &dyn CallDialect) -> HttpResponse {
        let status = StatusCode::from_u16(self.report.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let mut response = HttpResponse::build(status);
        if let Some(after) = self.retry_after {
            response.insert_header((RETRY_AFTER, format!("{:.3}", after.as_secs_f64())));
        }
        if let Some((name, value)) = call.and_then(|call| dialect.encode_mark(call)) {
            let name = HeaderName::from_bytes(name.as_str().as_bytes());
            let value = HeaderValue::from_bytes(value.as_bytes());
            if let (Ok(name), Ok(value)) = (name, value) {
                response.insert_header((name, value));
            }
        }
        response.json(self.report.to_json())
    }
}
