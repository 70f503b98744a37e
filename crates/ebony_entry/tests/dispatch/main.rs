//! Tests of the dispatcher with fake side processes, platform services and owner.
//!
//! They guard against calls that end twice or never, wrong run verdicts, and new work for draining targets.

mod answers;
mod fakes;
mod faults;
mod members;
mod retries;
mod shared;
