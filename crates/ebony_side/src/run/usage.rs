//! Reads the token usage from the end of a chat completion.

use ebony_types::CallUsage;
use serde_json::Value;

/// The number of bytes at the end of an answer that are searched for the usage of a chat completion.
const USAGE_TAIL_BYTES: usize = 4_096;

/// The last bytes of a body.
#[derive(Debug, Default)]
pub(crate) struct BodyTail {
    bytes: Vec<u8>,
}

impl BodyTail {
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        let kept = &bytes[bytes.len().saturating_sub(USAGE_TAIL_BYTES)..];
        self.bytes.extend_from_slice(kept);
        let excess = self.bytes.len().saturating_sub(USAGE_TAIL_BYTES);
        self.bytes.drain(..excess);
    }

    /// Returns the token usage, or zeros if the body contains none.
    pub(crate) fn usage(&self) -> CallUsage {
        let text = String::from_utf8_lossy(&self.bytes);
        let Some((_, value)) = text.rsplit_once("\"usage\":") else {
            return CallUsage::default();
        };
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
