//! Time, memory, journal and recovery of the owner of programs.

use std::time::Duration;

use ebony_owner::{MessageList, OwnerSettings};

use crate::fake_platform::FakePlatform;
use crate::owner_bench::{OwnerBench, chat_body};
use crate::report::CapacityReport;
use crate::sample::{cpu_micros, once, repeat, resident_bytes};

/// Programs of one owner. An owner keeps at most 16,384.
const PROGRAMS: [usize; 4] = [1_000, 4_000, 8_000, 16_000];

/// Turns of one program. The longest expected one has 84.
const TURNS: [usize; 4] = [1, 21, 42, 84];

/// Programs whose memory is read at each number of turns.
const TURN_PROGRAMS: usize = 100;

/// Calls per second of one owner.
const RATES: [usize; 4] = [200, 400, 800, 1_600];

/// Seconds of simulated load at each rate; the highest rate needs 16,000 programs.
const LOAD_SECONDS: usize = 10;

/// A pause in which all records become durable at one write a second.
const DRAIN_TIME: Duration = Duration::from_secs(30);

/// Steps of simulated time in a second.
const STEPS: usize = 100;

/// Rows between two checkpoints where recovery is measured; 512 would need as many seconds of simulated load.
const CHECKPOINT_ROWS: u64 = 8;

/// Programs of the lost owner. With 64 owners, 330,000 programs are 5,156 for each.
const RECOVERED: [usize; 4] = [1_000, 2_000, 4_000, 8_000];

/// Turns of each of them.
const RECOVERY_TURNS: usize = 4;

fn settings() -> OwnerSettings {
    OwnerSettings {
        max_undurable_bytes: 256 * 1024 * 1024,
        max_undurable_turns: 32_768,
        ..OwnerSettings::default()
    }
}

fn open(settings: OwnerSettings) -> OwnerBench {
    let mut bench = OwnerBench::open(1, settings, FakePlatform::default());
    bench.serve();
    bench
}

/// Measures the memory of programs.
pub(crate) fn measure_memory(report: &mut CapacityReport) {
    let mut bench = open(settings());
    let (mut resident, mut stated) = (Vec::new(), Vec::new());
    let mut count = 0;
    for size in PROGRAMS {
        // Small steps keep buffers of the measurement below the memory that is measured.
        while count < size {
            let next = (count + 100).min(size);
            bench.open_programs(count, next);
            bench.run_turn(count, next, 1);
            count = next;
        }
        resident.push(once(size, resident_bytes()));
        stated.push(once(size, bench.core.report().state_bytes as f64));
    }
    report.add(
        "owner: resident memory of open programs",
        ("program", "bytes"),
        resident,
    );
    report.add(
        "owner: reported memory of open programs",
        ("program", "bytes"),
        stated,
    );
    drop(bench);

    let mut bench = open(settings());
    bench.open_programs(0, TURN_PROGRAMS);
    let mut points = Vec::new();
    for turn in 1..=TURNS[TURNS.len() - 1] {
        bench.run_turn(0, TURN_PROGRAMS, turn);
        if TURNS.contains(&turn) {
            let bytes = bench.core.report().state_bytes as f64;
            points.push(once(turn, bytes / TURN_PROGRAMS as f64));
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
    for size in PROGRAMS {
        let mut bench = open(settings());
        bench.open_programs(0, size);
        turns.push(repeat(size, || {
            let arrivals: Vec<_> = (0..size).map(|number| bench.arrival(number, 1)).collect();
            cpu_micros(|| assert_eq!(bench.run(arrivals), size))
        }));
        vouches.push(repeat(size, || cpu_micros(|| bench.core.vouched_programs())));
    }
    report.add("owner: a turn from arrival to durable end", ("turn", "µs"), turns);
    report.add(
        "owner: listing open programs to vouch for",
        ("program", "µs"),
        vouches,
    );
}

fn measure_bodies(report: &mut CapacityReport) {
    let points = TURNS.map(|turn| {
        let body = bytes::Bytes::from(chat_body(turn));
        repeat(body.len(), || cpu_micros(|| MessageList::parse(&body).is_ok()))
    });
    report.add(
        "owner: reading the messages of a body",
        ("byte", "µs"),
        points.to_vec(),
    );
}

fn measure_journal(report: &mut CapacityReport) {
    let (mut rows, mut bytes, mut bodies) = (Vec::new(), Vec::new(), Vec::new());
    for rate in RATES {
        // One write a second, as each of 300 writers has of 300 writes.
        let mut bench = open(OwnerSettings {
            writes_per_second: 1,
            ..settings()
        });
        bench.open_programs(0, rate * LOAD_SECONDS);
        bench.pass(DRAIN_TIME);
        let (first_rows, first_bytes) = (bench.platform.row_count, bench.platform.row_bytes);
        let first_bodies = bench.platform.body_bytes;
        run_load(&mut bench, rate);
        let seconds = LOAD_SECONDS as f64;
        let per_second = |last: u64, first: u64| once(rate, (last - first) as f64 / seconds);
        rows.push(per_second(bench.platform.row_count, first_rows));
        bench.pass(DRAIN_TIME);
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
    let per_step = rate / STEPS;
    let mut next = 0;
    for _ in 0..LOAD_SECONDS * STEPS {
        let mut calls = Vec::new();
        for _ in 0..per_step {
            let event = bench.arrival(next, 1);
            calls.extend(bench.send(event));
            next += 1;
        }
        calls.extend(bench.pass(Duration::from_secs(1) / STEPS as u32));
        bench.finish(calls);
    }
}

fn measure_recovery(report: &mut CapacityReport) {
    let (mut times, mut requests, mut checkpoints) = (Vec::new(), Vec::new(), Vec::new());
    for size in RECOVERED {
        let settings = OwnerSettings {
            checkpoint_rows: CHECKPOINT_ROWS,
            ..settings()
        };
        let mut bench = open(settings.clone());
        bench.open_programs(0, size);
        for _ in 0..RECOVERY_TURNS {
            bench.run_turn(0, size, 1);
        }
        let lost = bench.platform;
        let mut used = 0;
        times.push(repeat(size, || {
            let mut successor = OwnerBench::open(2, settings.clone(), lost.clone());
            let time = cpu_micros(|| successor.serve());
            let found = successor.core.report();
            assert_eq!(found.programs_open, size, "every program is found");
            assert_eq!(found.shards_serving, usize::from(settings.shard_count));
            used = successor.platform.takeover_requests - lost.takeover_requests;
            time
        }));
        requests.push(once(size, used as f64));
        checkpoints.push(once(size, lost.checkpoint_bytes as f64));
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
