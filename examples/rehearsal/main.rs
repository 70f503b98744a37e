//! Runs a deployment under load with a seeded schedule of faults, and audits its guarantees.
//!
//! ```text
//! cargo run --release --example rehearsal -- --seed 1 [--seconds 60] [--seeds 1..9] [--json] [--keep DIR]
//! ```
//!
//! The schedule depends on the seed alone. On a violation, the example exits with 1 and keeps the folder with the
//! settings and logs of all processes.

mod auditor;
mod injector;
mod load;
mod operators;
mod schedule;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use clap::Parser;
use ebony_fleet::{AuditReport, CallerOutcome, FleetOptions, ProgramLog, RunningFleet};
use serde_json::{Value, json};

use crate::injector::FaultInjector;
use crate::operators::SharedLog;
use crate::schedule::{DOMAIN_COUNT, ENGINE_COUNT, ENTRY_COUNT, SERVICE_COUNT, plan_faults};

/// Decode time per token, long enough for faults to occur while calls are in flight.
const DECODE_US_PER_TOKEN: u64 = 3_000;

/// The file in the kept folder with the report and the results that callers received.
const REPORT_FILE: &str = "report.txt";

#[derive(Debug, Parser)]
struct Arguments {
    /// The seed of the schedule and the load.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Several seeds, one after the other: the first, and the one behind the last.
    #[arg(long, value_name = "A..B", value_parser = parse_seeds)]
    seeds: Option<(u64, u64)>,
    /// Seconds of load and faults.
    #[arg(long, default_value_t = 60)]
    seconds: u64,
    /// Prints one line of JSON for each seed.
    #[arg(long)]
    json: bool,
    /// Prints the planned faults of the seeds and runs nothing.
    #[arg(long)]
    plan: bool,
    /// Where the folders of failed runs are kept.
    #[arg(long, default_value = "target/rehearsal")]
    keep: PathBuf,
}

fn parse_seeds(text: &str) -> Result<(u64, u64)> {
    let (first, end) = text.split_once("..").context("seeds are stated as A..B")?;
    Ok((first.parse()?, end.parse()?))
}

/// The results of a run.
struct RunOutcome {
    report: AuditReport,
    injector: FaultInjector,
    logs: Vec<ProgramLog>,
}

