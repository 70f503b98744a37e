//! Measures the burn ledger, which counts events for the burn report: time to record events and to take a snapshot, and
//! size of the snapshot.

use std::time::Duration;

use ebony_burn::{BurnEvent, BurnLedger, CallEnd, LabelName, MAX_GROUPS, SloCatalog};
use ebony_types::ClockTime;

use crate::report::CapacityReport;
use crate::sample::{cpu_micros, repeat_measurement, single_sample};

/// Recorded events of each point.
const EVENT_COUNTS: [usize; 4] = [10_000, 20_000, 40_000, 80_000];

/// Caller groups in a ledger.
const GROUP_COUNTS: [usize; 4] = [1, 16, 32, MAX_GROUPS];

fn open_ledger(groups: usize) -> anyhow::Result<(BurnLedger, Vec<LabelName>)> {
    let mut ledger = BurnLedger::open(LabelName::parse("calabash")?, SloCatalog::default())?;
    let mut names = Vec::new();
    for number in 0..groups {
        let name = LabelName::parse(&format!("group-{number:02}"))?;
        ledger.record(
            &name,
            BurnEvent::CallEnded(CallEnd::Answered),
            ClockTime::from_millis(1),
        );
        names.push(name);
    }
    Ok((ledger, names))
}

pub(crate) fn measure(report: &mut CapacityReport) -> anyhow::Result<()> {
    let mut times = Vec::new();
    for size in EVENT_COUNTS {
        let (mut ledger, names) = open_ledger(MAX_GROUPS)?;
        let event = BurnEvent::TokensArrived {
            interval: Duration::from_millis(30),
            tokens: 1,
        };
        times.push(repeat_measurement(size, || {
            cpu_micros(|| {
                for number in 0..size {
                    let now = ClockTime::from_millis(number as u64);
                    ledger.record(&names[number % names.len()], event, now);
                }
            })
        }));
    }
    report.add("burn: counting events", ("event", "µs"), times);
    let (mut times, mut sizes) = (Vec::new(), Vec::new());
    for size in GROUP_COUNTS {
        let (ledger, _) = open_ledger(size)?;
        let now = ClockTime::from_millis(2);
        times.push(repeat_measurement(size, || cpu_micros(|| ledger.snapshot(now))));
        let bytes = serde_json::to_vec(&ledger.snapshot(now))?.len();
        sizes.push(single_sample(size, bytes as f64));
    }
    report.add("burn: a snapshot", ("group", "µs"), times);
    report.add("burn: a snapshot as JSON", ("group", "bytes"), sizes);
    Ok(())
}
