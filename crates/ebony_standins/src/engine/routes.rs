//! The HTTP routes of an engine.

use std::rc::Rc;
use std::str::FromStr;
use std::time::Duration;

use actix_web::dev::ServiceRequest;
use actix_web::http::header::HeaderMap;
use actix_web::{HttpRequest, HttpResponse, HttpResponseBuilder, web};
use bytes::Bytes;
use ebony_platform::HeldProgram;
use ebony_platform::protocol::{
    CALL_HEADER, FencedReply, INCARNATION_HEADER, OrderRequest, PRIORITY_HEADER, PROGRAM_HEADER,
    engine_route, from_cbor, to_cbor,
};
use ebony_types::{CallId, ProgramId};
use futures_util::stream::{self, Stream, StreamExt};
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Deserialize;
use serde_json::json;
use sha2::{Digest, Sha256};
use tokio::task::yield_now;
use tokio::time::sleep;

use super::echo::{ChatRequest, PromptSegment};
use super::record::{CallRecord, InterruptedAnswer, Result};
use super::run::{self, EngineJob};
use super::state::{EngineState, OrderFailure};

/// Maximum number of words of an answer. At about 200 bytes per event, the stream stays below the limit on the size of
/// answers.
const MAX_ANSWER_WORDS: u32 = 16_384;

pub(crate) fn data_routes(config: &mut web::ServiceConfig) {
    let call = format!("{}{{call}}", engine_route::CALLS);
    let kv = format!("{}/{{program}}/kv", engine_route::PROGRAMS);
    config
        .route(engine_route::COMPLETE, web::post().to(complete))
        .route(&call, web::get().to(resume))
        .route(&call, web::delete().to(cancel))
        .route(engine_route::LOAD, web::get().to(load))
        .route(engine_route::NOTICES, web::get().to(notices))
        .route(engine_route::PROGRAMS, web::get().to(programs))
        .route(engine_route::ORDERS, web::post().to(order))
        .route(&kv, web::get().to(export_kv))
        .route(&kv, web::put().to(import_kv));
}

/// Returns whether a request has an effect, so that fault injection may drop its reply.
pub(crate) fn has_effect(request: &ServiceRequest) -> bool {
    matches!(request.path(), engine_route::COMPLETE | engine_route::ORDERS)
}

async fn complete(state: web::Data<EngineState>, http: HttpRequest, body: Bytes) -> HttpResponse {
    state.log.borrow_mut().counts.received += 1;
    let job = match read_job(&http, &body) {
        Ok(job) => job,
        Err(detail) => return failure(HttpResponse::BadRequest(), "bad_request", &detail),
    };
    if let Some(code) = refusal(&state, &job) {
        state.log.borrow_mut().counts.refused += 1;
        return failure(HttpResponse::ServiceUnavailable(), code, "the call did not run");
    }
    sweep(&state);
    let call = job.call;
    let record = run::start(&state, job);
    respond(&state, call, record, 0).await
}

fn read_job(http: &HttpRequest, body: &Bytes) -> Result<EngineJob, String> {
    let request = ChatRequest::parse(body).map_err(|error| error.to_string())?;
    if request.answer_words() > MAX_ANSWER_WORDS {
        return Err(format!("max_tokens is above {MAX_ANSWER_WORDS}"));
    }
    let call = parse_header(http.headers(), CALL_HEADER)?;
    Ok(EngineJob {
        call: call.unwrap_or_else(|| CallId::random(&mut StdRng::from_os_rng())),
        program: parse_header(http.headers(), PROGRAM_HEADER)?,
        priority: parse_header(http.headers(), PRIORITY_HEADER)?.unwrap_or(0),
        request_digest: request_digest(&request.model, body),
        request,
    })
}

fn parse_header<T: FromStr>(headers: &HeaderMap, name: &str) -> Result<Option<T>, String> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let parsed = value.to_str().ok().and_then(|text| text.parse().ok());
    parsed.map(Some).ok_or_else(|| format!("malformed header {name}"))
}

