//! A call of a program, as it is sent between processes.

use std::fmt;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::id::{CallId, ProgramId};
use crate::name::{CallerName, IdempotencyKey, ModelName, ServiceName};

/// A header field that is passed through.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HeaderField {
    /// Lower-case field name.
    pub name: String,
    /// Field value.
    pub value: String,
}

/// The kind of a call: a chat completion or a request to a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum CallKind {
    /// A chat completion on a model engine.
    Model {
        /// The model that serves the call.
        model: ModelName,
        /// Whether the answer is a stream of server-sent events.
        is_streamed: bool,
        /// Estimated number of tokens in the prompt.
        prompt_tokens: u32,
        /// Maximum number of tokens in the answer.
        max_output_tokens: u32,
    },
    /// A request to a plain service, passed through.
    Service {
        /// The service that serves the call.
        service: ServiceName,
        /// HTTP method.
        method: String,
        /// Path and query that follow the service's name, with a leading slash.
        path: String,
    },
}

/// A call that the receiving entry has authenticated and validated.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CallRequest {
    /// The call's identifier, assigned by the receiving entry.
    pub call: CallId,
    /// The program; `None` if the call is a program of its own.
    pub program: Option<ProgramId>,
    /// The authenticated caller.
    pub caller: CallerName,
    /// What the call requests.
    pub kind: CallKind,
    /// Header fields that are passed to the target.
    pub headers: Vec<HeaderField>,
    /// The request's body.
    pub body: Bytes,
    /// Set if the call must not run twice.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Time from the receipt of the call to its deadline, in milliseconds.
    pub timeout_ms: u32,
}

impl CallRequest {
    /// Returns the digest of the request's kind and body. A repeated request has the same digest, even if its call,
    /// program and idempotency key differ.
    pub fn digest(&self) -> RequestDigest {
        let mut hasher = Sha256::new();
        match &self.kind {
            CallKind::Model { model, .. } => hasher.update(format!("model\0{model}\0")),
            CallKind::Service {
                service,
                method,
                path,
            } => {
                hasher.update(format!("service\0{service}\0{method}\0{path}\0"));
            }
        }
        hasher.update(&self.body);
        RequestDigest(hasher.finalize().into())
    }
}

/// The SHA-256 digest of a request's kind and body.
///
/// Crashes are counted per digest. It also distinguishes a repeated request from a different request that reuses its
/// idempotency key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct RequestDigest(pub [u8; 32]);

/// Number of bytes in the short form of a digest: enough to distinguish the requests in one log.
const SHORT_DIGEST_BYTES: usize = 8;

impl RequestDigest {
    /// Returns the first 16 hexadecimal digits, for logs.
    ///
    /// ```
    /// use ebony_types::RequestDigest;
    ///
    /// assert_eq!(RequestDigest([10; 32]).short(), "0a0a0a0a0a0a0a0a");
    /// ```
    pub fn short(&self) -> String {
        let digits = self.0[..SHORT_DIGEST_BYTES].iter();
        digits.map(|byte| format!("{byte:02x}")).collect()
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl fmt::Debug for RequestDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}

/// Token usage of a finished call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CallUsage {
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Number of prompt tokens that were found in the engine's prefix cache.
    pub cached_tokens: u32,
    /// Number of tokens in the answer.
    pub output_tokens: u32,
}
