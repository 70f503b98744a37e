//! The HTTP route of a plain service, which runs and echoes any request.

use std::future::pending;
use std::time::Duration;

use actix_web::http::StatusCode;
use actix_web::{HttpRequest, HttpResponse, web};
use bytes::Bytes;
use ebony_platform::protocol::{IDEMPOTENCY_KEY_HEADER, INCARNATION_HEADER};
use ebony_types::HeaderField;
use sha2::{Digest, Sha256};

use super::{ServiceEcho, ServiceState};
use crate::server::crash::crash;

pub(crate) fn data_routes(config: &mut web::ServiceConfig) {
    config.default_service(web::route().to(run));
}

async fn run(state: web::Data<ServiceState>, http: HttpRequest, body: Bytes) -> HttpResponse {
    let run = note_run(&state, &http, &body);
    if contains_crash_marker(&state, &body) {
        let down = state.settings.read(|settings| settings.crash_down_ms);
        // In a separate task, because the crash aborts this one.
        let gate = state.faults.clone();
        tokio::task::spawn_local(crash(state.clone(), gate, Duration::from_millis(down)));
        return pending().await;
    }
    hang(&state).await;
    let echo = echo(&state, &http, &body, run);
    state.log.borrow_mut().answered += 1;
    let status = state.settings.read(|settings| settings.status);
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
    HttpResponse::build(status)
        .insert_header((INCARNATION_HEADER, echo.incarnation.to_string()))
        .json(echo)
}

fn note_run(state: &ServiceState, http: &HttpRequest, body: &[u8]) -> u64 {
    let mut log = state.log.borrow_mut();
    let path = format!("{} {}", http.method(), http.path());
    let digest = Sha256::new()
        .chain_update(&path)
        .chain_update([0])
        .chain_update(body);
    log.requests.add(&format!("{:x}", digest.finalize()));
    log.paths.add(&path);
    let key = http.headers().get(IDEMPOTENCY_KEY_HEADER);
    if let Some(key) = key.and_then(|value| value.to_str().ok()) {
        log.keys.add(key);
    }
    log.runs += 1;
    log.runs
}

fn contains_crash_marker(state: &ServiceState, body: &[u8]) -> bool {
    state.settings.read(|settings| {
        let marker = settings.crash_marker.as_bytes();
        !marker.is_empty() && body.windows(marker.len()).any(|window| window == marker)
    })
}

/// Waits while the settings `is_hung` and `hang_next` hold back the answer.
async fn hang(state: &ServiceState) {
    let (is_hung, hang_next) = state
        .settings
        .read(|settings| (settings.is_hung, settings.hang_next));
    if is_hung || hang_next > 0 {
        state.log.borrow_mut().hung += 1;
    }
    if hang_next > 0 {
        state.settings.change(|settings| settings.hang_next -= 1);
        // Dropped when the connection closes.
        pending::<()>().await;
    }
    state.settings.wait_for(|settings| !settings.is_hung).await;
}

fn echo(state: &ServiceState, http: &HttpRequest, body: &[u8], run: u64) -> ServiceEcho {
    let (echoed_headers, padding_bytes) = state
        .settings
        .read(|settings| (settings.echoed_headers.clone(), settings.padding_bytes));
    let headers = http
        .headers()
        .iter()
        .filter(|(name, _)| echoed_headers.iter().any(|echoed| echoed == name.as_str()))
        .map(|(name, value)| HeaderField {
            name: name.as_str().to_owned(),
            value: String::from_utf8_lossy(value.as_bytes()).into_owned(),
        })
        .collect();
    ServiceEcho {
        service: state.service.clone(),
        incarnation: state.incarnation.get(),
        run,
        method: http.method().to_string(),
        path: http.uri().to_string(),
        headers,
        body_bytes: body.len() as u64,
        body_digest: format!("{:x}", Sha256::digest(body)),
        padding: "-".repeat(padding_bytes as usize),
    }
}
