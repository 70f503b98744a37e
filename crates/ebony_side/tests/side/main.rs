//! Runs the real side process beside stand-ins, with bare links that play entries.

mod answers;
mod crashes;
mod drain;
mod fixture;
mod link_end;
mod memory;
mod orders;
