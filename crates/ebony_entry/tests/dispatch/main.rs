//! Guards the dispatcher against calls that end twice or never, false verdicts, and work for targets that leave.

mod answers;
mod fakes;
mod faults;
mod members;
mod retries;
mod shared;
