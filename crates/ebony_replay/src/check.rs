//! Classifies replies: whether the answer is complete and belongs to the call.

use std::time::Duration;

use bytes::Bytes;
use ebony_standins::engine::{ChatRequest, EchoAnswer};
use ebony_trace::StepEnd;
use ebony_types::{ProblemCode, RunVerdict};
use serde::Deserialize;
use serde_json::Value;
use sha2::{Digest, Sha256};

use crate::client::HttpReply;

/// How answers are checked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AnswerCheck {
    /// For stand-ins as targets: every answer must identify its request and have the expected text.
    #[default]
    Echo,
    /// For other targets: an answer must be complete, and that of a model must have a text.
    Complete,
}

/// The members of a problem that determine the result of the call.
#[derive(Deserialize)]
struct ProblemBody {
    code: ProblemCode,
    run: RunVerdict,
    #[serde(default)]
    retry_after: Option<u32>,
}

impl ProblemBody {
    fn to_end(&self, header: Option<Duration>) -> StepEnd {
        let stated = self
            .retry_after
            .map(|seconds| Duration::from_secs(seconds.into()));
        StepEnd::Problem {
            code: self.code,
            run: self.run,
            retry_after: header.or(stated),
        }
    }
}

/// A service call as it was sent.
#[derive(Clone, Debug)]
pub(crate) struct ServiceRequest {
    pub(crate) method: &'static str,
    pub(crate) path: String,
    pub(crate) body: Bytes,
}

/// Returns the result of a reply that is an error or incomplete, or `None` if it is a complete success. A streamed
/// answer without its final marker is not detected here.
fn failed_end(reply: &HttpReply) -> Option<StepEnd> {
    let status = reply.status?;
    if let Some(error) = &reply.stream_error {
        return Some(match serde_json::from_str::<ProblemBody>(error) {
            Ok(problem) => problem.to_end(reply.retry_after),
            Err(_) => StepEnd::Corrupt,
        });
    }
    if !reply.is_complete {
        return Some(StepEnd::Disconnected);
    }
    if (200..300).contains(&status) {
        return None;
    }
    Some(match serde_json::from_slice::<ProblemBody>(&reply.body) {
        Ok(problem) => problem.to_end(reply.retry_after),
        // An error without a verdict does not rule out that the call ran.
        Err(_) => StepEnd::Problem {
            code: ProblemCode::Internal,
            run: RunVerdict::MayHaveRun,
            retry_after: reply.retry_after,
        },
    })
}

/// Returns the result of a model call.
pub(crate) fn model_end(check: AnswerCheck, request: &ChatRequest, reply: &HttpReply) -> StepEnd {
    if reply.status.is_none() {
        return StepEnd::Disconnected;
    }
    if let Some(end) = failed_end(reply) {
        return end;
    }
    // awc does not report that a connection closed before the end of a stream. Only the final marker shows that the
    // stream is complete.
    if reply.text.is_some() && !reply.is_done {
        return StepEnd::Disconnected;
    }
    let text = answer_text(reply);
    let is_match = match check {
        AnswerCheck::Echo => EchoAnswer::check(&text, request).is_ok(),
        AnswerCheck::Complete => !text.is_empty(),
    };
    match is_match {
        true => StepEnd::Answered,
        false => StepEnd::Corrupt,
    }
}

/// Returns the text of a chat completion, streamed or plain.
pub(crate) fn answer_text(reply: &HttpReply) -> String {
    if let Some(text) = &reply.text {
        return text.clone();
    }
    let body: Value = serde_json::from_slice(&reply.body).unwrap_or_default();
    let content = body["choices"][0]["message"]["content"].as_str();
    content.unwrap_or_default().to_owned()
}

/// Returns the result of a service call. Any complete success counts as answered; a stand-in must also echo the
/// request.
pub(crate) fn service_end(check: AnswerCheck, request: &ServiceRequest, reply: &HttpReply) -> StepEnd {
    if reply.status.is_none() {
        return StepEnd::Disconnected;
    }
    if let Some(end) = failed_end(reply) {
        return end;
    }
    if check == AnswerCheck::Complete {
        return StepEnd::Answered;
    }
    let echo: Value = serde_json::from_slice(&reply.body).unwrap_or_default();
    let digest = format!("{:x}", Sha256::digest(&request.body));
    let is_match = echo["method"] == request.method
        && echo["path"] == request.path.as_str()
        && echo["body_digest"] == digest;
    match is_match {
        true => StepEnd::Answered,
        false => StepEnd::Corrupt,
    }
}
