//! Failure tests with real processes. Each injects a fault and checks the guarantee that covers it.

mod at_most_once;
mod common;
mod limits;
mod ownership;
mod planned_stops;
mod platform_outage;
mod targets;
