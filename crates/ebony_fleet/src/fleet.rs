//! A deployment of real processes and stand-ins on loopback.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use anyhow::{Context, bail};
use bytes::Bytes;
use ebony_platform::{HostEntry, HostRole, HostState};
use ebony_standins::engine::{EngineOptions, EngineSettings};
use ebony_standins::hosts::HostsOptions;
use ebony_standins::objects::ObjectsOptions;
use ebony_standins::service::ServiceOptions;
use ebony_standins::table::TableOptions;
use ebony_standins::weights::WeightsOptions;
use ebony_standins::{StandinAddress, StandinOptions, StandinSet};
use ebony_types::{DomainName, HostName, ModelName};
use serde_json::{Value, json};

use crate::caller::CallerClient;
use crate::child::ChildProcess;
use crate::directory::EntryDirectory;
use crate::document::{CALLER_KEY, DocumentOptions, OPERATOR_KEY, fleet_document};
use crate::folder::FleetFolder;
use crate::relay_set::{FleetBytes, RelaySet};
use crate::settings::{FleetTimes, PlatformUrls, TargetPlan, entry_settings, side_settings};

/// The interval at which the readiness of a process is checked.
pub(crate) const READY_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The time after which a process that is not ready counts as failed. Also limits graceful stops and the reading of
/// histories.
pub(crate) const READY_TIMEOUT: Duration = Duration::from_secs(60);

/// The result of an operation on a fleet.
pub type Result<T, E = anyhow::Error> = std::result::Result<T, E>;

/// The size and the settings of a fleet.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// The executable of the daemon.
    pub program: PathBuf,
    /// The number of entry processes.
    pub entries: usize,
    /// The number of engines, each with a side process.
    pub engines: usize,
    /// The number of plain services, each with a side process.
    pub services: usize,
    /// The service name that all plain services have.
    pub service: String,
    /// The number of failure domains; hosts are assigned to them in turn.
    pub domains: usize,
    /// The models of the configuration document. Every engine has loaded them, unless `engine_models` differs.
    pub models: Vec<String>,
    /// The loaded models of each engine, by its index. Engines without an element here have all models.
    pub engine_models: Vec<Vec<String>>,
    /// Callers besides the two fixed ones, each in a group of its own. [`crate::caller_key`] returns their keys.
    pub callers: Vec<String>,
    /// The default values of the configuration document, as JSON.
    pub defaults: Value,
    /// The `policy` object in the settings of all processes.
    pub policy: Value,
    /// Whether relays count the bytes between processes and between processes and stand-ins.
    pub counts_bytes: bool,
    /// Whether the links of side processes, and the connections of all processes to the table service and the object
    /// store, go through fault-injecting proxies.
    pub has_proxies: bool,
    /// The directory for settings and logs, which is not deleted. `None` uses a temporary directory.
    pub folder: Option<PathBuf>,
    /// The log level of all processes.
    pub log_level: &'static str,
    /// The behaviour of engines.
    pub engine: EngineSettings,
    /// Intervals and timeouts of the processes.
    pub times: FleetTimes,
}

impl FleetOptions {
    /// Returns a small fleet: three entries, two engines, one service, three failure domains.
    pub fn small(program: impl Into<PathBuf>) -> Self {
        Self {
            program: program.into(),
            entries: 3,
            engines: 2,
            services: 1,
            service: SERVICE.to_owned(),
            domains: 3,
            models: vec!["kalo".to_owned()],
            engine_models: Vec::new(),
            callers: Vec::new(),
            defaults: json!({}),
            policy: json!({}),
            counts_bytes: false,
            has_proxies: false,
            folder: None,
            log_level: "debug",
            engine: EngineSettings::default(),
            times: FleetTimes::default(),
        }
    }
}

/// The name of the plain service in small fleets.
pub const SERVICE: &str = "orders";

/// The role and the index of a process in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberPlace {
    /// An entry.
    Entry(usize),
    /// A side process; those of engines come first, then those of plain services.
    Side(usize),
}

/// A running process, its settings file and its host.
pub(crate) struct FleetMember {
    pub(crate) child: ChildProcess,
    pub(crate) role: &'static str,
    pub(crate) settings: PathBuf,
    pub(crate) host: HostEntry,
}

/// A running deployment on loopback. Dropping it kills its processes.
pub struct RunningFleet {
    pub(crate) options: FleetOptions,
    folder: FleetFolder,
    pub(crate) standins: StandinSet,
    relays: RelaySet,
    pub(crate) urls: PlatformUrls,
    pub(crate) entries: Vec<FleetMember>,
    pub(crate) sides: Vec<FleetMember>,
    pub(crate) directory: EntryDirectory,
}

