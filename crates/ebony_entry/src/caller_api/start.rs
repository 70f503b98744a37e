//! Starts calls at the owners of their programs and returns the answers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_web::web::Data;
use actix_web::{HttpRequest, HttpResponse};
use bytes::Bytes;
use ebony_owner::intent::one_call_program;
use ebony_types::limits::{DEFAULT_TIMEOUT_MS, MAX_TIMEOUT_MS};
use ebony_types::{
    CallKind, CallRequest, CallerName, HeaderField, IdempotencyKey, ProblemCode, ProblemReport, ProgramId,
};

use super::answer::{AnswerReader, CallLabels, answer_response, fail};
use super::routing::{is_shard_moving, unknown_owner, wait_before_retry};
use super::state::CallerState;
use crate::answer::{AnswerPart, AnswerPipe};
use crate::peers::{ForwardCall, ShardRoute, StartCall};

/// The maximum wait for the owner of a shard, for example while the shard moves to another entry.
const ROUTE_WAIT: Duration = Duration::from_secs(10);

/// How long after a call's deadline the receiving entry still waits for the owner's own answer.
const DEADLINE_GRACE: Duration = Duration::from_millis(500);

/// The result of checking a request's header fields.
pub(super) type Result<T, E = ProblemReport> = std::result::Result<T, E>;

/// The request header fields with options of a call.
pub(super) struct CallHeaders {
    program: Option<ProgramId>,
    idempotency_key: Option<IdempotencyKey>,
    timeout_ms: u32,
}

impl CallHeaders {
    /// Parses and validates the fields.
    ///
    /// # Errors
    ///
    /// Returns `bad_request`, not run, if a field is malformed.
    pub(super) fn parse(request: &HttpRequest) -> Result<Self> {
        Ok(Self {
            program: parse_field(request, "ebony-program", |text| text.parse().ok())?,
            idempotency_key: parse_field(request, "idempotency-key", |text| {
                IdempotencyKey::parse(text).ok()
            })?,
            timeout_ms: parse_field(request, "ebony-timeout-ms", |text| text.parse().ok())?
                .unwrap_or(DEFAULT_TIMEOUT_MS)
                .clamp(1, MAX_TIMEOUT_MS),
        })
    }

    /// Builds the call request.
    pub(super) fn into_call(
        self,
        state: &CallerState,
        caller: CallerName,
        kind: CallKind,
        headers: Vec<HeaderField>,
        body: Bytes,
    ) -> CallRequest {
        CallRequest {
            call: state.new_call(),
            program: self.program,
            caller,
            kind,
            headers,
            body,
            idempotency_key: self.idempotency_key,
            timeout_ms: self.timeout_ms,
        }
    }
}

fn parse_field<T>(request: &HttpRequest, name: &str, parse: impl Fn(&str) -> Option<T>) -> Result<Option<T>> {
    let Some(value) = request.headers().get(name) else {
        return Ok(None);
    };
    let malformed = || {
        ProblemReport::not_run(
            ProblemCode::BadRequest,
            format!("the header field {name} is malformed"),
        )
    };
    value
        .to_str()
        .ok()
        .and_then(parse)
        .map(Some)
        .ok_or_else(malformed)
}

/// Runs a call at its owner and returns the answer.
pub(super) async fn run_call(state: &Data<CallerState>, request: CallRequest) -> HttpResponse {
    let labels = CallLabels {
        kind: kind_label(&request.kind),
        caller: request.caller.clone(),
        must_run_once: request.idempotency_key.is_some(),
        is_program: request.program.is_none(),
    };
    let started = Instant::now();
    let deadline = started + Duration::from_millis(u64::from(request.timeout_ms)) + DEADLINE_GRACE;
    let routed = routing_program(state, &request);
    let reader = AnswerReader::new(Data::clone(state), labels, started, deadline);
    match start_at_owner(state, request, routed, reader).await {
        Ok((reader, first)) => answer_response(reader, first).await,
        Err((reader, problem)) => fail(reader, problem),
    }
}

/// Returns the program whose shard determines the route of a call. For a call without a program, the owner opens a
/// program of one call.
fn routing_program(state: &CallerState, request: &CallRequest) -> ProgramId {
    match (&request.program, &request.idempotency_key) {
        (Some(program), _) => *program,
        // Calls with the same idempotency key must reach the same owner, whichever entry receives them.
        (None, Some(key)) => one_call_program(&request.caller, key, state.router.shards()),
        (None, None) => state.new_program(None),
    }
}

/// Starts the call at the current owner and waits for the first part of the answer. Retries while the shard moves to
/// another entry.
async fn start_at_owner(
    state: &CallerState,
    mut request: CallRequest,
    program: ProgramId,
    mut reader: AnswerReader,
) -> std::result::Result<(AnswerReader, AnswerPart), (AnswerReader, ProblemReport)> {
    let route_deadline = Instant::now() + ROUTE_WAIT;
    loop {
        let limit = route_deadline
            .saturating_duration_since(Instant::now())
            .min(reader.remaining());
        let Some(route) = state.router.wait_route(program.shard(), limit).await else {
            return Err((reader, unknown_owner()));
        };
        request.timeout_ms = u32::try_from(reader.remaining().as_millis())
            .unwrap_or(MAX_TIMEOUT_MS)
            .max(1);
        let pipe = Arc::new(AnswerPipe::new(request.call));
        send(state, route, request.clone(), Arc::clone(&pipe));
        reader.attach(pipe);
        match reader.next().await {
            AnswerPart::Failed(problem) if is_shard_moving(&problem) && Instant::now() < route_deadline => {
                wait_before_retry().await;
            }
            AnswerPart::Failed(problem) => return Err((reader, problem)),
            first => return Ok((reader, first)),
        }
    }
}

fn send(state: &CallerState, route: ShardRoute, request: CallRequest, pipe: Arc<AnswerPipe>) {
    let copy = Arc::clone(&pipe);
    let is_sent = match route {
        ShardRoute::Local => state.start.try_send(StartCall { request, pipe: copy }).is_ok(),
        ShardRoute::Peer(peer) => state
            .forward
            .try_send(ForwardCall {
                peer,
                request,
                pipe: copy,
            })
            .is_ok(),
    };
    if !is_sent {
        let problem =
            ProblemReport::not_run(ProblemCode::Overloaded, "the process is too busy").retry_after(1);
        pipe.push(AnswerPart::Failed(problem));
    }
}

fn kind_label(kind: &CallKind) -> &'static str {
    match kind {
        CallKind::Model { .. } => "model",
        CallKind::Service { .. } => "service",
    }
}
