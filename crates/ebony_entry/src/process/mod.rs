//! The lifecycle of an entry process: joining, serving, stopped.

mod actors;
mod options;

use std::marker::PhantomData;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use actix::Addr;
use actix_web::web::Data;
use anyhow::Context as _;
use ebony_config::KeyDigest;
use ebony_link::LinkListener;
use ebony_settings::{EntrySettings, ProcessSettings, RoleSettings};
use ebony_telemetry::{HealthServer, HealthState, MetricsRegistry};
use serde_json::json;
use slog::Logger;

use self::actors::{ActorInputs, EntryActors};
use self::options::{link_identity, link_options};
use crate::admin::{AdminOptions, AdminServer, AdminState};
use crate::burn::BurnCounters;
use crate::caller_api::{CallerMetrics, CallerServer, CallerState, ServerOptions};
use crate::config::ConfigView;
use crate::dispatch::{DispatchActor, ReadReadiness};
use crate::owner::{OwnerActor, ReadStatus, StartDrain};
use crate::peers::ShardRouter;
use crate::platform::PlatformAccess;
use crate::tls::caller_tls;

/// The interval at which the state of actors is polled while the process starts or stops.
const STATE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The result of starting or stopping the process.
pub type Result<T, E = anyhow::Error> = std::result::Result<T, E>;

/// The addresses that an entry process has bound.
#[derive(Clone, Copy, Debug)]
pub struct EntryAddresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For links.
    pub links: SocketAddr,
    /// For operators.
    pub administration: SocketAddr,
    /// For metrics and health.
    pub metrics: SocketAddr,
}

impl EntryAddresses {
    /// Returns the addresses as one line of JSON.
    pub fn to_json(self) -> String {
        let addresses = json!({
            "callers": self.callers.to_string(),
            "links": self.links.to_string(),
            "administration": self.administration.to_string(),
            "metrics": self.metrics.to_string(),
        });
        addresses.to_string()
    }
}

/// Type state of a process that is loading the configuration and acquiring its shards.
#[derive(Debug)]
pub struct JoiningState;

/// Type state of a process that accepts calls.
#[derive(Debug)]
pub struct ServingState;

/// A running entry process.
pub struct EntryProcess<S> {
    parts: ProcessParts,
    state: PhantomData<S>,
}

struct ProcessParts {
    addresses: EntryAddresses,
    health: HealthState,
    view: ConfigView,
    router: ShardRouter,
    actors: EntryActors,
    callers: CallerServer,
    administration: AdminServer,
    metrics: HealthServer,
    drain_time: Duration,
}

impl ProcessParts {
    /// Binds the HTTP servers in front of the actors.
    fn bind(inputs: &ActorInputs<'_>, actors: EntryActors, links: SocketAddr) -> Result<Self> {
        let state = Data::new(caller_state(inputs, &actors)?);
        let callers = CallerServer::bind(caller_options(inputs.entry)?, Data::clone(&state), &inputs.logger)?;
        let administration = bind_administration(inputs, &actors, state)?;
        let health = HealthState::default();
        let metrics = HealthServer::bind(
            inputs.settings.metrics.listen,
            inputs.registry.clone(),
            health.clone(),
        )?;
        let addresses = EntryAddresses {
            callers: callers.address(),
            links,
            administration: administration.address(),
            metrics: metrics.address(),
        };
        Ok(Self {
            addresses,
            health,
            view: inputs.view.clone(),
            router: inputs.router.clone(),
            actors,
            callers,
            administration,
            metrics,
            drain_time: inputs.settings.drain_time,
        })
    }
}

fn caller_state(inputs: &ActorInputs<'_>, actors: &EntryActors) -> Result<CallerState> {
    Ok(CallerState::new(
        actors.owner.clone().recipient(),
        actors.owner.clone().recipient(),
        actors.peers.clone().recipient(),
        actors.peers.clone().recipient(),
        inputs.router.clone(),
        inputs.view.clone(),
        inputs.settings.limits,
        CallerMetrics::register(&inputs.registry)?,
        inputs.burn.clone(),
    ))
}

