//! A deployment on loopback.

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

/// The pause between two looks at a process that should become ready.
pub(crate) const READY_POLL: Duration = Duration::from_millis(10);

/// The longest wait for a process to become ready.
pub(crate) const READY_LIMIT: Duration = Duration::from_secs(60);

/// The result of an operation on a fleet.
pub type Result<T, E = anyhow::Error> = std::result::Result<T, E>;

/// What a fleet consists of.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// The executable of the daemon.
    pub program: PathBuf,
    /// Entry processes.
    pub entries: usize,
    /// Engines, each with a side process.
    pub engines: usize,
    /// Plain services, each with a side process.
    pub services: usize,
    /// The service that all plain services serve.
    pub service: String,
    /// Failure domains, over which hosts are spread.
    pub domains: usize,
    /// Models in force, which every engine has loaded unless `engine_models` says otherwise.
    pub models: Vec<String>,
    /// The models of each engine, by its number. Engines without an entry have all models.
    pub engine_models: Vec<Vec<String>>,
    /// Callers in force besides the usual two, each a group of its own. [`crate::caller_key`] returns their keys.
    pub callers: Vec<String>,
    /// The default values of the configuration document, as JSON.
    pub defaults: Value,
    /// The `policy` object in the settings of all processes.
    pub policy: Value,
    /// Whether the bytes between processes and stand-ins are counted, which takes a relay in between.
    pub counts_bytes: bool,
    /// Whether fault-injecting proxies stand in front of the links of side processes, and between each process and the
    /// table service and object store.
    pub has_proxies: bool,
    /// The folder for settings and logs, which is kept; a temporary one if `None`.
    pub folder: Option<PathBuf>,
    /// The level of the log.
    pub log_level: &'static str,
    /// How engines behave.
    pub engine: EngineSettings,
    /// Times of the processes.
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

/// Where a process is in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberPlace {
    /// Among the entries.
    Entry(usize),
    /// Among the side processes.
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
    /// Starts the stand-ins and processes, and waits until all entries are ready. Must be called in an actix system.
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

    /// Writes the first configuration as the first operator, through the first entry.
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
        self.adjust(&mut settings);
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
        self.adjust(&mut settings);
        let member = self.start_member(process, "entry", &domain, &settings)?;
        self.entries.push(member);
        Ok(())
    }

    fn adjust(&self, settings: &mut Value) {
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

    /// Returns the bytes so far; zero if they are not counted.
    pub fn bytes(&self) -> FleetBytes {
        self.relays.bytes()
    }

    /// Publishes the present hosts in the host list.
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

    /// Returns the process of a side; engines come first, then services.
    pub fn side(&mut self, index: usize) -> &mut ChildProcess {
        &mut self.sides[index].child
    }

    /// Returns a client of the first caller at an entry.
    ///
    /// # Errors
    ///
    /// Fails if the entry has no address.
    pub fn caller(&self, entry: usize) -> Result<CallerClient> {
        self.caller_with(entry, CALLER_KEY)
    }

    /// Returns a client with a bearer key at an entry.
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

    /// Returns a client of the operator at an entry's administration address.
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
    let give_up = Instant::now() + READY_LIMIT;
    while Instant::now() < give_up {
        if client
            .get(&url)
            .send()
            .await
            .is_ok_and(|response| response.status().is_success())
        {
            return Ok(());
        }
        tokio::time::sleep(READY_POLL).await;
    }
    bail!("the process is not ready: {}", child.log())
}
