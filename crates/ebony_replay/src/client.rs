//! HTTP client that measures the times of each reply.

use std::time::{Duration, Instant};

use awc::http::Method;
use awc::http::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderMap, RETRY_AFTER};
use awc::{Client, ClientRequest, Connector};
use bytes::{Bytes, BytesMut};
use ebony_types::ProgramId;
use futures_util::StreamExt;

use crate::event_stream::EventReader;

/// Maximum size of a reply body. The longest answer in the traces has 600 tokens.
const MAX_REPLY_BYTES: usize = 16 * 1024 * 1024;

/// Time that the client waits in addition to the stated timeout, so that the system can still respond with an error.
const TIMEOUT_GRACE: Duration = Duration::from_secs(2);

/// The result of sending a request.
type Result<T, E = IncompleteReply> = std::result::Result<T, E>;

/// Error if no reply or only a part of it arrived, or if it exceeds [`MAX_REPLY_BYTES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct IncompleteReply;

/// A request to an entry or a target.
#[derive(Clone, Debug)]
pub struct HttpCall {
    /// The method.
    pub method: Method,
    /// The URL.
    pub url: String,
    /// The caller's bearer key.
    pub bearer_key: String,
    /// The program.
    pub program: Option<ProgramId>,
    /// The idempotency key.
    pub idempotency_key: Option<String>,
    /// The timeout to send with the call.
    pub timeout: Duration,
    /// The body.
    pub body: Bytes,
}

/// Tokens that arrived together, and their time since the previous ones. Each text chunk counts as one token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenGap {
    /// The time since the previous tokens, divided by `tokens`.
    pub interval: Duration,
    /// The number of tokens.
    pub tokens: u32,
}

/// Reply to a call, as far as it arrived.
#[derive(Clone, Debug, Default)]
pub struct HttpReply {
    /// The HTTP status, or `None` if no response arrived.
    pub status: Option<u16>,
    /// The delay from the `retry-after` header.
    pub retry_after: Option<Duration>,
    /// The body of a reply that is not an event stream. Empty if reading it failed, partial if the connection closed
    /// early.
    pub body: Bytes,
    /// The text of an event stream.
    pub text: Option<String>,
    /// Whether an event stream ended with its final marker.
    pub is_done: bool,
    /// The problem that an event stream reported.
    pub stream_error: Option<String>,
    /// Whether the body is complete according to HTTP.
    pub is_complete: bool,
    /// Time to the first text of an event stream.
    pub first_token: Option<Duration>,
    /// Times between the tokens after the first text.
    pub gaps: Vec<TokenGap>,
    /// Time to the end of the reply.
    pub elapsed: Duration,
}

/// Sends calls over HTTP.
#[derive(Clone)]
pub struct CallClient {
    client: Client,
}

impl CallClient {
    /// Creates a client with at most `connections` concurrent connections.
    pub fn open(connections: usize) -> Self {
        let connector = Connector::new().limit(connections);
        let client = Client::builder().connector(connector).disable_timeout().finish();
        Self { client }
    }

    /// Sends a call and receives its reply. Gives up two seconds after the timeout of the call.
    pub async fn send(&self, call: HttpCall) -> HttpReply {
        let start = Instant::now();
        let mut reply = HttpReply::default();
        let limit = call.timeout + TIMEOUT_GRACE;
        let received = tokio::time::timeout(limit, self.receive(call, start, &mut reply)).await;
        reply.is_complete = matches!(received, Ok(Ok(())));
        reply.elapsed = start.elapsed();
        reply
    }

    async fn receive(&self, call: HttpCall, start: Instant, reply: &mut HttpReply) -> Result<()> {
        let body = call.body.clone();
        let sent = self.request(call).send_body(body).await;
        let mut response = sent.map_err(|_| IncompleteReply)?;
        reply.status = Some(response.status().as_u16());
        reply.retry_after = retry_after(response.headers());
        if !is_event_stream(response.headers()) {
            let mut body = BytesMut::new();
            while let Some(chunk) = response.next().await {
                body.extend_from_slice(&chunk.map_err(|_| IncompleteReply)?);
                if body.len() > MAX_REPLY_BYTES {
                    return Err(IncompleteReply);
                }
            }
            reply.body = body.freeze();
            // awc does not report that a connection closed before the end of a body.
            let is_truncated =
                content_length(response.headers()).is_some_and(|length| reply.body.len() < length);
            return if is_truncated {
                Err(IncompleteReply)
            } else {
                Ok(())
            };
        }
        let mut reader = EventReader::default();
        let mut meter = TokenMeter::start(start);
        let mut received = Ok(());
        while let Some(chunk) = response.next().await {
            match chunk {
                Ok(chunk) if reader.text.len() + chunk.len() <= MAX_REPLY_BYTES => {
                    meter.record(reader.take(&chunk), reply);
                }
                _ => {
                    received = Err(IncompleteReply);
                    break;
                }
            }
        }
        reply.is_done = reader.is_done;
        reply.stream_error = reader.error;
        reply.text = Some(reader.text);
        received
    }

    fn request(&self, call: HttpCall) -> ClientRequest {
        let mut request = self
            .client
            .request(call.method, call.url)
            .insert_header(("authorization", format!("Bearer {}", call.bearer_key)))
            .insert_header(("content-type", "application/json"))
            .insert_header(("ebony-timeout-ms", call.timeout.as_millis().max(1).to_string()));
        if let Some(program) = call.program {
            request = request.insert_header(("ebony-program", program.to_string()));
        }
        if let Some(key) = call.idempotency_key {
            request = request.insert_header(("idempotency-key", key));
        }
        request
    }
}

fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let seconds = headers.get(RETRY_AFTER)?.to_str().ok()?.parse().ok()?;
    Some(Duration::from_secs(seconds))
}

fn content_length(headers: &HeaderMap) -> Option<usize> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    let content_type = headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    content_type.is_some_and(|value| value.starts_with("text/event-stream"))
}

/// Measures the arrival times of text.
struct TokenMeter {
    start: Instant,
    last: Option<Instant>,
}

impl TokenMeter {
    fn start(start: Instant) -> Self {
        Self { start, last: None }
    }

    fn record(&mut self, tokens: u32, reply: &mut HttpReply) {
        if tokens == 0 {
            return;
        }
        let now = Instant::now();
        match self.last.replace(now) {
            None => reply.first_token = Some(now - self.start),
            Some(last) => reply.gaps.push(TokenGap {
                interval: (now - last) / tokens,
                tokens,
            }),
        }
    }
}
