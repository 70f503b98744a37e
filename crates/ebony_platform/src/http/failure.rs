//! Maps failed requests and statuses to errors with a verdict.

use awc::error::{ConnectError, SendRequestError};

use super::client::HttpReply;
use crate::error::PlatformError;

use crate::error::Result;

/// The most characters of a reply's body that go into an error.
const MAX_DETAIL_CHARS: usize = 200;

/// Maps a request that got no answer. It counts as not run only if no connection was established.
pub(crate) fn from_send(error: SendRequestError) -> PlatformError {
    let detail = error.to_string();
    match error {
        // A connection that closes instead of answering is reported as disconnected, after the request was sent.
        SendRequestError::Connect(ConnectError::Disconnected | ConnectError::H2(_)) => {
            PlatformError::Unknown(detail)
        }
        SendRequestError::Connect(_) | SendRequestError::Url(_) | SendRequestError::Http(_) => {
            PlatformError::Refused(detail)
        }
        _ => PlatformError::Unknown(detail),
    }
}

/// Passes a successful reply and maps any other status. The protocols define 503 and every 4xx as not run.
pub(crate) fn check(reply: HttpReply) -> Result<HttpReply> {
    match reply.status {
        200..=299 => Ok(reply),
        400..=499 | 503 => Err(PlatformError::Refused(describe(&reply))),
        _ => Err(PlatformError::Unknown(describe(&reply))),
    }
}

/// Describes a reply for an error.
pub(crate) fn describe(reply: &HttpReply) -> String {
    let text = String::from_utf8_lossy(&reply.body);
    let detail: String = text.chars().take(MAX_DETAIL_CHARS).collect();
    format!("status {}: {detail}", reply.status)
}
