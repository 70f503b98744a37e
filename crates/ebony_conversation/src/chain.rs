//! Reconstruction of a conversation up to one of its turns.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use ebony_types::{ProgramName, TurnName};

use crate::record::TurnRecord;

/// The most ancestors that a record refers to; the record after that holds the whole conversation.
///
/// Current conversations have 7 turns on average, so that few of them are written a second time, and a cold start reads
/// at most 9 rows.
pub const MAX_ANCESTORS: usize = 8;

/// The largest conversation that can be continued. Prompts of current engines are below 1 MB.
const MAX_CONVERSATION_BYTES: usize = 16 * 1024 * 1024;

/// An error that prevents a conversation from being continued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum ChainError {
    /// The conversation is larger than any target accepts.
    #[error("the conversation exceeds {MAX_CONVERSATION_BYTES} bytes")]
    TooLarge,
}

/// The result of joining the turns of a conversation.
pub type Result<T, E = ChainError> = std::result::Result<T, E>;

/// Returns the minimum lifetime of rows, if turns can be continued for `retention` after their end.
///
/// The oldest ancestor of a turn can be [`MAX_ANCESTORS`] turns back, and each turn was continued within its retention.
/// One more retention allows for the running time of the turns, and another one for the retention of the turn itself.
///
/// ```
/// use std::time::Duration;
/// use ebony_conversation::row_lifetime;
///
/// assert_eq!(row_lifetime(Duration::from_secs(60)), Duration::from_secs(600));
/// ```
pub fn row_lifetime(retention: Duration) -> Duration {
    let turns = u32::try_from(MAX_ANCESTORS).unwrap_or(u32::MAX);
    retention * (turns + 2)
}

/// A conversation up to one of its turns, joined from the record of that turn and its ancestors.
///
/// ```
/// use std::rc::Rc;
/// use bytes::Bytes;
/// use ebony_conversation::TurnChain;
/// use ebony_types::TurnName;
///
/// let first = TurnChain::begin(None, b"a?", b"a.\n");
/// let chain = TurnChain::open(TurnName::parse("t1")?, Rc::new(first), Vec::new())?;
/// assert_eq!(chain.prompt(b"b?"), Bytes::from_static(b"a?a.\nb?"));
/// let second = chain.follow(None, b"b?", b"b.\n");
/// assert_eq!(second.ancestors, [TurnName::parse("t1")?]);
/// assert_eq!(second.content, Bytes::from_static(b"b?b.\n"));
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TurnChain {
    /// The name of the last turn.
    last_turn: TurnName,
    record: Rc<TurnRecord>,
    /// The records of its ancestors, oldest first.
    ancestors: Vec<Rc<TurnRecord>>,
}

impl TurnChain {
    /// Joins the record of a turn with those of its ancestors, oldest first.
    ///
    /// # Errors
    ///
    /// Returns [`ChainError::TooLarge`] if the conversation exceeds 16 MiB.
    pub fn open(last_turn: TurnName, record: Rc<TurnRecord>, ancestors: Vec<Rc<TurnRecord>>) -> Result<Self> {
        debug_assert_eq!(record.ancestors.len(), ancestors.len());
        let chain = Self {
            last_turn,
            record,
            ancestors,
        };
        match chain.bytes() > MAX_CONVERSATION_BYTES {
            true => Err(ChainError::TooLarge),
            false => Ok(chain),
        }
    }

    /// Returns the record of a turn that begins a conversation, without a customer.
    pub fn begin(program: Option<ProgramName>, input: &[u8], output: &[u8]) -> TurnRecord {
        TurnRecord {
            program,
            ancestors: Vec::new(),
            content: [input, output].concat().into(),
            customer: None,
        }
    }

    /// Returns the record of a turn that continues the conversation, without a customer.
    pub fn follow(&self, program: Option<ProgramName>, input: &[u8], output: &[u8]) -> TurnRecord {
        if self.ancestors.len() < MAX_ANCESTORS {
            let mut ancestors = self.record.ancestors.clone();
            ancestors.push(self.last_turn.clone());
            return TurnRecord {
                program,
                ancestors,
                content: [input, output].concat().into(),
                customer: None,
            };
        }
        TurnRecord {
            program,
            ancestors: Vec::new(),
            content: [&self.prompt(input), output].concat().into(),
            customer: None,
        }
    }

    /// Returns the prompt that a target gets for a turn that continues the conversation.
    pub fn prompt(&self, input: &[u8]) -> Bytes {
        let mut prompt = BytesMut::with_capacity(self.bytes() + input.len());
        for record in self.records() {
            prompt.extend_from_slice(&record.content);
        }
        prompt.extend_from_slice(input);
        prompt.freeze()
    }

    /// Returns the size of the conversation in bytes.
    pub fn bytes(&self) -> usize {
        self.records().map(|record| record.content.len()).sum()
    }

    /// Returns the number of records that the conversation was joined from.
    pub fn len(&self) -> usize {
        self.ancestors.len() + 1
    }

    /// Returns `false`, because a conversation has at least one turn.
    pub fn is_empty(&self) -> bool {
        false
    }

    /// Returns the program of the last turn.
    pub fn program(&self) -> Option<&ProgramName> {
        self.record.program.as_ref()
    }

    fn records(&self) -> impl Iterator<Item = &TurnRecord> {
        let ancestors = self.ancestors.iter();
        ancestors.chain([&self.record]).map(|record| &**record)
    }
}
