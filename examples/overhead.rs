//! Measures the latency that entry and side process add to a call, and the resources that they use while idle.
//!
//! ```text
//! cargo run --release --example overhead [-- --json]
//! ```
//!
//! This is a measurement and not a test: no measured value makes it fail. All processes, stand-ins and callers share
//! the machine; the stand-ins and the callers are threads of this process.

use std::process::ExitCode;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use ebony_fleet::{CALLER_KEY, FleetBytes, FleetOptions, RunningFleet};
use ebony_replay::{LoadOptions, LoadReport, run_load};
use ebony_standins::engine::EngineSettings;
use serde::Serialize;

/// Concurrent callers, each with one call in flight.
const CALLERS: usize = 64;

/// Measured calls of each caller at the highest rate. All calls of a run stay below 16,384, since an entry keeps at
/// most that many programs for ten minutes after their end and refuses further ones.
const UNPACED_CALLS: usize = 120;

/// Measured calls of each caller at a set rate.
const PACED_CALLS: usize = 60;

/// The delay from the end of a call to the next call at a set rate: 64 callers make about 500 calls per second.
const CALL_DELAY: Duration = Duration::from_millis(128);

/// Unmeasured calls of each caller before the measured ones.
const WARM_UP_CALLS: usize = 30;

const ANSWER_TOKENS: u32 = 8;

/// The duration of the measurement of idle processes.
const IDLE_DURATION: Duration = Duration::from_secs(10);

/// The delay before that measurement, in which processes that have just started settle.
const SETTLE_DELAY: Duration = Duration::from_secs(3);

/// Clock ticks per second in `/proc/<pid>/stat`, which Linux fixes for user space.
const TICKS_PER_SECOND: f64 = 100.0;

/// The targets of the design.
const TARGET_P50_MS: f64 = 1.0;
const TARGET_P99_MS: f64 = 3.0;
const TARGET_MEMORY_MB: f64 = 32.0;
const TARGET_CPU_PERCENT: f64 = 1.4;
const TARGET_CONTROL_KB: f64 = 23.0;

const MODEL: &str = "kalo";

/// Latency of direct calls and of calls through entry and side process.
#[derive(Clone, Debug, Serialize)]
struct LatencyFigures {
    load: &'static str,
    direct: LoadReport,
    through: LoadReport,
    added_p50_ms: f64,
    added_p99_ms: f64,
}

/// Resource usage of an idle process.
#[derive(Clone, Debug, Serialize)]
struct IdleFigures {
    process: &'static str,
    memory_mb: f64,
    cpu_percent: f64,
    control_kb_per_second: f64,
}

#[derive(Clone, Debug, Serialize)]
struct OverheadFigures {
    latency: Vec<LatencyFigures>,
    after_load: Vec<IdleFigures>,
    idle: Vec<IdleFigures>,
}

fn main() -> ExitCode {
    if let Some(code) = ebonyswitch::run_as_daemon() {
        return code;
    }
    match actix_web::rt::System::new().block_on(measure()) {
        Ok(figures) => {
            print_figures(&figures);
            ExitCode::SUCCESS
        }
        Err(failure) => {
            eprintln!("overhead: {failure:#}");
            ExitCode::FAILURE
        }
    }
}

async fn measure() -> Result<OverheadFigures> {
    let mut options = FleetOptions::small(std::env::current_exe()?);
    options.entries = 1;
    options.engines = 1;
    options.services = 0;
    options.domains = 1;
    options.log_level = "info";
    options.engine = EngineSettings {
        slots: CALLERS as u32 * 2,
        ..EngineSettings::default()
    };
    let mut fleet = RunningFleet::start(options.clone()).await?;
    let mut latency = Vec::new();
    for (load, calls, pause) in [
        ("64 callers at about 500 calls/s", PACED_CALLS, CALL_DELAY),
        ("64 callers at the highest rate", UNPACED_CALLS, Duration::ZERO),
    ] {
        eprintln!("measuring {load}");
        latency.push(measure_latency(&fleet, load, calls, pause).await?);
    }
    let after_load = measure_idle(&mut fleet).await?;
    drop(fleet);

    // Relays that count bytes would slow the calls down, so idle traffic is counted in a separate fleet.
    options.counts_bytes = true;
    let mut fleet = RunningFleet::start(options).await?;
    let idle = measure_idle(&mut fleet).await?;
    Ok(OverheadFigures {
        latency,
        after_load,
        idle,
    })
}

async fn measure_latency(
    fleet: &RunningFleet,
    load: &'static str,
    calls: usize,
    pause: Duration,
) -> Result<LatencyFigures> {
    let entry = fleet.entry_urls()?.pop().context("no entry")?;
    let engine = format!("http://{}", fleet.direct_address("engine-0")?);
    let options = |url: String| LoadOptions {
        url,
        key: CALLER_KEY.to_owned(),
        model: MODEL.to_owned(),
        callers: CALLERS,
        calls,
        warm_up: WARM_UP_CALLS,
        pause,
        answer_tokens: ANSWER_TOKENS,
        is_streamed: true,
        timeout: Duration::from_secs(10),
    };
    let direct = run_load(options(engine)).await?;
    let through = run_load(options(entry)).await?;
    Ok(LatencyFigures {
        load,
        added_p50_ms: added_ms(direct.p50_us, through.p50_us),
        added_p99_ms: added_ms(direct.p99_us, through.p99_us),
        direct,
        through,
    })
}

