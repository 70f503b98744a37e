//! Reads and validates the head and the body of a caller's request.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use actix_web::HttpRequest;
use actix_web::http::header as caller_header;
use actix_web::web::Payload;
use bytes::{Bytes, BytesMut};
use ebony_routing::{CallerLimits, RouteRule, RoutingTable};
use ebony_types::ProblemCode;
use futures_util::StreamExt;
use http::header::{HeaderMap, HeaderName, HeaderValue};
use http::{Method, Uri};
use tokio::time::timeout;

use crate::refusal::{CallRefusal, Result};

/// The time within which the whole body has to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// The largest body of a refused request that is read and discarded. Turns of programs are below it.
const MAX_DISCARDED_BYTES: usize = 64 * 1024;

/// The time within which the body of a refused request has to arrive, if the connection is to stay open. It covers a
/// body that callers send in segments of their own behind the head, and delays the refusal of those that do not.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(50);

/// Header fields that are not forwarded, because they are hop-by-hop or depend on how one connection frames the
/// message. Of a request, those that `Connection` names are dropped as well.
const CONNECTION_FIELDS: [&str; 9] = [
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// The state of a caller's connection.
#[derive(Debug, Default)]
pub(crate) struct CallerConnection {
    /// Whether the end of an earlier request is ambiguous, so that the bytes behind it may not be a request.
    is_poisoned: Cell<bool>,
}

/// The head of a request, without hop-by-hop fields.
#[derive(Clone, Debug)]
pub(crate) struct RequestHead {
    pub(crate) method: Method,
    /// Path and query, as the caller sent them.
    pub(crate) uri: Uri,
    /// The `Host` field, or else the host of the request's URI.
    pub(crate) host: String,
    pub(crate) headers: HeaderMap,
}

impl RequestHead {
    pub(crate) fn path(&self) -> &str {
        self.uri.path()
    }
}

/// Checks the framing and the head of a request.
///
/// # Errors
///
/// Fails if the end of the request is ambiguous, or if the head is malformed.
pub(crate) fn read_head(request: &HttpRequest) -> Result<RequestHead> {
    check_framing(request)?;
    let malformed = || bad_request("malformed request head");
    let method = Method::from_bytes(request.method().as_str().as_bytes()).map_err(|_| malformed())?;
    let target = request
        .uri()
        .path_and_query()
        .map_or("/", |target| target.as_str());
    let uri: Uri = target.parse().map_err(|_| malformed())?;
    let headers = forwarded_headers(request).map_err(|_| malformed())?;
    let host = headers
        .get(http::header::HOST)
        .and_then(|host| host.to_str().ok())
        .or_else(|| request.uri().host())
        .ok_or_else(|| bad_request("the request names no host"))?
        .to_owned();
    Ok(RequestHead {
        method,
        uri,
        host,
        headers,
    })
}

/// Checks the size of a head.
///
/// # Errors
///
/// Fails if the head is larger than the callers' limit.
pub(crate) fn check_size(head: &RequestHead, limits: CallerLimits) -> Result<()> {
    let fields = head.headers.iter();
    let bytes: usize = fields
        .map(|(name, value)| name.as_str().len() + value.len() + ": \r\n".len())
        .sum();
    if bytes + head.uri.to_string().len() > limits.head_bytes {
        return Err(CallRefusal::not_run(
            ProblemCode::HeadTooLarge,
            "the request head is too large",
        ));
    }
    Ok(())
}

/// Reads the whole body of a request.
///
/// # Errors
///
/// Fails if the body is larger than the callers' limit, ends early, or does not arrive within [`BODY_TIMEOUT`].
pub(crate) async fn read_body(mut payload: Payload, limits: CallerLimits) -> Result<Bytes> {
    let reading = async {
        let mut body = BytesMut::new();
        while let Some(chunk) = payload.next().await {
            let chunk = chunk.map_err(|_| bad_request("the body ended early"))?;
            if body.len() + chunk.len() > limits.body_bytes {
                return Err(CallRefusal::not_run(
                    ProblemCode::BodyTooLarge,
                    "the body is too large",
                ));
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body.freeze())
    };
    let too_slow = CallRefusal::not_run(ProblemCode::RequestTimeout, "the body did not arrive in time");
    timeout(BODY_TIMEOUT, reading).await.unwrap_or(Err(too_slow))
}

/// Discards the body of a request that was refused by its head, if it is small and arrives at once, so that the
/// connection can be used for the next request. Returns whether the whole body was discarded.
pub(crate) async fn discard_body(mut payload: Payload) -> bool {
    let reading = async {
        let mut bytes = 0;
        while let Some(chunk) = payload.next().await {
            bytes += chunk.map_or(MAX_DISCARDED_BYTES + 1, |chunk| chunk.len());
            if bytes > MAX_DISCARDED_BYTES {
                return false;
            }
        }
        true
    };
    timeout(DISCARD_TIMEOUT, reading).await.unwrap_or(false)
}

/// Returns the route of a request.
///
/// # Errors
///
/// Fails if there is none.
pub(crate) fn find_route<'t>(head: &RequestHead, routing: &'t RoutingTable) -> Result<&'t Rc<RouteRule>> {
    routing.route(&head.host, head.path()).ok_or_else(no_route)
}

