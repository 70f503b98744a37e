//! Incremental reader of the server-sent events of a chat completion.

use serde::Deserialize;

#[derive(Deserialize)]
struct ChunkBody {
    #[serde(default)]
    choices: Vec<ChunkChoice>,
}

#[derive(Deserialize)]
struct ChunkChoice {
    #[serde(default)]
    delta: ChunkDelta,
}

#[derive(Default)]
#[derive(Deserialize)]
struct ChunkDelta {
    content: Option<String>,
}

/// Collects the text of a streamed answer. The caller must limit the number of bytes that it passes.
#[derive(Debug, Default)]
pub(crate) struct EventReader {
    pending: Vec<u8>,
    is_error_next: bool,
    /// The text so far.
    pub(crate) text: String,
    /// Whether the final marker `[DONE]` arrived.
    pub(crate) is_done: bool,
    /// The data of an `error` event.
    pub(crate) error: Option<String>,
}

impl EventReader {
    /// Processes received bytes and returns the number of chunks with text that they complete.
    pub(crate) fn take(&mut self, bytes: &[u8]) -> u32 {
        let mut chunks = 0;
        self.pending.extend_from_slice(bytes);
        while let Some(end) = self.pending.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.pending.drain(..=end).collect();
            chunks += u32::from(self.take_line(String::from_utf8_lossy(&line).trim_end()));
        }
        chunks
    }

    /// Processes a line and returns `true` if it contains text.
    fn take_line(&mut self, line: &str) -> bool {
        if let Some(event) = line.strip_prefix("event:") {
            self.is_error_next = event.trim() == "error";
            return false;
        }
        let Some(data) = line.strip_prefix("data:").map(str::trim) else {
            return false;
        };
        if self.is_error_next {
            self.error = Some(data.to_owned());
            return false;
        }
        if data == "[DONE]" {
            self.is_done = true;
            return false;
        }
        let chunk: Option<ChunkBody> = serde_json::from_str(data).ok();
        let choice = chunk.and_then(|chunk| chunk.choices.into_iter().next());
        let content = choice.and_then(|choice| choice.delta.content).unwrap_or_default();
        self.text.push_str(&content);
        !content.is_empty()
    }
}
