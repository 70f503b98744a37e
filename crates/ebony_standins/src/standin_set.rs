//! Stand-ins that run on a dedicated thread.

use std::collections::BTreeMap;
use std::sync::mpsc as blocking;
use std::thread::JoinHandle;

use anyhow::{Context, anyhow};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

use crate::engine::{self, EngineOptions};
use crate::hosts::{self, HostsOptions};
use crate::objects::{self, ObjectsOptions};
use crate::proxy::{self, ProxyOptions};
use crate::server::{Result, StandinAddress, StandinHandle};
use crate::service::{self, ServiceOptions};
use crate::table::{self, TableOptions};
use crate::weights::{self, WeightsOptions};

/// Capacity of the command channel to the thread of a set.
const COMMAND_CAPACITY: usize = 16;

/// The options of any stand-in.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StandinOptions {
    /// A model engine.
    Engine(EngineOptions),
    /// A plain service.
    Service(ServiceOptions),
    /// A table service.
    Table(TableOptions),
    /// An object store.
    Objects(ObjectsOptions),
    /// A host list.
    Hosts(HostsOptions),
    /// A weight store.
    Weights(WeightsOptions),
    /// A TCP proxy.
    Proxy(ProxyOptions),
}

impl StandinOptions {
    /// Parses the options of the stand-in type `kind` (`engine`, `service` and so on) from JSON.
    ///
    /// ```
    /// use ebony_standins::StandinOptions;
    ///
    /// let options = StandinOptions::parse("engine", r#"{"models": ["kalo-70b"], "settings": {"slots": 4}}"#)?;
    /// assert!(matches!(options, StandinOptions::Engine(engine) if engine.settings.slots == 4));
    /// assert!(StandinOptions::parse("engine", r#"{"no_such_option": 1}"#).is_err());
    /// # Ok::<(), anyhow::Error>(())
    /// ```
    ///
    /// # Errors
    ///
    /// Fails if the kind is unknown, or the JSON does not hold options of this kind.
    pub fn parse(kind: &str, json: &str) -> Result<Self> {
        let options: serde_json::Value =
            serde_json::from_str(json).context("the stand-in options are not valid JSON")?;
        let tagged = BTreeMap::from([(kind, options)]);
        let options = serde_json::from_value(serde_json::to_value(tagged)?)?;
        Ok(options)
    }

    /// Starts the stand-in in the running actix system.
    ///
    /// # Errors
    ///
    /// Fails if a port cannot be bound.
    pub async fn spawn(self) -> Result<StandinHandle> {
        match self {
            Self::Engine(options) => engine::spawn(options).await,
            Self::Service(options) => service::spawn(options).await,
            Self::Table(options) => table::spawn(options).await,
            Self::Objects(options) => objects::spawn(options).await,
            Self::Hosts(options) => hosts::spawn(options).await,
            Self::Weights(options) => weights::spawn(options).await,
            Self::Proxy(options) => proxy::spawn(options).await,
        }
    }
}

struct AddCommand {
    options: StandinOptions,
    reply: blocking::SyncSender<Result<StandinAddress>>,
}

/// Stand-ins that run on one dedicated thread, with a separate actix system.
///
/// The handle can be sent to other threads. Dropping it stops the stand-ins and joins the thread.
///
/// ```
/// use ebony_standins::{StandinOptions, StandinSet};
///
/// let mut set = StandinSet::start()?;
/// let table = set.add("table", StandinOptions::Table(Default::default()))?;
/// assert_eq!(set.address("table"), Some(table));
/// assert!(table.data.ip().is_loopback());
/// set.stop()?;
/// # Ok::<(), anyhow::Error>(())
/// ```
pub struct StandinSet {
    commands: Option<mpsc::Sender<AddCommand>>,
    thread: Option<JoinHandle<()>>,
    addresses: BTreeMap<String, StandinAddress>,
}

impl StandinSet {
    /// Starts the thread, without stand-ins.
    ///
    /// # Errors
    ///
    /// Fails if the thread cannot be created.
    pub fn start() -> Result<Self> {
        let (sender, receiver) = mpsc::channel(COMMAND_CAPACITY);
        let thread = std::thread::Builder::new()
            .name("standins".to_owned())
            .spawn(|| actix_rt::System::new().block_on(run_commands(receiver)))?;
        Ok(Self {
            commands: Some(sender),
            thread: Some(thread),
            addresses: BTreeMap::new(),
        })
    }

    /// Starts a stand-in under a name and blocks until it listens. If the name is in use, it now refers to the new
    /// stand-in; the previous one keeps running without a name.
    ///
    /// # Errors
    ///
    /// Fails if a port cannot be bound.
    pub fn add(&mut self, name: &str, options: StandinOptions) -> Result<StandinAddress> {
        let (reply, answer) = blocking::sync_channel(1);
        let command = AddCommand { options, reply };
        let sender = self
            .commands
            .as_ref()
            .context("the stand-in set has been stopped")?;
        // The channel cannot be full: only this handle sends commands, and each call waits for its reply.
        sender
            .try_send(command)
            .map_err(|_| anyhow!("the stand-in thread has stopped"))?;
        let address = answer.recv().context("the stand-in thread has stopped")??;
        self.addresses.insert(name.to_owned(), address);
        Ok(address)
    }

    /// Returns the addresses of a stand-in.
    pub fn address(&self, name: &str) -> Option<StandinAddress> {
        self.addresses.get(name).copied()
    }

    /// Returns all addresses by name.
    pub fn addresses(&self) -> &BTreeMap<String, StandinAddress> {
        &self.addresses
    }

    /// Stops the stand-ins and joins the thread.
    ///
    /// # Errors
    ///
    /// Fails if the thread has panicked.
    pub fn stop(mut self) -> Result<()> {
        self.join()
    }

    fn join(&mut self) -> Result<()> {
        self.commands = None;
        match self.thread.take() {
            Some(thread) => thread
                .join()
                .map_err(|_| anyhow!("the stand-in thread has panicked")),
            None => Ok(()),
        }
    }
}

impl Drop for StandinSet {
    fn drop(&mut self) {
        // The only error is a panic of the thread, which the panic hook has already printed.
        self.join().ok();
    }
}

/// Executes commands until the [`StandinSet`] is dropped, then stops all stand-ins.
async fn run_commands(mut receiver: mpsc::Receiver<AddCommand>) {
    let mut handles = Vec::new();
    while let Some(command) = receiver.recv().await {
        let answer = match command.options.spawn().await {
            Ok(handle) => {
                let address = handle.address();
                handles.push(handle);
                Ok(address)
            }
            Err(error) => Err(error),
        };
        // If the caller no longer waits for the reply, the stand-in still runs until the set stops.
        command.reply.send(answer).ok();
    }
    for handle in handles {
        handle.stop().await;
    }
}
