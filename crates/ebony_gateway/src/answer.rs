//! Handing a target's answer on to the caller.
//!
//! An answer is not begun before its first bytes are there, so that a target that breaks off before them leaves room
//! for another one. A short answer is read as a whole first. A broken answer ends the caller's connection and never
//! looks complete.

use std::time::Duration;

use actix_web::HttpResponse;
use actix_web::body::{BodySize, BoxBody, MessageBody, SizedStream};
use actix_web::http::StatusCode;
use actix_web::http::header::{HeaderName, HeaderValue};
use bytes::{Bytes, BytesMut};
use ebony_dialect::AnswerHead;
use futures_util::stream::{self, LocalBoxStream, StreamExt};
use http::response::Parts;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};

use crate::call_log::{AttemptOutcome, CallLog, CallOutcome};
use crate::events::EventSplitter;
use crate::gateway::OpenCallGuard;
use crate::intake::is_forwarded;
use crate::open_turn::OpenTurn;
use crate::routed_call::RoutedCall;
use crate::target_client::{ConnectionLease, OpenAnswer};
use crate::target_run::TargetRun;

/// The largest answer that is read as a whole before it is handed on. Answers of services are below 5 KB today.
const MAX_BUFFERED_BYTES: usize = 64 * 1024;

/// The largest event of a stream. Events of today's engines have below 1 KB; a target in trouble may send bytes without end.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// How long after the deadline the connection to the target is closed if the caller takes nothing, so that the answer could
/// not be broken off in its own time.
const UNREAD_ANSWER_GRACE: Duration = Duration::from_millis(250);

/// Why an answer broke off after it was begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum AnswerFailure {
    /// The target's connection broke.
    #[error("the target broke off")]
    TargetBrokeOff,
    /// The target sent an event that is no answer of its kind.
    #[error("an event of the target is too large")]
    EventTooLarge,
    /// The call's time is over.
    #[error("the deadline passed")]
    DeadlinePassed,
    /// The program's token budget is spent.
    #[error("the budget is spent")]
    BudgetSpent,
    /// The turn could not be recorded, so that no later one could go on from it.
    #[error("the turn could not be recorded")]
    NotKept,
}

impl AnswerFailure {
    fn as_str(self) -> &'static str {
        match self {
            Self::TargetBrokeOff => "target_broke_off",
            Self::EventTooLarge => "event_too_large",
            Self::DeadlinePassed => "deadline_passed",
            Self::BudgetSpent => "budget_spent",
            Self::NotKept => "not_kept",
        }
    }
}

/// The result of a step of an answer.
pub type Result<T, E = AnswerFailure> = std::result::Result<T, E>;

/// An answer whose first bytes are there.
pub(crate) struct StartedAnswer {
    head: Parts,
    keeps_idle: Option<Duration>,
    /// Bytes that were read and not yet handed on.
    read: EventSplitter,
    is_stream: bool,
    /// What is still to be read, with its connection; `None` once the answer was read to its end.
    rest: Option<AnswerRest>,
    run: TargetRun,
}

struct AnswerRest {
    body: Incoming,
    lease: ConnectionLease,
    length: Option<u64>,
    watchdog: Option<AnswerWatchdog>,
}

/// Closes the connection to a target some time after the call's deadline. A body is not asked for more bytes while its
/// caller takes none, and so cannot notice the deadline itself.
struct AnswerWatchdog(AbortHandle);

impl AnswerWatchdog {
    fn spawn(call: &RoutedCall, connection: AbortHandle) -> Self {
        let time_left = call.gateway.time_left(call.deadline).unwrap_or_default();
        let watching = async move {
            sleep(time_left + UNREAD_ANSWER_GRACE).await;
            connection.abort();
        };
        Self(tokio::task::spawn_local(watching).abort_handle())
    }
}

