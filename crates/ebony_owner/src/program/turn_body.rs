//! The stored body of a turn, and the JSON of a program's history.

use bytes::Bytes;
use ebony_types::{CallId, CallKind, ProgramId};
use ebony_wire::AnswerHead;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use super::history::{HistoryError, Result, extend_chain};
use crate::codec;
use crate::journal::record::BodyPlace;

/// The largest encoded turn in bytes: a request and an answer of up to 4 MiB each, and the fields around them.
pub const MAX_TURN_BYTES: usize = 9 * 1024 * 1024;

/// The new messages and the answer of one turn.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TurnBody {
    /// The program.
    pub program: ProgramId,
    /// The turn's number, from 1.
    pub turn: u32,
    /// The call.
    pub call: CallId,
    /// The kind of the call.
    pub kind: CallKind,
    /// Number of messages of the history that precede the new ones.
    pub kept: u32,
    /// The new messages, each as JSON text.
    pub messages: Vec<Bytes>,
    /// The body of a request without messages.
    pub request: Option<Bytes>,
    /// Status and header fields of the answer.
    pub head: AnswerHead,
    /// The answer's body.
    pub answer: Bytes,
}

impl TurnBody {
    /// Encodes the body.
    ///
    /// # Errors
    ///
    /// Returns [`codec::CodecError::TooLarge`] above [`MAX_TURN_BYTES`].
    pub fn encode(&self) -> codec::Result<Bytes> {
        codec::encode(self, MAX_TURN_BYTES).map(Bytes::from)
    }

    /// Decodes a body.
    ///
    /// # Errors
    ///
    /// Returns [`codec::CodecError`] if the bytes are not exactly one body.
    pub fn decode(bytes: &[u8]) -> codec::Result<Self> {
        codec::decode(bytes, MAX_TURN_BYTES)
    }

    /// Decodes the body at `place` within its object.
    ///
    /// # Errors
    ///
    /// Returns [`codec::CodecError`] if the object is too short or the bytes are not a body.
    pub fn from_object(object: &Bytes, place: BodyPlace) -> codec::Result<Self> {
        let bytes = slice_object(object, place)
            .ok_or_else(|| codec::CodecError::Malformed("the object is too short".to_owned()))?;
        Self::decode(&bytes)
    }
}

/// Returns the span of an object that a place describes; `None` if the object is too short.
pub(crate) fn slice_object(object: &Bytes, place: BodyPlace) -> Option<Bytes> {
    let start = place.span.offset as usize;
    let end = start.checked_add(place.span.length as usize)?;
    (end <= object.len()).then(|| object.slice(start..end))
}

/// The bodies that make up a program's history.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HistoryPlan {
    /// The program.
    pub program: ProgramId,
    /// Where the bodies are stored, in the order of the turns.
    pub places: Vec<BodyPlace>,
    /// Chained digest of all bodies.
    pub chain: [u8; 32],
}

#[derive(Serialize)]
struct TurnView<'a> {
    turn: u32,
    call: CallId,
    kept_messages: u32,
    messages: Vec<&'a RawValue>,
    #[serde(skip_serializing_if = "Option::is_none")]
    request: Option<ContentView<'a>>,
    status: u16,
    answer: ContentView<'a>,
}

/// Content within the history: valid JSON is embedded as it is, other text as a string, and other bytes as
/// hexadecimal digits.
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
enum ContentView<'a> {
    Json(&'a RawValue),
    Text(&'a str),
    Hex(String),
}

impl<'a> ContentView<'a> {
    fn of(bytes: &'a [u8]) -> Self {
        match std::str::from_utf8(bytes) {
            Ok(text) => serde_json::from_str(text).map_or(Self::Text(text), Self::Json),
            Err(_) => Self::Hex(bytes.iter().map(|byte| format!("{byte:02x}")).collect()),
        }
    }
}

/// Assembles the JSON array of a program's turns from the bodies at the places of a plan, in the same order.
///
/// ```
/// use ebony_owner::program::{HistoryPlan, assemble_history};
/// use ebony_types::{ProgramId, ShardKey};
///
/// let plan = HistoryPlan {
///     program: ProgramId::from_parts(ShardKey(1), [0; 14]),
///     places: Vec::new(),
///     chain: [0; 32],
/// };
/// assert_eq!(assemble_history(&plan, &[])?.as_ref(), b"[]");
/// # Ok::<(), ebony_owner::program::HistoryError>(())
/// ```
///
/// # Errors
///
/// Returns [`HistoryError`] if a body is missing, malformed, or not the one that the program's turn recorded.
pub fn assemble_history(plan: &HistoryPlan, bodies: &[Option<Bytes>]) -> Result<Bytes> {
    let mut chain = [0; 32];
    let mut turns = Vec::with_capacity(plan.places.len());
    for number in 1..=plan.places.len() {
        let turn = u32::try_from(number).unwrap_or(u32::MAX);
        let bytes = bodies.get(number - 1).and_then(Option::as_ref);
        let bytes = bytes.ok_or(HistoryError::MissingBody(turn))?;
        chain = extend_chain(chain, bytes);
        let body = TurnBody::decode(bytes)?;
        if body.program != plan.program || body.turn != turn {
            return Err(HistoryError::Mismatch);
        }
        turns.push(body);
    }
    if chain != plan.chain {
        return Err(HistoryError::Mismatch);
    }
    encode_turns(&turns)
}

fn encode_turns(turns: &[TurnBody]) -> Result<Bytes> {
    let views: Result<Vec<TurnView<'_>>> = turns.iter().map(view_of).collect();
    let json = serde_json::to_vec(&views?).map_err(|_| HistoryError::Mismatch)?;
    Ok(json.into())
}

fn view_of(body: &TurnBody) -> Result<TurnView<'_>> {
    let messages: Result<Vec<&RawValue>, serde_json::Error> = body
        .messages
        .iter()
        .map(|message| serde_json::from_slice(message))
        .collect();
    Ok(TurnView {
        turn: body.turn,
        call: body.call,
        kept_messages: body.kept,
        messages: messages.map_err(|error| HistoryError::BadMessages(error.to_string()))?,
        request: body.request.as_deref().map(ContentView::of),
        status: body.head.status,
        answer: ContentView::of(&body.answer),
    })
}
