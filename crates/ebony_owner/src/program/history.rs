//! The history of a program: the new messages of each request, and the places of the recorded turns.
//!
//! Each call of a chat program repeats all earlier messages. A turn records only the messages after those that the
//! history already has; memory keeps their number and one chained digest. A request that does not continue the
//! history, for example because the caller edited an earlier message, records all its messages as a replacement.

use std::ops::Range;

use bytes::Bytes;
use ebony_types::SessionId;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use sha2::{Digest, Sha256};

use crate::codec::CodecError;
use crate::journal::compact;
use crate::journal::record::{BodyPlace, BodySpan};

/// The most messages of one request. For comparison, the longest expected program has 84 turns of a few messages
/// each.
pub const MAX_MESSAGES: usize = 16_384;

/// An error of reading messages or a history.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum HistoryError {
    /// The request's body has no usable list of messages.
    #[error("no list of messages: {0}")]
    BadMessages(String),
    /// The request has more messages than the limit.
    #[error("{0} messages are more than {MAX_MESSAGES}")]
    TooManyMessages(usize),
    /// The object store does not have the body of a turn.
    #[error("the body of turn {0} is missing")]
    MissingBody(u32),
    /// The bodies do not match the digest of the program's turns.
    #[error("the stored bodies do not match the program's digest")]
    Mismatch,
    /// A body cannot be decoded.
    #[error(transparent)]
    Codec(#[from] CodecError),
}

/// The result of reading messages or a history.
pub type Result<T, E = HistoryError> = std::result::Result<T, E>;

#[derive(Clone, Debug, PartialEq, Eq)]
struct MessagePart {
    digest: [u8; 32],
    range: Range<usize>,
}

/// The messages of one request: their digests and their ranges in the request's body.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MessageList {
    parts: Vec<MessagePart>,
}

#[derive(Deserialize)]
struct ChatBody<'a> {
    #[serde(borrow)]
    messages: Vec<&'a RawValue>,
}

impl MessageList {
    /// Finds the messages in the body of a chat completion.
    ///
    /// ```
    /// use ebony_owner::program::MessageList;
    ///
    /// let list = MessageList::parse(br#"{"model":"m","messages":[{"role":"user","content":"hi"}]}"#)?;
    /// assert_eq!(list.len(), 1);
    /// assert!(MessageList::parse(b"[]").is_err());
    /// # Ok::<(), ebony_owner::program::HistoryError>(())
    /// ```
    ///
    /// # Errors
    ///
    /// Returns [`HistoryError`] if the body is not a JSON object with a bounded list of messages.
    pub fn parse(body: &[u8]) -> Result<Self> {
        let chat: ChatBody<'_> =
            serde_json::from_slice(body).map_err(|error| HistoryError::BadMessages(error.to_string()))?;
        if chat.messages.len() > MAX_MESSAGES {
            return Err(HistoryError::TooManyMessages(chat.messages.len()));
        }
        let parts = chat
            .messages
            .iter()
            .map(|message| part_of(body, message.get()))
            .collect();
        Ok(Self { parts })
    }

    /// Returns the number of messages.
    pub fn len(&self) -> usize {
        self.parts.len()
    }

    /// Returns `true` if there is no message, as for a call of a plain service.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Returns the messages after the first `kept`, as slices of `body`.
    pub(crate) fn slices(&self, body: &Bytes, kept: u32) -> Vec<Bytes> {
        let parts = self.parts.iter().skip(kept as usize);
        parts
            .filter(|part| part.range.end <= body.len())
            .map(|part| body.slice(part.range.clone()))
            .collect()
    }
}

/// `message` must be a slice of `body`, so that its range follows from the two addresses.
fn part_of(body: &[u8], message: &str) -> MessagePart {
    let start = message.as_ptr().addr() - body.as_ptr().addr();
    MessagePart {
        digest: Sha256::digest(message).into(),
        range: start..start + message.len(),
    }
}

/// Number and chained digest of the messages of a history.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HistoryMark {
    /// Number of messages.
    #[serde(rename = "c")]
    pub count: u32,
    /// SHA-256 of the previous digest and the last message's digest; zeros if there are no messages.
    #[serde(rename = "d", with = "serde_bytes")]
    pub digest: [u8; 32],
}

