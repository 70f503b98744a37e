//! Creates the actors of an entry process and connects them.

use std::net::SocketAddr;
use std::rc::Rc;

use actix::{Actor, Addr, Context};
use anyhow::Context as _;
use ebony_link::{LinkIdentity, LinkListener, LinkOptions};
use ebony_platform::{HostList, HostRole};
use ebony_settings::{EntrySettings, ProcessSettings};
use ebony_telemetry::MetricsRegistry;
use slog::Logger;

use super::Result;
use super::options::{owner_options, weight_store};
use crate::burn::BurnCounters;
use crate::config::{ConfigActor, ConfigOptions, ConfigView, ConnectConfig};
use crate::dispatch::{DispatchActor, DispatchMetrics, DispatchOptions, SetCrashRecipient, read_policy};
use crate::owner::{ConnectOwner, OwnerActor, StorageClient};
use crate::peers::{ConfigRecipients, PeerActor, PeerOptions, PeersListed, ShardRouter};
use crate::platform::PlatformAccess;

/// The mailbox capacity of each actor in messages. Calls that meet a full mailbox are refused as not run.
const MAILBOX_MESSAGES: usize = 8_192;

/// Inputs shared by all actors.
pub(super) struct ActorInputs<'s> {
    pub(super) settings: &'s ProcessSettings,
    pub(super) entry: &'s EntrySettings,
    pub(super) platform: PlatformAccess,
    pub(super) identity: LinkIdentity,
    pub(super) link: LinkOptions,
    pub(super) registry: MetricsRegistry,
    pub(super) view: ConfigView,
    pub(super) router: ShardRouter,
    pub(super) burn: BurnCounters,
    pub(super) logger: Logger,
}

/// The actors of an entry process.
pub(super) struct EntryActors {
    pub(super) owner: Addr<OwnerActor>,
    pub(super) dispatch: Addr<DispatchActor>,
    pub(super) peers: Addr<PeerActor>,
    pub(super) config: Addr<ConfigActor>,
}

impl EntryActors {
    /// Starts the actors and connects them.
    pub(super) fn spawn(inputs: &ActorInputs<'_>, listener: LinkListener) -> Result<Self> {
        let owner = mailbox::<OwnerActor>().run(OwnerActor::new(owner_options(
            inputs.settings,
            inputs.entry,
            &inputs.platform,
            &inputs.logger,
        )));
        let config = mailbox::<ConfigActor>().run(ConfigActor::new(config_options(inputs)));
        let dispatch = dispatch_options(inputs, &owner, &config)?;
        let dispatch = mailbox::<DispatchActor>().run(DispatchActor::new(dispatch));
        let peers = PeerActor::new(
            peer_options(inputs, &owner, &dispatch),
            config_recipients(&config),
            listener,
        );
        let peers = mailbox::<PeerActor>().run(peers);
        let actors = Self {
            owner,
            dispatch,
            peers,
            config,
        };
        actors.connect();
        spawn_peer_discovery(inputs, actors.peers.clone());
        Ok(actors)
    }

    /// Gives each actor the addresses of actors that were started after it.
    fn connect(&self) {
        self.config.do_send(ConnectConfig {
            peers: self.peers.clone().recipient(),
            sides: self.dispatch.clone().recipient(),
            status: self.peers.clone().recipient(),
            request: self.peers.clone().recipient(),
        });
        self.dispatch.do_send(SetCrashRecipient {
            crashes: self.peers.clone().recipient(),
        });
        self.owner.do_send(ConnectOwner {
            dispatch: self.dispatch.clone(),
            presence: self.peers.clone().recipient(),
            copies: self.peers.clone().recipient(),
            drops: self.peers.clone().recipient(),
            collect: self.peers.clone().recipient(),
        });
    }
}

fn mailbox<A: Actor<Context = Context<A>>>() -> Context<A> {
    let mut context = Context::new();
    context.set_mailbox_capacity(MAILBOX_MESSAGES);
    context
}

