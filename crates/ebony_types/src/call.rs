//! One call of a program, as it travels between processes.

use std::fmt;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::id::{CallId, ProgramId};
use crate::name::{CallerName, IdempotencyKey, ModelName, ServiceName};

/// One header field that is passed through.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HeaderField {
    /// Lower-case field name.
    pub name: String,
    /// Field value.
    pub value: String,
}

/// What a call asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum CallKind {
    /// A chat completion on a model engine.
    Model {
        /// The model that serves the call.
        model: ModelName,
        /// Whether the answer is a stream of server-sent events.
        is_streamed: bool,
        /// Estimated tokens of the prompt.
        prompt_tokens: u32,
        /// The most tokens that the answer may have.
        max_output_tokens: u32,
    },
    /// A request to a plain service, passed through.
    Service {
        /// The service that serves the call.
        service: ServiceName,
        /// HTTP method.
        method: String,
        /// Path and query behind the service's name, with a leading slash.
        path: String,
    },
}

/// A call that was authenticated and checked by the receiving entry.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CallRequest {
    /// The call's identifier, chosen by the receiving entry.
    pub call: CallId,
    /// The program; `None` for a program of one call.
    pub program: Option<ProgramId>,
    /// The authenticated caller.
    pub caller: CallerName,
    /// What the call asks for.
    pub kind: CallKind,
    /// Header fields that the target receives.
    pub headers: Vec<HeaderField>,
    /// The request's body.
    pub body: Bytes,
    /// Set if the call must not run twice.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Milliseconds from receipt to the call's deadline.
    pub timeout_ms: u32,
}

impl CallRequest {
    /// Returns the digest by which a repeated request is recognized, whatever its identifiers.
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
/// It is the fingerprint under which crashes are counted, and it tells a repeat from a reuse of an idempotency key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct RequestDigest(pub [u8; 32]);

/// Bytes of a digest in its short form: enough to tell apart what one log names.
const SHORT_BYTES: usize = 8;

impl RequestDigest {
    /// Returns the first digits, for logs.
    ///
    /// ```
    /// use ebony_types::RequestDigest;
    ///
    /// assert_eq!(RequestDigest([10; 32]).short(), "0a0a0a0a0a0a0a0a");
    /// ```
    pub fn short(&self) -> String {
        let digits = self.0[..SHORT_BYTES].iter();
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

/// What a finished call used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CallUsage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Prompt tokens that the engine's prefix cache held.
    pub cached_tokens: u32,
    /// Tokens of the answer.
    pub output_tokens: u32,
}
