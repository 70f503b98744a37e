//! The life of a side process.

use std::net::SocketAddr;

use actix::Actor;
use anyhow::Context;
use ebony_link::{LinkIdentity, LinkListener, LinkOptions};
use ebony_settings::{ProcessSettings, RoleSettings};
use ebony_telemetry::{HealthServer, HealthState, MetricsRegistry};
use ebony_types::ProcessIncarnation;
use ebony_wire::LinkRole;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::json;
use slog::Logger;

use crate::links::SideActor;
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
}

impl SideProcess {
    /// Starts the process in the running actix system.
    ///
    /// # Errors
    ///
    /// Fails if the settings are those of another role, an address can't be bound, or a target can't be opened.
    pub async fn spawn(settings: ProcessSettings, logger: Logger) -> Result<Self> {
        let RoleSettings::Side(side) = &settings.role else {
            anyhow::bail!("these are not the settings of a side process");
        };
        let key = settings
            .links
            .cluster_key
            .load()
            .context("cannot load the cluster key")?;
        let identity = LinkIdentity {
            key,
            process: settings.process.clone(),
            role: LinkRole::Side,
            incarnation: ProcessIncarnation::random(&mut StdRng::from_os_rng()),
        };
        let listener = LinkListener::bind(settings.links.listen, identity, LinkOptions::default()).await?;
        let targets = side
            .targets
            .iter()
            .map(OpenTarget::open)
            .collect::<Result<Vec<_>>>()?;
        let targets = targets
            .into_iter()
            .map(|target| (target.report.target.clone(), target))
            .collect();
        let health = HealthState::default();
        let server = HealthServer::bind(
            settings.metrics.listen,
            MetricsRegistry::default(),
            health.clone(),
        )?;
        let addresses = SideAddresses {
            links: listener.address(),
            metrics: server.address(),
        };
        SideActor::new(listener, settings.failure_domain, targets, logger).start();
        health.set_ready(true);
        Ok(Self {
            addresses,
            health,
            server,
        })
    }

    /// Returns the bound addresses.
    pub fn addresses(&self) -> SideAddresses {
        self.addresses
    }

    /// Stops the process gracefully.
    pub async fn drain(self) {
        self.health.set_ready(false);
        self.server.stop().await;
    }
}
