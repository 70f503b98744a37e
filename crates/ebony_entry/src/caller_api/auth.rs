//! Authentication of callers by bearer keys.

use actix_web::HttpRequest;
use actix_web::http::header::AUTHORIZATION;
use ebony_types::{CallerName, ProblemCode, ProblemReport};
use sha2::{Digest, Sha256};

use crate::config::ConfigView;

/// The result of authentication.
pub(super) type Result<T, E = ProblemReport> = std::result::Result<T, E>;

/// Returns the SHA-256 digest of a request's bearer key.
///
/// # Errors
///
/// Returns `unauthorized`, not run, if there is no bearer key.
pub(crate) fn bearer_digest(request: &HttpRequest) -> Result<[u8; 32]> {
    let missing = || ProblemReport::not_run(ProblemCode::Unauthorized, "a bearer key is required");
    let value = request.headers().get(AUTHORIZATION).ok_or_else(missing)?;
    let text = value.to_str().map_err(|_| missing())?;
    let key = text.strip_prefix("Bearer ").ok_or_else(missing)?;
    Ok(Sha256::digest(key.as_bytes()).into())
}

/// Returns the caller to which a request's bearer key belongs.
///
/// # Errors
///
/// Returns `unauthorized`, not run, if the key is missing or unknown.
pub(super) fn authenticate(request: &HttpRequest, config: &ConfigView) -> Result<CallerName> {
    let digest = bearer_digest(request)?;
    let unknown = || ProblemReport::not_run(ProblemCode::Unauthorized, "the bearer key is unknown");
    config.caller(&digest).ok_or_else(unknown)
}
