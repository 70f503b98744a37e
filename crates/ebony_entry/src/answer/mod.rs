//! Answers on their way from a link to whoever reads them: a caller's connection or a link to another entry.

mod assembly;
mod pipe;

pub use assembly::{AnswerAssembly, AssemblyStep};
pub use pipe::{AnswerPart, AnswerPipe, CancelCall, CreditGrant};
