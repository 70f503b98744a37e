//! Forwards a target's answer to the caller.
//!
//! The answer to the caller starts only when the first bytes from the target have arrived, so that a call whose target
//! breaks off earlier can be sent to another one. A short answer is read completely first. If an answer breaks off
//! later, the caller's connection is closed, so that a truncated answer never looks complete.

use std::time::Duration;

use actix_web::HttpResponse;
use actix_web::body::{BodySize, BoxBody, MessageBody, SizedStream};
use actix_web::http::StatusCode;
use actix_web::http::header::{HeaderName, HeaderValue};
use bytes::{Bytes, BytesMut};
use ebony_dialect::AnswerHead;
use ebony_dispatch::TargetRecord;
use futures_util::stream::{self, LocalBoxStream, StreamExt};
use http::response::Parts;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};

use crate::call_log::{AttemptOutcome, CallLog, CallOutcome};
use crate::event_timer::EventTimer;
use crate::events::EventSplitter;
use crate::gateway::OpenCallGuard;
use crate::intake::is_forwarded;
use crate::open_turn::OpenTurn;
use crate::routed_call::RoutedCall;
use crate::target_client::{ConnectionLease, OpenAnswer};
use crate::target_run::TargetRun;

/// The maximum size of an answer that is read completely before it is forwarded. Answers of services usually have less
/// than 5 KB.
const MAX_BUFFERED_BYTES: usize = 64 * 1024;

/// The maximum size of a stream event. Events of engines have less than 1 KB, but a faulty target may send bytes without
/// end to all calls that it has.
const MAX_EVENT_BYTES: usize = 32 * 1024;

/// How long after the deadline the connection to the target is closed if the caller reads nothing. A body that is not
/// polled cannot detect the deadline itself.
const UNREAD_ANSWER_GRACE: Duration = Duration::from_millis(250);

/// Why an answer broke off after it was started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum AnswerFailure {
    /// The connection to the target broke.
    #[error("the target broke off")]
    TargetBrokeOff,
    /// The target sent an event that exceeds the maximum size.
    #[error("an event of the target is too large")]
    EventTooLarge,
    /// The deadline of the call passed.
    #[error("the deadline passed")]
    DeadlinePassed,
    /// The program's token budget is spent.
    #[error("the budget is spent")]
    BudgetSpent,
    /// The turn could not be recorded, so that no later turn could continue it.
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

/// An answer whose first bytes have arrived.
pub(crate) struct StartedAnswer {
    head: Parts,
    keep_alive_timeout: Option<Duration>,
    /// Bytes that were read and not yet forwarded.
    read: EventSplitter,
    is_stream: bool,
    timer: EventTimer,
    /// The unread rest of the body, with its connection; `None` once the answer was read completely.
    rest: Option<AnswerRest>,
    run: TargetRun,
}

struct AnswerRest {
    body: Incoming,
    lease: ConnectionLease,
    length: Option<u64>,
    watchdog: Option<AnswerWatchdog>,
}

