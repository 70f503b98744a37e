//! Maps failed requests and unsuccessful statuses to [`PlatformError`]s.

use awc::error::{ConnectError, SendRequestError};

use super::client::HttpReply;
use crate::error::PlatformError;

use crate::error::Result;

/// Maximum number of characters of a reply's body that are included in an error.
const MAX_DETAIL_CHARS: usize = 200;

/// Maps the error of a request that got no answer. The request counts as not run only if no connection was established.
pub(crate) fn from_send_error(error: SendRequestError) -> PlatformError {
    let detail = error.to_string();
    match error {
        // `Disconnected` also means that the peer closed the connection without an answer after the request was sent.
        SendRequestError::Connect(ConnectError::Disconnected | ConnectError::H2(_)) => {
            PlatformError::Unknown(detail)
        }
        SendRequestError::Connect(_) | SendRequestError::Url(_) | SendRequestError::Http(_) => {
            PlatformError::Refused(detail)
        }
        _ => PlatformError::Unknown(detail),
    }
}

/// Returns a reply with a successful status, and an error for any other status. The protocols define that 503 and every
/// 4xx mean that the request did not run.
pub(crate) fn check_status(reply: HttpReply) -> Result<HttpReply> {
    match reply.status {
        200..=299 => Ok(reply),
        400..=499 | 503 => Err(PlatformError::Refused(describe(&reply))),
        _ => Err(PlatformError::Unknown(describe(&reply))),
    }
}

/// Returns the status and the start of the body as text for an error.
pub(crate) fn describe(reply: &HttpReply) -> String {
    let text = String::from_utf8_lossy(&reply.body);
    let detail: String = text.chars().take(MAX_DETAIL_CHARS).collect();
    format!("status {}: {detail}", reply.status)
}