/// What a request adds to a history.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HistoryDelta {
    /// Number of messages of the history that the request repeats; zero if the request replaces the history.
    pub kept: u32,
    /// The messages of the history after the request.
    pub mark: HistoryMark,
}

impl HistoryMark {
    /// Compares the messages of a request with those of the history.
    ///
    /// ```
    /// use ebony_owner::program::{HistoryMark, MessageList};
    ///
    /// let first = MessageList::parse(br#"{"messages":[1,2]}"#)?;
    /// let longer = MessageList::parse(br#"{"messages":[1,2,3]}"#)?;
    /// let edited = MessageList::parse(br#"{"messages":[1,9,3]}"#)?;
    /// let mark = HistoryMark::default().delta(&first).mark;
    /// assert_eq!(mark.delta(&longer).kept, 2);
    /// assert_eq!(mark.delta(&edited).kept, 0);
    /// # Ok::<(), ebony_owner::program::HistoryError>(())
    /// ```
    pub fn delta(self, messages: &MessageList) -> HistoryDelta {
        let mut mark = Self::default();
        let mut kept = 0;
        for part in &messages.parts {
            mark = mark.extended(&part.digest);
            if mark == self {
                kept = self.count;
            }
        }
        HistoryDelta { kept, mark }
    }

    fn extended(self, digest: &[u8; 32]) -> Self {
        let mut hasher = Sha256::new();
        hasher.update(self.digest);
        hasher.update(digest);
        Self {
            count: self.count + 1,
            digest: hasher.finalize().into(),
        }
    }
}

/// The sequence and span of one turn's body among the objects of a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct TurnPlace(u64, #[serde(with = "compact::span")] BodySpan);

/// Consecutive turns that one session recorded.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct SessionTurns {
    session: SessionId,
    places: Vec<TurnPlace>,
}

/// The turns of a program, in 16 bytes for each, and two digests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ProgramHistory {
    /// The messages of all turns.
    pub mark: HistoryMark,
    /// SHA-256 of the previous value and the last turn's body; zeros before the first turn.
    #[serde(with = "serde_bytes")]
    pub chain: [u8; 32],
    turns: Vec<SessionTurns>,
}

impl ProgramHistory {
    /// Returns the number of turns.
    pub fn turn_count(&self) -> u32 {
        let count: usize = self.turns.iter().map(|turns| turns.places.len()).sum();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Returns the place of a turn's body; turns are numbered from 1.
    pub fn place(&self, turn: u32) -> Option<BodyPlace> {
        self.places().nth(turn.checked_sub(1)? as usize)
    }

    /// Returns the places of all turns in order.
    pub fn places(&self) -> impl Iterator<Item = BodyPlace> {
        self.turns.iter().flat_map(|turns| {
            turns.places.iter().map(|&TurnPlace(sequence, span)| BodyPlace {
                session: turns.session,
                sequence,
                span,
            })
        })
    }

    /// Adds a turn with its new digests.
    pub(crate) fn push(&mut self, place: BodyPlace, mark: HistoryMark, chain: [u8; 32]) {
        self.mark = mark;
        self.chain = chain;
        let turn = TurnPlace(place.sequence, place.span);
        match self.turns.last_mut() {
            Some(turns) if turns.session == place.session => turns.places.push(turn),
            _ => self.turns.push(SessionTurns {
                session: place.session,
                places: vec![turn],
            }),
        }
    }

    /// Returns the bytes of heap memory that the history takes.
    pub(crate) fn heap_bytes(&self) -> usize {
        let places: usize = self.turns.iter().map(|turns| turns.places.capacity()).sum();
        places * size_of::<TurnPlace>() + self.turns.capacity() * size_of::<SessionTurns>()
    }
}

/// Extends the chained digest by the body of the next turn.
pub(crate) fn extend_chain(chain: [u8; 32], body: &[u8]) -> [u8; 32] {
    let mut hasher = Sha256::new();
    hasher.update(chain);
    hasher.update(body);
    hasher.finalize().into()
}
