//! Chat requests and the verifiable answers that are generated from them.
//!
//! An answer consists of a header with the program, the call and the digest of the messages, and as many words as the
//! request asks for. Each word contains the start of the digest and its position, so that a caller can verify that the
//! answer belongs to its request and is complete.

use ebony_types::{CallId, ProgramId};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use sha2::{Digest, Sha256};

/// Number of words of an answer if the request does not specify one.
pub const DEFAULT_ANSWER_WORDS: u32 = 16;

/// Length of the hexadecimal digest in the header of an answer, in characters.
const DIGEST_CHARS: usize = 16;

/// Number of digest characters in each word.
const WORD_DIGEST_CHARS: usize = 4;

/// Bytes of text that count as one token.
const BYTES_PER_TOKEN: u64 = 4;

/// Why a request or an answer is not valid.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum EchoError {
    /// The request's body is not a chat completion request.
    #[error("malformed request: {0}")]
    MalformedRequest(String),
    /// The text does not start with the header of an answer.
    #[error("the text is not an answer of the stand-in")]
    MalformedAnswer,
    /// The answer belongs to a request with other messages.
    #[error("the answer belongs to another request")]
    OtherRequest,
    /// Words are missing, out of order or too many.
    #[error("the answer has {found} of {expected} words in order")]
    Incomplete {
        /// Number of words in order.
        found: u32,
        /// Number of words that the request asked for.
        expected: u32,
    },
}

/// The result of reading a request or an answer.
pub(crate) type Result<T, E = EchoError> = std::result::Result<T, E>;

/// A message of a chat request.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ChatMessage {
    /// The role of the author, such as `user` or `assistant`.
    pub role: String,
    /// A string, or structured content parts.
    #[serde(default)]
    pub content: Value,
}

impl ChatMessage {
    /// Creates a text message.
    pub fn text(role: &str, content: &str) -> Self {
        Self {
            role: role.to_owned(),
            content: Value::String(content.to_owned()),
        }
    }

    fn content_text(&self) -> String {
        match &self.content {
            Value::String(text) => text.clone(),
            Value::Null => String::new(),
            parts => parts.to_string(),
        }
    }

    /// Returns the prefix cache segment of the message.
    pub(crate) fn segment(&self) -> PromptSegment {
        let text = self.content_text();
        let digest = Sha256::new()
            .chain_update(&self.role)
            .chain_update([0])
            .chain_update(&text)
            .finalize();
        let mut mark = [0; 8];
        mark.copy_from_slice(&digest[..8]);
        PromptSegment {
            mark: u64::from_be_bytes(mark),
            tokens: text.len() as u64 / BYTES_PER_TOKEN + 1,
        }
    }

    pub(crate) fn contains(&self, marker: &str) -> bool {
        !marker.is_empty() && self.content_text().contains(marker)
    }
}

/// One message of a prompt in the prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct PromptSegment {
    /// The first 8 bytes of the message's digest. Identifies its role and text.
    pub(crate) mark: u64,
    /// Number of tokens of the message.
    pub(crate) tokens: u64,
}

/// The fields of a chat request that the stand-in reads.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ChatRequest {
    /// The model.
    pub model: String,
    /// The conversation.
    pub messages: Vec<ChatMessage>,
    /// Number of words of the answer.
    #[serde(
        default,
        alias = "max_completion_tokens",
        skip_serializing_if = "Option::is_none"
    )]
    pub max_tokens: Option<u32>,
    /// Whether the answer is a stream of server-sent events.
    #[serde(default)]
    pub stream: bool,
}

impl ChatRequest {
    /// Parses the body of a request.
    ///
    /// # Errors
    ///
    /// Returns [`EchoError::MalformedRequest`] if the body is not a chat completion request.
    pub fn parse(body: &[u8]) -> Result<Self> {
        serde_json::from_slice(body).map_err(|error| EchoError::MalformedRequest(error.to_string()))
    }

