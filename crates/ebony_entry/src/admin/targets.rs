//! Targets.

use actix_web::web::{Data, Path};
use actix_web::{HttpRequest, HttpResponse};
use ebony_types::{ProblemCode, TargetName};
use serde_json::json;

use super::auth::authenticate;
use super::error::{AdminProblem, Result};
use super::messages::{DrainTarget, ReadTargets};
use super::state::AdminState;

/// Handles `GET /v1/targets`.
pub(super) async fn list(request: HttpRequest, state: Data<AdminState>) -> Result<HttpResponse> {
    authenticate(&request, &state)?;
    let targets = match &state.read_targets {
        Some(recipient) => recipient
            .send(ReadTargets)
            .await
            .map_err(|_| AdminProblem::busy())?,
        None => Vec::new(),
    };
    Ok(HttpResponse::Ok().json(json!({"targets": targets})))
}

/// Handles `POST /v1/targets/{name}/drain`.
pub(super) async fn drain(
    request: HttpRequest,
    path: Path<String>,
    state: Data<AdminState>,
) -> Result<HttpResponse> {
    authenticate(&request, &state)?;
    let unknown = |_| AdminProblem::not_run(ProblemCode::NotFound, "the path names no target");
    let target = TargetName::parse(&path).map_err(unknown)?;
    let Some(recipient) = &state.drain_target else {
        let detail = "this process cannot drain targets";
        return Err(AdminProblem::not_run(ProblemCode::NoTarget, detail));
    };
    let drained = recipient.send(DrainTarget { target }).await;
    let view = drained.map_err(|_| AdminProblem::busy())??;
    Ok(HttpResponse::Ok().json(view))
}
