//! The settings of a fleet's processes.

use std::net::SocketAddr;
use std::time::Duration;

use ebony_config::KeyDigest;
use serde_json::{Value, json};

use crate::document::OPERATOR_KEY;

/// The cluster key of all fleets.
const CLUSTER_KEY: &str = "fleet-on-loopback-only";

/// A loopback address whose port the operating system chooses.
const ANY_PORT: &str = "127.0.0.1:0";

/// The URLs of the platform services.
#[derive(Clone, Debug)]
pub struct PlatformUrls {
    /// The table service.
    pub table: String,
    /// The object store.
    pub objects: String,
    /// The host list.
    pub hosts: String,
    /// The weight store.
    pub weights: String,
}

/// Intervals and timeouts of a fleet's processes.
#[derive(Clone, Copy, Debug)]
pub struct FleetTimes {
    /// The interval between two renewals of a session.
    pub heartbeat: Duration,
    /// The time after which a session that is not renewed can be taken over.
    pub lease: Duration,
    /// The time without traffic after which a link counts as lost.
    pub lost_after: Duration,
    /// The maximum duration of a graceful stop.
    pub drain: Duration,
}

impl Default for FleetTimes {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(250),
            lease: Duration::from_millis(1_500),
            lost_after: Duration::from_millis(1_500),
            drain: Duration::from_secs(30),
        }
    }
}

fn millis(duration: Duration) -> String {
    format!("{}ms", duration.as_millis())
}

fn common_settings(
    process: &str,
    role: &str,
    domain: &str,
    platform: &PlatformUrls,
    times: FleetTimes,
) -> Value {
    json!({
        "process": process,
        "role": role,
        "host": process,
        "region": "loopback",
        "failure_domain": domain,
        "links": {
            "listen": ANY_PORT,
            "cluster_key": {"inline": CLUSTER_KEY},
            "heartbeat": "250ms",
            "lost_after": millis(times.lost_after),
            "connect_timeout": "1s",
        },
        "administration": {
            "listen": ANY_PORT,
            "first_operator": KeyDigest::of_key(OPERATOR_KEY).to_string(),
        },
        "metrics": {"listen": ANY_PORT},
        "platform": {
            "table": {"url": platform.table, "timeout": "2s"},
            "objects": {"url": platform.objects, "timeout": "2s"},
            "hosts": {"url": platform.hosts, "timeout": "2s", "interval": "200ms"},
            "weights": {"url": platform.weights, "timeout": "2s"},
        },
        "log": {"level": "debug", "format": "json"},
        "limits": {
            "body": "4MiB",
            "headers": "32KiB",
            "idle_time": "60s",
            "connections": 1024,
            "streams": 128,
            "history": "4MiB",
        },
        "drain_time": millis(times.drain),
        "policy": {},
    })
}

/// Returns the settings of an entry.
pub fn entry_settings(process: &str, domain: &str, platform: &PlatformUrls, times: FleetTimes) -> Value {
    let mut settings = common_settings(process, "entry", domain, platform, times);
    settings["callers"] = json!({"listen": ANY_PORT});
    settings["peers"] = json!([]);
    settings["ownership"] = json!({
        "writes_per_second": 240,
        "shards": 16,
        "heartbeat": millis(times.heartbeat),
        "lease": millis(times.lease),
    });
    settings
}

/// The target of a side process.
#[derive(Clone, Debug)]
pub enum TargetPlan {
    /// A model engine.
    Engine {
        /// Address of the engine.
        address: SocketAddr,
        /// Loaded models.
        models: Vec<String>,
        /// The number of calls that it runs concurrently.
        slots: u32,
        /// Whether it checks fencing tokens.
        checks_fencing: bool,
    },
    /// A plain service.
    Service {
        /// Address of the service.
        address: SocketAddr,
        /// The service's name.
        service: String,
    },
}

/// Returns the settings of a side process with one target.
pub fn side_settings(
    process: &str,
    domain: &str,
    platform: &PlatformUrls,
    times: FleetTimes,
    target: &TargetPlan,
) -> Value {
    let mut settings = common_settings(process, "side", domain, platform, times);
    let name = format!("target-{process}");
    let target = match target {
        TargetPlan::Engine {
            address,
            models,
            slots,
            checks_fencing,
        } => json!({
            "name": name, "kind": "engine", "address": address.to_string(), "models": models,
            "slots": slots, "checks_fencing": checks_fencing,
        }),
        TargetPlan::Service { address, service } => json!({
            "name": name, "kind": "service", "address": address.to_string(), "service": service,
            "slots": 64, "checks_fencing": false,
        }),
    };
    settings["targets"] = json!([target]);
    settings["ledger"] = json!({"entries": 100_000, "bytes": "16MiB", "retention": "24h"});
    settings
}
