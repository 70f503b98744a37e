//! The encoding of answers: server-sent events or one JSON body.

use ebony_types::CallUsage;
use serde::Serialize;
use serde_json::json;

use super::echo::EchoAnswer;

/// The end of a stream of server-sent events.
const STREAM_END: &str = "data: [DONE]\n\n";

#[derive(Serialize)]
struct UsageDetails {
    cached_tokens: u32,
}

#[derive(Serialize)]
struct UsageBody {
    prompt_tokens: u32,
    completion_tokens: u32,
    total_tokens: u32,
    prompt_tokens_details: UsageDetails,
}

impl From<CallUsage> for UsageBody {
    fn from(usage: CallUsage) -> Self {
        Self {
            prompt_tokens: usage.prompt_tokens,
            completion_tokens: usage.output_tokens,
            total_tokens: usage.prompt_tokens + usage.output_tokens,
            prompt_tokens_details: UsageDetails {
                cached_tokens: usage.cached_tokens,
            },
        }
    }
}

#[derive(Serialize)]
struct DeltaBody<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<&'a str>,
}

#[derive(Serialize)]
struct ChunkChoice<'a> {
    index: u32,
    delta: DeltaBody<'a>,
    finish_reason: Option<&'static str>,
}

#[derive(Serialize)]
struct ChunkBody<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: [ChunkChoice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<UsageBody>,
}

/// Encodes the answer of one call.
pub(crate) struct AnswerEncoder {
    id: String,
    model: String,
    answer: EchoAnswer,
}

impl AnswerEncoder {
    pub(crate) fn open(model: &str, answer: EchoAnswer) -> Self {
        Self {
            id: format!("chatcmpl-{}", answer.call),
            model: model.to_owned(),
            answer,
        }
    }

    pub(crate) fn answer(&self) -> &EchoAnswer {
        &self.answer
    }

    /// Returns the event with the header of the text.
    pub(crate) fn first_event(&self) -> String {
        let delta = DeltaBody {
            role: Some("assistant"),
            content: Some(&self.answer.header()),
        };
        self.event(delta, None, None)
    }

    /// Returns the event with one word.
    pub(crate) fn word_event(&self, position: u32) -> String {
        let delta = DeltaBody {
            role: None,
            content: Some(&self.answer.word(position)),
        };
        self.event(delta, None, None)
    }

    /// Returns the events behind the last word.
    pub(crate) fn last_events(&self, usage: CallUsage) -> String {
        let delta = DeltaBody {
            role: None,
            content: None,
        };
        let mut events = self.event(delta, Some("stop"), Some(usage.into()));
        events.push_str(STREAM_END);
        events
    }

    /// Returns the body of a plain answer.
    pub(crate) fn plain_body(&self, usage: CallUsage) -> String {
        json!({
            "id": self.id,
            "object": "chat.completion",
            "created": 0,
            "model": self.model,
            "choices": [{
                "index": 0,
                "message": {"role": "assistant", "content": self.answer.text()},
                "finish_reason": "stop",
            }],
            "usage": UsageBody::from(usage),
        })
        .to_string()
    }

    fn event(
        &self,
        delta: DeltaBody<'_>,
        finish_reason: Option<&'static str>,
        usage: Option<UsageBody>,
    ) -> String {
        let chunk = ChunkBody {
            id: &self.id,
            object: "chat.completion.chunk",
            created: 0,
            model: &self.model,
            choices: [ChunkChoice {
                index: 0,
                delta,
                finish_reason,
            }],
            usage,
        };
        // The chunk has text members only, so that its encoding cannot fail.
        let body = serde_json::to_string(&chunk).unwrap_or_default();
        format!("data: {body}\n\n")
    }
}