impl Drop for AnswerWatchdog {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl StartedAnswer {
    /// Reads the first bytes of an answer: the first event of a stream, or all of a short answer.
    pub(crate) async fn read(
        call: &RoutedCall,
        answer: OpenAnswer,
        head: AnswerHead,
        run: TargetRun,
    ) -> Result<Self, (AttemptOutcome, TargetRun)> {
        let mut begun = Self {
            rest: Some(AnswerRest {
                length: answer.body.size_hint().exact(),
                body: answer.body,
                lease: answer.lease,
                watchdog: None,
            }),
            is_stream: call.is_stream() && answer.head.status.is_success(),
            head: answer.head,
            keeps_idle: head.keeps_idle,
            read: EventSplitter::default(),
            run,
        };
        let Some(time_left) = call.gateway.time_left(call.deadline) else {
            return Err((AttemptOutcome::TimedOut, begun.run));
        };
        match timeout(time_left, begun.fill()).await {
            Ok(Ok(())) => Ok(begun),
            Ok(Err(_)) => Err((AttemptOutcome::Broken, begun.run)),
            Err(_) => Err((AttemptOutcome::TimedOut, begun.run)),
        }
    }

    async fn fill(&mut self) -> Result<()> {
        loop {
            let is_enough = match self.is_stream {
                true => self.read.has_event(),
                false => self.read.len() > MAX_BUFFERED_BYTES,
            };
            if is_enough || !self.read_more().await? {
                self.run.end_prefill();
                return Ok(());
            }
        }
    }

    /// Reads some more; returns `false` at the end of the answer.
    async fn read_more(&mut self) -> Result<bool> {
        let Some(rest) = &mut self.rest else {
            return Ok(false);
        };
        match rest.body.frame().await {
            Some(Ok(frame)) => {
                if let Some(data) = frame.data_ref() {
                    self.read.push(data);
                }
                let is_large = self.is_stream && self.read.len() > MAX_EVENT_BYTES;
                if is_large && !self.read.has_event() {
                    return Err(AnswerFailure::EventTooLarge);
                }
                Ok(true)
            }
            Some(Err(_)) => Err(AnswerFailure::TargetBrokeOff),
            None => {
                self.finish();
                Ok(false)
            }
        }
    }

    /// Keeps the connection, because the answer was read to its end.
    fn finish(&mut self) {
        self.run.record_success(self.head.status);
        let Some(rest) = self.rest.take() else { return };
        let closes = self
            .head
            .headers
            .get(http::header::CONNECTION)
            .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
        if !closes {
            rest.lease.recycle(self.keeps_idle);
        }
    }
}

/// Answers the caller with what the target sends.
pub(crate) fn forward(
    call: RoutedCall,
    turn: Option<OpenTurn>,
    mut answer: StartedAnswer,
    mut log: CallLog,
    guard: OpenCallGuard,
) -> HttpResponse {
    let status = answer.head.status;
    let is_stream = answer.is_stream;
    let mut response = response_head(&answer.head);
    if answer.rest.is_none() && !is_stream {
        log.end(CallOutcome::Answered {
            status: status.as_u16(),
        });
        return response.body(answer.read.take_rest());
    }
    if let Some(rest) = &mut answer.rest {
        rest.watchdog = Some(AnswerWatchdog::spawn(&call, rest.lease.abort_handle()));
    }
    // An answer with a length looks complete with its last byte. That of a kept turn has to stay open until the turn is
    // recorded.
    let keeps_open = is_stream && call.kept.is_some();
    let length = answer.rest.as_ref().and_then(|rest| rest.length);
    let length = length.filter(|_| !keeps_open);
    let stream = ForwardedAnswer {
        call,
        turn,
        answer,
        log,
        _guard: guard,
    };
    match length {
        Some(length) => response.body(SizedStream::new(length, stream.into_stream())),
        None => response.body(UnsizedBody(stream.into_stream())),
    }
}

fn response_head(head: &Parts) -> actix_web::HttpResponseBuilder {
    let status = StatusCode::from_u16(head.status.as_u16()).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = HttpResponse::build(status);
    for (name, value) in head.headers.iter().filter(|(name, _)| is_forwarded(name)) {
        let name = HeaderName::from_bytes(name.as_str().as_bytes());
        let value = HeaderValue::from_bytes(value.as_bytes());
        if let (Ok(name), Ok(value)) = (name, value) {
            response.append_header((name, value));
        }
    }
    response
}

type ByteStream = LocalBoxStream<'static, Result<Bytes, AnswerFailure>>;

/// A body of unknown length, which goes out in chunks.
struct UnsizedBody(ByteStream);

impl MessageBody for UnsizedBody {
    type Error = Box<dyn std::error::Error>;

