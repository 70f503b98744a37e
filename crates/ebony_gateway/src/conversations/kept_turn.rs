//! A running turn of a kept conversation.

use bytes::{Bytes, BytesMut};
use ebony_conversation::{TurnChain, TurnRecord};
use ebony_types::{CustomerName, ProgramName, TurnName};

use crate::events::StreamEvent;

/// The maximum output of a turn. Usual turns have less than 32 KB, but a faulty target may send events without end.
const MAX_OUTPUT_BYTES: usize = 4 * 1024 * 1024;

/// The output of a turn exceeds [`MAX_OUTPUT_BYTES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("the output has more than {MAX_OUTPUT_BYTES} bytes")]
pub(crate) struct OutputTooLarge;

/// The result of adding to a turn.
pub(crate) type Result<T, E = OutputTooLarge> = std::result::Result<T, E>;

/// A running turn of a kept conversation.
pub(crate) struct KeptTurn {
    /// The caller's name for the call, by which later turns refer to this one.
    pub(crate) name: TurnName,
    program: Option<ProgramName>,
    /// The customer that the turn belongs to.
    customer: Option<CustomerName>,
    /// The earlier turns; `None` at the start of a conversation.
    chain: Option<TurnChain>,
    /// The new input.
    input: Bytes,
    /// The data of the events so far, one line feed after each.
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
            customer: None,
            chain,
            input,
            output: BytesMut::new(),
        }
    }

    /// Sets the customer that the turn belongs to.
    pub(crate) fn with_customer(mut self, customer: Option<&CustomerName>) -> Self {
        self.customer = customer.cloned();
        self
    }

    /// Returns the body that is sent to a target: the earlier turns and the new input.
    pub(crate) fn prompt(&self) -> Bytes {
        match &self.chain {
            Some(chain) => chain.prompt(&self.input),
            None => self.input.clone(),
        }
    }

    /// Returns whether the turn continues a turn of the same program. One that continues a turn of another program
    /// starts a new program with its own budget.
    pub(crate) fn continues_program(&self) -> bool {
        let chain = self.chain.as_ref();
        chain.is_some_and(|chain| chain.program() == self.program.as_ref())
    }

    /// Adds an event of the answer to the output.
    ///
    /// # Errors
    ///
    /// Fails if the output exceeds [`MAX_OUTPUT_BYTES`].
    pub(crate) fn add_event(&mut self, event: &StreamEvent) -> Result<()> {
        event.append_data(&mut self.output);
        self.output.extend_from_slice(b"\n");
        match self.output.len() > MAX_OUTPUT_BYTES {
            true => Err(OutputTooLarge),
            false => Ok(()),
        }
    }

    /// Returns the record of the turn. Its answer must have been read completely.
    pub(crate) fn to_record(&self) -> TurnRecord {
        let program = self.program.clone();
        let record = match &self.chain {
            Some(chain) => chain.follow(program, &self.input, &self.output),
            None => TurnChain::begin(program, &self.input, &self.output),
        };
        record.with_customer(self.customer.as_ref())
    }
}