fn main() -> ExitCode {
    if let Some(code) = ebonyswitch::run_as_daemon() {
        return code;
    }
    let arguments = Arguments::parse();
    match actix_web::rt::System::new().block_on(run_seeds(&arguments)) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(failure) => {
            eprintln!("rehearsal: {failure:#}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the seeds and returns the number of violations.
async fn run_seeds(arguments: &Arguments) -> Result<u64> {
    let (first, end) = arguments.seeds.unwrap_or((arguments.seed, arguments.seed + 1));
    let mut violations = 0;
    let length = Duration::from_secs(arguments.seconds);
    for seed in first..end {
        if arguments.plan {
            print_plan(seed, length);
            continue;
        }
        let folder = arguments.keep.join(format!("seed-{seed}"));
        if folder.exists() {
            std::fs::remove_dir_all(&folder)?;
        }
        let outcome = run_seed(seed, length, &folder).await;
        let outcome = outcome.with_context(|| format!("seed {seed}; its folder is {}", folder.display()))?;
        violations += outcome.report.violations();
        print_outcome(arguments, seed, &outcome);
        if outcome.report.violations() == 0 {
            std::fs::remove_dir_all(&folder)?;
        } else {
            write_details(&folder, &outcome)?;
        }
    }
    Ok(violations)
}

fn print_plan(seed: u64, length: Duration) {
    println!("seed {seed}");
    for fault in plan_faults(seed, length) {
        let (start, end) = (fault.start.as_secs_f64(), fault.end.as_secs_f64());
        println!("{start:8.3} to {end:8.3}  {:?}", fault.kind);
    }
}

async fn run_seed(seed: u64, length: Duration, folder: &Path) -> Result<RunOutcome> {
    let mut options = FleetOptions::small(std::env::current_exe()?);
    options.entries = ENTRY_COUNT;
    options.engines = ENGINE_COUNT;
    options.services = SERVICE_COUNT;
    options.domains = DOMAIN_COUNT;
    options.has_proxies = true;
    options.folder = Some(folder.to_owned());
    options.engine.decode_us_per_token = DECODE_US_PER_TOKEN;
    let mut fleet = RunningFleet::start(options).await?;
    let config = SharedLog::default();
    let sampler = actix_web::rt::spawn(operators::sample_versions(config.clone()));
    let load = actix_web::rt::spawn(load::run_load(fleet.directory(), seed, length));
    let mut injector = FaultInjector::new(plan_faults(seed, length), config.clone());
    injector.run(&mut fleet, length).await?;
    let logs = load.await.context("the load panicked")?;
    let report = auditor::audit(&fleet, &logs, &injector, &config).await;
    sampler.abort();
    Ok(RunOutcome {
        report: report?,
        injector,
        logs,
    })
}

fn fault_lines(injector: &FaultInjector) -> Vec<String> {
    let since = |time: Instant| time.duration_since(injector.started).as_secs_f64();
    let faults = injector.faults.iter().map(|fault| {
        let end = fault.ended.map_or(f64::NAN, since);
        format!("{:8.3} to {end:8.3}  {:?}", since(fault.began), fault.kind)
    });
    let stops = injector.stops.iter().map(|stop| {
        let end = stop.ended.map_or(f64::NAN, since);
        format!(
            "{:8.3} to {end:8.3}  planned stop of {:?}",
            since(stop.began),
            stop.place
        )
    });
    let skipped = injector.skipped.iter();
    let skipped =
        skipped.map(|fault| format!("{:8.3} skipped      {:?}", fault.start.as_secs_f64(), fault.kind));
    let mut lines: Vec<String> = faults.chain(stops).chain(skipped).collect();
    lines.sort();
    lines
}

fn report_json(seed: u64, outcome: &RunOutcome) -> Value {
    let counts = outcome.report.counts().iter().map(|(name, count)| {
        let value = json!({
            "checks": count.checks, "violations": count.violations, "examples": count.examples,
        });
        ((*name).to_owned(), value)
    });
    let invariants: serde_json::Map<String, Value> = counts.collect();
    json!({"seed": seed, "invariants": invariants, "faults": fault_lines(&outcome.injector)})
}

fn print_outcome(arguments: &Arguments, seed: u64, outcome: &RunOutcome) {
    if arguments.json {
        println!("{}", report_json(seed, outcome));
        return;
    }
    println!("seed {seed}: {} programs", outcome.logs.len());
    for line in fault_lines(&outcome.injector) {
        println!("{line}");
    }
    println!("{}", outcome_line(&outcome.logs));
    println!("{}", outcome.report);
}

/// Returns how often callers received each result.
fn outcome_line(logs: &[ProgramLog]) -> String {
    let mut counts = std::collections::BTreeMap::new();
    let turns = logs
        .iter()
        .flat_map(|log| log.turns.iter().map(|turn| &turn.news));
    let orders = logs
        .iter()
        .flat_map(|log| log.orders.iter().flat_map(|order| &order.attempts));
    for outcome in turns.chain(orders) {
        let name = match outcome {
            CallerOutcome::Problem { code, run, .. } => format!("{code} ({run})"),
            CallerOutcome::Wrong(_) => "wrong".to_owned(),
            other => format!("{other:?}").to_lowercase(),
        };
        *counts.entry(name).or_insert(0_u64) += 1;
    }
    let parts = counts.iter().map(|(name, count)| format!("{count} {name}"));
    format!("callers were told: {}", parts.collect::<Vec<_>>().join(", "))
}

fn write_details(folder: &Path, outcome: &RunOutcome) -> Result<()> {
    let mut text = format!(
        "{}\n{}\n",
        fault_lines(&outcome.injector).join("\n"),
        outcome.report
    );
    for log in &outcome.logs {
        text.push_str(&format!(
            "{} {:?} {:?}\n",
            log.plan.label, log.program, log.plan.ending
        ));
        for turn in &log.turns {
            let began = turn.began.duration_since(outcome.injector.started).as_secs_f64();
            let told = turn.told.duration_since(outcome.injector.started).as_secs_f64();
            text.push_str(&format!(
                "  {began:.3} {told:.3} {} {:?}\n",
                turn.prompt, turn.news
            ));
        }
        for order in &log.orders {
            for (attempt, (began, told)) in order.attempts.iter().zip(&order.times) {
                let began = began.duration_since(outcome.injector.started).as_secs_f64();
                let told = told.duration_since(outcome.injector.started).as_secs_f64();
                text.push_str(&format!("  {began:.3} {told:.3} {} {attempt:?}\n", order.key));
            }
        }
    }
    std::fs::write(folder.join(REPORT_FILE), text)?;
    Ok(())
}
