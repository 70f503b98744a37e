//! The checked settings of one process.

use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use ebony_types::{DomainName, HostName};
use serde::{Deserialize, Serialize};

use crate::base_url::BaseUrl;
use crate::entry_settings::EntrySettings;
use crate::key_source::KeySource;
use crate::side_settings::SideSettings;

/// What a process does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProcessRole {
    /// Receives the requests of callers.
    Entry,
    /// Runs beside targets.
    Side,
}

impl ProcessRole {
    /// The names of the roles in settings files.
    pub const NAMES: &'static [&'static str] = &["entry", "side"];

    /// Returns the name of the role in settings files.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Side => "side",
        }
    }

    /// Returns the role with this name.
    pub(crate) fn from_name(name: &str) -> Option<Self> {
        [Self::Entry, Self::Side]
            .into_iter()
            .find(|role| role.as_str() == name)
    }
}

impl fmt::Display for ProcessRole {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// The settings of one role.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RoleSettings {
    /// The settings of an entry process.
    Entry(EntrySettings),
    /// The settings of a side process.
    Side(SideSettings),
}

impl RoleSettings {
    /// Returns the role that the settings are for.
    pub fn role(&self) -> ProcessRole {
        match self {
            Self::Entry(_) => ProcessRole::Entry,
            Self::Side(_) => ProcessRole::Side,
        }
    }
}

/// The settings of one process, checked as a whole.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessSettings {
    /// The name of the process.
    pub process: String,
    /// The settings of its role.
    pub role: RoleSettings,
    /// The host.
    pub host: HostName,
    /// The region of the host.
    pub region: String,
    /// The failure domain of the host.
    pub failure_domain: DomainName,
    /// Links to other processes.
    pub links: LinkSettings,
    /// The operators' HTTP interface.
    pub administration: AdministrationSettings,
    /// Metrics and health over HTTP.
    pub metrics: MetricsSettings,
    /// The platform's services.
    pub platform: PlatformSettings,
    /// The log.
    pub log: LogSettings,
    /// Limits on the resources that one peer may use.
    pub limits: LimitSettings,
    /// The longest time that a planned stop may take.
    pub drain_time: Duration,
    /// Options of the scheduling policy, which another crate interprets.
    pub policy: serde_json::Map<String, serde_json::Value>,
}

impl ProcessSettings {
    /// Resolves relative paths against `folder`.
    pub(crate) fn resolve_paths(&mut self, folder: &Path) {
        let mut paths: Vec<&mut PathBuf> = Vec::new();
        if let KeySource::File(path) = &mut self.links.cluster_key {
            paths.push(path);
        }
        if let Some(tls) = &mut self.links.tls {
            paths.extend([&mut tls.certificate, &mut tls.key, &mut tls.authority]);
        }
        if let RoleSettings::Entry(entry) = &mut self.role
            && let Some(tls) = &mut entry.callers.tls
        {
            paths.extend([&mut tls.certificate, &mut tls.key]);
            paths.extend(&mut tls.authority);
        }
        for path in paths {
            *path = folder.join(&*path);
        }
    }
}

/// Links to other processes.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LinkSettings {
    /// The address for links from entries.
    pub listen: SocketAddr,
    /// The key that all processes share.
    pub cluster_key: KeySource,
    /// Mutual TLS; plain TCP if absent.
    pub tls: Option<LinkTls>,
    /// The time between pings.
    pub heartbeat: Duration,
    /// A link without a frame for this long is lost.
    pub lost_after: Duration,
    /// The longest wait for a new link.
    pub connect_timeout: Duration,
}

/// Files for mutual TLS on links.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LinkTls {
    /// The certificate chain in PEM.
    pub certificate: PathBuf,
    /// The private key in PEM.
    pub key: PathBuf,
    /// The certificates that peers' certificates are checked against, in PEM.
    pub authority: PathBuf,
}

/// The operators' HTTP interface.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdministrationSettings {
    /// The address for operators.
    pub listen: SocketAddr,
    /// The SHA-256 digest in hexadecimal digits of the key that may write the first configuration.
    pub first_operator: Option<String>,
}

/// Metrics and health over HTTP.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MetricsSettings {
    /// The address for metrics and health checks.
    pub listen: SocketAddr,
}

/// The platform's services.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// The table service.
    pub table: ServiceAddress,
    /// The object store.
    pub objects: ServiceAddress,
    /// The host list.
    pub hosts: HostsAddress,
    /// The weight store.
    pub weights: ServiceAddress,
}

/// The address of one service of the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceAddress {
    /// The base URL.
    pub url: BaseUrl,
    /// The longest wait for a reply.
    pub timeout: Duration,
}

/// The address of the host list.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostsAddress {
    /// The base URL.
    pub url: BaseUrl,
    /// The longest wait for a reply.
    pub timeout: Duration,
    /// The time between two reads of the list.
    pub interval: Duration,
}

/// The least severe level that is logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// The process cannot continue.
    Critical,
    /// An operation failed.
    Error,
    /// Something needs attention.
    Warning,
    /// Ordinary events.
    Info,
    /// Details for debugging.
    Debug,
    /// Every step.
    Trace,
}

/// How log records are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One JSON object per line.
    Json,
    /// Text for people.
    Terminal,
}

/// The log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogSettings {
    /// The least severe level that is logged.
    pub level: LogLevel,
    /// How records are written.
    pub format: LogFormat,
}

/// Limits on the resources that one peer may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LimitSettings {
    /// The largest request body in bytes.
    pub body: u64,
    /// The largest request head in bytes.
    pub headers: u64,
    /// A connection without a request for this long is closed.
    pub idle_time: Duration,
    /// The most open connections.
    pub connections: u32,
    /// The most concurrent requests on one connection.
    pub streams: u32,
    /// The largest history of one program in bytes.
    pub history: u64,
}
