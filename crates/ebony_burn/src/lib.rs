//! Service-level objectives, burn rates and the report on them.
//!
//! A [`BurnLedger`] counts good and bad events per caller group in fixed memory. Entries send [`BurnSnapshot`]s, which
//! can be merged in any order, and a [`BurnReport`] computes burn rates and alerts from the merged counts. The crate
//! reads no clock and does no I/O.
//!
//! ```
//! use std::time::Duration;
//! use ebony_burn::prelude::*;
//! use ebony_types::ClockTime;
//!
//! let now = ClockTime::from_millis(60_000);
//! let catalog = SloCatalog::default();
//! let mut ledger = BurnLedger::open(LabelName::parse("calabash")?, catalog.clone())?;
//! let group = LabelName::parse("workshops")?;
//! ledger.record(&group, BurnEvent::FirstToken { wait: Duration::from_millis(400) }, now);
//! ledger.record(&group, BurnEvent::CallEnded(CallEnd::Broken(BrokenPromise::LostAnswer)), now);
//! let report = BurnReport::of(&ledger.snapshot(now), &catalog);
//! let promises = report.objective("calabash", "workshops", ObjectiveKind::KeptPromises).expect("recorded above");
//! assert_eq!(promises.bad, 1);
//! assert_eq!(promises.alert, AlertLevel::Page);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

pub mod alert;
pub mod counts;
pub mod event;
pub mod label;
pub mod ledger;
pub mod objective;
pub mod page;
pub mod render;
pub mod report;
pub mod snapshot;
pub mod window;

/// Re-exports the types that most users need.
pub mod prelude {
    pub use crate::alert::{ALERT_RULES, AlertLevel, AlertRule};
    pub use crate::counts::{CounterKind, EventCounts};
    pub use crate::event::{BrokenPromise, BurnEvent, CallEnd};
    pub use crate::label::{GroupKey, LabelName};
    pub use crate::ledger::{BurnLedger, MAX_GROUPS};
    pub use crate::objective::{
        GroupObjectives, LatencyTarget, ObjectiveException, ObjectiveKind, SloCatalog,
    };
    pub use crate::render::{render_html, render_json, render_text};
    pub use crate::report::{BurnReport, GroupReport, ObjectiveReport};
    pub use crate::snapshot::{BurnSnapshot, GroupCounts};
    pub use crate::window::{BurnWindow, WindowSpan};
}

pub use prelude::*;
