//! Refusals: answers that come from the gateway and not from a target.

use std::time::Duration;

use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use actix_web::http::header::{HeaderName, HeaderValue, RETRY_AFTER, WWW_AUTHENTICATE};
use ebony_dialect::CallDialect;
use ebony_types::{ProblemCode, ProblemReport, RunVerdict};

/// The `Retry-After` of a call that found no target: a heartbeat of the list of targets.
pub(crate) const NO_TARGET_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The scheme of credentials that a call without a known key is asked for.
const KEY_SCHEME: &str = "Bearer";

/// The reason why no target answers a call, and whether the call may have run.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("{report}")]
pub struct CallRefusal {
    /// The problem.
    pub report: ProblemReport,
    /// The time after which the caller may retry; set only if the call has not run.
    pub retry_after: Option<Duration>,
    /// Whether the connection is closed after the answer, because the rest of the request was not read.
    pub closes_connection: bool,
}

/// The result of a step of a call.
pub type Result<T, E = CallRefusal> = std::result::Result<T, E>;

impl CallRefusal {
    /// Creates the refusal of a call that no target has run or will run.
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
            closes_connection: false,
        }
    }

    /// Creates the refusal of a call that a target may have run.
    pub fn may_have_run(code: ProblemCode, detail: &'static str) -> Self {
        Self {
            report: ProblemReport::may_have_run(code, detail),
            retry_after: None,
            closes_connection: false,
        }
    }

    /// Sets the time after which the caller may retry. The call must not have run.
    #[must_use]
    pub fn retry_after(mut self, after: Duration) -> Self {
        debug_assert_eq!(self.report.run, RunVerdict::NotRun);
        self.retry_after = Some(after);
        self
    }

    /// Sets whether the connection is closed after the answer. Callers are told, so that they send no further request on
    /// it.
    #[must_use]
    pub(crate) fn close_connection(mut self, closes: bool) -> Self {
        self.closes_connection = closes;
        self
    }

    /// Returns the response to the caller.
    pub(crate) fn into_response(self, call: Option<&str>, dialect: &dyn CallDialect) -> HttpResponse {
        let status = StatusCode::from_u16(self.report.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let mut response = HttpResponse::build(status);
        if status == StatusCode::UNAUTHORIZED {
            response.insert_header((WWW_AUTHENTICATE, KEY_SCHEME));
        }
        if let Some(after) = self.retry_after {
            response.insert_header((RETRY_AFTER, format!("{:.3}", after.as_secs_f64())));
        }
        if let Some((name, value)) = call.and_then(|call| dialect.encode_attempt_id(call)) {
            let name = HeaderName::from_bytes(name.as_str().as_bytes());
            let value = HeaderValue::from_bytes(value.as_bytes());
            if let (Ok(name), Ok(value)) = (name, value) {
                response.insert_header((name, value));
            }
        }
        if self.closes_connection {
            response.force_close();
        }
        response.json(self.report.to_json())
    }
}
