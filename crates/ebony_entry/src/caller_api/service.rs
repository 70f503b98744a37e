//! Handles calls to plain services.

use actix_web::http::header::HeaderMap;
use actix_web::web::{Data, Payload};
use actix_web::{HttpRequest, HttpResponse};
use ebony_types::limits::MAX_HEADER_FIELDS;
use ebony_types::{CallKind, HeaderField, ProblemCode, ProblemReport, ServiceName};

use super::auth::authenticate;
use super::body::read_body;
use super::chat::BODY_TIMEOUT;
use super::start::{CallHeaders, run_call};
use super::state::CallerState;

/// The path prefix of all services.
const PREFIX: &str = "/v1/services/";

/// Header fields that are not passed on to the service: they concern the connection to the caller, or are read by this
/// process.
const STRIPPED_FIELDS: &[&str] = &[
    "authorization",
    "connection",
    "content-length",
    "ebony-program",
    "ebony-timeout-ms",
    "expect",
    "host",
    "idempotency-key",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// The result of checking a request.
pub(super) type Result<T, E = ProblemReport> = std::result::Result<T, E>;

/// Handles any method on `/v1/services/{service}/{path}`.
pub(super) async fn call(request: HttpRequest, payload: Payload, state: Data<CallerState>) -> HttpResponse {
    let accepted = accept(&request, payload, &state).await;
    accepted.unwrap_or_else(|problem| state.refuse("service", &problem))
}

async fn accept(request: &HttpRequest, payload: Payload, state: &Data<CallerState>) -> Result<HttpResponse> {
    let caller = authenticate(request, &state.config)?;
    let headers = CallHeaders::parse(request)?;
    let kind = parse_target(request)?;
    if let CallKind::Service { service, .. } = &kind
        && !state.config.serves_service(service)
    {
        let detail = format!("the service {service} is not in force");
        return Err(ProblemReport::not_run(ProblemCode::UnknownService, detail));
    }
    let fields = passed_fields(request.headers())?;
    let limit = usize::try_from(state.limits.body).unwrap_or(usize::MAX);
    let body = read_body(payload, limit, BODY_TIMEOUT).await?;
    Ok(run_call(state, headers.into_call(state, caller, kind, fields, body)).await)
}

fn parse_target(request: &HttpRequest) -> Result<CallKind> {
    let bad = |detail| ProblemReport::not_run(ProblemCode::BadRequest, detail);
    let path = request.uri().path_and_query().map_or("", |path| path.as_str());
    let rest = path
        .strip_prefix(PREFIX)
        .ok_or_else(|| bad("the path names no service"))?;
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (service, rest) = rest.split_at(end);
    let service = ServiceName::parse(service).map_err(|_| bad("the path names no service"))?;
    let path = if rest.starts_with('/') {
        rest.to_owned()
    } else {
        format!("/{rest}")
    };
    Ok(CallKind::Service {
        service,
        method: request.method().to_string(),
        path,
    })
}

fn passed_fields(headers: &HeaderMap) -> Result<Vec<HeaderField>> {
    let bad = |detail| ProblemReport::not_run(ProblemCode::BadRequest, detail);
    let mut fields = Vec::new();
    for (name, value) in headers {
        if STRIPPED_FIELDS.contains(&name.as_str()) {
            continue;
        }
        if fields.len() == MAX_HEADER_FIELDS {
            return Err(bad("too many header fields"));
        }
        let value = value
            .to_str()
            .map_err(|_| bad("a header field is not visible ASCII"))?;
        fields.push(HeaderField {
            name: name.to_string(),
            value: value.to_owned(),
        });
    }
    Ok(fields)
}
