//! Measures program owners: time of turns, memory, journal writes and recovery.

use std::time::Duration;

use ebony_owner::{MessageList, OwnerSettings};

use crate::fake_platform::FakePlatform;
use crate::owner_bench::{OwnerBench, chat_body};
use crate::report::CapacityReport;
use crate::sample::{cpu_micros, repeat_measurement, resident_bytes, single_sample};

/// Open programs of an owner, which keeps at most 16,384.
const PROGRAM_COUNTS: [usize; 4] = [1_000, 4_000, 8_000, 16_000];

/// Turns of a program. The longest expected program has 84.
const TURN_COUNTS: [usize; 4] = [1, 21, 42, 84];

/// Programs over which memory is averaged at each number of turns.
const AVERAGED_PROGRAMS: usize = 100;

/// Load of an owner.
const CALLS_PER_SECOND: [usize; 4] = [200, 400, 800, 1_600];

/// Seconds of simulated load at each rate; the highest rate needs 16,000 programs.
const LOAD_SECONDS: usize = 10;

/// Simulated time in which all records become durable at one write per second.
const DRAIN_TIME: Duration = Duration::from_secs(30);

const STEPS_PER_SECOND: usize = 100;

/// Rows between two checkpoints in the recovery series. The default of 512 rows would need 512 seconds of simulated
/// load.
const CHECKPOINT_ROWS: u64 = 8;

/// Programs of the lost owner. 330,000 programs on 64 owners are 5,156 programs each.
const RECOVERED_PROGRAM_COUNTS: [usize; 4] = [1_000, 2_000, 4_000, 8_000];

/// Turns of each program of the lost owner.
const RECOVERY_TURNS: usize = 4;

fn settings() -> OwnerSettings {
    OwnerSettings {
        max_undurable_bytes: 256 * 1024 * 1024,
        max_undurable_turns: 32_768,
        ..OwnerSettings::default()
    }
}

fn open_bench(settings: OwnerSettings) -> OwnerBench {
    let mut bench = OwnerBench::open(1, settings, FakePlatform::default());
    bench.acquire_shards();
    bench
}

/// Measures the memory of programs.
pub(crate) fn measure_memory(report: &mut CapacityReport) {
    let mut bench = open_bench(settings());
    let (mut resident, mut reported) = (Vec::new(), Vec::new());
    let mut count = 0;
    for size in PROGRAM_COUNTS {
        // Small batches keep the buffers of the measurement small compared with the measured memory.
        while count < size {
            let next = (count + 100).min(size);
            bench.open_programs(count, next);
            bench.run_turn(count, next, 1);
            count = next;
        }
        resident.push(single_sample(size, resident_bytes()));
        reported.push(single_sample(size, bench.core.report().state_bytes as f64));
    }
    report.add(
        "owner: resident memory of open programs",
        ("program", "bytes"),
        resident,
    );
    report.add(
        "owner: reported memory of open programs",
        ("program", "bytes"),
        reported,
    );
    drop(bench);

    let mut bench = open_bench(settings());
    bench.open_programs(0, AVERAGED_PROGRAMS);
    let mut points = Vec::new();
    for turn in 1..=TURN_COUNTS[TURN_COUNTS.len() - 1] {
        bench.run_turn(0, AVERAGED_PROGRAMS, turn);
        if TURN_COUNTS.contains(&turn) {
            let bytes = bench.core.report().state_bytes as f64;
            points.push(single_sample(turn, bytes / AVERAGED_PROGRAMS as f64));
        }
    }
    report.add("owner: reported memory of one program", ("turn", "bytes"), points);
}

/// Measures time, journal and recovery.
pub(crate) fn measure_time(report: &mut CapacityReport) {
    measure_turns(report);
    measure_bodies(report);
    measure_journal(report);
    measure_recovery(report);
}

fn measure_turns(report: &mut CapacityReport) {
    let (mut turns, mut vouches) = (Vec::new(), Vec::new());
    for size in PROGRAM_COUNTS {
        let mut bench = open_bench(settings());
        bench.open_programs(0, size);
        turns.push(repeat_measurement(size, || {
            let arrivals: Vec<_> = (0..size).map(|number| bench.call_arrival(number, 1)).collect();
            cpu_micros(|| assert_eq!(bench.run_calls(arrivals), size))
        }));
        vouches.push(repeat_measurement(size, || {
            cpu_micros(|| bench.core.vouched_programs())
        }));
    }
    report.add("owner: a turn from arrival to durable end", ("turn", "µs"), turns);
    report.add(
        "owner: listing open programs to vouch for",
        ("program", "µs"),
        vouches,
    );
}

