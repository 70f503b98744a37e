//! Runs one call on a target and sends its answer.

use bytes::Bytes;
use ebony_link::LinkSender;
use ebony_platform::{EngineCall, PlatformError, ServiceAnswer, ServiceCall};
use ebony_types::limits::MAX_CHUNK_BYTES;
use ebony_types::{CallId, CallKind, CallRequest, CallUsage, ProblemCode, ProblemReport};
use ebony_wire::{AnswerFrame, AnswerHead, DispatchOrder, SideFrame};
use futures_util::StreamExt;
use serde_json::Value;

use crate::target::TargetAdapter;

/// The result of running a call.
type Result<T, E = ProblemReport> = std::result::Result<T, E>;

/// The most bytes of an answer's end that are searched for the usage of a streamed chat completion.
const USAGE_TAIL_BYTES: usize = 4_096;

/// Runs a call and sends its answer, which always ends with an end or a failure.
pub(crate) async fn run_call(adapter: TargetAdapter, order: DispatchOrder, sender: LinkSender<SideFrame>) {
    let call = order.request.call;
    let send = |frame| {
        // The entry asks again over its next link if this one is lost.
        let _ = sender.send(&SideFrame::Answer(frame));
    };
    send(AnswerFrame::Accepted { call });
    if let Err(problem) = stream_answer(&adapter, &order, &send).await {
        send(AnswerFrame::Failed { call, problem });
    }
}

async fn stream_answer(
    adapter: &TargetAdapter,
    order: &DispatchOrder,
    send: &impl Fn(AnswerFrame),
) -> Result<()> {
    let call = order.request.call;
    let answer = start(adapter, &order.request)
        .await
        .map_err(|error| target_problem(&error))?;
    let head = AnswerHead {
        status: answer.status,
        headers: answer.headers,
    };
    send(AnswerFrame::Head { call, head });
    let mut body = answer.body;
    let mut sent = SentBody::new(call);
    while let Some(part) = body.next().await {
        let bytes = part.map_err(|error| target_problem(&error))?;
        sent.send(&bytes, send);
    }
    send(AnswerFrame::End {
        call,
        length: sent.length,
        usage: sent.usage(),
    });
    Ok(())
}

async fn start(adapter: &TargetAdapter, request: &CallRequest) -> Result<ServiceAnswer, PlatformError> {
    match (adapter, &request.kind) {
        (TargetAdapter::Engine(engine), CallKind::Model { .. }) => {
            let program = request
                .program
                .ok_or_else(|| PlatformError::Refused("no program".to_owned()))?;
            let body = request.body.clone();
            engine
                .complete(EngineCall {
                    call: request.call,
                    program,
                    priority: 0,
                    body,
                })
                .await
        }
        (TargetAdapter::Service(service), CallKind::Service { method, path, .. }) => {
            let mut headers = request.headers.clone();
            if let Some(key) = &request.idempotency_key {
                let name = "idempotency-key".to_owned();
                headers.push(ebony_types::HeaderField {
                    name,
                    value: key.to_string(),
                });
            }
            let call = ServiceCall {
                method: method.clone(),
                path: path.clone(),
                headers,
                body: request.body.clone(),
            };
            service.send(call).await
        }
        _ => Err(PlatformError::Refused(
            "the target does not serve this kind of call".to_owned(),
        )),
    }
}

fn target_problem(error: &PlatformError) -> ProblemReport {
    ProblemReport::new(ProblemCode::TargetFailed, error.verdict(), error.to_string())
}

/// The body that has been sent, as far as its usage needs it.
struct SentBody {
    call: CallId,
    length: u64,
    tail: Vec<u8>,
}

impl SentBody {
    fn new(call: CallId) -> Self {
        Self {
            call,
            length: 0,
            tail: Vec::new(),
        }
    }

    fn send(&mut self, bytes: &Bytes, send: &impl Fn(AnswerFrame)) {
        for start in (0..bytes.len()).step_by(MAX_CHUNK_BYTES) {
            let part = bytes.slice(start..bytes.len().min(start + MAX_CHUNK_BYTES));
            let offset = self.length;
            self.length += part.len() as u64;
            send(AnswerFrame::Chunk {
                call: self.call,
                offset,
                bytes: part,
            });
        }
        self.tail.extend_from_slice(bytes);
        let excess = self.tail.len().saturating_sub(USAGE_TAIL_BYTES);
        self.tail.drain(..excess);
    }

    /// Returns the usage that the end of a chat completion states.
    fn usage(&self) -> CallUsage {
        let text = String::from_utf8_lossy(&self.tail);
        let Some(position) = text.rfind("\"usage\":") else {
            return CallUsage::default();
        };
        let value = &text[position + "\"usage\":".len()..];
        let mut values = serde_json::Deserializer::from_str(value).into_iter::<Value>();
        let Some(Ok(usage)) = values.next() else {
            return CallUsage::default();
        };
        let number = |value: &Value| u32::try_from(value.as_u64().unwrap_or(0)).unwrap_or(u32::MAX);
        CallUsage {
            prompt_tokens: number(&usage["prompt_tokens"]),
            cached_tokens: number(&usage["prompt_tokens_details"]["cached_tokens"]),
            output_tokens: number(&usage["completion_tokens"]),
        }
    }
}
