//! Messages to the dispatcher.

use actix::Message;
use ebony_types::{ProblemReport, TargetName};
use serde::Serialize;

/// A target as the dispatcher sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct TargetView {
    /// The target.
    pub target: String,
    /// The side process beside it; empty while it is not known.
    pub process: String,
    /// Its failure domain.
    pub domain: String,
    /// `live`, `draining`, `unreachable` or `gone`.
    pub state: String,
    /// The models that it has loaded, or its service.
    pub serves: Vec<String>,
    /// Calls that run.
    pub running: u32,
    /// Calls that wait.
    pub queued: u32,
}

/// Asks for all targets that the dispatcher knows, by name.
#[derive(Clone, Copy, Debug)]
#[derive(Message)]
#[rtype(result = "Vec<TargetView>")]
pub struct ReadTargets;

/// Gives a target no further work from this entry. Calls that it has end in the ordinary way.
#[derive(Clone, Debug)]
#[derive(Message)]
#[rtype(result = "Result<TargetView, ProblemReport>")]
pub struct DrainTarget {
    /// The target.
    pub target: TargetName,
}