fn measure_bodies(report: &mut CapacityReport) {
    let points = TURN_COUNTS.map(|turn| {
        let body = bytes::Bytes::from(chat_body(turn));
        repeat_measurement(body.len(), || cpu_micros(|| MessageList::parse(&body).is_ok()))
    });
    report.add(
        "owner: reading the messages of a body",
        ("byte", "µs"),
        points.to_vec(),
    );
}

fn measure_journal(report: &mut CapacityReport) {
    let (mut rows, mut bytes, mut bodies) = (Vec::new(), Vec::new(), Vec::new());
    for rate in CALLS_PER_SECOND {
        // One write per second: the share of each of 300 writers in 300 writes per second.
        let mut bench = open_bench(OwnerSettings {
            writes_per_second: 1,
            ..settings()
        });
        bench.open_programs(0, rate * LOAD_SECONDS);
        bench.advance(DRAIN_TIME);
        let (first_rows, first_bytes) = (bench.platform.row_count, bench.platform.row_bytes);
        let first_bodies = bench.platform.body_bytes;
        run_load(&mut bench, rate);
        let seconds = LOAD_SECONDS as f64;
        let per_second = |last: u64, first: u64| single_sample(rate, (last - first) as f64 / seconds);
        rows.push(per_second(bench.platform.row_count, first_rows));
        bench.advance(DRAIN_TIME);
        bytes.push(per_second(bench.platform.row_bytes, first_bytes));
        bodies.push(per_second(bench.platform.body_bytes, first_bodies));
    }
    report.add(
        "owner: journal rows at one write a second",
        ("call/s", "rows/s"),
        rows,
    );
    report.add("owner: bytes of journal rows", ("call/s", "bytes/s"), bytes);
    report.add("owner: bytes of stored bodies", ("call/s", "bytes/s"), bodies);
}

/// Runs one call of each program at an even rate.
fn run_load(bench: &mut OwnerBench, rate: usize) {
    let per_step = rate / STEPS_PER_SECOND;
    let mut next = 0;
    for _ in 0..LOAD_SECONDS * STEPS_PER_SECOND {
        let mut calls = Vec::new();
        for _ in 0..per_step {
            let event = bench.call_arrival(next, 1);
            calls.extend(bench.handle_event(event));
            next += 1;
        }
        calls.extend(bench.advance(Duration::from_secs(1) / STEPS_PER_SECOND as u32));
        bench.finish_calls(calls);
    }
}

fn measure_recovery(report: &mut CapacityReport) {
    let (mut times, mut requests, mut checkpoints) = (Vec::new(), Vec::new(), Vec::new());
    for size in RECOVERED_PROGRAM_COUNTS {
        let settings = OwnerSettings {
            checkpoint_rows: CHECKPOINT_ROWS,
            ..settings()
        };
        let mut bench = open_bench(settings.clone());
        bench.open_programs(0, size);
        for _ in 0..RECOVERY_TURNS {
            bench.run_turn(0, size, 1);
        }
        let lost_platform = bench.platform;
        let mut request_count = 0;
        times.push(repeat_measurement(size, || {
            let mut successor = OwnerBench::open(2, settings.clone(), lost_platform.clone());
            let time = cpu_micros(|| successor.acquire_shards());
            let owner_report = successor.core.report();
            assert_eq!(owner_report.programs_open, size, "every program is found");
            assert_eq!(owner_report.shards_serving, usize::from(settings.shard_count));
            request_count = successor.platform.takeover_requests - lost_platform.takeover_requests;
            time
        }));
        requests.push(single_sample(size, request_count as f64));
        checkpoints.push(single_sample(size, lost_platform.checkpoint_bytes as f64));
    }
    report.add(
        "owner: taking over all shards of a lost owner",
        ("program", "µs"),
        times,
    );
    report.add(
        "owner: platform requests of this takeover",
        ("program", "requests"),
        requests,
    );
    report.add("owner: size of a checkpoint", ("program", "bytes"), checkpoints);
}
