//! The life of an entry process: joining, serving, stopped.

use std::marker::PhantomData;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix::{Actor, Addr, Context};
use actix_web::web::Data;
use anyhow::Context as _;
use ebony_config::KeyDigest;
use ebony_link::{LinkIdentity, LinkListener, LinkOptions, tls};
use ebony_owner::OwnerSettings;
use ebony_platform::{HostList, HostRole, HttpWeights, RequestLimits, WeightStore};
use ebony_settings::{EntrySettings, LinkSettings, ProcessSettings, RoleSettings};
use ebony_telemetry::{HealthServer, HealthState, MetricsRegistry};
use ebony_types::ProcessIncarnation;
use ebony_wire::LinkRole;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::json;
use slog::Logger;

use crate::admin::{AdminOptions, AdminServer, AdminState};
use crate::burn::BurnCell;
use crate::caller_api::{CallerMetrics, CallerServer, CallerState, ServerOptions};
use crate::config::{ConfigActor, ConfigOptions, ConfigView, LinkConfig};
use crate::dispatch::{
    DispatchActor, DispatchMetrics, DispatchOptions, LinkDispatch, ReadReadiness, is_loading_on, read_policy,
};
use crate::owner::{LinkOwner, OwnerActor, OwnerOptions, ReadStatus, StartDrain, StorageClient, wall_now};
use crate::peers::{ConfigRecipients, PeerActor, PeerOptions, PeersListed, ShardRouter};
use crate::platform::PlatformAccess;
use crate::tls::caller_tls;

/// The time between two looks at the state of an actor while the process starts or stops.
const STATE_POLL: Duration = Duration::from_millis(20);

/// Messages that wait for an actor. A full mailbox refuses calls as not run.
const MAILBOX_MESSAGES: usize = 8_192;

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

/// Marks a process that learns the configuration and its shards.
#[derive(Debug)]
pub struct JoiningState;

/// Marks a process that takes calls.
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
    owner: Addr<OwnerActor>,
    dispatch: Addr<DispatchActor>,
    callers: CallerServer,
    administration: AdminServer,
    metrics: HealthServer,
    drain_time: Duration,
}

fn mailbox<A: Actor<Context = Context<A>>>() -> Context<A> {
    let mut context = Context::new();
    context.set_mailbox_capacity(MAILBOX_MESSAGES);
    context
}

fn owner_options(
    settings: &ProcessSettings,
    entry: &EntrySettings,
    platform: &PlatformAccess,
    logger: &Logger,
) -> OwnerOptions {
    let owner = OwnerSettings {
        shard_count: entry.ownership.shards,
        wall_start: wall_now(),
        ..OwnerSettings::default()
    };
    OwnerOptions {
        settings: owner,
        process: settings.process.clone(),
        domain: settings.failure_domain.clone(),
        heartbeat: entry.ownership.heartbeat,
        lease: entry.ownership.lease,
        table: Rc::clone(&platform.table),
        storage: StorageClient::new(Rc::clone(&platform.table), Rc::clone(&platform.objects)),
        logger: logger.clone(),
    }
}

/// Opens the weight store if the settings switch model loading on.
fn weight_store(settings: &ProcessSettings) -> Result<Option<Rc<dyn WeightStore>>> {
    if !is_loading_on(&settings.policy) {
        return Ok(None);
    }
    let weights = &settings.platform.weights;
    let limits = RequestLimits::for_platform().with_answer_timeout(weights.timeout);
    let weights =
        HttpWeights::open(&weights.url.to_string(), limits).context("cannot open the weight store")?;
    Ok(Some(Rc::new(weights)))
}

/// Returns the limits and the encryption of links.
fn link_options(settings: &LinkSettings) -> Result<LinkOptions> {
    let mut options = LinkOptions {
        open_timeout: settings.connect_timeout,
        silence_limit: settings.lost_after,
        ..LinkOptions::default()
    };
    if let Some(files) = &settings.tls {
        options.client_tls = Some(tls::client_config(
            &files.certificate,
            &files.key,
            &files.authority,
        )?);
        options.server_tls = Some(tls::server_config(
            &files.certificate,
            &files.key,
            &files.authority,
        )?);
    }
    Ok(options)
}

