//! A conversation up to one of its turns.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use ebony_types::{ProgramName, TurnName};

use crate::record::TurnRecord;

/// Turns before one whose records are read with it. The next record holds the whole conversation: conversations of today
/// have 7 turns on average, so that few of them are ever written again, and a cold start reads 9 rows at the most.
pub const MOST_ANCESTORS: usize = 8;

/// The most bytes of a conversation that is continued. Prompts of today's engines have below 1 MB.
const MOST_BYTES: usize = 16 * 1024 * 1024;

/// Says why a conversation cannot be continued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum ChainError {
    /// The conversation is larger than any target takes.
    #[error("the conversation has more than {MOST_BYTES} bytes")]
    TooLarge,
}

/// The result of joining the turns of a conversation.
pub type Result<T, E = ChainError> = std::result::Result<T, E>;

/// Returns how long rows of turns have to last at least, for turns that are kept for `retention` after their end.
///
/// A turn that is continued is younger than its retention, and so was each of its ancestors when the next turn continued
/// it. One more retention covers the time in which turns run, and the last one that of the turn itself.
///
/// ```
/// use std::time::Duration;
/// use ebony_conversation::row_lifetime;
///
/// assert_eq!(row_lifetime(Duration::from_secs(60)), Duration::from_secs(600));
/// ```
pub fn row_lifetime(retention: Duration) -> Duration {
    let turns = u32::try_from(MOST_ANCESTORS).unwrap_or(u32::MAX);
    retention * (turns + 2)
}

/// A conversation up to one of its turns, as far as its records reach back.
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
    /// The last turn.
    tip: TurnName,
    record: Rc<TurnRecord>,
    /// The records of its ancestors, in their order.
    ancestors: Vec<Rc<TurnRecord>>,
}

impl TurnChain {
    /// Joins a turn and its ancestors.
    ///
    /// # Errors
    ///
    /// Returns [`ChainError`] if the conversation is too large to be continued.
    pub fn open(tip: TurnName, record: Rc<TurnRecord>, ancestors: Vec<Rc<TurnRecord>>) -> Result<Self> {
        debug_assert_eq!(record.ancestors.len(), ancestors.len());
        let chain = Self {
            tip,
            record,
            ancestors,
        };
        match chain.bytes() > MOST_BYTES {
            true => Err(ChainError::TooLarge),
            false => Ok(chain),
        }
    }

    /// Returns the record of a turn that begins a conversation.
    pub fn begin(program: Option<ProgramName>, input: &[u8], output: &[u8]) -> TurnRecord {
        TurnRecord {
            program,
            ancestors: Vec::new(),
            content: [input, output].concat().into(),
        }
    }

    /// Returns the record of a turn that continues the conversation.
    pub fn follow(&self, program: Option<ProgramName>, input: &[u8], output: &[u8]) -> TurnRecord {
        if self.ancestors.len() < MOST_ANCESTORS {
            let mut ancestors = self.record.ancestors.clone();
            ancestors.push(self.tip.clone());
            return TurnRecord {
                program,
                ancestors,
                content: [input, output].concat().into(),
            };
        }
        TurnRecord {
            program,
            ancestors: Vec::new(),
            content: [&self.prompt(input), output].concat().into(),
        }
    }

    /// Returns what a target gets for a turn that continues the conversation.
    pub fn prompt(&self, input: &[u8]) -> Bytes {
        let mut prompt = BytesMut::with_capacity(self.bytes() + input.len());
        for record in self.records() {
            prompt.extend_from_slice(&record.content);
        }
        prompt.extend_from_slice(input);
        prompt.freeze()
    }

    /// Returns the bytes of the conversation.
    pub fn bytes(&self) -> usize {
        self.records().map(|record| record.content.len()).sum()
    }

    /// Returns the records that the conversation was joined from.
    pub fn len(&self) -> usize {
        self.ancestors.len() + 1
    }

    /// Returns `false`: a conversation has at least one turn.
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
