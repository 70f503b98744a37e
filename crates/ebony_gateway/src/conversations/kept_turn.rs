//! A turn of a kept conversation under way.

use bytes::{Bytes, BytesMut};
use ebony_conversation::{TurnChain, TurnRecord};
use ebony_types::{ProgramName, TurnName};

use crate::events::StreamEvent;

/// The largest output of a turn. Turns of today have below 32 KB; a target in trouble may send events without end.
const MAX_OUTPUT_BYTES: usize = 4 * 1024 * 1024;

/// The output of a turn is larger than any turn's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("the output has more than {MAX_OUTPUT_BYTES} bytes")]
pub(crate) struct OutputTooLarge;

/// The result of adding to a turn.
pub(crate) type Result<T, E = OutputTooLarge> = std::result::Result<T, E>;

/// A turn of a kept conversation under way.
pub(crate) struct KeptTurn {
    /// The caller's name of the attempt, by which later turns name this one.
    pub(crate) name: TurnName,
    program: Option<ProgramName>,
    /// What came before; `None` at the start of a conversation.
    chain: Option<TurnChain>,
    /// The new input.
    input: Bytes,
    /// The data of the events so far.
    output: BytesMut,
}

impl KeptTurn {
    pub(crate) fn open(
        name: TurnName,
        program: Option<ProgramName>,
        chain: Option<TurnChain>,
        input: Bytes,
    ) -> Self {
        Self {
            name,
            program,
            chain,
            input,
            output: BytesMut::new(),
        }
    }

    /// Returns what a target gets.
    pub(crate) fn prompt(&self) -> Bytes {
        match &self.chain {
            Some(chain) => chain.prompt(&self.input),
            None => self.input.clone(),
        }
    }

    /// Returns whether the turn continues one of its own program. One that continues a turn of another program begins a
    /// program with a budget of its own.
    pub(crate) fn continues_program(&self) -> bool {
        let chain = self.chain.as_ref();
        chain.is_some_and(|chain| chain.program() == self.program.as_ref())
    }

    /// Adds an event of the answer.
    ///
    /// # Errors
    ///
    /// Fails if the output is larger than any turn's.
    pub(crate) fn add_event(&mut self, event: &StreamEvent) -> Result<()> {
        event.append_data(&mut self.output);
        self.output.extend_from_slice(b"\n");
        match self.output.len() > MAX_OUTPUT_BYTES {
            true => Err(OutputTooLarge),
            false => Ok(()),
        }
    }

    /// Returns the record of the turn, once its answer was read to its end.
    pub(crate) fn to_record(&self) -> TurnRecord {
        let program = self.program.clone();
        match &self.chain {
            Some(chain) => chain.follow(program, &self.input, &self.output),
            None => TurnChain::begin(program, &self.input, &self.output),
        }
    }
}
