//! Tasks that send the calls of a replay.

use std::time::Duration;

use awc::http::Method;
use bytes::Bytes;
use ebony_standins::engine::ChatRequest;
use ebony_trace::{StepEnd, StepKey};
use ebony_types::ProgramId;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep_until};

use crate::check::{AnswerCheck, ServiceRequest, answer_text, model_end, service_end};
use crate::client::{CallClient, HttpCall, HttpReply, TokenGap};

/// Client and settings of a call.
#[derive(Clone)]
pub(crate) struct CallContext {
    pub(crate) client: CallClient,
    pub(crate) check: AnswerCheck,
    pub(crate) entry: String,
    pub(crate) bearer_key: String,
    pub(crate) timeout: Duration,
}

/// Result of a call.
pub(crate) struct EndedCall {
    pub(crate) key: StepKey,
    pub(crate) end: StepEnd,
    /// The program, if this call opened it.
    pub(crate) opened: Option<ProgramId>,
    /// The text of a complete model answer.
    pub(crate) text: Option<String>,
    pub(crate) first_token: Option<Duration>,
    pub(crate) gaps: Vec<TokenGap>,
}

impl EndedCall {
    fn without_text(key: StepKey, end: StepEnd) -> Self {
        Self {
            key,
            end,
            opened: None,
            text: None,
            first_token: None,
            gaps: Vec::new(),
        }
    }
}

/// A model call to send.
pub(crate) struct ModelCall {
    pub(crate) key: StepKey,
    pub(crate) program: Option<ProgramId>,
    pub(crate) parent: Option<ProgramId>,
    pub(crate) request: ChatRequest,
}

/// A service call to send.
pub(crate) struct ToolCall {
    pub(crate) key: StepKey,
    pub(crate) program: Option<ProgramId>,
    pub(crate) service: String,
    pub(crate) idempotency_key: Option<String>,
    pub(crate) request: ServiceRequest,
    /// How long the tool takes, including the call.
    pub(crate) run_time: Duration,
}

impl CallContext {
    fn http(&self, method: Method, path: &str, body: Bytes) -> HttpCall {
        HttpCall {
            method,
            url: format!("{}{path}", self.entry),
            bearer_key: self.bearer_key.clone(),
            program: None,
            idempotency_key: None,
            timeout: self.timeout,
            body,
        }
    }

    /// Opens a program.
    async fn open_program(&self, parent: Option<ProgramId>) -> Result<ProgramId, HttpReply> {
        let body = json!({"parent": parent}).to_string();
        let call = self.http(Method::POST, "/v1/programs", Bytes::from(body));
        let reply = self.client.send(call).await;
        let view: Value = serde_json::from_slice(&reply.body).unwrap_or_default();
        let id = view["id"].as_str().and_then(|id| id.parse().ok());
        id.ok_or(reply)
    }

    /// Sends a model call, and opens its program first if necessary.
    pub(crate) async fn run_model(self, model: ModelCall) -> EndedCall {
        let mut opened = None;
        if model.program.is_none() {
            match self.open_program(model.parent).await {
                Ok(program) => opened = Some(program),
                Err(reply) => {
                    let end = model_end(self.check, &model.request, &reply);
                    return EndedCall::without_text(model.key, end);
                }
            }
        }
        let body = serde_json::to_vec(&model.request).unwrap_or_default();
        let call = HttpCall {
            program: model.program.or(opened),
            ..self.http(Method::POST, "/v1/chat/completions", Bytes::from(body))
        };
        let reply = self.client.send(call).await;
        let end = model_end(self.check, &model.request, &reply);
        let is_answered = end == StepEnd::Answered;
        EndedCall {
            key: model.key,
            end,
            opened,
            text: is_answered.then(|| answer_text(&reply)),
            first_token: reply.first_token.filter(|_| is_answered),
            gaps: reply.gaps,
        }
    }

    /// Sends a service call and, if it is answered, waits for the rest of the tool's run time or until the timeout. The
    /// wait is needed because the stand-in answers at once.
    pub(crate) async fn run_tool(self, tool: ToolCall) -> EndedCall {
        let due = Instant::now() + tool.run_time.min(self.timeout);
        let method = Method::from_bytes(tool.request.method.as_bytes()).unwrap_or(Method::POST);
        let path = format!("/v1/services/{}{}", tool.service, tool.request.path);
        let call = HttpCall {
            program: tool.program,
            idempotency_key: tool.idempotency_key,
            ..self.http(method, &path, tool.request.body.clone())
        };
        let reply = self.client.send(call).await;
        let end = service_end(self.check, &tool.request, &reply);
        if end == StepEnd::Answered {
            sleep_until(due).await;
        }
        EndedCall::without_text(tool.key, end)
    }

    /// Finishes or cancels a program. A failure is not retried, because the system also ends programs by itself.
    pub(crate) async fn close_program(self, program: ProgramId, is_finished: bool) {
        let call = match is_finished {
            true => self.http(
                Method::POST,
                &format!("/v1/programs/{program}/finish"),
                Bytes::new(),
            ),
            false => self.http(Method::DELETE, &format!("/v1/programs/{program}"), Bytes::new()),
        };
        self.client.send(call).await;
    }
}