/// Reads the host list for other entries.
fn spawn_peer_list(
    hosts: Rc<dyn HostList>,
    seeds: Vec<SocketAddr>,
    interval: Duration,
    peers: Addr<PeerActor>,
) {
    actix::spawn(async move {
        while peers.connected() {
            let listed = hosts.fetch().await.unwrap_or_default();
            let entries = listed
                .iter()
                .filter(|entry| entry.role == HostRole::Entry)
                .map(|entry| entry.address);
            let mut addresses: Vec<SocketAddr> = entries.chain(seeds.iter().copied()).collect();
            addresses.sort_unstable();
            addresses.dedup();
            if !addresses.is_empty() {
                peers.do_send(PeersListed(addresses));
            }
            tokio::time::sleep(interval).await;
        }
    });
}

impl EntryProcess<JoiningState> {
    /// Starts the process in the running actix system.
    ///
    /// # Errors
    ///
    /// Fails if the settings are those of another role or an address can't be bound.
    pub async fn spawn(settings: ProcessSettings, logger: Logger) -> Result<Self> {
        let RoleSettings::Entry(entry) = &settings.role else {
            anyhow::bail!("these are not the settings of an entry");
        };
        let platform = PlatformAccess::open(&settings.platform)?;
        let identity = LinkIdentity {
            key: settings
                .links
                .cluster_key
                .load()
                .context("cannot load the cluster key")?,
            process: settings.process.clone(),
            role: LinkRole::Entry,
            incarnation: ProcessIncarnation::random(&mut StdRng::from_os_rng()),
        };
        let link = link_options(&settings.links)?;
        let listener = LinkListener::bind(settings.links.listen, identity.clone(), link.clone()).await?;
        let links = listener.address();
        let (registry, health) = (MetricsRegistry::default(), HealthState::default());
        let (view, router) = (ConfigView::default(), ShardRouter::new(entry.ownership.shards));

        let burn = BurnCell::open(&settings.region)?;
        let owner_context = mailbox::<OwnerActor>();
        let (dispatch_context, peer_context) = (mailbox::<DispatchActor>(), mailbox::<PeerActor>());
        let config_context = mailbox::<ConfigActor>();
        let owner = owner_context.run(OwnerActor::new(owner_options(
            &settings, entry, &platform, &logger,
        )));
        let config = config_context.run(ConfigActor::new(ConfigOptions {
            process: settings.process.clone(),
            table: Rc::clone(&platform.table),
            objects: Rc::clone(&platform.objects),
            view: view.clone(),
            burn: burn.clone(),
            logger: logger.clone(),
        }));
        let dispatch = dispatch_context.run(DispatchActor::new(DispatchOptions {
            identity: identity.clone(),
            link: link.clone(),
            heartbeat: settings.links.heartbeat,
            host: settings.host.clone(),
            domain: settings.failure_domain.clone(),
            hosts: Rc::clone(&platform.hosts),
            hosts_interval: settings.platform.hosts.interval,
            policy: read_policy(&settings.policy).context("cannot use the policy settings")?,
            weights: weight_store(&settings)?,
            table: Rc::clone(&platform.table),
            placed: owner.clone().recipient(),
            ended: owner.clone().recipient(),
            status: config.clone().recipient(),
            metrics: DispatchMetrics::register(&registry)?,
            logger: logger.clone(),
        }));
        let peers = peer_context.run(PeerActor::new(
            PeerOptions {
                identity,
                link,
                router: router.clone(),
                start: owner.clone().recipient(),
                operate: owner.clone().recipient(),
                presence: owner.clone().recipient(),
                copied: owner.clone().recipient(),
                crashes: dispatch.clone().recipient(),
                known_crashes: dispatch.clone().recipient(),
                storage: StorageClient::new(Rc::clone(&platform.table), Rc::clone(&platform.objects)),
                logger: logger.clone(),
            },
            ConfigRecipients {
                offered: config.clone().recipient(),
                status: config.clone().recipient(),
                missing: config.clone().recipient(),
                settled: config.clone().recipient(),
            },
            listener,
        ));
        config.do_send(LinkConfig {
            peers: peers.clone().recipient(),
            sides: dispatch.clone().recipient(),
            status: peers.clone().recipient(),
            want: peers.clone().recipient(),
        });
        dispatch.do_send(LinkDispatch {
            crashes: peers.clone().recipient(),
        });
        owner.do_send(LinkOwner {
            dispatch: dispatch.clone(),
            presence: peers.clone().recipient(),
            copies: peers.clone().recipient(),
            drops: peers.clone().recipient(),
            collect: peers.clone().recipient(),
        });
        spawn_peer_list(
            Rc::clone(&platform.hosts),
            entry.peers.clone(),
            settings.platform.hosts.interval,
            peers.clone(),
        );
        let state = CallerState::new(
            owner.clone().recipient(),
            owner.clone().recipient(),
            peers.clone().recipient(),
            peers.recipient(),
            router.clone(),
            view.clone(),
            settings.limits,
            CallerMetrics::register(&registry)?,
            burn.clone(),
        );
        let tls = entry.callers.tls.as_ref().map(caller_tls).transpose()?;
        let options = ServerOptions {
            address: entry.callers.listen,
            tls,
        };
        let state = Data::new(state);
        let callers = CallerServer::bind(options, Data::clone(&state))?;
        let first_operator = settings.administration.first_operator.as_ref();
        let first_operator = first_operator.map(|text| text.parse::<KeyDigest>()).transpose();
        let first_operator = first_operator.context("the first operator's digest is malformed")?;
        let targets = dispatch.clone();
        let admin = AdminState::new(view.clone(), config, state, burn, targets, first_operator);
        let administration = AdminServer::bind(
            AdminOptions {
                address: settings.administration.listen,
                idle_time: settings.limits.idle_time,
            },
            Data::new(admin),
        )?;
        let metrics = HealthServer::bind(settings.metrics.listen, registry, health.clone())?;
        let addresses = EntryAddresses {
            callers: callers.address(),
            links,
            administration: administration.address(),
            metrics: metrics.address(),
        };
        let drain_time = settings.drain_time;
        let parts = ProcessParts {
            addresses,
            health,
            view,
            router,
            owner,
            dispatch,
            callers,
            administration,
            metrics,
            drain_time,
        };
        Ok(Self {
            parts,
            state: PhantomData,
        })
    }

