//! Interfaces that translate the protocol of callers, targets and operators for the gateway.
//!
//! The gateway makes all decisions, and knows neither the protocol's names of header fields nor its formats of rows. An
//! implementation of [`CallDialect`] decodes the header fields of each message once into [`CallHead`] or
//! [`AnswerHead`]. [`RecordDialect`] decodes the rows that operators and targets write to the store.

pub mod answer;
pub mod attempt;
pub mod call;
pub mod credential;
pub mod records;

use http::{HeaderMap, HeaderName, HeaderValue};

pub use answer::{AnswerHead, LeavingNotice, LimitNotice, LoadFault};
pub use attempt::AttemptHead;
pub use call::{CallHead, ProgramHead, StreamResumption, TokenCount};
pub use credential::CallerCredential;
pub use records::{DecodeError, RecordDialect};

/// Translates the header fields of calls and answers.
pub trait CallDialect {
    /// Decodes the header fields of a call. A malformed field counts as absent.
    fn decode_call(&self, headers: &HeaderMap) -> CallHead;

    /// Decodes the credential of a call. It is asked for only if the configuration has customers.
    fn decode_credential(&self, headers: &HeaderMap) -> CallerCredential;

    /// Returns whether a field contains a credential. If the configuration has customers, targets do not get it.
    fn is_credential(&self, name: &HeaderName) -> bool;

    /// Returns whether a field from a caller is dropped, because only the system may set it.
    fn is_reserved(&self, name: &HeaderName) -> bool;

    /// Returns the fields that the system adds to a call for a target.
    fn encode_attempt(&self, attempt: &AttemptHead<'_>) -> Vec<(HeaderName, HeaderValue)>;

    /// Decodes the header fields of a target's answer.
    fn decode_answer(&self, headers: &HeaderMap) -> AnswerHead;

    /// Returns the field that is added to an answer by the system itself, so that the caller can match it to the call.
    fn encode_attempt_id(&self, call: &str) -> Option<(HeaderName, HeaderValue)>;
}
