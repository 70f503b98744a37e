//! Sends one call over HTTP and measures it.

use std::time::{Duration, Instant};

use awc::http::Method;
use awc::http::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderMap, RETRY_AFTER};
use awc::{Client, ClientRequest, Connector};
use bytes::{Bytes, BytesMut};
use ebony_types::ProgramId;
use futures_util::StreamExt;

use crate::event_stream::EventReader;

/// The largest answer in bytes. The longest answer of the traces has 600 tokens.
const MAX_REPLY_BYTES: usize = 16 * 1024 * 1024;

/// The time that the caller waits longer than the timeout that it states, so that the system can say what happened.
const TIMEOUT_GRACE: Duration = Duration::from_secs(2);

/// The result of sending a request.
type Result<T, E = BrokenConnection> = std::result::Result<T, E>;

/// Says that no answer arrived, or only a part of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct BrokenConnection;

/// A request to an entry or a target.
#[derive(Clone, Debug)]
pub struct HttpCall {
    /// Method.
    pub method: Method,
    /// URL.
    pub url: String,
    /// The caller's bearer key.
    pub key: String,
    /// The program.
    pub program: Option<ProgramId>,
    /// The idempotency key.
    pub idempotency_key: Option<String>,
    /// The timeout to state.
    pub timeout: Duration,
    /// Body.
    pub body: Bytes,
}

/// Parts of text that arrived together, and the time since those before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenGap {
    /// The time for each of the parts.
    pub interval: Duration,
    /// The number of parts.
    pub tokens: u32,
}

/// What came back.
#[derive(Clone, Debug, Default)]
pub struct HttpReply {
    /// The status; `None` if no answer began.
    pub status: Option<u16>,
    /// The time to come back that the answer states.
    pub retry_after: Option<Duration>,
    /// The body, as far as it arrived, of an answer that is no stream of events.
    pub body: Bytes,
    /// The text of a stream of events.
    pub text: Option<String>,
    /// Whether a stream of events ended with its final marker.
    pub is_done: bool,
    /// The problem that a stream of events reported.
    pub stream_error: Option<String>,
    /// Whether the body arrived whole by HTTP.
    pub is_whole: bool,
    /// Time to the first text of a stream of events.
    pub first_token: Option<Duration>,
    /// Times between further text.
    pub gaps: Vec<TokenGap>,
    /// Time to the end.
    pub elapsed: Duration,
}

/// Sends calls.
#[derive(Clone)]
pub struct CallClient {
    client: Client,
}

impl CallClient {
    /// Creates a client that keeps up to `connections` open.
    pub fn open(connections: usize) -> Self {
        let connector = Connector::new().limit(connections);
        let client = Client::builder().connector(connector).disable_timeout().finish();
        Self { client }
    }

    /// Sends a call. Ends at the latest after its timeout and a grace of two seconds.
    pub async fn send(&self, call: HttpCall) -> HttpReply {
        let start = Instant::now();
        let mut reply = HttpReply::default();
        let limit = call.timeout + TIMEOUT_GRACE;
        let received = tokio::time::timeout(limit, self.receive(call, start, &mut reply)).await;
        reply.is_whole = matches!(received, Ok(Ok(())));
        reply.elapsed = start.elapsed();
        reply
    }

    async fn receive(&self, call: HttpCall, start: Instant, reply: &mut HttpReply) -> Result<()> {
        let body = call.body.clone();
        let sent = self.request(call).send_body(body).await;
        let mut response = sent.map_err(|_| BrokenConnection)?;
        reply.status = Some(response.status().as_u16());
        reply.retry_after = retry_after(response.headers());
        if !is_event_stream(response.headers()) {
            let mut body = BytesMut::new();
            while let Some(chunk) = response.next().await {
                body.extend_from_slice(&chunk.map_err(|_| BrokenConnection)?);
                if body.len() > MAX_REPLY_BYTES {
                    return Err(BrokenConnection);
                }
            }
            reply.body = body.freeze();
            // awc reports a body whose connection closed early like one that ended.
            let is_cut = content_length(response.headers()).is_some_and(|length| reply.body.len() < length);
            return if is_cut { Err(BrokenConnection) } else { Ok(()) };
        }
        let mut reader = EventReader::default();
        let mut meter = TokenMeter::start(start);
        let mut received = Ok(());
        while let Some(chunk) = response.next().await {
            match chunk {
                Ok(chunk) if reader.text.len() + chunk.len() <= MAX_REPLY_BYTES => {
                    meter.note(reader.take(&chunk), reply);
                }
                _ => {
                    received = Err(BrokenConnection);
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
            .insert_header(("authorization", format!("Bearer {}", call.key)))
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

/// Measures when text arrives.
struct TokenMeter {
    start: Instant,
    last: Option<Instant>,
}

impl TokenMeter {
    fn start(start: Instant) -> Self {
        Self { start, last: None }
    }

    fn note(&mut self, tokens: u32, reply: &mut HttpReply) {
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
