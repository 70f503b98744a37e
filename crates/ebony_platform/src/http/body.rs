//! Reads bodies of answers with limits on their size and on the time between parts. A truncated body is an error.

use std::future::poll_fn;
use std::task::{Context, Poll};
use std::time::Duration;

use awc::error::PayloadError;
use bytes::{Bytes, BytesMut};
use futures_util::stream::{self, LocalBoxStream, StreamExt};
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::timeout;

use super::connector::EofFlag;
use crate::error::PlatformError;

use crate::error::Result;

/// Reads the body of an answer.
pub(crate) struct BodyReader {
    // Declared before the permit so that the connection is dropped before its permit is released.
    pub(crate) payload: LocalBoxStream<'static, Result<Bytes, PayloadError>>,
    pub(crate) _permit: OwnedSemaphorePermit,
    pub(crate) eof: EofFlag,
    pub(crate) idle_timeout: Duration,
    pub(crate) remaining_bytes: usize,
}

impl BodyReader {
    /// Converts the reader into a stream that ends after its first error.
    pub(crate) fn into_stream(self) -> LocalBoxStream<'static, Result<Bytes>> {
        let parts = stream::unfold(Some(self), |state| async {
            let mut reader = state?;
            match reader.next_part().await? {
                Ok(bytes) => Some((Ok(bytes), Some(reader))),
                Err(error) => Some((Err(error), None)),
            }
        });
        parts.boxed_local()
    }

    async fn next_part(&mut self) -> Option<Result<Bytes>> {
        let limit = self.idle_timeout;
        let part = poll_fn(|context| self.poll_part(context));
        match timeout(limit, part).await {
            Ok(part) => part,
            Err(_) => Some(Err(PlatformError::Unknown("the answer fell silent".into()))),
        }
    }

    fn poll_part(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes>>> {
        self.eof.clear();
        let Poll::Ready(part) = self.payload.poll_next_unpin(context) else {
            return Poll::Pending;
        };
        Poll::Ready(match part {
            Some(Ok(bytes)) => Some(self.check_size(bytes)),
            Some(Err(error)) => Some(Err(PlatformError::Unknown(format!(
                "the answer broke off: {error}"
            )))),
            None if self.eof.is_set() => {
                let detail = "the connection closed before the end of the answer";
                Some(Err(PlatformError::Unknown(detail.into())))
            }
            None => None,
        })
    }

    fn check_size(&mut self, bytes: Bytes) -> Result<Bytes> {
        match self.remaining_bytes.checked_sub(bytes.len()) {
            Some(remaining) => {
                self.remaining_bytes = remaining;
                Ok(bytes)
            }
            None => Err(PlatformError::Malformed(
                "the answer is larger than its limit".into(),
            )),
        }
    }
}

/// Reads a whole body.
pub(crate) async fn collect(mut body: LocalBoxStream<'static, Result<Bytes>>) -> Result<Bytes> {
    let mut whole = BytesMut::new();
    while let Some(part) = body.next().await {
        whole.extend_from_slice(&part?);
    }
    Ok(whole.freeze())
}
