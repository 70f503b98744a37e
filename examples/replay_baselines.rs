//! Replays traces on real processes under the scheduler's own policy and under each baseline, and prints the results
//! side by side.
//!
//! ```text
//! cargo run --release --example replay_baselines [-- TRACE.. | --all] [--html FILE] [--policy NAME]
//! ```
//!
//! Without arguments it replays `traces/calabash-ordinary-day.jsonl`. A trace takes about a minute for each policy.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

use anyhow::{Context, Result};
use async_trait::async_trait;
use clap::Parser;
use ebony_fleet::{FleetOptions, RunningFleet, caller_key};
use ebony_policy::options::PolicyName;
use ebony_replay::command::open_trace;
use ebony_replay::{CallerKeys, ReplayHooks, ReplayOptions, StandinHooks, TargetRun, replay};
use ebony_standins::engine::EngineSettings;
use ebony_trace::{
    CacheOutcome, DeploymentKind, MarkerAction, ReplayReport, TraceDocument, render_html, render_text,
};
use serde_json::{Value, json};

/// The scheduler's own policy, followed by the baselines.
const POLICIES: [PolicyName; 5] = [
    PolicyName::Ebonyswitch,
    PolicyName::RoundRobin,
    PolicyName::LeastOutstanding,
    PolicyName::LastTarget,
    PolicyName::FirstComeFirstServed,
];

const ENTRY_COUNT: usize = 3;

/// The token budget of a program. It is generous, since the stand-in counts each word of an answer as several tokens
/// and programs spend more than their trace states.
const BUDGET_TOKENS: u64 = 100_000_000;

#[derive(Debug, Parser)]
struct Arguments {
    /// Trace files.
    traces: Vec<PathBuf>,
    /// Replays all committed traces.
    #[arg(long)]
    all: bool,
    /// The file of the HTML page.
    #[arg(long, default_value = "target/replay-baselines.html")]
    html: PathBuf,
    /// Policies to compare; all if none is named.
    #[arg(long)]
    policy: Vec<String>,
}

fn main() -> ExitCode {
    if let Some(code) = ebonyswitch::run_as_daemon() {
        return code;
    }
    let arguments = Arguments::parse();
    match actix_web::rt::System::new().block_on(compare(&arguments)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("replay_baselines: {failure:#}");
            ExitCode::FAILURE
        }
    }
}

async fn compare(arguments: &Arguments) -> Result<()> {
    let mut reports = Vec::new();
    for path in trace_files(arguments)? {
        let document = Arc::new(open_trace(&path)?);
        let mut trace_reports = Vec::new();
        for policy in POLICIES {
            let name = policy_name(policy)?;
            if arguments.policy.is_empty() || arguments.policy.contains(&name) {
                trace_reports.push(run_policy(document.clone(), policy, &name).await?);
            }
        }
        println!("{} at {}", document.header().name, document.header().deployment);
        println!("{}", render_text(&trace_reports));
        reports.extend(trace_reports);
        // The page is written after each trace, so that an interrupted run keeps the results so far.
        std::fs::write(&arguments.html, render_html(&reports))
            .with_context(|| format!("cannot write {}", arguments.html.display()))?;
    }
    println!("The page is {}.", arguments.html.display());
    Ok(())
}

fn trace_files(arguments: &Arguments) -> Result<Vec<PathBuf>> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("traces");
    if arguments.all {
        let files = std::fs::read_dir(&folder)?;
        let mut files = files
            .map(|file| Ok(file?.path()))
            .collect::<Result<Vec<PathBuf>>>()?;
        files.retain(|file| file.extension().is_some_and(|extension| extension == "jsonl"));
        files.sort();
        return Ok(files);
    }
    if arguments.traces.is_empty() {
        return Ok(vec![folder.join("calabash-ordinary-day.jsonl")]);
    }
    Ok(arguments.traces.clone())
}

fn policy_name(policy: PolicyName) -> Result<String> {
    let text = serde_json::to_value(policy)?;
    Ok(text.as_str().unwrap_or_default().to_owned())
}

async fn run_policy(document: Arc<TraceDocument>, policy: PolicyName, name: &str) -> Result<ReplayReport> {
    let fleet = RunningFleet::start(fleet_options(&document, policy)?).await?;
    let mut hooks = FleetHooks::open(fleet, &document).await?;
    let callers = document.callers();
    let keys = callers.into_iter().fold(CallerKeys::same(""), |keys, caller| {
        keys.with_key(caller.clone(), &caller_key(caller.as_str()))
    });
    let mut options = ReplayOptions::open(name, hooks.fleet.entry_urls()?, keys);
    options.shows_progress = true;
    let run = replay(document, options, &mut hooks).await?;
    eprintln!("{name}: took {:.1} s", run.elapsed.as_secs_f64());
    Ok(run.report)
}