/// Returns the digest as [`ebony_types::CallRequest::digest`] defines it for model calls.
fn request_digest(model: &str, body: &[u8]) -> String {
    let hasher = Sha256::new()
        .chain_update(format!("model\0{model}\0"))
        .chain_update(body);
    format!("{:x}", hasher.finalize())
}

fn refusal(state: &EngineState, job: &EngineJob) -> Option<&'static str> {
    if !state.models.borrow().is_ready(&job.request.model) {
        return Some("model_not_loaded");
    }
    let max_waiting = state.settings.read(|settings| settings.max_waiting);
    (state.slots.waiting() >= max_waiting).then_some("too_many_calls")
}

fn failure(mut response: HttpResponseBuilder, code: &str, detail: &str) -> HttpResponse {
    response.json(json!({"error": {"code": code, "message": detail}}))
}

/// Responds with the answer of a record from an offset.
async fn respond(
    state: &web::Data<EngineState>,
    call: CallId,
    record: Rc<CallRecord>,
    offset: usize,
) -> HttpResponse {
    let mut response = HttpResponse::Ok();
    response
        .insert_header((CALL_HEADER, call.to_string()))
        .insert_header((INCARNATION_HEADER, state.incarnation().to_string()));
    if record.is_streamed {
        let parts = apply_cut(state, record.parts(offset).boxed_local());
        return response.content_type("text/event-stream").streaming(parts);
    }
    match record.complete(offset).await {
        Ok(Some(body)) => response.content_type("application/json").body(body),
        Ok(None) => HttpResponse::RangeNotSatisfiable().finish(),
        Err(_) => failure(
            HttpResponse::InternalServerError(),
            "broken",
            "the call was cancelled",
        ),
    }
}

/// Cuts off the stream if the setting `cut_answers` requires it.
fn apply_cut<S: Stream<Item = Result<Bytes>> + Unpin>(
    state: &EngineState,
    parts: S,
) -> impl Stream<Item = Result<Bytes>> + use<S> {
    let cut_after = state.settings.read(|settings| {
        let is_cut = settings.cut_answers > 0;
        is_cut.then_some(settings.cut_after_bytes as usize)
    });
    if cut_after.is_some() {
        state.settings.change(|settings| settings.cut_answers -= 1);
        state.log.borrow_mut().counts.cut += 1;
    }
    let remaining = cut_after.unwrap_or(usize::MAX);
    stream::unfold((parts, remaining), |(mut parts, remaining)| async move {
        if remaining == 0 {
            // Lets the connection send its buffered data before the error closes it.
            yield_now().await;
            return Some((Err(InterruptedAnswer), (parts, remaining)));
        }
        let part = parts.next().await?;
        let part = part.map(|part| part.slice(..part.len().min(remaining)));
        let length = part.as_ref().map_or(0, Bytes::len);
        Some((part, (parts, remaining - length)))
    })
}

#[derive(Deserialize)]
struct ResumeQuery {
    offset: usize,
}

async fn resume(
    state: web::Data<EngineState>,
    path: web::Path<String>,
    query: web::Query<ResumeQuery>,
) -> HttpResponse {
    sweep(&state);
    let call = path.parse().ok();
    let record = call.and_then(|call| state.calls.borrow().get(call));
    let (Some(call), Some(record)) = (call, record) else {
        return failure(HttpResponse::NotFound(), "unknown_call", "the call is not kept");
    };
    if record.ends_before(query.offset) {
        return HttpResponse::RangeNotSatisfiable().finish();
    }
    state.log.borrow_mut().counts.resumed += 1;
    respond(&state, call, record, query.offset).await
}

fn sweep(state: &EngineState) {
    let (keep_ms, max_kept) = state
        .settings
        .read(|settings| (settings.keep_ms, settings.max_kept));
    let keep = Duration::from_millis(keep_ms);
    state.calls.borrow_mut().sweep(keep, max_kept as usize);
}

