//! Errors that are reported to callers and between processes.

use std::borrow::Cow;

use serde::{Deserialize, Serialize};

use crate::verdict::RunVerdict;

macro_rules! problem_codes {
    ($($(#[$meta:meta])* $variant:ident = $status:literal, $text:literal;)*) => {
        /// A stable, machine-readable code of a problem.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        #[derive(Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum ProblemCode {
            $($(#[$meta])* $variant,)*
        }

        impl ProblemCode {
            /// All codes, in the order of the documentation.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// Returns the HTTP status that goes with the code.
            pub fn status(self) -> u16 {
                match self {
                    $(Self::$variant => $status,)*
                }
            }

            /// Returns the code's stable text.
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Self::$variant => $text,)*
                }
            }
        }
    };
}

problem_codes! {
    /// The request is malformed.
    BadRequest = 400, "bad_request";
    /// The bearer key is missing or unknown.
    Unauthorized = 401, "unauthorized";
    /// The program's token budget is spent.
    TokensSpent = 402, "tokens_spent";
    /// The program belongs to another caller, or the operation needs other credentials.
    Forbidden = 403, "forbidden";
    /// No such route, model, service or program.
    NotFound = 404, "not_found";
    /// The configuration in force has no such model.
    UnknownModel = 404, "unknown_model";
    /// The configuration in force has no such service.
    UnknownService = 404, "unknown_service";
    /// The program is unknown, or it ended too long ago.
    UnknownProgram = 404, "unknown_program";
    /// The turn from which a conversation should continue was not stored, or it ended too long ago.
    UnknownTurn = 404, "unknown_turn";
    /// The method is not allowed on this route.
    MethodNotAllowed = 405, "method_not_allowed";
    /// The caller was too slow to send its request.
    RequestTimeout = 408, "request_timeout";
    /// The idempotency key was already used with a different request.
    KeyReused = 409, "key_reused";
    /// The idempotency key's answer is no longer stored.
    KeyExpired = 409, "key_expired";
    /// A call with this idempotency key is in progress.
    KeyInUse = 409, "key_in_use";
    /// The change is based on an old version of the configuration: another operator changed it first.
    VersionConflict = 409, "version_conflict";
    /// The program has ended or was cancelled.
    ProgramEnded = 409, "program_ended";
    /// The body is larger than the limit.
    BodyTooLarge = 413, "body_too_large";
    /// The configuration or an exception in it is invalid.
    InvalidConfig = 422, "invalid_config";
    /// The request crashed two targets and will not run again.
    CrashingRequest = 422, "crashing_request";
    /// The customer sent more requests than its quota allows.
    QuotaExceeded = 429, "quota_exceeded";
    /// The program's budget of tokens, calls, time or depth is spent.
    BudgetExhausted = 429, "budget_exhausted";
    /// The request head is larger than the limit.
    HeadTooLarge = 431, "head_too_large";
    /// Too many calls of one program are waiting.
    TooManyCalls = 429, "too_many_calls";
    /// The system currently admits no further programs.
    Overloaded = 503, "overloaded";
    /// No target currently serves the request.
    NoTarget = 503, "no_target";
    /// The program's owner is currently unknown or unreachable.
    OwnerUnavailable = 503, "owner_unavailable";
    /// Several targets ended while they ran the request. It is held for a while before it may be tried again.
    RequestHeld = 503, "request_held";
    /// The stream cannot be resumed, because the software version that began it is unknown or has no target. It can be
    /// sent again from its start.
    NotResumable = 503, "not_resumable";
    /// The platform's table service or object store does not accept a write that the request requires.
    PlatformUnavailable = 503, "platform_unavailable";
    /// The process is stopping.
    Draining = 503, "draining";
    /// The target failed or its connection broke.
    TargetFailed = 502, "target_failed";
    /// The deadline passed.
    DeadlineExceeded = 504, "deadline_exceeded";
    /// The call was cancelled.
    Cancelled = 499, "cancelled";
    /// An internal error of the system.
    Internal = 500, "internal";
}

/// An error with its code, its verdict and the time after which to retry. The code determines the HTTP status.
///
/// ```
/// use ebony_types::{ProblemCode, ProblemReport, RunVerdict};
///
/// let report = ProblemReport::not_run(ProblemCode::Overloaded, "the queue is full").retry_after(2);
/// assert_eq!(report.status(), 503);
/// assert_eq!(report.run, RunVerdict::NotRun);
/// assert_eq!(report.to_json()["retry_after"], 2);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[derive(thiserror::Error)]
#[error("{}: {detail}", code.as_str())]
pub struct ProblemReport {
    /// The stable code.
    pub code: ProblemCode,
    /// A human-readable sentence.
    pub detail: Cow<'static, str>,
    /// Whether the request may have run.
    pub run: RunVerdict,
    /// Number of seconds after which the caller should retry.
    pub retry_after_seconds: Option<u32>,
}

/// The result of an operation that reports a problem.
pub type Result<T, E = ProblemReport> = std::result::Result<T, E>;

impl ProblemReport {
    /// Creates a problem with the given verdict.
    pub fn new(code: ProblemCode, run: RunVerdict, detail: impl Into<Cow<'static, str>>) -> Self {
        Self {
            code,
            detail: detail.into(),
            run,
            retry_after_seconds: None,
        }
    }

    /// Creates a problem for a request that no target received.
    pub fn not_run(code: ProblemCode, detail: impl Into<Cow<'static, str>>) -> Self {
        Self::new(code, RunVerdict::NotRun, detail)
    }

    /// Creates a problem for a request whose outcome is unknown.
    pub fn may_have_run(code: ProblemCode, detail: impl Into<Cow<'static, str>>) -> Self {
        Self::new(code, RunVerdict::MayHaveRun, detail)
    }

    /// Sets the number of seconds after which the caller should retry.
    #[must_use]
    pub fn retry_after(mut self, seconds: u32) -> Self {
        self.retry_after_seconds = Some(seconds);
        self
    }

    /// Returns the HTTP status.
    pub fn status(&self) -> u16 {
        self.code.status()
    }

    /// Returns the body of an `application/problem+json` answer.
    pub fn to_json(&self) -> serde_json::Value {
        let mut body = serde_json::json!({
            "type": format!("urn:ebonyswitch:problem:{}", self.code.as_str()),
            "title": self.code.as_str(),
            "status": self.status(),
            "code": self.code.as_str(),
            "detail": self.detail,
            "run": self.run.as_str(),
        });
        if let Some(seconds) = self.retry_after_seconds {
            body["retry_after"] = seconds.into();
        }
        body
    }
}
