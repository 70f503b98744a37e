//! Runs the real side process with stand-in targets. The tests open links directly and act as entries.

mod answers;
mod crashes;
mod drain;
mod fixture;
mod link_end;
mod memory;
mod orders;
