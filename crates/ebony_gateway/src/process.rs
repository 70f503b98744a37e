//! The lifecycle of a gateway process: binding ports, serving and draining.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ebony_listener::ServingPort;
use ebony_settings::GatewaySettings;
use ebony_telemetry::{HealthServer, HealthState, MetricsRegistry};
use serde_json::json;
use slog::{Logger, info, warn};
use tokio::time::{Instant, sleep};

use crate::gateway::{Gateway, GatewayDialect, GatewayStore, dispatch_options};
use crate::links;
use crate::listener::CallerListener;
use crate::{quotas, sweeper, target_spread, watch};

/// How long a draining gateway continues to accept calls. The load balancer checks readiness every second and stops
/// sending new callers after two failed checks.
const BALANCER_DETECTION_TIME: Duration = Duration::from_millis(3_000);

/// How long before the end of the drain time the gateway closes connections, so that the exit of the process cuts none.
const CLOSING_TIME: Duration = Duration::from_millis(400);

/// The interval of checks whether calls are still running.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The result of starting a gateway.
pub type Result<T, E = anyhow::Error> = std::result::Result<T, E>;

/// The addresses that a gateway listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatewayAddresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For metrics and health.
    pub metrics: SocketAddr,
}

impl GatewayAddresses {
    /// Returns the addresses as one line of JSON.
    pub fn to_json(self) -> String {
        json!({ "callers": self.callers, "metrics": self.metrics }).to_string()
    }
}

/// A gateway whose ports are bound.
pub struct GatewayProcess {
    gateway: Rc<Gateway>,
    listener: CallerListener,
    health_server: HealthServer,
    addresses: GatewayAddresses,
    settings: GatewaySettings,
}

impl GatewayProcess {
    /// Binds the ports. Must be called within an actix system.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound.
    pub fn bind(
        settings: &GatewaySettings,
        dialect: Rc<dyn GatewayDialect>,
        store: Rc<dyn GatewayStore>,
        logger: Logger,
    ) -> Result<Self> {
        let registry = MetricsRegistry::default();
        let health = HealthState::default();
        let listener = CallerListener::bind(settings.callers.clone())?;
        let health_server = HealthServer::bind_with_collector(
            settings.metrics.listen,
            settings.metrics.collector_listen,
            registry.clone(),
            health.clone(),
        )?;
        let addresses = GatewayAddresses {
            callers: listener.address()?,
            metrics: health_server.address(),
        };
        Ok(Self {
            gateway: Gateway::open(settings, dialect, store, &registry, health, logger)?,
            listener,
            health_server,
            addresses,
            settings: settings.clone(),
        })
    }

    /// Returns the addresses that the gateway listens on.
    pub fn addresses(&self) -> GatewayAddresses {
        self.addresses
    }

    /// Starts the background tasks and serves callers.
    ///
    /// # Errors
    ///
    /// Fails if the HTTP service does not start.
    pub async fn serve(self) -> Result<ServingGateway> {
        let gateway = self.gateway;
        tokio::task::spawn_local(watch::watch_routing(Rc::clone(&gateway)));
        tokio::task::spawn_local(watch::watch_targets(Rc::clone(&gateway)));
        tokio::task::spawn_local(watch::watch_fleet(Rc::clone(&gateway)));
        tokio::task::spawn_local(Rc::clone(&gateway.fleet).keep_registered());
        tokio::task::spawn_local(Rc::clone(&gateway.crashes).maintain_row());
        tokio::task::spawn_local(Rc::clone(&gateway.streams).run_reads());
        tokio::task::spawn_local(Rc::clone(&gateway.streams).maintain_releases());
        tokio::task::spawn_local(Rc::clone(&gateway.streams).maintain_row());
        tokio::task::spawn_local(links::serve(Rc::clone(&gateway), self.settings.links.listen));
        tokio::task::spawn_local(Rc::clone(&gateway.links).maintain_links());
        tokio::task::spawn_local(watch::run_maintenance(Rc::clone(&gateway)));
        tokio::task::spawn_local(watch::watch_memory(Rc::clone(&gateway)));
        tokio::task::spawn_local(target_spread::watch_spread(Rc::clone(&gateway)));
        tokio::task::spawn_local(sweeper::sweep(Rc::clone(&gateway)));
        tokio::task::spawn_local(quotas::run(Rc::clone(&gateway)));
        let port = self.listener.serve(Rc::clone(&gateway)).await?;
        Ok(ServingGateway {
            gateway,
            port,
            health_server: self.health_server,
            settings: self.settings,
        })
    }
}

/// A gateway that is serving callers.
pub struct ServingGateway {
    gateway: Rc<Gateway>,
    port: ServingPort,
    health_server: HealthServer,
    settings: GatewaySettings,
}

impl ServingGateway {
    /// Applies changed settings: the policy and the drain time. A change of any other setting needs a restart of the
    /// process and is logged as a warning.
    pub fn apply(&mut self, settings: GatewaySettings) {
        let logger = &self.gateway.logger;
        let applied = GatewaySettings {
            policy: settings.policy.clone(),
            drain_time: settings.drain_time,
            // Only used when the process starts.
            first_start: settings.first_start,
            ..self.settings.clone()
        };
        if applied != settings {
            warn!(logger, "some changed settings need a restart of the process");
        }
        self.gateway.options.set(dispatch_options(&applied.policy));
        info!(logger, "settings reloaded";
            "placement" => &applied.policy.placement, "even_load" => &applied.policy.even_load,
            "admission" => &applied.policy.admission,
            "drain_ms" => applied.drain_time.as_millis() as u64);
        self.settings = applied;
    }

    /// Stops gracefully. Reports that it is not ready, accepts calls until the load balancer has noticed, then refuses
    /// new ones, and returns when no call is running or the drain time is over.
    pub async fn drain(self) {
        let start = Instant::now();
        self.gateway.is_draining.set(true);
        self.gateway.update_health();
        let drain_time = self.settings.drain_time;
        sleep(BALANCER_DETECTION_TIME.min(drain_time / 2)).await;
        self.gateway.is_closing.set(true);
        let limit = start + drain_time.saturating_sub(CLOSING_TIME);
        while self.gateway.open_calls.get() > 0 && Instant::now() < limit {
            sleep(DRAIN_POLL_INTERVAL).await;
        }
        self.gateway.is_ending.send_replace(true);
        self.port.close(CLOSING_TIME / 2).await;
        info!(self.gateway.logger, "drained";
            "calls_left" => self.gateway.open_calls.get(), "took_ms" => start.elapsed().as_millis() as u64);
        self.health_server.stop().await;
    }
}
