//! Tests of programs, budgets, intents, the journal and takeovers.

mod harness;
mod intents;
mod journal;
mod model;
mod programs;
mod takeover;