    /// Returns the first 16 hexadecimal digits of the SHA-256 digest of the messages.
    pub fn messages_digest(&self) -> String {
        let mut hasher = Sha256::new();
        for message in &self.messages {
            let text = message.content_text();
            hasher.update(message.role.len().to_be_bytes());
            hasher.update(&message.role);
            hasher.update(text.len().to_be_bytes());
            hasher.update(&text);
        }
        let mut digest = format!("{:x}", hasher.finalize());
        digest.truncate(DIGEST_CHARS);
        digest
    }

    /// Returns the number of words of the answer.
    pub fn answer_words(&self) -> u32 {
        self.max_tokens.unwrap_or(DEFAULT_ANSWER_WORDS)
    }
}

/// The answer to one request.
///
/// ```
/// use ebony_standins::engine::{ChatMessage, ChatRequest, EchoAnswer};
/// use ebony_types::CallId;
///
/// let request = ChatRequest {
///     model: "kalo-70b".into(),
///     messages: vec![ChatMessage::text("user", "hello")],
///     max_tokens: Some(3),
///     stream: false,
/// };
/// let answer = EchoAnswer::for_request(&request, None, CallId::from_bytes([7; 16]));
/// let text = answer.text();
/// assert_eq!(EchoAnswer::check(&text, &request), Ok(answer));
/// assert!(EchoAnswer::check(&text[..text.len() - 2], &request).is_err());
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EchoAnswer {
    /// The program of the call, as the engine received it.
    pub program: Option<ProgramId>,
    /// The call, as the engine received it.
    pub call: CallId,
    /// The digest of the messages.
    pub digest: String,
    /// Number of words after the header.
    pub words: u32,
}

impl EchoAnswer {
    /// Creates the answer to a request.
    pub fn for_request(request: &ChatRequest, program: Option<ProgramId>, call: CallId) -> Self {
        Self {
            program,
            call,
            digest: request.messages_digest(),
            words: request.answer_words(),
        }
    }

    /// Returns the start of the text, before the words.
    pub fn header(&self) -> String {
        let program = self
            .program
            .map_or_else(|| "-".to_owned(), |program| program.to_string());
        format!("program={program} call={} messages={}", self.call, self.digest)
    }

    /// Returns the word at a position, counted from 0, with a leading space.
    pub fn word(&self, position: u32) -> String {
        let mark = self.digest.get(..WORD_DIGEST_CHARS).unwrap_or_default();
        format!(" {mark}.{position}")
    }

    /// Returns the complete text.
    pub fn text(&self) -> String {
        let mut text = self.header();
        for position in 0..self.words {
            text.push_str(&self.word(position));
        }
        text
    }

    /// Checks that a text is the complete answer to a request. The program and the call are not checked.
    ///
    /// # Errors
    ///
    /// Returns [`EchoError::MalformedAnswer`], [`EchoError::OtherRequest`] or [`EchoError::Incomplete`].
    pub fn check(text: &str, request: &ChatRequest) -> Result<Self> {
        let answer = Self::parse_header(text, request.answer_words())?;
        if answer.digest != request.messages_digest() {
            return Err(EchoError::OtherRequest);
        }
        if answer.text() == text {
            return Ok(answer);
        }
        let words = text.split(' ').skip(answer.header().split(' ').count());
        let in_order = words
            .zip(0..)
            .take_while(|(word, position)| answer.word(*position).trim_start() == *word);
        Err(EchoError::Incomplete {
            found: in_order.count() as u32,
            expected: answer.words,
        })
    }

    fn parse_header(text: &str, words: u32) -> Result<Self> {
        let mut fields = text.split(' ');
        let mut field = |name: &str| {
            let value = fields.next().and_then(|field| field.strip_prefix(name));
            value.ok_or(EchoError::MalformedAnswer)
        };
        let program = match field("program=")? {
            "-" => None,
            program => Some(program.parse().map_err(|_| EchoError::MalformedAnswer)?),
        };
        let call = field("call=")?.parse().map_err(|_| EchoError::MalformedAnswer)?;
        Ok(Self {
            program,
            call,
            digest: field("messages=")?.to_owned(),
            words,
        })
    }
}