    fn size(&self) -> BodySize {
        BodySize::Stream
    }

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<Bytes, Self::Error>>> {
        self.0.poll_next_unpin(context).map_err(Into::into)
    }

    fn boxed(self) -> BoxBody {
        BoxBody::new(self)
    }
}

/// An answer on its way to the caller.
struct ForwardedAnswer {
    call: RoutedCall,
    turn: Option<OpenTurn>,
    answer: StartedAnswer,
    log: CallLog,
    _guard: OpenCallGuard,
}

impl ForwardedAnswer {
    fn into_stream(self) -> ByteStream {
        stream::unfold(Some(self), |state| async {
            let mut handed = state?;
            match handed.next().await {
                Ok(Some(bytes)) => Some((Ok(bytes), Some(handed))),
                Ok(None) => {
                    let status = handed.answer.head.status.as_u16();
                    handed.log.end(CallOutcome::Answered { status });
                    None
                }
                Err(failure) => {
                    handed.break_off(failure);
                    Some((Err(failure), None))
                }
            }
        })
        .boxed_local()
    }

    fn break_off(&mut self, failure: AnswerFailure) {
        if matches!(
            failure,
            AnswerFailure::TargetBrokeOff | AnswerFailure::EventTooLarge
        ) {
            self.answer.run.record_break();
        }
        self.log.end(CallOutcome::BrokenOff {
            cause: failure.as_str(),
        });
    }

    /// Returns the next bytes for the caller, or `None` at the end of the answer.
    async fn next(&mut self) -> Result<Option<Bytes>> {
        let gateway = std::rc::Rc::clone(&self.call.gateway);
        let time_left = gateway
            .time_left(self.call.deadline)
            .ok_or(AnswerFailure::DeadlinePassed)?;
        let bytes = timeout(time_left, self.next_bytes())
            .await
            .map_err(|_| AnswerFailure::DeadlinePassed)??;
        // The host may have been suspended since the bytes arrived.
        let is_late = gateway.time_left(self.call.deadline).is_none();
        if is_late && bytes.is_some() {
            return Err(AnswerFailure::DeadlinePassed);
        }
        Ok(bytes)
    }

    async fn next_bytes(&mut self) -> Result<Option<Bytes>> {
        loop {
            let bytes = match self.answer.is_stream {
                true => self.next_events().await?,
                false => self.answer.read.take_rest(),
            };
            if !bytes.is_empty() {
                return Ok(Some(bytes));
            }
            if !self.answer.read_more().await? {
                let rest = self.answer.read.take_rest();
                if rest.is_empty() {
                    self.keep().await?;
                    return Ok(None);
                }
                if self.answer.is_stream {
                    // An event without its end says that the target broke off, however its connection ended.
                    return Err(AnswerFailure::TargetBrokeOff);
                }
                return Ok(Some(rest));
            }
        }
    }

    /// Records a turn of a kept conversation whose answer was read to its end.
    async fn keep(&mut self) -> Result<()> {
        if !self.answer.is_stream {
            return Ok(());
        }
        let Some(turn) = &self.call.kept else {
            return Ok(());
        };
        let conversations = &self.call.gateway.conversations;
        let kept = conversations.record(&turn.name, turn.to_record()).await;
        kept.map_err(|_| AnswerFailure::NotKept)
    }

    /// Returns the events that were read, as far as the budget covers them.
    async fn next_events(&mut self) -> Result<Bytes> {
        let mut events = BytesMut::new();
        while let Some(event) = self.answer.read.next_event() {
            if let Some(turn) = self.turn.as_ref().filter(|_| event.number.is_some()) {
                turn.spend(self.call.event_tokens())
                    .await
                    .map_err(|_| AnswerFailure::BudgetSpent)?;
            }
            if let Some(turn) = &mut self.call.kept {
                turn.add_event(&event).map_err(|_| AnswerFailure::NotKept)?;
            }
            self.log.record_event();
            events.extend_from_slice(&event.bytes);
        }
        Ok(events.freeze())
    }
}