fn caller_options(entry: &EntrySettings) -> Result<ServerOptions> {
    Ok(ServerOptions {
        address: entry.callers.listen,
        tls: entry.callers.tls.as_ref().map(caller_tls).transpose()?,
    })
}

fn bind_administration(
    inputs: &ActorInputs<'_>,
    actors: &EntryActors,
    callers: Data<CallerState>,
) -> Result<AdminServer> {
    let settings = inputs.settings;
    let first = settings.administration.first_operator.as_ref();
    let first = first.map(|text| text.parse::<KeyDigest>()).transpose();
    let state = AdminState::new(
        inputs.view.clone(),
        actors.config.clone(),
        callers,
        inputs.burn.clone(),
        actors.dispatch.clone(),
        first.context("the first operator's digest is malformed")?,
    );
    let options = AdminOptions {
        address: settings.administration.listen,
        idle_time: settings.limits.idle_time,
    };
    AdminServer::bind(options, Data::new(state))
}

impl EntryProcess<JoiningState> {
    /// Starts the process in the running actix system.
    ///
    /// # Errors
    ///
    /// Fails if the settings are for another role or an address can't be bound.
    pub async fn spawn(settings: ProcessSettings, logger: Logger) -> Result<Self> {
        let RoleSettings::Entry(entry) = &settings.role else {
            anyhow::bail!("these are not the settings of an entry");
        };
        let (identity, link) = (link_identity(&settings)?, link_options(&settings.links)?);
        let listener = LinkListener::bind(settings.links.listen, identity.clone(), link.clone()).await?;
        let links = listener.address();
        let inputs = ActorInputs {
            platform: PlatformAccess::open(&settings.platform)?,
            settings: &settings,
            entry,
            identity,
            link,
            registry: MetricsRegistry::default(),
            view: ConfigView::default(),
            router: ShardRouter::new(entry.ownership.shards),
            burn: BurnCounters::open(&settings.region)?,
            logger,
        };
        let actors = EntryActors::spawn(&inputs, listener)?;
        ProcessParts::bind(&inputs, actors, links).map(|parts| Self {
            parts,
            state: PhantomData,
        })
    }

    /// Returns the bound addresses.
    pub fn addresses(&self) -> EntryAddresses {
        self.parts.addresses
    }

    /// Starts serving. The process reports itself as ready once a configuration is in force, at least one shard has an
    /// owner, and the side processes have been dialed.
    pub fn serve(self) -> EntryProcess<ServingState> {
        let (view, router, health) = (
            self.parts.view.clone(),
            self.parts.router.clone(),
            self.parts.health.clone(),
        );
        let dispatch = self.parts.actors.dispatch.clone();
        actix::spawn(async move {
            while view.version() == 0 || !router.has_routes() || !is_dispatch_ready(&dispatch).await {
                tokio::time::sleep(STATE_POLL_INTERVAL).await;
            }
            health.set_ready(true);
        });
        EntryProcess {
            parts: self.parts,
            state: PhantomData,
        }
    }
}

async fn is_dispatch_ready(dispatch: &Addr<DispatchActor>) -> bool {
    dispatch.send(ReadReadiness).await.unwrap_or(false)
}

impl EntryProcess<ServingState> {
    /// Returns the bound addresses.
    pub fn addresses(&self) -> EntryAddresses {
        self.parts.addresses
    }

    /// Stops the process gracefully: hands over its shards, waits up to the drain time for calls to end, and closes.
    pub async fn drain(self) {
        let parts = self.parts;
        parts.health.set_ready(false);
        parts.actors.owner.do_send(StartDrain);
        let deadline = Instant::now() + parts.drain_time;
        while Instant::now() < deadline && has_pending_work(&parts.actors.owner).await {
            tokio::time::sleep(STATE_POLL_INTERVAL).await;
        }
        parts.callers.stop().await;
        parts.administration.stop().await;
        parts.metrics.stop().await;
    }
}

async fn has_pending_work(owner: &Addr<OwnerActor>) -> bool {
    owner
        .send(ReadStatus)
        .await
        .is_ok_and(|status| status.shards > 0 || status.calls > 0 || status.has_undurable)
}
