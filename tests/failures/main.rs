//! Failure tests with real processes: each injects the fault that a promise is meant for.

mod at_most_once;
mod common;
mod limits;
mod ownership;
mod planned_stops;
mod platform_outage;
mod targets;
