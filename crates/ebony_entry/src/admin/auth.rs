//! Authentication of operators by bearer keys.

use actix_web::HttpRequest;
use ebony_config::{KeyDigest, OperatorName};
use ebony_types::{ProblemCode, ProblemReport};

use super::error::{AdminProblem, Result};
use super::state::AdminState;
use crate::caller_api::bearer_digest;

/// The author recorded for changes made with the `first_operator` key of the settings.
const FIRST_OPERATOR: &str = "first-operator";

/// Returns the operator to which a request's bearer key belongs.
///
/// # Errors
///
/// Returns `unauthorized`, not run, if the key is missing or unknown.
pub(super) fn authenticate(request: &HttpRequest, state: &AdminState) -> Result<OperatorName> {
    let digest = bearer_digest(request)?;
    let unknown = || AdminProblem::not_run(ProblemCode::Unauthorized, "the bearer key is unknown");
    state.view.operator(&digest).ok_or_else(unknown)
}

/// Returns the operator of a request for the configuration. While no configuration is in force, the first operator of
/// the settings is accepted, too.
///
/// # Errors
///
/// Returns `unauthorized`, not run, if the key is missing or unknown.
pub(super) fn authenticate_first(request: &HttpRequest, state: &AdminState) -> Result<OperatorName> {
    let digest = KeyDigest(bearer_digest(request)?);
    let is_first = state.view.version() == 0 && state.first_operator == Some(digest);
    if !is_first {
        return authenticate(request, state);
    }
    let internal = |_| ProblemReport::not_run(ProblemCode::Internal, "the first operator has no name");
    Ok(OperatorName::parse(FIRST_OPERATOR).map_err(internal)?)
}
