//! Encoding of answers, as server-sent events or as one JSON body.

use ebony_types::CallUsage;
use serde::Serialize;
use serde_json::{Value, json};

use super::echo::{EchoAnswer, EchoError, Result};

/// The event that ends a complete stream.
pub(crate) const STREAM_END: &str = "data: [DONE]\n\n";

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

    /// Returns the event that contains the header of the text.
    pub(crate) fn first_event(&self) -> String {
        let delta = DeltaBody {
            role: Some("assistant"),
            content: Some(&self.answer.header()),
        };
        self.event(delta, None, None)
    }

    /// Returns the event that contains the word at a position.
    pub(crate) fn word_event(&self, position: u32) -> String {
        let delta = DeltaBody {
            role: None,
            content: Some(&self.answer.word(position)),
        };
        self.event(delta, None, None)
    }

    /// Returns the events after the last word: the usage and the end of the stream.
    pub(crate) fn last_events(&self, usage: CallUsage) -> String {
        let delta = DeltaBody {
            role: None,
            content: None,
        };
        let mut events = self.event(delta, Some("stop"), Some(usage.into()));
        events.push_str(STREAM_END);
        events
    }

    /// Returns the body of an answer that is not streamed.
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
        // Encoding cannot fail: the chunk contains only strings and numbers.
        let body = serde_json::to_string(&chunk).unwrap_or_default();
        format!("data: {body}\n\n")
    }
}

/// Extracts the text of an answer from its body.
///
/// ```
/// use ebony_standins::engine::answer_text;
///
/// let event = r#"data: {"choices":[{"delta":{"content":"hi"}}]}"#;
/// assert_eq!(answer_text(format!("{event}\n\ndata: [DONE]\n\n").as_bytes(), true)?, "hi");
/// assert!(answer_text(format!("{event}\n\n").as_bytes(), true).is_err());
/// # Ok::<(), ebony_standins::engine::EchoError>(())
/// ```
///
/// # Errors
///
/// Returns [`EchoError::MalformedAnswer`] if the body is not a chat completion, or is a stream without its end event.
pub fn answer_text(body: &[u8], is_streamed: bool) -> Result<String> {
    let body = std::str::from_utf8(body).map_err(|_| EchoError::MalformedAnswer)?;
    if !is_streamed {
        return text_at(body, "/choices/0/message/content");
    }
    let events = body.strip_suffix(STREAM_END).ok_or(EchoError::MalformedAnswer)?;
    let mut text = String::new();
    for event in events.split_terminator("\n\n") {
        let json = event.strip_prefix("data: ").ok_or(EchoError::MalformedAnswer)?;
        text.push_str(&text_at(json, "/choices/0/delta/content")?);
    }
    Ok(text)
}

/// Returns the string at a JSON pointer, or an empty one if there is none.
fn text_at(json: &str, pointer: &str) -> Result<String> {
    let value: Value = serde_json::from_str(json).map_err(|_| EchoError::MalformedAnswer)?;
    let text = value.pointer(pointer).and_then(Value::as_str);
    Ok(text.unwrap_or_default().to_owned())
}
