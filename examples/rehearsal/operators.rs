//! Operators who change the configuration, and a sampler of the versions in force.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use ebony_fleet::{CallerClient, OPERATOR_KEY};
use serde_json::json;

/// The pause between two samples of all processes.
const SAMPLE_PAUSE: Duration = Duration::from_millis(200);

/// The longest wait for one sample; paused processes do not answer.
const SAMPLE_LIMIT: Duration = Duration::from_millis(500);

/// The metric of a side process that holds the version in force.
const SIDE_VERSION: &str = "ebonyswitch_side_config_version ";

/// The least value of the changed limit, which no program of the load reaches.
const LEAST_TURNS: u64 = 200;

/// A running process and where it tells its version.
#[derive(Clone, Debug)]
pub(crate) struct SampledProcess {
    pub(crate) name: String,
    pub(crate) id: u32,
    /// `None` for side processes.
    pub(crate) administration: Option<SocketAddr>,
    pub(crate) metrics: SocketAddr,
}

/// What an operator was told about one change.
#[derive(Clone, Debug)]
pub(crate) struct ConfigNews {
    pub(crate) summary: String,
    /// The version of an accepted change.
    pub(crate) accepted: Option<u64>,
    /// Whether the operator was told that the change was not accepted.
    pub(crate) is_refused: bool,
}

/// What operators were told and which versions were in force.
#[derive(Debug, Default)]
pub(crate) struct ConfigLog {
    pub(crate) processes: Vec<SampledProcess>,
    pub(crate) news: Vec<ConfigNews>,
    pub(crate) races: u64,
    pub(crate) samples: u64,
    pub(crate) reverts: Vec<String>,
    highest: BTreeMap<(String, u32), u64>,
}

/// A log that tasks of one thread share.
pub(crate) type SharedLog = Rc<RefCell<ConfigLog>>;

impl ConfigLog {
    fn note(&mut self, process: &SampledProcess, version: u64) {
        self.samples += 1;
        let key = (process.name.clone(), process.id);
        let highest = self.highest.entry(key).or_insert(0);
        if version < *highest {
            let name = &process.name;
            self.reverts
                .push(format!("{name} went from version {highest} to {version}"));
        }
        *highest = version.max(*highest);
    }
}

/// Lets operators change the configuration at the same moment, through different entries.
pub(crate) async fn race(log: SharedLog, operators: usize) {
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
        change(address, format!("race-{number}-{operator}"), LEAST_TURNS + number)
    });
    let news = futures_util::future::join_all(changes).await;
    log.borrow_mut().news.extend(news);
}

/// Changes a limit, based on the version that the entry has in force.
pub(crate) async fn change(address: SocketAddr, summary: String, turns: u64) -> ConfigNews {
    let mut news = ConfigNews {
        summary,
        accepted: None,
        is_refused: false,
    };
    let Some(expected) = entry_version(address).await else {
        news.is_refused = true;
        return news;
    };
    let patch = json!({"defaults": {"limits": {"turns": turns}}});
    let body = json!({"expected": expected, "summary": news.summary, "patch": patch});
    let client = CallerClient::open(address, OPERATOR_KEY);
    let sent = client.send("PATCH", "/v1/config", None, None, Bytes::from(body.to_string()));
    if let Ok(reply) = sent.await {
        if reply.status == 200 {
            news.accepted = reply.json()["version"].as_u64();
        }
        news.is_refused = reply.verdict().as_deref() == Some("not_run");
    }
    news
}

/// Returns the version in force in an entry.
pub(crate) async fn entry_version(address: SocketAddr) -> Option<u64> {
    let client = CallerClient::open(address, OPERATOR_KEY);
    let sent = client.send("GET", "/v1/config/status", None, None, Bytes::new());
    let reply = tokio::time::timeout(SAMPLE_LIMIT, sent).await.ok()?.ok()?;
    reply.json()["in_force"].as_u64()
}

/// Returns the version in force in a process.
pub(crate) async fn version_of(process: &SampledProcess) -> Option<u64> {
    if let Some(address) = process.administration {
        return entry_version(address).await;
    }
    let client = CallerClient::open(process.metrics, OPERATOR_KEY);
    let sent = client.send("GET", "/metrics", None, None, Bytes::new());
    let reply = tokio::time::timeout(SAMPLE_LIMIT, sent).await.ok()?.ok()?;
    let text = String::from_utf8_lossy(&reply.body).into_owned();
    let value = text.lines().find_map(|line| line.strip_prefix(SIDE_VERSION))?;
    value.trim().parse().ok()
}

/// Samples the version of each process until it is aborted.
pub(crate) async fn sample(log: SharedLog) {
    loop {
        let processes = log.borrow().processes.clone();
        let versions = futures_util::future::join_all(processes.iter().map(version_of)).await;
        for (process, version) in processes.iter().zip(versions) {
            if let Some(version) = version {
                log.borrow_mut().note(process, version);
            }
        }
        tokio::time::sleep(SAMPLE_PAUSE).await;
    }
}
