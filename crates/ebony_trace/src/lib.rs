//! Trace format, trace generator, replay plan and replay report.
//!
//! A trace is a JSON Lines file of programs with their turns, tool calls and sub-agents, and of the outcomes that a
//! replay should reach. The crate has no clock and no sockets: a driver asks a [`ReplayPlan`] which step to send next,
//! reports the result of each call, and records it in a [`ReplaySummary`]. The resulting [`ReplayReport`] is rendered
//! as text, JSON or a single HTML page.
//!
//! ```
//! use std::sync::Arc;
//! use ebony_trace::prelude::*;
//! use ebony_types::ClockTime;
//!
//! let document = TraceGenerator::open(DeploymentKind::Fanghi).generate(TraceScenario::Burst)?;
//! let mut bytes = Vec::new();
//! write_trace(&document, &mut bytes)?;
//! assert_eq!(read_trace(bytes.as_slice())?, document);
//!
//! let plan = ReplayPlan::open(Arc::new(document), ClockTime::default());
//! assert!(plan.next_due().is_some());
//! # Ok::<(), TraceError>(())
//! ```

pub mod format;
pub mod generate;
pub mod plan;
pub mod render;
pub mod summary;
pub mod timeline;

/// Re-exports the types that most users need.
pub mod prelude {
    pub use crate::format::{
        BoundLimit, EngineProfile, MarkerAction, ModelShare, OutcomeBound, OutcomeMeasure, ProgramOrigin,
        ProgramTurn, TimeScale, ToolCall, ToolMethod, TraceDocument, TraceError, TraceFault, TraceHeader,
        TraceMarker, TraceProgram, read_trace, write_trace,
    };
    pub use crate::generate::{DeploymentKind, TraceGenerator, TraceScenario};
    pub use crate::plan::{
        DueStep, ModelStep, PlanError, ProgramEnd, ProgramOutcome, ReplayPlan, StepCompletion, StepEnd,
        StepKey, StepKind, ToolStep,
    };
    pub use crate::render::{render_html, render_json, render_text};
    pub use crate::summary::{
        CacheOutcome, CallOutcome, OutcomeVerdict, ReplayReport, ReplaySummary, SummaryError,
    };
    pub use crate::timeline::{TraceLoad, TraceTimeline};
}

pub use prelude::*;
