//! Tells how a call ended: whether its answer is whole and its own.

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
    /// Targets are the stand-ins: every answer names its request, and has a known text.
    #[default]
    Echo,
    /// Targets are others: an answer needs its text and its end.
    Complete,
}

/// The members of a problem that decide what follows.
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
pub(crate) struct SentService {
    pub(crate) method: &'static str,
    pub(crate) path: String,
    pub(crate) body: Bytes,
}

/// Returns how an answer that is not a success ended; `None` for a whole success.
fn failed_end(reply: &HttpReply) -> Option<StepEnd> {
    let status = reply.status?;
    if let Some(error) = &reply.stream_error {
        return Some(match serde_json::from_str::<ProblemBody>(error) {
            Ok(problem) => problem.to_end(reply.retry_after),
            Err(_) => StepEnd::Corrupt,
        });
    }
    if !reply.is_whole {
        return Some(StepEnd::Disconnected);
    }
    if (200..300).contains(&status) {
        return None;
    }
    Some(match serde_json::from_slice::<ProblemBody>(&reply.body) {
        Ok(problem) => problem.to_end(reply.retry_after),
        // An error without a verdict may hide a run.
        Err(_) => StepEnd::Problem {
            code: ProblemCode::Internal,
            run: RunVerdict::MayHaveRun,
            retry_after: reply.retry_after,
        },
    })
}

/// Returns how a model call ended.
pub(crate) fn model_end(check: AnswerCheck, request: &ChatRequest, reply: &HttpReply) -> StepEnd {
    if reply.status.is_none() {
        return StepEnd::Disconnected;
    }
    if let Some(end) = failed_end(reply) {
        return end;
    }
    // awc reports a stream whose connection closed early like one that ended, so that only the final marker tells.
    if reply.text.is_some() && !reply.is_done {
        return StepEnd::Disconnected;
    }
    let text = answer_text(reply);
    let is_own = match check {
        AnswerCheck::Echo => EchoAnswer::check(&text, request).is_ok(),
        AnswerCheck::Complete => !text.is_empty(),
    };
    match is_own {
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

/// Returns how a service call ended. Any success answers it; the stand-in also echoes the request.
pub(crate) fn service_end(check: AnswerCheck, sent: &SentService, reply: &HttpReply) -> StepEnd {
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
    let digest = format!("{:x}", Sha256::digest(&sent.body));
    let is_own =
        echo["method"] == sent.method && echo["path"] == sent.path.as_str() && echo["body_digest"] == digest;
    match is_own {
        true => StepEnd::Answered,
        false => StepEnd::Corrupt,
    }
}
