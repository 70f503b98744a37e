//! A deployment on loopback.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use anyhow::{Context, bail};
use bytes::Bytes;
use ebony_platform::{HostEntry, HostRole, HostState};
use ebony_standins::engine::{EngineControl, EngineOptions, EngineSettings};
use ebony_standins::hosts::{HostsControl, HostsOptions};
use ebony_standins::objects::{ObjectsControl, ObjectsOptions};
use ebony_standins::service::{ServiceControl, ServiceOptions};
use ebony_standins::table::{TableControl, TableOptions};
use ebony_standins::weights::WeightsOptions;
use ebony_standins::{StandinAddress, StandinOptions, StandinSet};
use ebony_types::{DomainName, HostName, ModelName, ProgramId};
use serde_json::{Value, json};
use tempfile::TempDir;

use crate::audit::AuditReport;
use crate::caller::CallerClient;
use crate::child::{ChildProcess, StopSignal};
use crate::directory::EntryDirectory;
use crate::document::{CALLER_KEY, OPERATOR_KEY, fleet_document};
use crate::settings::{FleetTimes, PlatformUrls, TargetPlan, entry_settings, side_settings};
use crate::workload::ProgramLog;

/// The pause between two looks at a process that should become ready.
const READY_POLL: Duration = Duration::from_millis(10);

/// The longest wait for a process to become ready.
const READY_LIMIT: Duration = Duration::from_secs(60);

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
    /// Plain services, each with a side process. They all serve the service `orders`.
    pub services: usize,
    /// Failure domains, over which hosts are spread.
    pub domains: usize,
    /// Models that every engine has loaded.
    pub models: Vec<String>,
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
            domains: 3,
            models: vec!["kalo".to_owned()],
            engine: EngineSettings::default(),
            times: FleetTimes::default(),
        }
    }
}

/// The name of the plain service in every fleet.
pub const SERVICE: &str = "orders";

/// A running process, its settings file and its host.
struct FleetMember {
    child: ChildProcess,
    role: &'static str,
    settings: PathBuf,
    host: HostEntry,
}

/// A running deployment on loopback. Dropping it kills its processes.
pub struct RunningFleet {
    options: FleetOptions,
    folder: TempDir,
    standins: StandinSet,
    urls: PlatformUrls,
    entries: Vec<FleetMember>,
    sides: Vec<FleetMember>,
    directory: EntryDirectory,
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
        let urls = standin_urls(&mut standins)?;
        let folder = tempfile::tempdir()?;
        let (entries, sides) = (Vec::new(), Vec::new());
        let mut fleet = Self {
            options,
            folder,
            standins,
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
        let document = fleet_document(&self.options.models, &[SERVICE.to_owned()])?;
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
        format!("domain-{}", index % self.options.domains.max(1))
    }

    fn add_engine(&mut self, index: usize) -> Result<()> {
        let models = self.options.models.iter().map(|model| ModelName::parse(model));
        let engine = EngineOptions {
            models: models.collect::<Result<_, _>>()?,
            settings: self.options.engine.clone(),
            ..EngineOptions::default()
        };
        let address = self
            .standins
            .add(&format!("engine-{index}"), StandinOptions::Engine(engine))?
            .data;
        let target = TargetPlan::Engine {
            address,
            models: self.options.models.clone(),
            slots: self.options.engine.slots,
            checks_fencing: self.options.engine.checks_fencing,
        };
        self.add_side(&format!("side-engine-{index}"), index, &target)
    }

    fn add_service(&mut self, index: usize) -> Result<()> {
        let options = ServiceOptions {
            service: SERVICE.to_owned(),
            ..ServiceOptions::default()
        };
        let address = self
            .standins
            .add(&format!("service-{index}"), StandinOptions::Service(options))?
            .data;
        let target = TargetPlan::Service {
            address,
            service: SERVICE.to_owned(),
        };
        self.add_side(&format!("side-service-{index}"), index, &target)
    }

    fn add_side(&mut self, process: &str, index: usize, target: &TargetPlan) -> Result<()> {
        let domain = self.domain(index);
        let settings = side_settings(process, &domain, &self.urls, self.options.times, target);
        let member = self.start_member(process, "side", &domain, &settings)?;
        self.sides.push(member);
        Ok(())
    }

