//! A turn of a kept conversation under way.

use bytes::{Bytes, BytesMut};
use ebony_conversation::{TurnChain, TurnRecord};
use ebony_types::{ProgramName, TurnName};

use crate::events::StreamEvent;

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
    pub(crate) fn add_event(&mut self, event: &StreamEvent) {
        event.append_data(&mut self.output);
        self.output.extend_from_slice(b"\n");
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
