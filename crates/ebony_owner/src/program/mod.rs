//! Programs: their durable state, the table of the programs in memory, their call queues, and their history.
//!
//! The calls of a program run one at a time in the order of their arrival.

pub mod history;
pub mod image;
pub mod queue;
pub mod table;
pub mod turn_body;

pub use history::{HistoryDelta, HistoryError, HistoryMark, MessageList, ProgramHistory, Result};
pub use image::{ProgramImage, ProgramState};
pub use queue::CallQueue;
pub use table::{ProgramEntry, ProgramKey, ProgramTable};
pub use turn_body::{HistoryPlan, TurnBody, assemble_history};