fn config_options(inputs: &ActorInputs<'_>) -> ConfigOptions {
    ConfigOptions {
        process: inputs.settings.process.clone(),
        table: Rc::clone(&inputs.platform.table),
        objects: Rc::clone(&inputs.platform.objects),
        view: inputs.view.clone(),
        burn: inputs.burn.clone(),
        logger: inputs.logger.clone(),
    }
}

fn dispatch_options(
    inputs: &ActorInputs<'_>,
    owner: &Addr<OwnerActor>,
    config: &Addr<ConfigActor>,
) -> Result<DispatchOptions> {
    let settings = inputs.settings;
    Ok(DispatchOptions {
        identity: inputs.identity.clone(),
        link: inputs.link.clone(),
        heartbeat: settings.links.heartbeat,
        host: settings.host.clone(),
        domain: settings.failure_domain.clone(),
        hosts: Rc::clone(&inputs.platform.hosts),
        hosts_interval: settings.platform.hosts.interval,
        policy: read_policy(&settings.policy).context("cannot use the policy settings")?,
        weights: weight_store(settings)?,
        table: Rc::clone(&inputs.platform.table),
        placed: owner.clone().recipient(),
        ended: owner.clone().recipient(),
        status: config.clone().recipient(),
        metrics: DispatchMetrics::register(&inputs.registry)?,
        logger: inputs.logger.clone(),
    })
}

fn peer_options(
    inputs: &ActorInputs<'_>,
    owner: &Addr<OwnerActor>,
    dispatch: &Addr<DispatchActor>,
) -> PeerOptions {
    let (table, objects) = (&inputs.platform.table, &inputs.platform.objects);
    PeerOptions {
        identity: inputs.identity.clone(),
        link: inputs.link.clone(),
        router: inputs.router.clone(),
        start: owner.clone().recipient(),
        operate: owner.clone().recipient(),
        presence: owner.clone().recipient(),
        copied: owner.clone().recipient(),
        lost_copies: owner.clone().recipient(),
        relinquish: owner.clone().recipient(),
        crashes: dispatch.clone().recipient(),
        known_crashes: dispatch.clone().recipient(),
        storage: StorageClient::new(Rc::clone(table), Rc::clone(objects)),
        logger: inputs.logger.clone(),
    }
}

fn config_recipients(config: &Addr<ConfigActor>) -> ConfigRecipients {
    ConfigRecipients {
        offered: config.clone().recipient(),
        status: config.clone().recipient(),
        missing: config.clone().recipient(),
        reported: config.clone().recipient(),
    }
}

/// Periodically reads the host list and passes the addresses of entries to the peer actor.
fn spawn_peer_discovery(inputs: &ActorInputs<'_>, peers: Addr<PeerActor>) {
    let hosts = Rc::clone(&inputs.platform.hosts);
    let seeds = inputs.entry.peers.clone();
    let interval = inputs.settings.platform.hosts.interval;
    actix::spawn(async move {
        while peers.connected() {
            if let Some(addresses) = fetch_peer_addresses(&*hosts, &seeds).await {
                peers.do_send(PeersListed(addresses));
            }
            tokio::time::sleep(interval).await;
        }
    });
}

/// Returns the addresses of all entries in the host list and the settings, or `None` if there are none.
async fn fetch_peer_addresses(hosts: &dyn HostList, seeds: &[SocketAddr]) -> Option<Vec<SocketAddr>> {
    let listed = hosts.fetch().await.unwrap_or_default();
    let entries = listed.iter().filter(|entry| entry.role == HostRole::Entry);
    let mut addresses: Vec<SocketAddr> = entries
        .map(|entry| entry.address)
        .chain(seeds.iter().copied())
        .collect();
    addresses.sort_unstable();
    addresses.dedup();
    (!addresses.is_empty()).then_some(addresses)
}
