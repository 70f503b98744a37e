//! Routing table from shards to the entries that own them, as known to this entry.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use ebony_types::{FencingToken, ShardKey};
use ebony_wire::ShardClaim;
use slotmap::new_key_type;
use tokio::sync::watch;

new_key_type! {
    /// Identifies another entry within this one.
    pub struct PeerKey;
}

/// Where a shard is served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShardRoute {
    /// In this process.
    Local,
    /// At another entry.
    Peer(PeerKey),
}

/// A route and the epoch of its claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteState {
    /// Where the shard is served.
    pub route: ShardRoute,
    /// The claim's epoch.
    pub epoch: FencingToken,
}

/// The routes of all shards. Clones share the same table.
///
/// Routes are hints: an entry that does not own a shard refuses its calls as not run, and the sender looks up the route
/// again.
#[derive(Clone, Debug)]
pub struct ShardRouter {
    routes: Arc<Mutex<HashMap<ShardKey, RouteState>>>,
    version: Arc<watch::Sender<u64>>,
    shards: u16,
}

impl ShardRouter {
    /// Creates an empty routing table for a fixed number of shards.
    pub fn new(shards: u16) -> Self {
        Self {
            routes: Arc::default(),
            version: Arc::new(watch::Sender::new(0)),
            shards,
        }
    }

    /// Returns the number of shards.
    pub fn shards(&self) -> u16 {
        self.shards
    }

    /// Returns the route of a shard.
    pub fn route(&self, shard: ShardKey) -> Option<ShardRoute> {
        self.lock().get(&shard).map(|state| state.route)
    }

    /// Returns `true` if any shard has a route.
    pub fn has_routes(&self) -> bool {
        !self.lock().is_empty()
    }

    /// Returns the shards that this process serves.
    pub fn local_shards(&self) -> Vec<ShardKey> {
        let routes = self.lock();
        let local = routes
            .iter()
            .filter(|(_, state)| state.route == ShardRoute::Local);
        local.map(|(shard, _)| *shard).collect()
    }

    /// Waits up to `limit` until the shard has a route.
    pub async fn wait_route(&self, shard: ShardKey, limit: Duration) -> Option<ShardRoute> {
        let mut versions = self.version.subscribe();
        let find = async {
            loop {
                versions.borrow_and_update();
                let route = self.route(shard);
                if route.is_some() {
                    return route;
                }
                versions.changed().await.ok()?;
            }
        };
        tokio::time::timeout(limit, find).await.ok().flatten()
    }

    /// Replaces the claims of one process. A claim with a lower epoch than the current route of its shard is ignored.
    pub(super) fn set_claims(&self, route: ShardRoute, claims: &[ShardClaim]) {
        let mut routes = self.lock();
        routes
            .retain(|shard, state| state.route != route || claims.iter().any(|claim| claim.shard == *shard));
        for claim in claims.iter().filter(|claim| claim.shard.0 < self.shards) {
            let state = RouteState {
                route,
                epoch: claim.epoch,
            };
            let present = routes.entry(claim.shard).or_insert(state);
            if present.epoch <= claim.epoch {
                *present = state;
            }
        }
        drop(routes);
        self.version.send_modify(|version| *version += 1);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<ShardKey, RouteState>> {
        // A panic while the lock is held can't leave the map inconsistent.
        self.routes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
