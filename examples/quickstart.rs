//! Runs an entry, two side processes and stand-ins for their environment in one process, and walks through the calls of
//! a program.
//!
//! ```text
//! cargo run --example quickstart
//! ```

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, ensure};
use ebony_entry::EntryProcess;
use ebony_fleet::caller::{CallReply, CallerClient, chat_body};
use ebony_fleet::document::{CALLER_KEY, DocumentOptions, OPERATOR_KEY, fleet_document};
use ebony_fleet::settings::{FleetTimes, PlatformUrls, TargetPlan, entry_settings, side_settings};
use ebony_platform::{HostEntry, HostRole, HostState};
use ebony_settings::ProcessSettings;
use ebony_side::SideProcess;
use ebony_standins::engine::{ChatRequest, EchoAnswer, EngineOptions};
use ebony_standins::hosts::HostsControl;
use ebony_standins::service::{ServiceControl, ServiceOptions};
use ebony_standins::{StandinAddress, StandinOptions, StandinSet};
use ebony_telemetry::{LogFormat, LogLevel, LoggerGuard, open_logger};
use ebony_types::{DomainName, HostName, ModelName};
use serde_json::{Value, json};

const MODEL: &str = "kalo";
const SERVICE: &str = "orders";
const DOMAIN: &str = "domain-0";

/// Bounds the wait for the entry to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// The interval between two readiness checks of the entry.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Stand-ins for the platform, an engine and a service.
struct StandinEnvironment {
    // Dropping the set stops the stand-ins.
    _standins: StandinSet,
    urls: PlatformUrls,
    hosts: StandinAddress,
    engine: StandinAddress,
    service: StandinAddress,
}

/// The listening addresses of the entry, and the guard of the log.
struct SchedulerProcesses {
    // Dropping the guard closes the log.
    _guard: LoggerGuard,
    callers: SocketAddr,
    administration: SocketAddr,
    metrics: SocketAddr,
}

#[actix_web::main]
async fn main() -> Result<()> {
    let folder = tempfile::tempdir()?;
    let environment = start_environment().await?;
    let processes = start_processes(folder.path(), &environment).await?;
    write_configuration(processes.administration).await?;
    wait_ready(processes.metrics).await?;
    println!("1. One entry and two side processes run on loopback, before one engine and one service.");
    println!("   Callers reach the entry at http://{}.", processes.callers);
    run_program(&CallerClient::open(processes.callers, CALLER_KEY), &environment).await
}

async fn start_environment() -> Result<StandinEnvironment> {
    let mut standins = StandinSet::start()?;
    let mut add = |kind: &str, options: Value| -> Result<StandinAddress> {
        let options = StandinOptions::parse(kind, &options.to_string())?;
        standins.add(kind, options)
    };
    let hosts = add("hosts", json!({}))?;
    let urls = PlatformUrls {
        table: add("table", json!({}))?.url(),
        objects: add("objects", json!({}))?.url(),
        hosts: hosts.url(),
        weights: add("weights", json!({}))?.url(),
    };
    let engine = EngineOptions {
        models: vec![ModelName::parse(MODEL)?],
        ..EngineOptions::default()
    };
    let engine = standins.add("engine", StandinOptions::Engine(engine))?;
    let service = ServiceOptions {
        service: SERVICE.to_owned(),
        ..ServiceOptions::default()
    };
    let service = standins.add("service", StandinOptions::Service(service))?;
    Ok(StandinEnvironment {
        _standins: standins,
        urls,
        hosts,
        engine,
        service,
    })
}

/// Writes the first configuration, which defines callers, models and services.
async fn write_configuration(administration: SocketAddr) -> Result<()> {
    let document = fleet_document(&DocumentOptions {
        models: &[MODEL.to_owned()],
        service: SERVICE,
        callers: &[],
        defaults: &json!({}),
    })?;
    let body = json!({"expected": 0, "summary": "first configuration", "document": document}).to_string();
    let operator = CallerClient::open(administration, OPERATOR_KEY);
    let reply = operator
        .send("PUT", "/v1/config", None, None, body.into())
        .await?;
    ensure!(
        reply.status == 200,
        "the first configuration was refused: {}",
        reply.json()
    );
    Ok(())
}

async fn start_processes(folder: &Path, environment: &StandinEnvironment) -> Result<SchedulerProcesses> {
    let (logger, guard) = open_logger("quickstart", "all", LogFormat::Terminal, LogLevel::Critical);
    let times = FleetTimes::default();
    let engine = TargetPlan::Engine {
        address: environment.engine.data,
        models: vec![MODEL.to_owned()],
        slots: 8,
        checks_fencing: true,
    };
    let service = TargetPlan::Service {
        address: environment.service.data,
        service: SERVICE.to_owned(),
    };
    let mut hosts = Vec::new();
    for (process, target) in [("side-engine", engine), ("side-service", service)] {
        let settings = side_settings(process, DOMAIN, &environment.urls, times, &target);
        let side = SideProcess::spawn(write_settings(folder, process, &settings)?, logger.clone()).await?;
        hosts.push(host(process, HostRole::Side, side.addresses().links)?);
    }
    let settings = entry_settings("entry", DOMAIN, &environment.urls, times);
    let entry = EntryProcess::spawn(write_settings(folder, "entry", &settings)?, logger).await?;
    hosts.push(host("entry", HostRole::Entry, entry.addresses().links)?);
    HostsControl::open(environment.hosts.control)
        .set_hosts(&hosts)
        .await?;
    let addresses = entry.serve().addresses();
    Ok(SchedulerProcesses {
        _guard: guard,
        callers: addresses.callers,
        administration: addresses.administration,
        metrics: addresses.metrics,
    })
}

