//! Messages on copies of journal rows that other entries hold.

use actix::Message;
use ebony_owner::journal::AppendRow;
use ebony_types::SessionId;
use ebony_wire::HeldRow;

/// Gives a copy of a row to another entry.
#[derive(Clone, Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct CopyRow {
    /// The session whose journal it is.
    pub session: SessionId,
    /// The row.
    pub row: AppendRow,
}

/// Another entry has a copy of a row.
#[derive(Clone, Copy, Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct CopyHeld {
    /// The session whose journal it is.
    pub session: SessionId,
    /// The row's number.
    pub sequence: u64,
}

/// Rows are durable, and their copies may go.
#[derive(Clone, Copy, Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct DropCopies {
    /// The session whose journal it is.
    pub session: SessionId,
    /// The last durable row.
    pub durable: u64,
}

/// The entry with a copy of a row is gone.
#[derive(Clone, Copy, Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct CopyLost {
    /// The session whose journal it is.
    pub session: SessionId,
    /// The row's number.
    pub sequence: u64,
}

/// Ends this entry's session in favour of a successor, and returns its rows that are not durable.
#[derive(Clone, Copy, Debug)]
#[derive(Message)]
#[rtype(result = "Vec<HeldRow>")]
pub struct SurrenderSession {
    /// The session; another one than the present one has nothing to give.
    pub session: SessionId,
}

/// Asks all linked entries, this one included, for copies of a session's rows.
#[derive(Clone, Copy, Debug)]
#[derive(Message)]
#[rtype(result = "Vec<HeldRow>")]
pub struct CollectCopies {
    /// The session.
    pub session: SessionId,
    /// Only rows behind this one are wanted.
    pub after: u64,
}

/// Turns a held row into the append of its owner.
pub(crate) fn append_of(held: HeldRow) -> AppendRow {
    AppendRow {
        sequence: held.sequence,
        row: held.row,
        bodies: held.bodies,
        nonce: u128::from_be_bytes(held.nonce),
    }
}

/// Turns an append into the copy that another entry holds.
pub(crate) fn held_of(session: SessionId, append: AppendRow) -> HeldRow {
    HeldRow {
        session,
        sequence: append.sequence,
        row: append.row,
        bodies: append.bodies,
        nonce: append.nonce.to_be_bytes(),
    }
}