fn standin_urls(standins: &mut StandinSet) -> Result<PlatformUrls> {
    Ok(PlatformUrls {
        table: standins
            .add("table", StandinOptions::Table(TableOptions::default()))?
            .url(),
        objects: standins
            .add("objects", StandinOptions::Objects(ObjectsOptions::default()))?
            .url(),
        hosts: standins
            .add("hosts", StandinOptions::Hosts(HostsOptions::default()))?
            .url(),
        weights: standins
            .add("weights", StandinOptions::Weights(WeightsOptions::default()))?
            .url(),
    })
}

impl RunningFleet {
    /// Starts the stand-ins and processes, and waits until all entries are ready. Must run in an actix system.
    ///
    /// # Errors
    ///
    /// Fails if a process does not start or does not become ready.
    pub async fn start(options: FleetOptions) -> Result<Self> {
        let mut standins = StandinSet::start()?;
        let mut relays = RelaySet::new(options.counts_bytes);
        let urls = relays.relay_platform(standin_urls(&mut standins)?)?;
        let folder = FleetFolder::open(options.folder.as_deref())?;
        let (entries, sides) = (Vec::new(), Vec::new());
        let mut fleet = Self {
            options,
            folder,
            standins,
            relays,
            urls,
            entries,
            sides,
            directory: EntryDirectory::default(),
        };
        for index in 0..fleet.options.engines {
            fleet.add_engine(index)?;
        }
        for index in 0..fleet.options.services {
            fleet.add_service(index)?;
        }
        fleet.publish_hosts().await?;
        for index in 0..fleet.options.entries {
            fleet.add_entry(&format!("entry-{index}"), index)?;
        }
        fleet.publish_hosts().await?;
        if fleet.options.entries > 0 {
            fleet.write_document().await?;
        }
        fleet.wait_ready().await?;
        fleet.route_to_all()?;
        Ok(fleet)
    }

    /// Writes the first configuration document as the operator, through the first entry.
    async fn write_document(&self) -> Result<()> {
        let document = fleet_document(&DocumentOptions {
            models: &self.options.models,
            service: &self.options.service,
            callers: &self.options.callers,
            defaults: &self.options.defaults,
        })?;
        let body = json!({"expected": 0, "summary": "first configuration", "document": document});
        let reply = self
            .operator(0)?
            .send("PUT", "/v1/config", None, None, Bytes::from(body.to_string()))
            .await?;
        if reply.status != 200 {
            bail!("the first configuration was refused: {}", reply.json());
        }
        Ok(())
    }

    fn domain(&self, index: usize) -> String {
        domain_name(index % self.options.domains.max(1))
    }

    fn add_engine(&mut self, index: usize) -> Result<()> {
        let models = self.options.engine_models.get(index);
        let models = models.unwrap_or(&self.options.models).clone();
        let names = models.iter().map(|model| ModelName::parse(model));
        let engine = EngineOptions {
            models: names.collect::<Result<_, _>>()?,
            settings: self.options.engine.clone(),
            ..EngineOptions::default()
        };
        let address = self
            .standins
            .add(&format!("engine-{index}"), StandinOptions::Engine(engine))?
            .data;
        let target = TargetPlan::Engine {
            address: self.relays.relay_target(address)?,
            models,
            slots: self.options.engine.slots,
            checks_fencing: self.options.engine.checks_fencing,
        };
        self.add_side(&format!("side-engine-{index}"), index, &target)
    }

    fn add_service(&mut self, index: usize) -> Result<()> {
        let options = ServiceOptions {
            service: self.options.service.clone(),
            ..ServiceOptions::default()
        };
        let address = self
            .standins
            .add(&format!("service-{index}"), StandinOptions::Service(options))?
            .data;
        let target = TargetPlan::Service {
            address: self.relays.relay_target(address)?,
            service: self.options.service.clone(),
        };
        self.add_side(&format!("side-service-{index}"), index, &target)
    }

    fn add_side(&mut self, process: &str, index: usize, target: &TargetPlan) -> Result<()> {
        let domain = self.domain(index);
        let urls = self.proxy_platform(process)?;
        let mut settings = side_settings(process, &domain, &urls, self.options.times, target);
        self.apply_options(&mut settings);
        let mut member = self.start_member(process, "side", &domain, &settings)?;
        member.host.address = self.relays.relay_link(member.host.address)?;
        self.proxy_link(process, member.host.address)?;
        self.sides.push(member);
        Ok(())
    }

