//! Converts problem reports to HTTP responses.

use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use actix_web::http::header::RETRY_AFTER;
use ebony_types::ProblemReport;

/// Returns the `application/problem+json` response for a problem.
///
/// ```
/// use ebony_entry::caller_api::problem_response;
/// use ebony_types::{ProblemCode, ProblemReport};
///
/// let report = ProblemReport::not_run(ProblemCode::Overloaded, "the queue is full").retry_after(2);
/// let response = problem_response(&report);
/// assert_eq!(response.status().as_u16(), 503);
/// assert_eq!(response.headers().get("retry-after").unwrap(), "2");
/// ```
pub fn problem_response(report: &ProblemReport) -> HttpResponse {
    let status = StatusCode::from_u16(report.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut builder = HttpResponse::build(status);
    builder.content_type("application/problem+json");
    if let Some(seconds) = report.retry_after_seconds {
        builder.insert_header((RETRY_AFTER, seconds.to_string()));
    }
    builder.body(report.to_json().to_string())
}
