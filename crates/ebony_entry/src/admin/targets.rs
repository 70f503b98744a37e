//! Lists and drains targets.

use actix_web::web::{Data, Path};
use actix_web::{HttpRequest, HttpResponse};
use ebony_types::{ModelName, ProblemCode, TargetName};
use ebony_wire::TargetKind;
use serde_json::{Value, json};

use super::auth::authenticate;
use super::error::{AdminProblem, Result};
use super::state::AdminState;
use crate::dispatch::{DrainOutcome, DrainTarget, ReadTargets, TargetStatus};

/// Handles `GET /v1/targets`.
pub(super) async fn list(request: HttpRequest, state: Data<AdminState>) -> Result<HttpResponse> {
    authenticate(&request, &state)?;
    let targets = state
        .targets
        .send(ReadTargets)
        .await
        .map_err(|_| AdminProblem::busy())?;
    let views: Vec<Value> = targets.iter().map(view_json).collect();
    Ok(HttpResponse::Ok().json(json!({"targets": views})))
}

fn view_json(target: &TargetStatus) -> Value {
    let serves: Vec<&str> = match &target.kind {
        TargetKind::Engine { models } => models.iter().map(ModelName::as_str).collect(),
        TargetKind::Service { service } => vec![service.as_str()],
    };
    json!({
        "target": target.target,
        "host": target.host,
        "domain": target.domain,
        "state": target.phase.as_str(),
        "serves": serves,
        "slots": target.slots,
        "calls": target.calls,
        "kv_used_share": target.kv_used_share,
    })
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
    let order = DrainTarget {
        target: target.clone(),
    };
    match state
        .targets
        .send(order)
        .await
        .map_err(|_| AdminProblem::busy())?
    {
        DrainOutcome::Ordered => Ok(HttpResponse::Ok().json(json!({"target": target, "state": "draining"}))),
        DrainOutcome::UnknownTarget => Err(AdminProblem::not_run(
            ProblemCode::NotFound,
            "no such target is known here",
        )),
        DrainOutcome::TooMany => {
            let detail = "too many targets are ordered to drain";
            Err(AdminProblem::not_run(ProblemCode::Overloaded, detail))
        }
    }
}
