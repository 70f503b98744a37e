//! Measures how time, memory and message sizes grow with load. The results go into docs/CAPACITY.md.
//!
//! ```text
//! cargo run --release --example capacity [-- --json]
//! ```
//!
//! Each series has one point for each size: the median of several repetitions and their spread. A least-squares line
//! through the points gives slope, intercept and largest residual. This is a measurement and not a test: no measured
//! value makes it fail. Times are CPU time of the measuring thread, so that other load on the machine has little
//! influence.

#[path = "capacity/burn.rs"]
mod burn;
#[path = "capacity/fake_platform.rs"]
mod fake_platform;
#[path = "capacity/fit.rs"]
mod fit;
#[path = "capacity/frames.rs"]
mod frames;
#[path = "capacity/ledger.rs"]
mod ledger;
#[path = "capacity/membership.rs"]
mod membership;
#[path = "capacity/owner.rs"]
mod owner;
#[path = "capacity/owner_bench.rs"]
mod owner_bench;
#[path = "capacity/policy.rs"]
mod policy;
#[path = "capacity/report.rs"]
mod report;
#[path = "capacity/sample.rs"]
mod sample;

use report::CapacityReport;

fn main() -> anyhow::Result<()> {
    let is_json = std::env::args().any(|argument| argument == "--json");
    // Memory is measured first: memory freed by other series would be reused and hide growth.
    let mut report = CapacityReport::default();
    let ledger = ledger::measure_memory(&mut report);
    owner::measure_memory(&mut report);
    drop(ledger);
    owner::measure_time(&mut report);
    ledger::measure_time(&mut report);
    policy::measure(&mut report);
    membership::measure(&mut report);
    burn::measure(&mut report)?;
    frames::measure(&mut report)?;
    if is_json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        println!("{report}");
    }
    Ok(())
}
