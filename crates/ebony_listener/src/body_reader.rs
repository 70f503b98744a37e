//! Room for the bodies of requests.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::{Instant, sleep};

use crate::budget::BudgetCharge;
use crate::connection::ConnectionState;

/// The longest wait of a body for room. It is below the usual timeout of callers, so that they can retry elsewhere.
const ROOM_TIMEOUT: Duration = Duration::from_secs(2);

/// The interval at which a body that waits for room looks for stalled bodies.
const ROOM_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// How often a body may be in memory: as it was received, and joined with the earlier turns of its conversation or in
/// the buffers towards its target.
const BODY_COPIES: usize = 2;

/// Why a body is not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum BodyError {
    /// There was no room for the body in time.
    #[error("there is no room for the body")]
    NoRoom,
    /// The body made no progress while others needed its room.
    #[error("the body made no progress while others needed its room")]
    Yielded,
}

/// The room of a body that is being read. Bytes of the connection are read only during [`BodyReader::read`].
pub struct BodyReader {
    connection: Option<Rc<ConnectionState>>,
    charge: Option<BudgetCharge>,
}

impl BodyReader {
    /// Starts a body, of the length that the head announces. A connection without limits has none for its bodies either.
    pub fn open(connection: Option<Rc<ConnectionState>>, length: Option<usize>) -> Self {
        if let Some(connection) = &connection {
            connection.begin_body(length);
        }
        Self {
            connection,
            charge: None,
        }
    }

    /// Waits until the body has room for this many bytes in total.
    ///
    /// # Errors
    ///
    /// Fails if there is no room in time, or if the body has to yield.
    pub async fn reserve(&mut self, bytes: usize) -> Result<(), BodyError> {
        let Some(connection) = &self.connection else {
            return Ok(());
        };
        // A body of half of the budget or more is charged once, so that a single one finds room.
        let bytes = (bytes * BODY_COPIES).min(bytes.max(connection.guard.budget.limit() / 2));
        let held = self.charge.as_ref().map_or(0, BudgetCharge::bytes);
        if bytes <= held {
            return Ok(());
        }
        let budget = &connection.guard.budget;
        if bytes > budget.limit() {
            return Err(BodyError::NoRoom);
        }
        let end = Instant::now() + ROOM_TIMEOUT;
        let more = loop {
            if let Some(more) = budget.try_charge(bytes - held) {
                break more;
            }
            if Instant::now() >= end {
                return Err(BodyError::NoRoom);
            }
            connection.guard.yield_stalled_body();
            tokio::select! {
                () = connection.wait_body_yields() => return Err(BodyError::Yielded),
                () = budget.wait_freed() => {}
                () = sleep(ROOM_POLL_INTERVAL) => {}
            }
        };
        match &mut self.charge {
            Some(charge) => charge.merge(more),
            None => self.charge = Some(more),
        }
        connection.record_progress();
        Ok(())
    }

    /// Waits for the next part of the body.
    ///
    /// # Errors
    ///
    /// Fails if the body has to yield.
    pub async fn read<T>(&self, next: impl Future<Output = T>) -> Result<T, BodyError> {
        let Some(connection) = &self.connection else {
            return Ok(next.await);
        };
        connection.set_wants_body(true);
        let read = tokio::select! {
            () = connection.wait_body_yields() => Err(BodyError::Yielded),
            next = next => Ok(next),
        };
        connection.set_wants_body(false);
        read
    }

    /// Ends a complete body. Its room is released when the last clone of the returned bytes is dropped.
    pub fn finish(mut self, body: Bytes) -> Bytes {
        match self.charge.take() {
            Some(charge) if !body.is_empty() => Bytes::from_owner(ChargedBody {
                body,
                _charge: charge,
            }),
            _ => body,
        }
    }
}

impl Drop for BodyReader {
    fn drop(&mut self) {
        if let Some(connection) = &self.connection {
            connection.end_body();
        }
    }
}

/// A body with its room.
struct ChargedBody {
    body: Bytes,
    _charge: BudgetCharge,
}

impl AsRef<[u8]> for ChargedBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}