async fn cancel(state: web::Data<EngineState>, path: web::Path<String>) -> HttpResponse {
    let Ok(call) = path.parse() else {
        return failure(HttpResponse::BadRequest(), "bad_request", "malformed call");
    };
    if state.calls.borrow().get(call).is_none() {
        return failure(HttpResponse::NotFound(), "unknown_call", "the call is not kept");
    }
    if state.calls.borrow_mut().cancel(call) {
        state.log.borrow_mut().counts.cancelled += 1;
    }
    HttpResponse::NoContent().finish()
}

async fn load(state: web::Data<EngineState>) -> HttpResponse {
    HttpResponse::Ok().json(state.load_report())
}

#[derive(Deserialize)]
struct NoticesQuery {
    after: u64,
}

async fn notices(state: web::Data<EngineState>, query: web::Query<NoticesQuery>) -> HttpResponse {
    let delay = state.settings.read(|settings| settings.notice_delay_ms);
    let notices = state.notices.borrow();
    HttpResponse::Ok().json(notices.after(query.after, Duration::from_millis(delay)))
}

async fn programs(state: web::Data<EngineState>) -> HttpResponse {
    let bytes = state.settings.read(|settings| settings.kv_bytes_per_token);
    let held = state.cache.borrow().held();
    let programs: Vec<HeldProgram> = held
        .into_iter()
        .map(|change| HeldProgram {
            program: change.program,
            bytes: change.held_tokens * bytes,
        })
        .collect();
    HttpResponse::Ok().json(programs)
}

async fn order(state: web::Data<EngineState>, request: web::Json<OrderRequest>) -> HttpResponse {
    match state.run_order(request.into_inner()) {
        Ok(()) => HttpResponse::NoContent().finish(),
        Err(OrderFailure::Fenced { highest }) => HttpResponse::Conflict().json(FencedReply { highest }),
        Err(OrderFailure::NoRoom) => failure(
            HttpResponse::ServiceUnavailable(),
            "no_room",
            "no further model fits",
        ),
        Err(OrderFailure::NothingHeld) => failure(
            HttpResponse::NotFound(),
            "nothing_held",
            "the program holds nothing",
        ),
    }
}

async fn export_kv(state: web::Data<EngineState>, path: web::Path<ProgramId>) -> HttpResponse {
    let segments = state.cache.borrow().export(*path);
    let Some(segments) = segments else {
        return failure(
            HttpResponse::NotFound(),
            "nothing_held",
            "the program holds nothing",
        );
    };
    transfer(&state, &segments).await;
    state.log.borrow_mut().counts.exports += 1;
    match to_cbor(&segments) {
        Ok(bytes) => HttpResponse::Ok().body(bytes),
        Err(error) => failure(
            HttpResponse::InternalServerError(),
            "internal",
            &error.to_string(),
        ),
    }
}

async fn import_kv(state: web::Data<EngineState>, path: web::Path<ProgramId>, body: Bytes) -> HttpResponse {
    let segments: Vec<PromptSegment> = match from_cbor(&body) {
        Ok(segments) => segments,
        Err(error) => return failure(HttpResponse::BadRequest(), "bad_request", &error.to_string()),
    };
    transfer(&state, &segments).await;
    let capacity = state.settings.read(|settings| settings.cache_tokens);
    let has_room = state.cache.borrow_mut().import(*path, &segments, capacity);
    state.publish();
    if !has_room {
        return failure(HttpResponse::ServiceUnavailable(), "no_room", "the cache is full");
    }
    state.log.borrow_mut().counts.imports += 1;
    HttpResponse::NoContent().finish()
}

async fn transfer(state: &EngineState, segments: &[PromptSegment]) {
    let tokens: u64 = segments.iter().map(|segment| segment.tokens).sum();
    let micros = state.settings.read(|settings| settings.kv_transfer_us_per_token) * tokens;
    if micros > 0 {
        sleep(Duration::from_micros(micros)).await;
    }
}
