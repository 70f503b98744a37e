//! The trace format: JSON lines, each an object with one member that names the kind of the line.
//!
//! ```text
//! {"header":{"version":1,"name":"burst",...}}
//! {"marker":{"at_ms":90000,"action":{"lose_domain":{"domain":"palermo-1"}}}}
//! {"program":{"id":0,"caller":"caller-1","model":"kalo-large","origin":{"arrival":{"at_ms":12}},"turns":[...]}}
//! ```
//!
//! The header comes first and states the number of the other lines, so that a cut file is noticed. Programs have
//! ascending numbers from 0, and a sub-agent follows its parent. Times are those of the trace; a replay runs
//! [`TimeScale`] times as long.

mod check;
mod document;
mod error;
mod header;
pub mod limits;
mod outcome;
mod program;
mod reader;
mod writer;

pub use document::TraceDocument;
pub use error::{Result, TraceError, TraceFault};
pub use header::{EngineProfile, FORMAT_VERSION, ModelShare, TimeScale, TraceHeader};
pub use outcome::{BoundLimit, OutcomeBound, OutcomeMeasure};
pub use program::{
    MarkerAction, ProgramOrigin, ProgramTurn, ToolCall, ToolMethod, TraceMarker, TraceProgram,
};
pub use reader::read_trace;
pub use writer::write_trace;