    fn add_entry(&mut self, process: &str, index: usize) -> Result<()> {
        let domain = self.domain(index);
        let urls = self.proxy_platform(process)?;
        let mut settings = entry_settings(process, &domain, &urls, self.options.times);
        self.apply_options(&mut settings);
        let member = self.start_member(process, "entry", &domain, &settings)?;
        self.entries.push(member);
        Ok(())
    }

    fn apply_options(&self, settings: &mut Value) {
        settings["policy"] = self.options.policy.clone();
        settings["log"]["level"] = self.options.log_level.into();
    }

    fn start_member(
        &self,
        process: &str,
        role: &'static str,
        domain: &str,
        settings: &Value,
    ) -> Result<FleetMember> {
        let path = self.folder.path().join(format!("{process}.jsonc"));
        std::fs::write(&path, settings.to_string())?;
        let child = ChildProcess::spawn(&self.options.program, role, &path)?;
        let host = HostEntry {
            host: HostName::parse(process)?,
            role: if role == "entry" {
                HostRole::Entry
            } else {
                HostRole::Side
            },
            address: child.address("links")?,
            domain: DomainName::parse(domain)?,
            state: HostState::Live,
        };
        Ok(FleetMember {
            child,
            role,
            settings: path,
            host,
        })
    }

    /// Returns the bytes counted so far; zero without [`FleetOptions::counts_bytes`].
    pub fn bytes(&self) -> FleetBytes {
        self.relays.bytes()
    }

    /// Writes the current hosts to the host list.
    ///
    /// # Errors
    ///
    /// Fails if the host list does not answer.
    pub async fn publish_hosts(&self) -> Result<()> {
        let members = self.entries.iter().chain(&self.sides);
        let mut hosts = Vec::new();
        for member in members {
            hosts.push(self.published_host(&member.host).await?);
        }
        self.hosts()?.set_hosts(&hosts).await
    }

    /// Waits until all entries are ready.
    ///
    /// # Errors
    ///
    /// Fails if one is not ready after a minute.
    pub async fn wait_ready(&self) -> Result<()> {
        for member in &self.entries {
            wait_ready(&member.child).await?;
        }
        Ok(())
    }

    /// Returns the number of entries.
    pub fn entry_count(&self) -> usize {
        self.entries.len()
    }

    /// Returns the process of an entry.
    pub fn entry(&mut self, index: usize) -> &mut ChildProcess {
        &mut self.entries[index].child
    }

    /// Returns a side process; those of engines come first, then those of plain services.
    pub fn side(&mut self, index: usize) -> &mut ChildProcess {
        &mut self.sides[index].child
    }

    /// Returns a client that calls an entry as the first caller, with [`CALLER_KEY`].
    ///
    /// # Errors
    ///
    /// Fails if the entry has no address.
    pub fn caller(&self, entry: usize) -> Result<CallerClient> {
        self.caller_with(entry, CALLER_KEY)
    }

    /// Returns a client that calls an entry with the given bearer key.
    ///
    /// # Errors
    ///
    /// Fails if the entry has no address.
    pub fn caller_with(&self, entry: usize, key: &str) -> Result<CallerClient> {
        Ok(CallerClient::open(
            self.entries[entry].child.address("callers")?,
            key,
        ))
    }

    /// Returns a client that calls an entry's administration address as the operator.
    ///
    /// # Errors
    ///
    /// Fails if the entry has no address.
    pub fn operator(&self, entry: usize) -> Result<CallerClient> {
        Ok(CallerClient::open(self.administration(entry)?, OPERATOR_KEY))
    }

    /// Returns an entry's administration address.
    ///
    /// # Errors
    ///
    /// Fails if the entry has no address.
    pub fn administration(&self, entry: usize) -> Result<SocketAddr> {
        self.entries[entry].child.address("administration")
    }

    pub(crate) fn standin(&self, name: &str) -> Result<StandinAddress> {
        self.standins
            .address(name)
            .with_context(|| format!("no stand-in {name}"))
    }
}

pub(crate) fn domain_name(index: usize) -> String {
    format!("domain-{index}")
}

pub(crate) async fn wait_ready(child: &ChildProcess) -> Result<()> {
    let url = format!("http://{}/readyz", child.address("metrics")?);
    let client = awc::Client::default();
    let deadline = Instant::now() + READY_TIMEOUT;
    while Instant::now() < deadline {
        if client
            .get(&url)
            .send()
            .await
            .is_ok_and(|response| response.status().is_success())
        {
            return Ok(());
        }
        tokio::time::sleep(READY_POLL_INTERVAL).await;
    }
    bail!(
        "the process was not ready within {READY_TIMEOUT:?}: {}",
        child.log()
    )
}