/// Writes and reopens a settings file, so that the settings are validated as in production.
fn write_settings(folder: &Path, process: &str, settings: &Value) -> Result<ProcessSettings> {
    let path = folder.join(format!("{process}.jsonc"));
    std::fs::write(&path, settings.to_string())?;
    ProcessSettings::open(&path).map_err(|report| anyhow::anyhow!("{report}"))
}

fn host(process: &str, role: HostRole, address: SocketAddr) -> Result<HostEntry> {
    Ok(HostEntry {
        host: HostName::parse(process)?,
        role,
        address,
        domain: DomainName::parse(DOMAIN)?,
        state: HostState::Live,
    })
}

async fn wait_ready(metrics: SocketAddr) -> Result<()> {
    let client = awc::Client::default();
    let deadline = Instant::now() + READY_TIMEOUT;
    while Instant::now() < deadline {
        let reply = client.get(format!("http://{metrics}/readyz")).send().await;
        if reply.is_ok_and(|reply| reply.status().is_success()) {
            return Ok(());
        }
        tokio::time::sleep(READY_POLL_INTERVAL).await;
    }
    anyhow::bail!("the entry is not ready after {READY_TIMEOUT:?}")
}

fn ensure_success(reply: CallReply) -> Result<CallReply> {
    ensure!(
        (200..300).contains(&reply.status),
        "status {}: {}",
        reply.status,
        reply.json()
    );
    Ok(reply)
}

async fn run_program(caller: &CallerClient, environment: &StandinEnvironment) -> Result<()> {
    let budget = json!({"tokens": 10_000, "calls": 10});
    let program = caller.open_program(None, budget).await?;
    println!("2. Opened program {program} with a budget of 10000 tokens and 10 calls.");

    let body = chat_body(MODEL, "Which wood suits a drum?", 12, true);
    let reply = ensure_success(caller.chat(Some(program), &body).await?)?;
    ensure!(reply.is_done(), "the stream has no end");
    let answer = reply.answer_text();
    EchoAnswer::check(&answer, &ChatRequest::parse(body.to_string().as_bytes())?)?;
    println!(
        "3. Streamed a model call; the stand-in echoes the request, so the answer is checked to be whole:"
    );
    println!("   {answer}");

    let child = caller.open_program(Some(program), json!({})).await?;
    let child_body = chat_body(MODEL, "Look the price up.", 6, false);
    ensure_success(caller.chat(Some(child), &child_body).await?)?;
    ensure_success(caller.finish_program(child).await?)?;
    println!("4. Spawned sub-agent {child}, which made one call and finished; it spends the same budget.");

    order_twice(caller, program, environment).await?;

    let view = ensure_success(caller.show_program(program).await?)?.json();
    println!("6. The program's history and budget, as any entry shows them:");
    let turns = view["history"].as_array().context("no history")?;
    for turn in turns {
        match turn["messages"][0]["content"].as_str() {
            Some(content) => println!("   asked the model: {content}"),
            None => println!("   called a service with {}", turn["request"]["json"]),
        }
    }
    println!("   used {} of {}", view["used"], view["budget"]);

    ensure_success(caller.finish_program(program).await?)?;
    let late_reply = caller.chat(Some(program), &body).await?;
    let verdict = late_reply.verdict().context("no verdict")?;
    println!(
        "7. Finished the program. A late call gets status {} and the verdict {verdict:?}.",
        late_reply.status
    );
    Ok(())
}

/// Sends an order twice with the same idempotency key and checks that the service ran it once.
async fn order_twice(
    caller: &CallerClient,
    program: ebony_types::ProgramId,
    environment: &StandinEnvironment,
) -> Result<()> {
    let send_order = || {
        caller.service(
            "POST",
            "orders/buy",
            Some(program),
            Some("drum-1"),
            "{\"drum\": 1}",
        )
    };
    let first = ensure_success(send_order().await?)?;
    let second = ensure_success(send_order().await?)?;
    ensure!(first.body == second.body, "the repeat got another answer");
    let runs = ServiceControl::open(environment.service.control)
        .runs_of("drum-1")
        .await?;
    ensure!(runs == 1, "the service ran the order {runs} times");
    println!(
        "5. Sent the order \"drum-1\" twice; both answers are the same, and the service ran it {runs} time."
    );
    Ok(())
}
