//! Handles chat completions.

use std::time::Duration;

use actix_web::web::{Data, Payload};
use actix_web::{HttpRequest, HttpResponse};
use ebony_types::{CallKind, HeaderField, ModelName, ProblemCode, ProblemReport};
use serde_json::Value;

use super::auth::authenticate;
use super::body::read_body;
use super::start::{CallHeaders, run_call};
use super::state::CallerState;

/// Estimated prompt bytes per token, used until the engine reports the actual count.
const BYTES_PER_TOKEN: usize = 4;

/// The maximum number of output tokens if the request has no limit.
const DEFAULT_OUTPUT_TOKENS: u32 = 1_024;

/// The largest output token limit that a request may have.
const MAX_OUTPUT_TOKENS: u64 = 1_000_000;

/// The maximum time for a caller to send the body of a request.
pub(crate) const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// The result of checking a request.
pub(super) type Result<T, E = ProblemReport> = std::result::Result<T, E>;

/// Handles `POST /v1/chat/completions`.
pub(super) async fn complete(
    request: HttpRequest,
    payload: Payload,
    state: Data<CallerState>,
) -> HttpResponse {
    let accepted = accept(&request, payload, &state).await;
    accepted.unwrap_or_else(|problem| state.refuse("model", &problem))
}

async fn accept(request: &HttpRequest, payload: Payload, state: &Data<CallerState>) -> Result<HttpResponse> {
    let caller = authenticate(request, &state.config)?;
    let headers = CallHeaders::parse(request)?;
    let limit = usize::try_from(state.limits.body).unwrap_or(usize::MAX);
    let body = read_body(payload, limit, BODY_TIMEOUT).await?;
    let kind = parse_chat(&body)?;
    if let CallKind::Model { model, .. } = &kind
        && !state.config.serves_model(&caller, model)
    {
        let detail = format!("the model {model} is not in force");
        return Err(ProblemReport::not_run(ProblemCode::UnknownModel, detail));
    }
    let fields = vec![HeaderField {
        name: "content-type".to_owned(),
        value: "application/json".to_owned(),
    }];
    Ok(run_call(state, headers.into_call(state, caller, kind, fields, body)).await)
}

fn bad_request(detail: &'static str) -> ProblemReport {
    ProblemReport::not_run(ProblemCode::BadRequest, detail)
}

/// Parses and validates the body of a chat completion request.
///
/// ```
/// use ebony_entry::caller_api::parse_chat;
///
/// let body = br#"{"model": "kalo-small", "messages": [{"role": "user", "content": "bula"}], "stream": true}"#;
/// assert!(parse_chat(body).is_ok());
/// assert!(parse_chat(b"{}").is_err());
/// ```
///
/// # Errors
///
/// Returns `bad_request`, not run, if the body is not a valid chat completion request.
pub fn parse_chat(body: &[u8]) -> Result<CallKind> {
    let body: Value = serde_json::from_slice(body).map_err(|error| {
        ProblemReport::not_run(ProblemCode::BadRequest, format!("the body is not JSON: {error}"))
    })?;
    let model = body
        .get("model")
        .and_then(Value::as_str)
        .ok_or_else(|| bad_request("\"model\" is missing"))?;
    let model = ModelName::parse(model).map_err(|_| bad_request("\"model\" is not a name"))?;
    let messages = body.get("messages").and_then(Value::as_array);
    let messages = messages.ok_or_else(|| bad_request("\"messages\" is missing"))?;
    if messages.is_empty() {
        return Err(bad_request("\"messages\" is empty"));
    }
    if !messages
        .iter()
        .all(|message| message.get("role").is_some_and(Value::is_string))
    {
        return Err(bad_request("a message has no \"role\""));
    }
    let prompt_bytes: usize = messages.iter().map(content_length).sum();
    Ok(CallKind::Model {
        model,
        is_streamed: parse_stream(&body)?,
        prompt_tokens: u32::try_from(prompt_bytes / BYTES_PER_TOKEN + 1).unwrap_or(u32::MAX),
        max_output_tokens: parse_max_tokens(&body)?,
    })
}

fn content_length(message: &Value) -> usize {
    match message.get("content") {
        Some(Value::String(text)) => text.len(),
        Some(other) => other.to_string().len(),
        None => 0,
    }
}

fn parse_stream(body: &Value) -> Result<bool> {
    match body.get("stream") {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(is_streamed)) => Ok(*is_streamed),
        Some(_) => Err(bad_request("\"stream\" is not a boolean")),
    }
}

fn parse_max_tokens(body: &Value) -> Result<u32> {
    let value = body
        .get("max_completion_tokens")
        .or_else(|| body.get("max_tokens"));
    match value {
        None | Some(Value::Null) => Ok(DEFAULT_OUTPUT_TOKENS),
        Some(value) => match value.as_u64() {
            Some(tokens @ 1..=MAX_OUTPUT_TOKENS) => Ok(u32::try_from(tokens).unwrap_or(u32::MAX)),
            _ => Err(bad_request(
                "\"max_tokens\" is not a positive whole number in its bounds",
            )),
        },
    }
}
