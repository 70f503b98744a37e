//! Reads and validates the head and the body of a caller's request.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use actix_web::HttpRequest;
use actix_web::http::header as caller_header;
use actix_web::web::Payload;
use bytes::{Bytes, BytesMut};
use ebony_listener::{BodyError, BodyReader, ConnectionState};
use ebony_routing::{CallerLimits, RouteRule, RoutingTable};
use ebony_types::ProblemCode;
use futures_util::StreamExt;
use http::header::{HeaderMap, HeaderName, HeaderValue};
use http::{Method, Uri};
use tokio::time::{Instant, timeout, timeout_at};

use crate::refusal::{CallRefusal, Result};

/// The bytes of a body for which its caller gets another second: 0.5 Mbit/s, a sixtieth of what the slowest host has.
const BYTES_PER_SECOND: usize = 64 * 1024;

/// The room that a body of unknown length starts with.
const FIRST_ROOM_BYTES: usize = 16 * 1024;

/// The `Retry-After` of a call for whose body there was no memory. Bodies that stall give way within about a second.
const ROOM_RETRY_AFTER: Duration = Duration::from_millis(500);

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

/// The unread body of a request.
pub(crate) struct CallerBody {
    payload: Payload,
    /// The length that the head announces.
    length: Option<usize>,
    connection: Option<Rc<ConnectionState>>,
    /// The longest time for the body, besides one second for each [`BYTES_PER_SECOND`].
    time_limit: Duration,
}

impl CallerBody {
    pub(crate) fn open(request: &HttpRequest, payload: Payload, time_limit: Duration) -> Self {
        let length = request.headers().get(caller_header::CONTENT_LENGTH);
        let length = length.and_then(|length| length.to_str().ok()?.trim().parse().ok());
        Self {
            payload,
            length,
            connection: request.conn_data::<Rc<ConnectionState>>().cloned(),
            time_limit,
        }
    }

    /// Reads the whole body, as far as there is memory for it.
    ///
    /// # Errors
    ///
    /// Fails if the body is larger than the callers' limit, ends early, or does not arrive in time, or if there is no
    /// memory for it.
    pub(crate) async fn read(self, limits: CallerLimits) -> Result<Bytes> {
        let Self {
            mut payload,
            length,
            connection,
            time_limit,
        } = self;
        if length.is_some_and(|length| length > limits.body_bytes) {
            return Err(body_too_large());
        }
        let mut reader = BodyReader::open(connection, length);
        let mut body = BytesMut::new();
        let mut room = length.unwrap_or(0);
        reader.reserve(room).await.map_err(no_room)?;
        body.reserve(room);
        let mut start = Instant::now();
        loop {
            let earned = Duration::from_secs((body.len() / BYTES_PER_SECOND) as u64);
            let reading = timeout_at(start + time_limit + earned, payload.next());
            let chunk = reader.read(reading).await.map_err(no_room)?;
            let chunk = chunk.map_err(|_| body_too_slow())?;
            let Some(chunk) = chunk else { break };
            let chunk = chunk.map_err(|_| bad_request("the body ended early"))?;
            let bytes = body.len() + chunk.len();
            if bytes > limits.body_bytes {
                return Err(body_too_large());
            }
            if bytes > room {
                let asked = Instant::now();
                room = (room * 2).max(bytes).max(FIRST_ROOM_BYTES);
                reader.reserve(room).await.map_err(no_room)?;
                body.reserve(room - body.len());
                // The caller is not responsible for the wait.
                start += asked.elapsed();
            }
            body.extend_from_slice(&chunk);
        }
        Ok(reader.finish(body.freeze()))
    }

    /// Discards the body of a request that was refused by its head, if it is small and arrives at once, so that the
    /// connection can be used for the next request. Returns whether the whole body was discarded.
    pub(crate) async fn discard(mut self) -> bool {
        if self.length.is_some_and(|length| length > MAX_DISCARDED_BYTES) {
            return false;
        }
        let reader = BodyReader::open(self.connection.take(), self.length);
        let reading = async {
            let mut bytes = 0;
            loop {
                match reader.read(self.payload.next()).await {
                    Ok(Some(Ok(chunk))) => bytes += chunk.len(),
                    Ok(None) => return true,
                    Ok(Some(Err(_))) | Err(_) => return false,
                }
                if bytes > MAX_DISCARDED_BYTES {
                    return false;
                }
            }
        };
        timeout(DISCARD_TIMEOUT, reading).await.unwrap_or(false)
    }
}

fn body_too_large() -> CallRefusal {
    CallRefusal::not_run(ProblemCode::BodyTooLarge, "the body is too large")
}

fn body_too_slow() -> CallRefusal {
    CallRefusal::not_run(ProblemCode::RequestTimeout, "the body did not arrive in time")
}

fn no_room(error: BodyError) -> CallRefusal {
    let detail = match error {
        BodyError::NoRoom => "there is no memory for the body",
        BodyError::Yielded => "the body stopped while others needed its memory",
    };
    CallRefusal::not_run(ProblemCode::Overloaded, detail).retry_after(ROOM_RETRY_AFTER)
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
