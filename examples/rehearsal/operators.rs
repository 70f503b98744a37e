//! Concurrent configuration changes by operators, and samples of the configuration versions in force.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use ebony_fleet::{CallerClient, OPERATOR_KEY};
use serde_json::json;

/// The delay between two samples of all processes.
const SAMPLE_DELAY: Duration = Duration::from_millis(200);

/// The timeout of one sample; paused processes do not answer.
const SAMPLE_TIMEOUT: Duration = Duration::from_millis(500);

/// The metric of a side process with the configuration version in force.
const SIDE_VERSION_METRIC: &str = "ebonyswitch_side_config_version ";

/// A lower bound of the turn limits that races set. No program of the load reaches it.
const MIN_TURN_LIMIT: u64 = 200;

/// A running process and the addresses that expose its configuration version.
#[derive(Clone, Debug)]
pub(crate) struct SampledProcess {
    pub(crate) name: String,
    pub(crate) id: u32,
    /// `None` for side processes.
    pub(crate) administration: Option<SocketAddr>,
    pub(crate) metrics: SocketAddr,
}

/// The outcome of a configuration change, as the operator sees it.
#[derive(Clone, Debug)]
pub(crate) struct ChangeOutcome {
    pub(crate) summary: String,
    /// The version of the change, if it was accepted.
    pub(crate) accepted: Option<u64>,
    /// Whether the reply states that the change was not accepted.
    pub(crate) is_refused: bool,
}

/// The outcomes of configuration changes and the versions seen in force.
#[derive(Debug, Default)]
pub(crate) struct ConfigLog {
    pub(crate) processes: Vec<SampledProcess>,
    pub(crate) outcomes: Vec<ChangeOutcome>,
    pub(crate) races: u64,
    pub(crate) samples: u64,
    pub(crate) regressions: Vec<String>,
    highest_versions: BTreeMap<(String, u32), u64>,
}

/// A log shared by the tasks of one thread.
pub(crate) type SharedLog = Rc<RefCell<ConfigLog>>;

impl ConfigLog {
    fn record_version(&mut self, process: &SampledProcess, version: u64) {
        self.samples += 1;
        let key = (process.name.clone(), process.id);
        let highest = self.highest_versions.entry(key).or_insert(0);
        if version < *highest {
            let name = &process.name;
            self.regressions
                .push(format!("{name} went from version {highest} to {version}"));
        }
        *highest = version.max(*highest);
    }
}

/// Makes several operators change the configuration at the same time through different entries.
pub(crate) async fn race_changes(log: SharedLog, operators: usize) {
    let number = {
        let mut log = log.borrow_mut();
        log.races += 1;
        log.races
    };
    let addresses: Vec<SocketAddr> = {
        let log = log.borrow();
        let addresses = log.processes.iter().filter_map(|process| process.administration);
        addresses.collect()
    };
    let changes = (0..operators).map(|operator| {
        let address = addresses[operator % addresses.len()];
        change_turn_limit(
            address,
            format!("race-{number}-{operator}"),
            MIN_TURN_LIMIT + number,
        )
    });
    let outcomes = futures_util::future::join_all(changes).await;
    log.borrow_mut().outcomes.extend(outcomes);
}

/// Changes the turn limit, with the version in force in the entry as the expected version.
pub(crate) async fn change_turn_limit(address: SocketAddr, summary: String, turns: u64) -> ChangeOutcome {
    let mut outcome = ChangeOutcome {
        summary,
        accepted: None,
        is_refused: false,
    };
    let Some(expected) = read_entry_version(address).await else {
        outcome.is_refused = true;
        return outcome;
    };
    let patch = json!({"defaults": {"limits": {"turns": turns}}});
    let body = json!({"expected": expected, "summary": outcome.summary, "patch": patch});
    let client = CallerClient::open(address, OPERATOR_KEY);
    let sent = client.send("PATCH", "/v1/config", None, None, Bytes::from(body.to_string()));
    if let Ok(reply) = sent.await {
        if reply.status == 200 {
            outcome.accepted = reply.json()["version"].as_u64();
        }
        outcome.is_refused = reply.verdict().as_deref() == Some("not_run");
    }
    outcome
}

/// Returns the version in force in an entry.
pub(crate) async fn read_entry_version(address: SocketAddr) -> Option<u64> {
    let client = CallerClient::open(address, OPERATOR_KEY);
    let sent = client.send("GET", "/v1/config/status", None, None, Bytes::new());
    let reply = tokio::time::timeout(SAMPLE_TIMEOUT, sent).await.ok()?.ok()?;
    reply.json()["in_force"].as_u64()
}

/// Returns the version in force in a process.
pub(crate) async fn read_version(process: &SampledProcess) -> Option<u64> {
    if let Some(address) = process.administration {
        return read_entry_version(address).await;
    }
    let client = CallerClient::open(process.metrics, OPERATOR_KEY);
    let sent = client.send("GET", "/metrics", None, None, Bytes::new());
    let reply = tokio::time::timeout(SAMPLE_TIMEOUT, sent).await.ok()?.ok()?;
    let text = String::from_utf8_lossy(&reply.body).into_owned();
    let value = text
        .lines()
        .find_map(|line| line.strip_prefix(SIDE_VERSION_METRIC))?;
    value.trim().parse().ok()
}

/// Samples the version of each process repeatedly until the task is aborted.
pub(crate) async fn sample_versions(log: SharedLog) {
    loop {
        let processes = log.borrow().processes.clone();
        let versions = futures_util::future::join_all(processes.iter().map(read_version)).await;
        for (process, version) in processes.iter().zip(versions) {
            if let Some(version) = version {
                log.borrow_mut().record_version(process, version);
            }
        }
        tokio::time::sleep(SAMPLE_DELAY).await;
    }
}
