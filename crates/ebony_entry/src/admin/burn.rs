//! Serves the service-level objective measurements of this entry.

use actix_web::web::Data;
use actix_web::{HttpRequest, HttpResponse};
use serde_json::json;

use super::auth::authenticate;
use super::error::Result;
use super::state::AdminState;

/// Handles `GET /v1/burn/snapshot`: the counts, for merging with those of other entries, and the objectives.
pub(super) async fn snapshot(request: HttpRequest, state: Data<AdminState>) -> Result<HttpResponse> {
    authenticate(&request, &state)?;
    let body = json!({"snapshot": state.burn.snapshot(), "catalog": state.burn.catalog()});
    Ok(HttpResponse::Ok().json(body))
}

/// Handles `GET /v1/burn/report`.
pub(super) async fn report(request: HttpRequest, state: Data<AdminState>) -> Result<HttpResponse> {
    authenticate(&request, &state)?;
    let report = state.burn.report(&state.burn.snapshot());
    Ok(HttpResponse::Ok().json(report))
}
