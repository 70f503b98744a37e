//! Handles operations on programs.

use actix_web::http::StatusCode;
use actix_web::web::{Data, Path, Payload, Query};
use actix_web::{HttpRequest, HttpResponse};
use ebony_types::{CallerName, ProblemCode, ProblemReport, ProgramBudget, ProgramId};
use ebony_wire::{ProgramOperation, ProgramView};
use serde::Deserialize;
use serde_json::{Value, json};
use std::time::{Duration, Instant};

use super::auth::authenticate;
use super::body::read_body;
use super::chat::BODY_TIMEOUT;
use super::problem::problem_response;
use super::routing::{is_shard_moving, unknown_owner, wait_before_retry};
use super::state::CallerState;
use crate::peers::{ForwardOperation, OperateProgram, ShardRoute};

/// The maximum size of an operation body in bytes.
const MAX_OPERATION_BYTES: usize = 16 * 1024;

/// The maximum time for an operation, including retries.
const OPERATION_TIMEOUT: Duration = Duration::from_secs(10);

/// The result of an operation.
pub(crate) type Result<T, E = ProblemReport> = std::result::Result<T, E>;

/// The body of a request to open a program. Omitted limits are taken from the configuration.
#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
struct OpenBody {
    parent: Option<ProgramId>,
    budget: Option<BudgetBody>,
}

#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
struct BudgetBody {
    tokens: Option<u64>,
    calls: Option<u32>,
    seconds: Option<u32>,
    depth: Option<u8>,
}

impl BudgetBody {
    /// Returns the requested budget, capped at the limits of the configuration.
    fn limit(&self, limits: ProgramBudget) -> ProgramBudget {
        ProgramBudget {
            tokens: self.tokens.unwrap_or(limits.tokens).min(limits.tokens),
            calls: self.calls.unwrap_or(limits.calls).min(limits.calls),
            seconds: self.seconds.unwrap_or(limits.seconds).min(limits.seconds),
            depth: self.depth.unwrap_or(limits.depth).min(limits.depth),
        }
    }
}

/// Query parameters of a program view.
#[derive(Debug)]
#[derive(Deserialize)]
pub(super) struct ShowQuery {
    /// Whether the view includes the history. Defaults to `true`.
    history: Option<bool>,
}

/// Handles `POST /v1/programs`.
pub(super) async fn open(request: HttpRequest, payload: Payload, state: Data<CallerState>) -> HttpResponse {
    respond(StatusCode::CREATED, try_open(&request, payload, &state).await)
}

async fn try_open(request: &HttpRequest, payload: Payload, state: &CallerState) -> Result<Box<ProgramView>> {
    let caller = authenticate(request, &state.config)?;
    let body = read_body(payload, MAX_OPERATION_BYTES, BODY_TIMEOUT).await?;
    let malformed =
        |error| ProblemReport::not_run(ProblemCode::BadRequest, format!("malformed body: {error}"));
    let body: OpenBody = if body.is_empty() {
        OpenBody::default()
    } else {
        serde_json::from_slice(&body).map_err(malformed)?
    };
    let limits = state.config.budget(&caller);
    let budget = body.budget.unwrap_or_default().limit(limits);
    let program = state.new_program(body.parent);
    operate(
        state,
        ProgramOperation::Open {
            program,
            parent: body.parent,
            caller,
            budget,
        },
    )
    .await
}

/// Handles `GET /v1/programs/{id}`.
pub(super) async fn show(
    request: HttpRequest,
    path: Path<String>,
    query: Query<ShowQuery>,
    state: Data<CallerState>,
) -> HttpResponse {
    let with_history = query.history.unwrap_or(true);
    let make = |program, caller| ProgramOperation::Show {
        program,
        caller: Some(caller),
        with_history,
    };
    respond(StatusCode::OK, operate_on(&request, &path, &state, make).await)
}

/// Handles `DELETE /v1/programs/{id}`.
pub(super) async fn cancel(
    request: HttpRequest,
    path: Path<String>,
    state: Data<CallerState>,
) -> HttpResponse {
    let make = |program, caller| ProgramOperation::Cancel {
        program,
        caller: Some(caller),
    };
    respond(StatusCode::OK, operate_on(&request, &path, &state, make).await)
}

/// Handles `POST /v1/programs/{id}/finish`.
pub(super) async fn finish(
    request: HttpRequest,
    path: Path<String>,
    state: Data<CallerState>,
) -> HttpResponse {
    let make = |program, caller| ProgramOperation::Finish { program, caller };
    respond(StatusCode::OK, operate_on(&request, &path, &state, make).await)
}

async fn operate_on(
    request: &HttpRequest,
    path: &str,
    state: &CallerState,
    make: impl FnOnce(ProgramId, CallerName) -> ProgramOperation,
) -> Result<Box<ProgramView>> {
    let caller = authenticate(request, &state.config)?;
    let unknown = |_| ProblemReport::not_run(ProblemCode::UnknownProgram, "the path names no program");
    let program = path.parse().map_err(unknown)?;
    operate(state, make(program, caller)).await
}

/// Runs an operation at the owner of the program. Retries while the shard moves to another entry.
pub(crate) async fn operate(state: &CallerState, operation: ProgramOperation) -> Result<Box<ProgramView>> {
    let deadline = Instant::now() + OPERATION_TIMEOUT;
    loop {
        let limit = deadline.saturating_duration_since(Instant::now());
        let route = state
            .router
            .wait_route(operation.program().shard(), limit)
            .await
            .ok_or_else(unknown_owner)?;
        match send(state, route, operation.clone(), limit).await {
            Err(problem) if is_shard_moving(&problem) && Instant::now() < deadline => {
                wait_before_retry().await;
            }
            result => return result,
        }
    }
}

async fn send(
    state: &CallerState,
    route: ShardRoute,
    operation: ProgramOperation,
    limit: Duration,
) -> Result<Box<ProgramView>> {
    let sent = async {
        match route {
            ShardRoute::Local => state.operate.send(OperateProgram(operation)).await,
            ShardRoute::Peer(peer) => {
                state
                    .forward_operation
                    .send(ForwardOperation { peer, operation })
                    .await
            }
        }
    };
    let late =
        || ProblemReport::may_have_run(ProblemCode::DeadlineExceeded, "the owner did not answer in time");
    let stopped = |_| ProblemReport::not_run(ProblemCode::Draining, "the process is stopping").retry_after(1);
    match tokio::time::timeout(limit, sent).await {
        Ok(result) => result.map_err(stopped)?,
        Err(_) => Err(late()),
    }
}

fn respond(status: StatusCode, result: Result<Box<ProgramView>>) -> HttpResponse {
    match result {
        Ok(view) => HttpResponse::build(status).json(view_json(&view)),
        Err(problem) => problem_response(&problem),
    }
}

/// Returns the JSON form of a view.
pub(crate) fn view_json(view: &ProgramView) -> Value {
    let mut body = json!({
        "id": view.program,
        "parent": view.parent,
        "state": view.state,
        "turns": view.turns,
        "budget": view.budget,
        "used": view.used,
        "budget_left": {
            "tokens": view.budget.tokens.saturating_sub(view.used.tokens),
            "calls": view.budget.calls.saturating_sub(view.used.calls),
        },
        "open_children": view.open_children,
    });
    if let Some(history) = &view.history {
        body["history"] = serde_json::from_slice(history).unwrap_or(Value::Null);
    }
    body
}