    fn add_entry(&mut self, process: &str, index: usize) -> Result<()> {
        let domain = self.domain(index);
        let settings = entry_settings(process, &domain, &self.urls, self.options.times);
        let member = self.start_member(process, "entry", &domain, &settings)?;
        self.entries.push(member);
        Ok(())
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

    /// Publishes the present hosts in the host list.
    ///
    /// # Errors
    ///
    /// Fails if the host list does not answer.
    pub async fn publish_hosts(&self) -> Result<()> {
        let members = self.entries.iter().chain(&self.sides);
        let hosts: Vec<HostEntry> = members.map(|member| member.host.clone()).collect();
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

    /// Returns the directory by which callers find entries.
    pub fn directory(&self) -> EntryDirectory {
        self.directory.clone()
    }

    /// Sends callers to all entries, as the load balancer does when they are ready.
    ///
    /// # Errors
    ///
    /// Fails if an entry has no address.
    pub fn route_to_all(&self) -> Result<()> {
        self.route_without(&[])
    }

    /// Sends callers to all entries but some, as the load balancer does when these are not ready.
    ///
    /// # Errors
    ///
    /// Fails if an entry has no address.
    pub fn route_without(&self, left_out: &[usize]) -> Result<()> {
        let members = self.entries.iter().enumerate();
        let routed = members.filter(|(index, _)| !left_out.contains(index));
        let addresses: Result<Vec<SocketAddr>> = routed
            .map(|(_, member)| member.child.address("callers"))
            .collect();
        self.directory.set(addresses?);
        Ok(())
    }

    /// Compares what callers were told with the histories and with what the services ran.
    ///
    /// # Errors
    ///
    /// Fails if a stand-in does not answer or a history can't be read.
    pub async fn audit(&self, logs: &[ProgramLog]) -> Result<AuditReport> {
        let mut report = AuditReport::default();
        let mut runs = BTreeMap::new();
        for index in 0..self.options.services {
            for (key, count) in self.service(index)?.runs(1).await?.keys {
                *runs.entry(key).or_insert(0) += count;
            }
        }
        for log in logs {
            report.audit_orders(log, &runs);
            if let Some(program) = log.program {
                let client = self.caller_with(0, &log.plan.caller_key)?;
                report.audit_history(log, &read_view(&client, program).await?);
            }
        }
        let programs: Vec<ProgramId> = logs.iter().filter_map(|log| log.program).collect();
        report.audit_programs(&programs);
        Ok(report)
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

    /// Kills an entry and starts another process in its place, which has no memory of it. Does not wait until it is
    /// ready.
    ///
    /// # Errors
    ///
    /// Fails if the new process does not start.
    pub async fn replace_entry(&mut self, index: usize) -> Result<()> {
        replace(&self.options.program, &mut self.entries[index])?;
        self.publish_hosts().await
    }

    /// Kills a side process and starts another one in its place.
    ///
    /// # Errors
    ///
    /// Fails if the new process does not start.
    pub async fn replace_side(&mut self, index: usize) -> Result<()> {
        replace(&self.options.program, &mut self.sides[index])?;
        self.publish_hosts().await
    }

    /// Stops an entry as planned, waits until it has ended, and starts another one in its place.
    ///
    /// # Errors
    ///
    /// Fails if the stop takes longer than a minute.
    pub async fn roll_entry(&mut self, index: usize) -> Result<()> {
        roll(&mut self.entries[index]).await?;
        self.replace_entry(index).await?;
        wait_ready(&self.entries[index].child).await
    }

    /// Stops a side process as planned, waits until it has ended, and starts another one in its place.
    ///
    /// # Errors
    ///
    /// Fails if the stop takes longer than a minute.
    pub async fn roll_side(&mut self, index: usize) -> Result<()> {
        roll(&mut self.sides[index]).await?;
        self.replace_side(index).await
    }

    fn standin(&self, name: &str) -> Result<StandinAddress> {
        self.standins
            .address(name)
            .with_context(|| format!("no stand-in {name}"))
    }

    /// Controls the table service.
    ///
    /// # Errors
    ///
    /// Fails if there is none.
    pub fn table(&self) -> Result<TableControl> {
        Ok(TableControl::open(self.standin("table")?.control))
    }

    /// Controls the object store.
    ///
    /// # Errors
    ///
    /// Fails if there is none.
    pub fn objects(&self) -> Result<ObjectsControl> {
        Ok(ObjectsControl::open(self.standin("objects")?.control))
    }

    /// Controls the host list.
    ///
    /// # Errors
    ///
    /// Fails if there is none.
    pub fn hosts(&self) -> Result<HostsControl> {
        Ok(HostsControl::open(self.standin("hosts")?.control))
    }

    /// Controls an engine.
    ///
    /// # Errors
    ///
    /// Fails if there is none.
    pub fn engine(&self, index: usize) -> Result<EngineControl> {
        Ok(EngineControl::open(
            self.standin(&format!("engine-{index}"))?.control,
        ))
    }

    /// Controls a plain service.
    ///
    /// # Errors
    ///
    /// Fails if there is none.
    pub fn service(&self, index: usize) -> Result<ServiceControl> {
        Ok(ServiceControl::open(
            self.standin(&format!("service-{index}"))?.control,
        ))
    }

    /// Returns the address of a stand-in's data port, for direct calls.
    ///
    /// # Errors
    ///
    /// Fails if there is none.
    pub fn direct_address(&self, name: &str) -> Result<SocketAddr> {
        Ok(self.standin(name)?.data)
    }
}

/// Reads a program with its history; tries again while its owner moves.
async fn read_view(client: &CallerClient, program: ProgramId) -> Result<Value> {
    let give_up = Instant::now() + READY_LIMIT;
    loop {
        let reply = client.show_program(program).await?;
        if reply.status == 200 {
            return Ok(reply.json());
        }
        if Instant::now() > give_up {
            bail!(
                "{program} can't be read: {}",
                String::from_utf8_lossy(&reply.body)
            );
        }
        tokio::time::sleep(READY_POLL).await;
    }
}

fn replace(program: &std::path::Path, member: &mut FleetMember) -> Result<()> {
    // The process may have ended already.
    let _ = member.child.signal(StopSignal::Kill);
    member.child = ChildProcess::spawn(program, member.role, &member.settings)?;
    member.host.address = member.child.address("links")?;
    Ok(())
}

async fn roll(member: &mut FleetMember) -> Result<()> {
    member.child.signal(StopSignal::Terminate)?;
    let status = member.child.wait(READY_LIMIT).await?;
    if !status.success() {
        bail!("the process ended with {status}: {}", member.child.log());
    }
    Ok(())
}

async fn wait_ready(child: &ChildProcess) -> Result<()> {
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
