//! Messages about copies of journal rows held by other entries.

use actix::Message;
use ebony_owner::journal::AppendRow;
use ebony_types::SessionId;
use ebony_wire::HeldRow;

/// Copies a row to another entry.
#[derive(Clone, Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct CopyRow {
    /// The session to whose journal the row belongs.
    pub session: SessionId,
    /// The row.
    pub row: AppendRow,
}

/// Another entry confirmed that it holds a copy of a row.
#[derive(Clone, Copy, Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct CopyHeld {
    /// The session to whose journal the row belongs.
    pub session: SessionId,
    /// The row's number.
    pub sequence: u64,
}

/// Rows have become durable, so their copies may be dropped.
#[derive(Clone, Copy, Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct DropCopies {
    /// The session to whose journal the row belongs.
    pub session: SessionId,
    /// The last durable row.
    pub durable: u64,
}

/// A copy of a row was lost, because the link to its holder was lost.
#[derive(Clone, Copy, Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct CopyLost {
    /// The session to whose journal the row belongs.
    pub session: SessionId,
    /// The row's number.
    pub sequence: u64,
}

/// Ends this entry's session in favour of a successor, and returns its rows that are not durable.
#[derive(Clone, Copy, Debug)]
#[derive(Message)]
#[rtype(result = "Vec<HeldRow>")]
pub struct RelinquishSession {
    /// The session. If it is not the current session, no rows are returned.
    pub session: SessionId,
}

/// Collects copies of a session's rows from this entry and all linked entries.
#[derive(Clone, Copy, Debug)]
#[derive(Message)]
#[rtype(result = "Vec<HeldRow>")]
pub struct CollectCopies {
    /// The session.
    pub session: SessionId,
    /// Only rows with a higher number are returned.
    pub after: u64,
}

/// Converts a held row to its owner's append.
pub(crate) fn append_of(held: HeldRow) -> AppendRow {
    AppendRow {
        sequence: held.sequence,
        row: held.row,
        bodies: held.bodies,
        nonce: u128::from_be_bytes(held.nonce),
    }
}

/// Converts an append to the copy that another entry holds.
pub(crate) fn held_of(session: SessionId, append: AppendRow) -> HeldRow {
    HeldRow {
        session,
        sequence: append.sequence,
        row: append.row,
        bodies: append.bodies,
        nonce: append.nonce.to_be_bytes(),
    }
}
