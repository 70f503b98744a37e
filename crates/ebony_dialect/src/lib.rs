//! What a protocol of callers and targets has to tell the gateway, in the words of this project.
//!
//! The gateway decides; a dialect translates. An implementation of [`CallDialect`] decodes header fields once into
//! [`CallHead`] and [`AnswerHead`], and [`RecordDialect`] decodes what operators and targets write to the store.

pub mod answer;
pub mod attempt;
pub mod call;
pub mod records;

use http::{HeaderMap, HeaderName, HeaderValue};

pub use answer::{AnswerHead, LeavingNotice};
pub use attempt::AttemptHead;
pub use call::{CallHead, ProgramHead, TokenCount};
pub use records::{DecodeError, RecordDialect};

/// Translates the header fields of calls and answers.
pub trait CallDialect {
    /// Decodes a caller's header fields. A field that is malformed counts as absent.
    fn decode_call(&self, headers: &HeaderMap) -> CallHead;

    /// Returns whether a caller's field is dropped, because it is the system's to set.
    fn is_reserved(&self, name: &HeaderName) -> bool;

    /// Returns the fields that the system adds to a call for a target.
    fn encode_attempt(&self, attempt: &AttemptHead<'_>) -> Vec<(HeaderName, HeaderValue)>;

    /// Decodes the header fields of a target's answer.
    fn decode_answer(&self, headers: &HeaderMap) -> AnswerHead;

    /// Returns the field that marks an answer of the system to a call, so that callers can match it.
    fn encode_mark(&self, call: &str) -> Option<(HeaderName, HeaderValue)>;
}