/// Closes the connection to a target [`UNREAD_ANSWER_GRACE`] after the call's deadline. A body is not polled while its
/// caller reads nothing, and so cannot detect the deadline itself.
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
    /// Reads the first bytes of an answer: the first event of a stream, or a short answer completely.
    pub(crate) async fn read(
        call: &RoutedCall,
        answer: OpenAnswer,
        head: AnswerHead,
        run: TargetRun,
    ) -> Result<Self, (AttemptOutcome, TargetRun)> {
        let mut started = Self {
            rest: Some(AnswerRest {
                length: answer.body.size_hint().exact(),
                body: answer.body,
                lease: answer.lease,
                watchdog: None,
            }),
            is_stream: call.is_stream() && answer.head.status.is_success(),
            timer: EventTimer::default(),
            head: answer.head,
            keep_alive_timeout: head.keep_alive_timeout,
            read: EventSplitter::default(),
            run,
        };
        let Some(time_left) = call.gateway.time_left(call.deadline) else {
            return Err((AttemptOutcome::TimedOut, started.run));
        };
        match timeout(time_left, started.read_first_bytes()).await {
            Ok(Ok(())) => Ok(started),
            Ok(Err(_)) => Err((AttemptOutcome::Broken, started.run)),
            Err(_) => Err((AttemptOutcome::TimedOut, started.run)),
        }
    }

    /// Returns the target, if its answer is a stream with at least one event.
    pub(crate) fn stream_target(&mut self) -> Option<&TargetRecord> {
        let has_begun = self.is_stream && self.read.has_event();
        has_begun.then(|| self.run.record())
    }

    async fn read_first_bytes(&mut self) -> Result<()> {
        loop {
            let is_enough = match self.is_stream {
                true => self.read.has_event(),
                false => self.read.len() > MAX_BUFFERED_BYTES,
            };
            if is_enough || !self.read_more().await? {
                if self.is_stream {
                    self.run.record_first_event();
                }
                self.run.end_prefill();
                return Ok(());
            }
        }
    }

    /// Reads the next bytes. Returns `false` at the end of the answer.
    async fn read_more(&mut self) -> Result<bool> {
        let Some(rest) = &mut self.rest else {
            return Ok(false);
        };
        let wait_start = self.run.now();
        let frame = rest.body.frame().await;
        self.timer.record_wait(self.run.now().since(wait_start));
        match frame {
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

    /// Records that the answer was read completely, and returns its connection to the pool.
    fn finish(&mut self) {
        self.run.record_success(self.head.status);
        let Some(rest) = self.rest.take() else { return };
        let closes = self
            .head
            .headers
            .get(http::header::CONNECTION)
            .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
        if !closes {
            rest.lease.recycle(self.keep_alive_timeout);
        }
    }
}

/// Returns the response to the caller, whose body forwards the target's answer.
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
    // An answer with a length is complete for the caller at its last byte. The answer of a kept turn must stay open
    // until the turn is recorded, so it is sent without a length.
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

/// A body of unknown length, which is sent in chunks.
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

/// An answer that is being forwarded to the caller.
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
            let mut forwarded = state?;
            match forwarded.next().await {
                Ok(Some(bytes)) => Some((Ok(bytes), Some(forwarded))),
                Ok(None) => {
                    let status = forwarded.answer.head.status.as_u16();
                    forwarded.log.end(CallOutcome::Answered { status });
                    None
                }
                Err(failure) => {
                    forwarded.break_off(failure);
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

    /// Returns the next bytes for the caller, or `None` at the end of the answer. Fails once the deadline has passed.
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
                    self.record_turn().await?;
                    return Ok(None);
                }
                if self.answer.is_stream {
                    // An incomplete event means that the target broke off, even if its connection was closed regularly.
                    return Err(AnswerFailure::TargetBrokeOff);
                }
                return Ok(Some(rest));
            }
        }
    }

    /// Records the turn, if it is of a kept conversation, after its answer was read completely.
    async fn record_turn(&mut self) -> Result<()> {
        if !self.answer.is_stream {
            return Ok(());
        }
        let Some(turn) = &self.call.kept else {
            return Ok(());
        };
        let conversations = &self.call.gateway.conversations;
        let recorded = conversations.record(&turn.name, turn.to_record()).await;
        recorded.map_err(|_| AnswerFailure::NotKept)
    }

    /// Returns the complete events that were read. Waits until their tokens are covered.
    ///
    /// # Errors
    ///
    /// Fails if the budget is spent or the turn's output is too large.
    async fn next_events(&mut self) -> Result<Bytes> {
        let mut events = BytesMut::new();
        let mut taken = 0;
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
            taken += 1;
        }
        if taken > 0 {
            let answer = &mut self.answer;
            if let Some((events, elapsed)) = answer.timer.record_events(taken, answer.run.now()) {
                answer.run.record_events(events, elapsed);
            }
        }
        Ok(events.freeze())
    }
}
