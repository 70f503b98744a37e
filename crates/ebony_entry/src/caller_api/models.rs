//! Lists the models available to a caller.

use actix_web::web::Data;
use actix_web::{HttpRequest, HttpResponse};
use serde_json::json;

use super::auth::authenticate;
use super::problem::problem_response;
use super::state::CallerState;

/// Handles `GET /v1/models`.
pub(super) async fn list(request: HttpRequest, state: Data<CallerState>) -> HttpResponse {
    let caller = match authenticate(&request, &state.config) {
        Ok(caller) => caller,
        Err(problem) => return problem_response(&problem),
    };
    let models = state.config.models(&caller);
    let data: Vec<_> = models
        .iter()
        .map(
            |model| json!({"id": model.as_str(), "object": "model", "created": 0, "owned_by": "ebonyswitch"}),
        )
        .collect();
    HttpResponse::Ok().json(json!({"object": "list", "data": data}))
}
