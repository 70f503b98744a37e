//! Assembles answers from link frames and passes them to their reader: a caller's connection or a link to another
//! entry.

mod assembly;
mod pipe;

pub use assembly::{AnswerAssembly, AssemblyStep};
pub use pipe::{AnswerPart, AnswerPipe, CancelCall, CreditGrant};
