//! The trace format: JSON Lines, where each line is an object with one member that names the kind of the line.
//!
//! ```text
//! {"header":{"version":1,"name":"burst",...}}
//! {"marker":{"at_ms":90000,"action":{"lose_domain":{"domain":"palermo-1"}}}}
//! {"program":{"id":0,"caller":"caller-1","model":"kalo-large","origin":{"arrival":{"at_ms":12}},"turns":[...]}}
//! ```
//!
//! The header comes first and states the numbers of markers and programs, so that a truncated file is detected.
//! Program ids ascend from 0, and a sub-agent follows its parent. Times are in trace time, which a replay scales by
//! [`TimeScale`].

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
