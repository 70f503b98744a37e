//! Starting and stopping a side process.

use std::net::SocketAddr;
use std::time::Duration;

use actix::{Actor, Addr};
use anyhow::Context;
use ebony_link::{LinkIdentity, LinkListener};
use ebony_settings::{ProcessSettings, RoleSettings};
use ebony_telemetry::{HealthServer, HealthState, MetricsRegistry};
use ebony_types::ProcessIncarnation;
use ebony_wire::LinkRole;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::json;
use slog::{Logger, warn};
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::actor::{BeginDrain, SideActor, SideIdentity, StopActor};
use crate::metrics::SideMetrics;
use crate::options::{SideOptions, link_options};
use crate::target::OpenTarget;

/// The result of starting or stopping the process.
pub type Result<T, E = anyhow::Error> = std::result::Result<T, E>;

/// The addresses that a side process has bound.
#[derive(Clone, Copy, Debug)]
pub struct SideAddresses {
    /// For links from entries.
    pub links: SocketAddr,
    /// For metrics and health.
    pub metrics: SocketAddr,
}

impl SideAddresses {
    /// Returns the addresses as one line of JSON.
    pub fn to_json(self) -> String {
        json!({"links": self.links.to_string(), "metrics": self.metrics.to_string()}).to_string()
    }
}

/// A running side process.
pub struct SideProcess {
    addresses: SideAddresses,
    health: HealthState,
    server: HealthServer,
    actor: Addr<SideActor>,
    drain_time: Duration,
    logger: Logger,
}

impl SideProcess {
    /// Starts the process in the running actix system.
    ///
    /// # Errors
    ///
    /// Fails if the settings are those of another role, an address can't be bound, or a target can't be opened.
    pub async fn spawn(settings: ProcessSettings, logger: Logger) -> Result<Self> {
        let RoleSettings::Side(side) = &settings.role else {
            anyhow::bail!("the settings are for another role; expected a side process");
        };
        let options = SideOptions::from_settings(&settings, side.ledger)?;
        let identity = link_identity(&settings)?;
        let listener =
            LinkListener::bind(settings.links.listen, identity, link_options(&settings.links)?).await?;
        let targets = side.targets.iter().map(OpenTarget::open);
        let targets = targets.collect::<Result<Vec<_>>>()?;
        let registry = MetricsRegistry::default();
        let metrics = SideMetrics::register(&registry)?;
        let health = HealthState::default();
        let server = HealthServer::bind(settings.metrics.listen, registry, health.clone())?;
        let addresses = SideAddresses {
            links: listener.address(),
            metrics: server.address(),
        };
        let drain_time = options.drain_time;
        let identity = SideIdentity {
            process: settings.process,
            domain: settings.failure_domain,
        };
        let actor = SideActor::new(identity, options, listener, targets, metrics, logger.clone());
        health.set_ready(true);
        Ok(Self {
            addresses,
            health,
            server,
            actor: actor.start(),
            drain_time,
            logger,
        })
    }

    /// Returns the bound addresses.
    pub fn addresses(&self) -> SideAddresses {
        self.addresses
    }

    /// Stops the process gracefully: refuses new calls, waits until the admitted calls have ended and their answers are
    /// sent, and closes the links. Takes at most the drain time of the settings; calls unfinished by then are aborted.
    pub async fn drain(self) {
        self.health.set_ready(false);
        let (done, drained) = oneshot::channel();
        self.actor.do_send(BeginDrain(done));
        if timeout(self.drain_time, drained).await.is_err() {
            warn!(self.logger, "drain time limit reached; aborting unfinished calls");
        }
        self.actor.do_send(StopActor);
        self.server.stop().await;
    }
}

fn link_identity(settings: &ProcessSettings) -> Result<LinkIdentity> {
    let key = settings.links.cluster_key.load();
    Ok(LinkIdentity {
        key: key.context("cannot load the cluster key")?,
        process: settings.process.clone(),
        role: LinkRole::Side,
        incarnation: ProcessIncarnation::random(&mut StdRng::from_os_rng()),
    })
}
