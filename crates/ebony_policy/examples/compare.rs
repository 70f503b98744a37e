//! Compares the policy with the baselines and its own ablations on generated program mixes, in virtual time.
//!
//! `cargo run --release -p ebony_policy --example compare -- [--seeds N] [--scenario NAME] [--policy NAME]
//! [--deployment NAME] [--threads N] [--set queue.ageing=false]...`
//!
//! `--set` changes an option of the own policy and its ablations. It takes the path of the option and a JSON value.

#[path = "compare/call_flow.rs"]
mod call_flow;
#[path = "compare/engine.rs"]
mod engine;
#[path = "compare/fleet_flow.rs"]
mod fleet_flow;
#[path = "compare/processes.rs"]
mod processes;
#[path = "compare/program_flow.rs"]
mod program_flow;
#[path = "compare/programs.rs"]
mod programs;
#[path = "compare/run.rs"]
mod run;
#[path = "compare/scenario.rs"]
mod scenario;
#[path = "compare/side_flow.rs"]
mod side_flow;
#[path = "compare/summary.rs"]
mod summary;

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use serde_json::Value;

use crate::scenario::{DEPLOYMENTS, DeploymentPlan, PolicyPlan, SCENARIOS, ScenarioPlan, policies};
use crate::summary::{COLUMNS, MEAN, RunSummary, WASTED, change_statistics, column_statistics};

/// The baselines with which the own policy is compared.
const BASELINES: [&str; 2] = ["round-robin", "least-outstanding"];

struct CommandOptions {
    seeds: u64,
    threads: usize,
    scenario: String,
    policy: String,
    deployment: String,
    overrides: Vec<(String, Value)>,
}

struct CompareJob<'a> {
    deployment: &'a DeploymentPlan,
    scenario: &'a ScenarioPlan,
    policy: &'a PolicyPlan,
    seed: u64,
}

fn main() {
    let options = read_options();
    let mut policies = policies();
    let ours = policies
        .iter_mut()
        .filter(|policy| policy.name.starts_with(['o', '-', '+']));
    ours.for_each(|policy| override_options(policy, &options.overrides));
    let policies: Vec<&PolicyPlan> = policies
        .iter()
        .filter(|policy| policy.name.contains(&options.policy) || policy.name == "ours")
        .collect();
    for deployment in DEPLOYMENTS
        .iter()
        .filter(|plan| plan.name.contains(&options.deployment))
    {
        for scenario in SCENARIOS
            .iter()
            .filter(|plan| plan.name.contains(&options.scenario))
        {
            let mut jobs = Vec::new();
            for policy in policies.iter().copied() {
                jobs.extend((1..=options.seeds).map(|seed| CompareJob {
                    deployment,
                    scenario,
                    policy,
                    seed,
                }));
            }
            let summaries = run_jobs(&jobs, options.threads);
            let rows: Vec<&[RunSummary]> = summaries.chunks(options.seeds as usize).collect();
            print_table(deployment, scenario, &policies, &rows);
        }
    }
}

fn read_options() -> CommandOptions {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let value = |name: &str| {
        let position = arguments.iter().position(|argument| argument == name)?;
        arguments.get(position + 1).cloned()
    };
    let number = |name: &str, default: u64| value(name).and_then(|text| text.parse().ok()).unwrap_or(default);
    let pairs = arguments.windows(2).filter(|pair| pair[0] == "--set");
    let pairs = pairs.filter_map(|pair| pair[1].split_once('='));
    CommandOptions {
        overrides: pairs
            .map(|(path, value)| {
                (
                    path.to_owned(),
                    serde_json::from_str(value).expect("a JSON value"),
                )
            })
            .collect(),
        seeds: number("--seeds", 5).max(1),
        threads: number("--threads", 4).clamp(1, 16) as usize,
        scenario: value("--scenario").unwrap_or_default(),
        policy: value("--policy").unwrap_or_default(),
        deployment: value("--deployment").unwrap_or_default(),
    }
}

/// Sets options of a policy by their paths.
fn override_options(policy: &mut PolicyPlan, overrides: &[(String, Value)]) {
    let mut document = serde_json::to_value(&policy.options).expect("options are JSON");
    for (path, value) in overrides {
        let pointer = format!("/{}", path.replace('.', "/"));
        let member = document.pointer_mut(&pointer).expect("an option of this path");
        *member = value.clone();
    }
    policy.options = serde_json::from_value(document).expect("valid options");
}

/// Runs all jobs on the given number of threads and returns their summaries in the order of the jobs.
fn run_jobs(jobs: &[CompareJob<'_>], threads: usize) -> Vec<RunSummary> {
    let next = AtomicUsize::new(0);
    let done = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                while let Some((index, job)) = {
                    let index = next.fetch_add(1, Ordering::Relaxed);
                    jobs.get(index).map(|job| (index, job))
                } {
                    let summary = run::run(job.deployment, job.scenario, &job.policy.options, job.seed);
                    done.lock().expect("no thread panicked").push((index, summary));
                }
            });
        }
    });
    let mut done = done.into_inner().expect("no thread panicked");
    done.sort_by_key(|(index, _)| *index);
    done.into_iter().map(|(_, summary)| summary).collect()
}

fn print_table(
    deployment: &DeploymentPlan,
    scenario: &ScenarioPlan,
    policies: &[&PolicyPlan],
    rows: &[&[RunSummary]],
) {
    println!(
        "\n### {} / {} (load {})\n",
        deployment.name, scenario.name, scenario.load
    );
    println!(
        "| policy | {} | mean to ours % | wasted to ours % |",
        COLUMNS.join(" | ")
    );
    println!("| --- |{}", " --- |".repeat(COLUMNS.len() + 2));
    let ours = policies.iter().position(|policy| policy.name == "ours");
    let ours = ours.map_or(&[][..], |index| rows[index]);
    for (policy, summaries) in policies.iter().zip(rows) {
        let figures = (0..COLUMNS.len()).map(|column| column_statistics(summaries, column));
        let changes = [MEAN, WASTED].map(|column| change_statistics(summaries, ours, column));
        let cells: Vec<String> = figures
            .chain(changes)
            .map(|(center, deviation)| format!("{center:.2} ±{deviation:.2}"))
            .collect();
        println!("| {} | {} |", policy.name, cells.join(" | "));
    }
    print_ratios(policies, rows);
}

/// Prints the ratio of the best baseline to the own policy for each metric.
fn print_ratios(policies: &[&PolicyPlan], rows: &[&[RunSummary]]) {
    let figure = |name: &str, column: usize| {
        let position = policies.iter().position(|policy| policy.name == name)?;
        Some(column_statistics(rows[position], column).0)
    };
    for (label, column) in [("mean latency", MEAN), ("wasted cache", WASTED)] {
        let baselines = BASELINES.iter().filter_map(|name| figure(name, column));
        let best = baselines.fold(f64::INFINITY, f64::min);
        if let Some(ours) = figure("ours", column)
            && best.is_finite()
        {
            println!(
                "\n{label}: best baseline {best:.2}, ours {ours:.2}, ratio {:.2}",
                best / ours
            );
        }
    }
}
