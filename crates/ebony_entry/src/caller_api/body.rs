//! Reads request bodies within limits of size and time.

use std::time::Duration;

use actix_web::web::Payload;
use bytes::{Bytes, BytesMut};
use ebony_types::{ProblemCode, ProblemReport};
use futures_util::StreamExt;

/// The result of reading a body.
pub(crate) type Result<T, E = ProblemReport> = std::result::Result<T, E>;

/// Reads a body of at most `limit` bytes within `timeout`.
///
/// # Errors
///
/// Returns `body_too_large`, `request_timeout` or `bad_request`, all of them not run.
pub(crate) async fn read_body(payload: Payload, limit: usize, timeout: Duration) -> Result<Bytes> {
    let too_slow = || ProblemReport::not_run(ProblemCode::RequestTimeout, "the body did not arrive in time");
    tokio::time::timeout(timeout, collect(payload, limit))
        .await
        .unwrap_or_else(|_| Err(too_slow()))
}

async fn collect(mut payload: Payload, limit: usize) -> Result<Bytes> {
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let broken =
            |_| ProblemReport::not_run(ProblemCode::BadRequest, "the body ended before it was whole");
        let chunk = chunk.map_err(broken)?;
        if body.len() + chunk.len() > limit {
            let detail = format!("the body is larger than {limit} bytes");
            return Err(ProblemReport::not_run(ProblemCode::BodyTooLarge, detail));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}
