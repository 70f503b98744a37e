//! The settings of a gateway.

use std::net::SocketAddr;
use std::time::Duration;

use ebony_types::{DomainName, HostName};
use serde::Deserialize;

use crate::base_url::BaseUrl;
use crate::settings::LogSettings;

/// The settings of a gateway, checked as a whole.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// The name of the process.
    pub process: String,
    /// The role, always `gateway`.
    pub role: String,
    /// The host.
    pub host: HostName,
    /// The region of the host.
    pub region: String,
    /// The failure domain of the host.
    pub failure_domain: DomainName,
    /// The callers' HTTP interface.
    pub callers: CallerPort,
    /// Links from other gateways.
    pub links: ListenSettings,
    /// Metrics and health over HTTP.
    pub metrics: GatewayMetricsPort,
    /// The platform's store.
    pub store: StoreSettings,
    /// Connections to targets.
    pub targets: TargetLimits,
    /// The log.
    pub log: LogSettings,
    /// Whether the whole system starts for the first time, so that no program began at a process before this one.
    pub first_start: bool,
    /// The longest time that a planned stop may take.
    pub drain_time: Duration,
    /// The choice of targets and the admission of programs.
    pub policy: GatewayPolicy,
}

/// The callers' HTTP interface.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerPort {
    /// The address for callers.
    pub listen: SocketAddr,
    /// The most open connections.
    pub connections: usize,
    /// A connection without a request for this long is closed.
    pub idle_time: Duration,
    /// The most memory for what callers make the process hold, in bytes; derived from the host's memory if absent.
    pub memory: Option<u64>,
    /// The longest time for the head of a request.
    pub head_time: Duration,
    /// The longest time for the body of a request, besides the time that a slow but steady caller needs.
    pub body_time: Duration,
    /// A connection whose caller takes nothing of a waiting answer for this long is closed.
    pub answer_time: Duration,
}

/// An address to listen on.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// The address.
    pub listen: SocketAddr,
}

/// Metrics and health over HTTP.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewayMetricsPort {
    /// The address for metrics and health checks.
    pub listen: SocketAddr,
    /// A second address for metrics and health checks, for collectors that know one port for all processes.
    pub collector_listen: Option<SocketAddr>,
}

/// The platform's store.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// The base URL.
    pub url: BaseUrl,
    /// The longest wait for a reply.
    pub timeout: Duration,
    /// Rows of programs and gateways that nothing has written for this long are removed.
    pub retention: Duration,
}

/// Limits on connections to targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetLimits {
    /// The longest wait for a connection.
    pub connect_timeout: Duration,
    /// A connection whose peer acknowledges nothing for this long is closed.
    pub silence: Duration,
    /// The longest time that an unused connection is kept if the target does not say how long it keeps it.
    pub keep_idle: Duration,
}

/// The choice of targets and the admission of programs.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewayPolicy {
    /// The placement rule, as written in the file.
    pub placement: String,
    /// Which services get even load, as written in the file.
    pub even_load: String,
    /// The rule by which programs are admitted, as written in the file.
    pub admission: String,
}
