//! Shows and cancels programs of any caller.

use actix_web::web::{Data, Path, Query};
use actix_web::{HttpRequest, HttpResponse};
use ebony_types::{ProblemCode, ProgramId};
use ebony_wire::ProgramOperation;
use serde::Deserialize;

use super::auth::authenticate;
use super::error::{AdminProblem, Result};
use super::state::AdminState;
use crate::caller_api::{operate, view_json};

/// Query parameters of a program view.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ShowQuery {
    /// Whether the view includes the history, which contains the caller's data. Defaults to `false`.
    #[serde(default)]
    history: bool,
}

/// Handles `GET /v1/programs/{id}`.
pub(super) async fn show(
    request: HttpRequest,
    path: Path<String>,
    query: Query<ShowQuery>,
    state: Data<AdminState>,
) -> Result<HttpResponse> {
    authenticate(&request, &state)?;
    let operation = ProgramOperation::Show {
        program: parse(&path)?,
        caller: None,
        with_history: query.history,
    };
    let view = operate(&state.callers, operation).await?;
    Ok(HttpResponse::Ok().json(view_json(&view)))
}

/// Handles `DELETE /v1/programs/{id}`.
pub(super) async fn cancel(
    request: HttpRequest,
    path: Path<String>,
    state: Data<AdminState>,
) -> Result<HttpResponse> {
    authenticate(&request, &state)?;
    let (program, caller) = (parse(&path)?, None);
    let view = operate(&state.callers, ProgramOperation::Cancel { program, caller }).await?;
    Ok(HttpResponse::Ok().json(view_json(&view)))
}

fn parse(text: &str) -> Result<ProgramId> {
    let unknown = |_| AdminProblem::not_run(ProblemCode::UnknownProgram, "the path names no program");
    text.parse().map_err(unknown)
}