/// Returns the refusal of a request without a route.
pub(crate) fn no_route() -> CallRefusal {
    CallRefusal::not_run(ProblemCode::NotFound, "no route for the host and path")
}

fn bad_request(detail: &'static str) -> CallRefusal {
    CallRefusal::not_run(ProblemCode::BadRequest, detail)
}

/// Rejects a request with both `Content-Length` and `Transfer-Encoding`, or with an encoding other than `chunked`. Its
/// end is ambiguous, which allows request smuggling, so later requests on its connection are rejected as well.
fn check_framing(request: &HttpRequest) -> Result<()> {
    let connection = request.conn_data::<CallerConnection>();
    if connection.is_some_and(|connection| connection.is_poisoned.get()) {
        return Err(bad_request("an earlier request on the connection was malformed"));
    }
    let headers = request.headers();
    let encoding = headers.get(caller_header::TRANSFER_ENCODING);
    let is_plain = match encoding {
        None => true,
        Some(encoding) => {
            encoding.as_bytes().trim_ascii().eq_ignore_ascii_case(b"chunked")
                && !headers.contains_key(caller_header::CONTENT_LENGTH)
        }
    };
    if is_plain {
        return Ok(());
    }
    if let Some(connection) = connection {
        connection.is_poisoned.set(true);
    }
    Err(bad_request("the length of the body is ambiguous"))
}

/// Returns the headers of a request without hop-by-hop fields.
fn forwarded_headers(request: &HttpRequest) -> Result<HeaderMap, http::Error> {
    let mut headers = HeaderMap::with_capacity(request.headers().len());
    let named = connection_options(request);
    for (name, value) in request.headers() {
        let name = name.as_str();
        if CONNECTION_FIELDS.contains(&name) || named.iter().any(|option| option == name) {
            continue;
        }
        let name = HeaderName::from_bytes(name.as_bytes())?;
        headers.append(name, HeaderValue::from_bytes(value.as_bytes())?);
    }
    Ok(headers)
}

/// Returns the names of the fields that `Connection` declares as hop-by-hop.
fn connection_options(request: &HttpRequest) -> Vec<String> {
    let values = request.headers().get_all(caller_header::CONNECTION);
    let options = values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','));
    options.map(|option| option.trim().to_ascii_lowercase()).collect()
}

/// Returns whether a header field of a target's answer is forwarded to the caller.
pub(crate) fn is_forwarded(name: &HeaderName) -> bool {
    !CONNECTION_FIELDS.contains(&name.as_str())
}