fn fleet_options(document: &TraceDocument, policy: PolicyName) -> Result<FleetOptions> {
    let header = document.header();
    let mut options = FleetOptions::small(std::env::current_exe()?);
    options.entries = ENTRY_COUNT;
    options.engines = header.engine.engines as usize;
    options.domains = header.domains.len();
    options.service = header
        .services
        .first()
        .context("the trace has no service")?
        .to_string();
    options.models = header
        .models
        .iter()
        .map(|share| share.model.to_string())
        .collect();
    let shares = header.models.iter();
    options.engine_models = shares
        .flat_map(|share| vec![vec![share.model.to_string()]; share.engines as usize])
        .collect();
    let callers = document.callers().into_iter();
    options.callers = callers.map(ToString::to_string).collect();
    options.log_level = "warning";
    options.engine = engine_settings(document);
    options.defaults = json!({
        "budget": {"tokens": BUDGET_TOKENS},
        "policy": {"latency_weight": latency_weight(document)},
    });
    options.policy = policy_settings(policy)?;
    Ok(options)
}

/// Returns the policy section of a settings file, with the policy names of `ebony_policy`.
fn policy_settings(policy: PolicyName) -> Result<Value> {
    Ok(json!({"name": policy_name(policy)?}))
}

fn latency_weight(document: &TraceDocument) -> f64 {
    let deployments = [DeploymentKind::Calabash, DeploymentKind::Fanghi];
    let mut deployments = deployments.into_iter();
    let deployment = deployments.find(|kind| kind.as_str() == document.header().deployment);
    deployment.map_or(0.5, |kind| f64::from(kind.latency_weight_percent()) / 100.0)
}

/// Scales the engine speeds of the trace to the time scale of the replay.
fn engine_settings(document: &TraceDocument) -> EngineSettings {
    let (engine, scale) = (&document.header().engine, document.header().time_scale);
    let wall_ms = u64::from(scale.wall_ms_per_second);
    EngineSettings {
        slots: engine.batch_slots,
        prefill_tokens_per_second: u64::from(engine.prefill_tokens_per_second) * 1_000 / wall_ms.max(1),
        decode_us_per_token: u64::from(engine.token_interval_us) * wall_ms / 1_000,
        cache_tokens: u64::from(engine.cache_tokens),
        ..EngineSettings::default()
    }
}

/// Replay hooks that stop and restore failure domains and read the state of the stand-ins.
struct FleetHooks {
    fleet: RunningFleet,
    standins: StandinHooks,
    domains: Vec<String>,
}

impl FleetHooks {
    async fn open(fleet: RunningFleet, document: &TraceDocument) -> Result<Self> {
        let engines = 0..document.header().engine.engines;
        let engines = engines.map(|engine| fleet.control_address(&format!("engine-{engine}")));
        let engines = engines.collect::<Result<Vec<_>>>()?;
        let services = [fleet.control_address("service-0")?];
        let domains = document.header().domains.iter();
        Ok(Self {
            standins: StandinHooks::open(&engines, &services).await?,
            domains: domains.map(ToString::to_string).collect(),
            fleet,
        })
    }

    fn domain(&self, name: &str) -> Result<usize> {
        let position = self.domains.iter().position(|domain| domain == name);
        position.with_context(|| format!("no failure domain {name}"))
    }
}

#[async_trait(?Send)]
impl ReplayHooks for FleetHooks {
    async fn on_marker(&mut self, action: &MarkerAction) -> Result<Option<Vec<String>>> {
        match action {
            MarkerAction::LoseDomain { domain } => {
                let domain = self.domain(domain.as_str())?;
                self.fleet.lose_domain(domain).await?;
                Ok(None)
            }
            MarkerAction::RestoreDomain { domain } => {
                let domain = self.domain(domain.as_str())?;
                self.fleet.restore_domain(domain).await?;
                // Replaced entries listen on new ports.
                self.fleet.entry_urls().map(Some)
            }
        }
    }

    async fn take_runs(&mut self) -> Result<Option<Vec<Vec<TargetRun>>>> {
        self.standins.take_runs().await
    }

    async fn read_cache(&mut self) -> Result<Option<CacheOutcome>> {
        self.standins.read_cache().await
    }
}
