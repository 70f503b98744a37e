//! A first look: one entry, two side processes and the stand-ins of their surroundings, all in this process.
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

/// The longest wait until the entry is ready.
const READY_LIMIT: Duration = Duration::from_secs(10);

/// The pause between two looks at an entry that should become ready.
const READY_POLL: Duration = Duration::from_millis(20);

/// The stand-ins of everything around the scheduler.
struct Surroundings {
    // Dropping the set stops the stand-ins.
    _standins: StandinSet,
    urls: PlatformUrls,
    hosts: StandinAddress,
    engine: StandinAddress,
    service: StandinAddress,
}

/// The processes of the scheduler.
struct Processes {
    // Dropping the guard ends the log.
    _guard: LoggerGuard,
    callers: SocketAddr,
    administration: SocketAddr,
    metrics: SocketAddr,
}

#[actix_web::main]
async fn main() -> Result<()> {
    let folder = tempfile::tempdir()?;
    let surroundings = start_surroundings().await?;
    let processes = start_processes(folder.path(), &surroundings).await?;
    write_configuration(processes.administration).await?;
    wait_ready(processes.metrics).await?;
    println!("1. One entry and two side processes run on loopback, before one engine and one service.");
    println!("   Callers reach the entry at http://{}.", processes.callers);
    run_program(&CallerClient::open(processes.callers, CALLER_KEY), &surroundings).await
}

async fn start_surroundings() -> Result<Surroundings> {
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
    Ok(Surroundings {
        _standins: standins,
        urls,
        hosts,
        engine,
        service,
    })
}

/// Writes the first configuration: which callers, models and services are in force.
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

async fn start_processes(folder: &Path, surroundings: &Surroundings) -> Result<Processes> {
    let (logger, guard) = open_logger("quickstart", "all", LogFormat::Terminal, LogLevel::Critical);
    let times = FleetTimes::default();
    let engine = TargetPlan::Engine {
        address: surroundings.engine.data,
        models: vec![MODEL.to_owned()],
        slots: 8,
        checks_fencing: true,
    };
    let service = TargetPlan::Service {
        address: surroundings.service.data,
        service: SERVICE.to_owned(),
    };
    let mut hosts = Vec::new();
    for (process, target) in [("side-engine", engine), ("side-service", service)] {
        let settings = side_settings(process, DOMAIN, &surroundings.urls, times, &target);
        let side = SideProcess::spawn(write_settings(folder, process, &settings)?, logger.clone()).await?;
        hosts.push(host(process, HostRole::Side, side.addresses().links)?);
    }
    let settings = entry_settings("entry", DOMAIN, &surroundings.urls, times);
    let entry = EntryProcess::spawn(write_settings(folder, "entry", &settings)?, logger).await?;
    hosts.push(host("entry", HostRole::Entry, entry.addresses().links)?);
    HostsControl::open(surroundings.hosts.control)
        .set_hosts(&hosts)
        .await?;
    let addresses = entry.serve().addresses();
    Ok(Processes {
        _guard: guard,
        callers: addresses.callers,
        administration: addresses.administration,
        metrics: addresses.metrics,
    })
}

/// Settings are checked when their file is opened, as in production.
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
    let give_up = Instant::now() + READY_LIMIT;
    while Instant::now() < give_up {
        let reply = client.get(format!("http://{metrics}/readyz")).send().await;
        if reply.is_ok_and(|reply| reply.status().is_success()) {
            return Ok(());
        }
        tokio::time::sleep(READY_POLL).await;
    }
    anyhow::bail!("the entry is not ready after {READY_LIMIT:?}")
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

async fn run_program(caller: &CallerClient, surroundings: &Surroundings) -> Result<()> {
    let budget = json!({"tokens": 10_000, "calls": 10});
    let program = caller.open_program(None, budget).await?;
    println!("2. Opened program {program} with a budget of 10000 tokens and 10 calls.");

    let question = chat_body(MODEL, "Which wood suits a drum?", 12, true);
    let reply = ensure_success(caller.chat(Some(program), &question).await?)?;
    ensure!(reply.is_done(), "the stream has no end");
    let answer = reply.answer_text();
    EchoAnswer::check(&answer, &ChatRequest::parse(question.to_string().as_bytes())?)?;
    println!(
        "3. Streamed a model call; the stand-in echoes the request, so the answer is checked to be whole:"
    );
    println!("   {answer}");

    let child = caller.open_program(Some(program), json!({})).await?;
    let errand = chat_body(MODEL, "Look the price up.", 6, false);
    ensure_success(caller.chat(Some(child), &errand).await?)?;
    ensure_success(caller.finish_program(child).await?)?;
    println!("4. Spawned sub-agent {child}, which made one call and finished; it spends the same budget.");

    run_once(caller, program, surroundings).await?;

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
    let late = caller.chat(Some(program), &question).await?;
    let verdict = late.verdict().context("no verdict")?;
    println!(
        "7. Finished the program. A late call gets status {} and the verdict {verdict:?}.",
        late.status
    );
    Ok(())
}

/// Makes a call that must not be repeated twice with one key.
async fn run_once(
    caller: &CallerClient,
    program: ebony_types::ProgramId,
    surroundings: &Surroundings,
) -> Result<()> {
    let order = || {
        caller.service(
            "POST",
            "orders/buy",
            Some(program),
            Some("drum-1"),
            "{\"drum\": 1}",
        )
    };
    let first = ensure_success(order().await?)?;
    let second = ensure_success(order().await?)?;
    ensure!(first.body == second.body, "the repeat got another answer");
    let runs = ServiceControl::open(surroundings.service.control)
        .runs_of("drum-1")
        .await?;
    ensure!(runs == 1, "the service ran the order {runs} times");
    println!(
        "5. Sent the order \"drum-1\" twice; both answers are the same, and the service ran it {runs} time."
    );
    Ok(())
}
