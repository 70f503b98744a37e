//! Handles requests for the configuration: reads, changes, history and status.

use std::time::Duration;

use actix_web::web::{Data, Payload, Query};
use actix_web::{HttpRequest, HttpResponse};
use ebony_config::{ConfigDocument, ConfigPatch, EditOutcome, MAX_DOCUMENT_BYTES, RevertParts};
use ebony_types::ProblemCode;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::json;

use super::auth::authenticate_first;
use super::error::{AdminProblem, Result};
use super::state::AdminState;
use crate::caller_api::{BODY_TIMEOUT, read_body};
use crate::config::{ConfigChange, EditConfig, ReadFleetStatus, ReadHistory, ReadVersion};

/// The maximum body size in bytes: a document and the fields around it.
const MAX_BODY_BYTES: usize = MAX_DOCUMENT_BYTES + 16 * 1024;

/// The maximum time that a change may take.
const EDIT_TIMEOUT: Duration = Duration::from_secs(10);

/// The default number of records in one page of history.
const DEFAULT_HISTORY_ROWS: u32 = 50;

/// The maximum number of records in one page of history.
const MAX_HISTORY_ROWS: u32 = 200;

/// Query parameters to read a version.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct VersionQuery {
    version: Option<u64>,
}

/// Query parameters to read a page of history.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct HistoryQuery {
    newest: Option<u64>,
    limit: Option<u32>,
}

#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ReplaceBody {
    expected: u64,
    #[serde(default)]
    summary: String,
    document: ConfigDocument,
}

#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PatchBody {
    expected: u64,
    #[serde(default)]
    summary: String,
    patch: ConfigPatch,
}

#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RevertBody {
    expected: u64,
    #[serde(default)]
    summary: String,
    to: u64,
    /// Whether callers and operators are restored as well, including keys that have been revoked since that version.
    #[serde(default)]
    with_keys: bool,
}

/// Handles `GET /v1/config`.
pub(super) async fn show(
    request: HttpRequest,
    query: Query<VersionQuery>,
    state: Data<AdminState>,
) -> Result<HttpResponse> {
    authenticate_first(&request, &state)?;
    let in_force = state.view.document();
    let document = match (query.version, in_force) {
        (None, None) => {
            let detail = "no configuration is in force";
            return Err(AdminProblem::not_run(ProblemCode::NotFound, detail));
        }
        (None, Some(document)) => document.encode(),
        (Some(version), Some(document)) if document.version == version => document.encode(),
        (Some(version), _) => {
            let read = state.config.send(ReadVersion(version)).await;
            read.map_err(|_| AdminProblem::busy())??.encode()
        }
    };
    Ok(HttpResponse::Ok().content_type("application/json").body(document))
}

/// Handles `PUT /v1/config`.
pub(super) async fn replace(
    request: HttpRequest,
    payload: Payload,
    state: Data<AdminState>,
) -> Result<HttpResponse> {
    let body = |body: ReplaceBody| {
        let change = ConfigChange::Replace(Box::new(body.document));
        (body.expected, body.summary, change)
    };
    edit(&request, payload, &state, body).await
}

/// Handles `PATCH /v1/config`.
pub(super) async fn patch(
    request: HttpRequest,
    payload: Payload,
    state: Data<AdminState>,
) -> Result<HttpResponse> {
    let body = |body: PatchBody| {
        let change = ConfigChange::Patch(Box::new(body.patch));
        (body.expected, body.summary, change)
    };
    edit(&request, payload, &state, body).await
}

/// Handles `POST /v1/config/revert`.
pub(super) async fn revert(
    request: HttpRequest,
    payload: Payload,
    state: Data<AdminState>,
) -> Result<HttpResponse> {
    let body = |body: RevertBody| {
        let parts = if body.with_keys {
            RevertParts::All
        } else {
            RevertParts::Values
        };
        let change = ConfigChange::Revert { to: body.to, parts };
        (body.expected, body.summary, change)
    };
    edit(&request, payload, &state, body).await
}

async fn edit<B: DeserializeOwned>(
    request: &HttpRequest,
    payload: Payload,
    state: &AdminState,
    to_change: impl FnOnce(B) -> (u64, String, ConfigChange),
) -> Result<HttpResponse> {
    let author = authenticate_first(request, state)?;
    let body = read_body(payload, MAX_BODY_BYTES, BODY_TIMEOUT).await?;
    let body = serde_json::from_slice(&body).map_err(|error| {
        let detail = format!("malformed body: {error}");
        AdminProblem::not_run(ProblemCode::BadRequest, detail)
    })?;
    let (expected, summary, change) = to_change(body);
    let edit = EditConfig {
        expected,
        change,
        author,
        summary,
        limit: EDIT_TIMEOUT,
    };
    let ended = state.config.send(edit).await;
    let outcome = ended.map_err(|_| AdminProblem::busy())?;
    let outcome =
        outcome.map_err(|problem| AdminProblem::from(problem).with_default_winner(state.view.version()))?;
    match outcome {
        EditOutcome::Accepted(version) => Ok(HttpResponse::Ok().json(json!({"version": version}))),
        outcome => Err(AdminProblem::of_outcome(&outcome).unwrap_or_else(AdminProblem::busy)),
    }
}

/// Handles `GET /v1/config/history`.
pub(super) async fn history(
    request: HttpRequest,
    query: Query<HistoryQuery>,
    state: Data<AdminState>,
) -> Result<HttpResponse> {
    authenticate_first(&request, &state)?;
    let read = ReadHistory {
        newest: query.newest,
        limit: query.limit.unwrap_or(DEFAULT_HISTORY_ROWS).min(MAX_HISTORY_ROWS),
    };
    let records = state.config.send(read).await;
    let records = records.map_err(|_| AdminProblem::busy())??;
    Ok(HttpResponse::Ok().json(json!({"records": records})))
}

/// Handles `GET /v1/config/status`.
pub(super) async fn status(request: HttpRequest, state: Data<AdminState>) -> Result<HttpResponse> {
    authenticate_first(&request, &state)?;
    let status = state.config.send(ReadFleetStatus).await;
    Ok(HttpResponse::Ok().json(status.map_err(|_| AdminProblem::busy())?))
}