/// Returns the difference between two quantiles, which is not the quantile of the differences.
fn added_ms(direct_us: u64, through_us: u64) -> f64 {
    (through_us as f64 - direct_us as f64) / 1_000.0
}

/// Resident memory and cumulative CPU time of a process.
struct ProcessUsage {
    memory_kb: f64,
    cpu_ticks: f64,
}

impl ProcessUsage {
    fn read(process: u32) -> Result<Self> {
        let status = std::fs::read_to_string(format!("/proc/{process}/status"))?;
        let memory = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let memory = memory.and_then(|line| line.split_whitespace().next());
        let stat = std::fs::read_to_string(format!("/proc/{process}/stat"))?;
        // The program name is in parentheses and may contain spaces. Fields 14 and 15 are user and system time.
        let fields = stat.rsplit(')').next().unwrap_or_default();
        let times = fields.split_whitespace().skip(11).take(2);
        Ok(Self {
            memory_kb: memory.context("no memory figure")?.parse()?,
            cpu_ticks: times.filter_map(|field| field.parse::<f64>().ok()).sum(),
        })
    }
}

/// Measures both processes without calls. The control bytes of the only entry are those to the platform and on links;
/// those of a side process are the bytes on links and to its target.
async fn measure_idle(fleet: &mut RunningFleet) -> Result<Vec<IdleFigures>> {
    tokio::time::sleep(SETTLE_DELAY).await;
    let processes = [fleet.entry(0).id(), fleet.side(0).id()];
    let before = [
        ProcessUsage::read(processes[0])?,
        ProcessUsage::read(processes[1])?,
    ];
    let bytes_before = fleet.bytes();
    let start = Instant::now();
    tokio::time::sleep(IDLE_DURATION).await;
    let elapsed = start.elapsed().as_secs_f64();
    let bytes_after: FleetBytes = fleet.bytes();
    let links = bytes_after.links - bytes_before.links;
    let control = [
        links + bytes_after.platform - bytes_before.platform,
        links + bytes_after.targets - bytes_before.targets,
    ];
    let mut figures = Vec::new();
    for (index, process) in ["entry", "side"].into_iter().enumerate() {
        let usage = ProcessUsage::read(processes[index])?;
        let cpu_seconds = (usage.cpu_ticks - before[index].cpu_ticks) / TICKS_PER_SECOND;
        figures.push(IdleFigures {
            process,
            memory_mb: usage.memory_kb / 1_024.0,
            cpu_percent: cpu_seconds * 100.0 / elapsed,
            control_kb_per_second: control[index] as f64 / 1_024.0 / elapsed,
        });
    }
    Ok(figures)
}

fn print_figures(figures: &OverheadFigures) {
    if std::env::args().any(|argument| argument == "--json") {
        println!("{}", serde_json::to_string_pretty(figures).unwrap_or_default());
        return;
    }
    for latency in &figures.latency {
        println!("{}, streamed answers of {ANSWER_TOKENS} tokens", latency.load);
        println!("             p50 ms    p99 ms    max ms   calls/s    failed  first token p50 ms    p99 ms");
        print_load("direct", &latency.direct);
        print_load("through", &latency.through);
        println!(
            "  added   {:>9.3} {:>9.3}   target: {TARGET_P50_MS} at p50, {TARGET_P99_MS} at p99: {}",
            latency.added_p50_ms,
            latency.added_p99_ms,
            verdict(latency.added_p50_ms <= TARGET_P50_MS && latency.added_p99_ms <= TARGET_P99_MS),
        );
        println!();
    }
    print_idle("Idle after the load; bytes are not counted", &figures.after_load);
    print_idle("Idle since the start; bytes counted by relays", &figures.idle);
}

fn print_load(name: &str, load: &LoadReport) {
    println!(
        "  {name:<8}{:>9.3} {:>9.3} {:>9.3} {:>9.0} {:>9} {:>19.3} {:>9.3}",
        load.p50_us as f64 / 1_000.0,
        load.p99_us as f64 / 1_000.0,
        load.max_us as f64 / 1_000.0,
        load.calls_per_second,
        load.failed,
        load.first_p50_us as f64 / 1_000.0,
        load.first_p99_us as f64 / 1_000.0,
    );
    for (failure, count) in &load.failures {
        println!("          {count} calls failed: {failure}");
    }
}

fn print_idle(title: &str, figures: &[IdleFigures]) {
    println!("{title}");
    println!("         memory MB   CPU %  control KB/s");
    for idle in figures {
        let meets_target = idle.memory_mb <= TARGET_MEMORY_MB
            && idle.cpu_percent <= TARGET_CPU_PERCENT
            && idle.control_kb_per_second <= TARGET_CONTROL_KB;
        println!(
            "  {:<7}{:>9.1} {:>7.2} {:>13.2}   target: {TARGET_MEMORY_MB}, {TARGET_CPU_PERCENT}, {TARGET_CONTROL_KB}: {}",
            idle.process,
            idle.memory_mb,
            idle.cpu_percent,
            idle.control_kb_per_second,
            verdict(meets_target),
        );
    }
    println!();
}

fn verdict(meets_target: bool) -> &'static str {
    if meets_target { "kept" } else { "MISSED" }
}