    /// Returns the bound addresses.
    pub fn addresses(&self) -> EntryAddresses {
        self.parts.addresses
    }

    /// Takes calls; the process reports itself as ready once a configuration is in force, some shard has an owner, and
    /// the side processes are known.
    pub fn serve(self) -> EntryProcess<ServingState> {
        let (view, router, health) = (
            self.parts.view.clone(),
            self.parts.router.clone(),
            self.parts.health.clone(),
        );
        let dispatch = self.parts.dispatch.clone();
        actix::spawn(async move {
            while view.version() == 0 || !router.has_routes() || !is_linked(&dispatch).await {
                tokio::time::sleep(STATE_POLL).await;
            }
            health.set_ready(true);
        });
        EntryProcess {
            parts: self.parts,
            state: PhantomData,
        }
    }
}

async fn is_linked(dispatch: &Addr<DispatchActor>) -> bool {
    dispatch.send(ReadReadiness).await.unwrap_or(false)
}

impl EntryProcess<ServingState> {
    /// Returns the bound addresses.
    pub fn addresses(&self) -> EntryAddresses {
        self.parts.addresses
    }

    /// Stops the process gracefully: hands its shards over, lets calls end, then closes.
    pub async fn drain(self) {
        let parts = self.parts;
        parts.health.set_ready(false);
        parts.owner.do_send(StartDrain);
        let give_up = Instant::now() + parts.drain_time;
        while Instant::now() < give_up && is_busy(&parts.owner).await {
            tokio::time::sleep(STATE_POLL).await;
        }
        parts.callers.stop(true).await;
        parts.administration.stop().await;
        parts.metrics.stop().await;
    }
}

async fn is_busy(owner: &Addr<OwnerActor>) -> bool {
    owner
        .send(ReadStatus)
        .await
        .is_ok_and(|status| status.shards > 0 || status.calls > 0)
}
