//! Table of targets, indexed by pool and failure domain.
//!
//! The index has one vector of targets for each pool (a model or a service) and failure domain. Removal is by
//! swap-remove, so the cost of an update or a sample does not depend on the number of targets.

use std::collections::HashMap;

use ebony_types::{DomainName, ModelName, ServiceName, TargetName};
use slotmap::SlotMap;

use super::load_view::LoadView;

slotmap::new_key_type! {
    /// Key of a target.
    pub struct TargetKey;
    /// Key of a pool: the targets that serve one model or service.
    pub struct PoolKey;
    /// Key of a failure domain.
    pub struct DomainKey;
}

/// Maximum targets in one table. An entry links to 8 for each model and failure domain, but all 12,000 engines would
/// fit.
pub const MAX_TARGETS: usize = 16_384;

/// Maximum pools in one table; 33 models and their services are in use.
pub const MAX_POOLS: usize = 1_024;

/// Maximum failure domains in one table; 7 are in use.
pub const MAX_DOMAINS: usize = 64;

/// Why a target, pool or failure domain could not be added.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum TableError {
    /// The table has no room for a further target, pool or failure domain.
    #[error("the target table has no room for a further target, pool or failure domain")]
    Full,
}

/// The result of a change to the table.
pub(super) type Result<T, E = TableError> = std::result::Result<T, E>;

/// The model or service that the targets of a pool serve.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PoolName {
    /// A model.
    Model(ModelName),
    /// A plain service.
    Service(ServiceName),
}

/// Whether a target takes new calls. Only serving targets are in the index.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TargetState {
    /// The target takes calls.
    #[default]
    Serving,
    /// The target finishes its calls and takes no new ones.
    Draining,
    /// The target refuses this entry's fencing token.
    Fenced,
    /// The target failed or its link is lost.
    Failed,
}

/// A target to be added.
#[derive(Clone, Debug)]
pub struct NewTarget {
    /// The target's name.
    pub name: TargetName,
    /// The failure domain of its host.
    pub domain: DomainName,
    /// Number of calls that it can run concurrently.
    pub slots: u32,
    /// The models or services that it serves.
    pub pools: Vec<PoolName>,
}

/// Membership of a target in a pool.
#[derive(Clone, Copy, Debug)]
struct PoolMembership {
    pool: PoolKey,
    /// Position in the index; `None` while the target does not serve.
    position: Option<usize>,
}

#[derive(Debug)]
pub(crate) struct TargetEntry {
    name: TargetName,
    domain: DomainKey,
    state: TargetState,
    memberships: Vec<PoolMembership>,
    pub(crate) load: LoadView,
}

#[derive(Debug)]
struct PoolMembers {
    name: PoolName,
    by_domain: Vec<Vec<TargetKey>>,
}

/// The targets that an entry may use, with their load.
#[derive(Debug, Default)]
pub struct TargetTable {
    targets: SlotMap<TargetKey, TargetEntry>,
    by_name: HashMap<TargetName, TargetKey>,
    pools: SlotMap<PoolKey, PoolMembers>,
    by_pool_name: HashMap<PoolName, PoolKey>,
    domains: SlotMap<DomainKey, usize>,
    by_domain_name: HashMap<DomainName, DomainKey>,
}

impl TargetTable {
    /// Adds a target in the serving state and without load, replacing a target of the same name.
    ///
    /// # Errors
    ///
    /// Returns [`TableError::Full`] if the table has no room.
    pub(crate) fn add(&mut self, target: NewTarget) -> Result<TargetKey> {
        if let Some(key) = self.by_name.get(&target.name) {
            self.remove(*key);
        }
        if self.targets.len() >= MAX_TARGETS {
            return Err(TableError::Full);
        }
        let domain = self.domain(&target.domain)?;
        let mut memberships = Vec::with_capacity(target.pools.len());
        for name in &target.pools {
            let pool = self.pool(name)?;
            if memberships
                .iter()
                .all(|membership: &PoolMembership| membership.pool != pool)
            {
                memberships.push(PoolMembership { pool, position: None });
            }
        }
        let key = self.targets.insert(TargetEntry {
            name: target.name.clone(),
            domain,
            state: TargetState::Serving,
            memberships,
            load: LoadView::open(target.slots),
        });
        self.by_name.insert(target.name, key);
        self.add_to_index(key);
        Ok(key)
    }

    /// Removes a target. Returns `false` if it is unknown.
    pub(crate) fn remove(&mut self, key: TargetKey) -> bool {
        self.remove_from_index(key);
        let Some(entry) = self.targets.remove(key) else {
            return false;
        };
        self.by_name.remove(&entry.name);
        true
    }

    /// Changes whether a target takes calls. Returns `false` if the target is unknown.
    pub(crate) fn set_state(&mut self, key: TargetKey, state: TargetState) -> bool {
        let Some(entry) = self.targets.get_mut(key) else {
            return false;
        };
        let was_serving = entry.state == TargetState::Serving;
        entry.state = state;
        match (was_serving, state == TargetState::Serving) {
            (true, false) => self.remove_from_index(key),
            (false, true) => self.add_to_index(key),
            _ => {}
        }
        true
    }

    /// Replaces what a target serves, after a model was loaded or unloaded.
    ///
    /// # Errors
    ///
    /// Returns [`TableError::Full`] if the table has no room for a new pool.
    pub(crate) fn set_pools(&mut self, key: TargetKey, names: &[PoolName]) -> Result<()> {
        let mut memberships: Vec<PoolMembership> = Vec::with_capacity(names.len());
        for name in names {
            let pool = self.pool(name)?;
            if memberships.iter().all(|membership| membership.pool != pool) {
                memberships.push(PoolMembership { pool, position: None });
            }
        }
        self.remove_from_index(key);
        let Some(entry) = self.targets.get_mut(key) else {
            return Ok(());
        };
        entry.memberships = memberships;
        if entry.state == TargetState::Serving {
            self.add_to_index(key);
        }
        Ok(())
    }

    /// Returns the key of a pool, creating the pool on first use.
    ///
    /// # Errors
    ///
    /// Returns [`TableError::Full`] beyond [`MAX_POOLS`].
    pub fn pool(&mut self, name: &PoolName) -> Result<PoolKey> {
        if let Some(key) = self.by_pool_name.get(name) {
            return Ok(*key);
        }
        if self.pools.len() >= MAX_POOLS {
            return Err(TableError::Full);
        }
        let key = self.pools.insert(PoolMembers {
            name: name.clone(),
            by_domain: vec![Vec::new(); self.domains.len()],
        });
        self.by_pool_name.insert(name.clone(), key);
        Ok(key)
    }

    /// Returns the key of a failure domain, creating it on first use.
    ///
    /// # Errors
    ///
    /// Returns [`TableError::Full`] beyond [`MAX_DOMAINS`].
    pub fn domain(&mut self, name: &DomainName) -> Result<DomainKey> {
        if let Some(key) = self.by_domain_name.get(name) {
            return Ok(*key);
        }
        if self.domains.len() >= MAX_DOMAINS {
            return Err(TableError::Full);
        }
        let key = self.domains.insert(self.domains.len());
        self.by_domain_name.insert(name.clone(), key);
        for members in self.pools.values_mut() {
            members.by_domain.push(Vec::new());
        }
        Ok(key)
    }

    /// Returns the key of a target; `None` if it is unknown.
    pub fn find(&self, name: &TargetName) -> Option<TargetKey> {
        self.by_name.get(name).copied()
    }

    /// Returns the key of a pool; `None` if it does not exist.
    pub fn find_pool(&self, name: &PoolName) -> Option<PoolKey> {
        self.by_pool_name.get(name).copied()
    }

    /// Returns a target's name.
    pub fn name(&self, key: TargetKey) -> Option<&TargetName> {
        self.targets.get(key).map(|entry| &entry.name)
    }

    /// Returns a pool's name.
    pub fn pool_name(&self, key: PoolKey) -> Option<&PoolName> {
        self.pools.get(key).map(|members| &members.name)
    }

    /// Returns the state of a target; `None` if it is unknown.
    pub fn state(&self, key: TargetKey) -> Option<TargetState> {
        self.targets.get(key).map(|entry| entry.state)
    }

    /// Returns a target's failure domain.
    pub fn domain_of(&self, key: TargetKey) -> Option<DomainKey> {
        self.targets.get(key).map(|entry| entry.domain)
    }

    /// Returns the load of a target.
    pub fn load(&self, key: TargetKey) -> Option<&LoadView> {
        self.targets.get(key).map(|entry| &entry.load)
    }

    pub(crate) fn load_mut(&mut self, key: TargetKey) -> Option<&mut LoadView> {
        self.targets.get_mut(key).map(|entry| &mut entry.load)
    }

    /// Returns `true` if a target belongs to a pool and takes calls.
    pub(crate) fn is_member(&self, key: TargetKey, pool: PoolKey) -> bool {
        let Some(entry) = self.targets.get(key) else {
            return false;
        };
        let mut memberships = entry.memberships.iter();
        memberships.any(|membership| membership.pool == pool && membership.position.is_some())
    }

    /// Returns the serving targets of a pool in one failure domain.
    pub fn members(&self, pool: PoolKey, domain: DomainKey) -> &[TargetKey] {
        let index = self.domains.get(domain).copied();
        index.map_or(&[], |index| self.members_at(pool, index))
    }

    pub(crate) fn members_at(&self, pool: PoolKey, domain_index: usize) -> &[TargetKey] {
        let members = self.pools.get(pool).map(|members| &members.by_domain);
        members
            .and_then(|domains| domains.get(domain_index))
            .map_or(&[], Vec::as_slice)
    }

    pub(crate) fn domain_index(&self, domain: DomainKey) -> Option<usize> {
        self.domains.get(domain).copied()
    }

    pub(crate) fn domain_count(&self) -> usize {
        self.domains.len()
    }

    fn add_to_index(&mut self, key: TargetKey) {
        let entry = &mut self.targets[key];
        let index = self.domains[entry.domain];
        for membership in &mut entry.memberships {
            let members = &mut self.pools[membership.pool].by_domain[index];
            membership.position = Some(members.len());
            members.push(key);
        }
    }

    fn remove_from_index(&mut self, key: TargetKey) {
        let Some(entry) = self.targets.get_mut(key) else {
            return;
        };
        let index = self.domains[entry.domain];
        let mut removed = Vec::with_capacity(entry.memberships.len());
        for membership in &mut entry.memberships {
            removed.extend(
                membership
                    .position
                    .take()
                    .map(|position| (membership.pool, position)),
            );
        }
        for (pool, position) in removed {
            let members = &mut self.pools[pool].by_domain[index];
            members.swap_remove(position);
            let moved = members.get(position).copied();
            self.update_position(moved, pool, position);
        }
    }

    fn update_position(&mut self, moved: Option<TargetKey>, pool: PoolKey, position: usize) {
        let Some(entry) = moved.and_then(|key| self.targets.get_mut(key)) else {
            return;
        };
        let mut memberships = entry.memberships.iter_mut();
        if let Some(membership) = memberships.find(|membership| membership.pool == pool) {
            membership.position = Some(position);
        }
    }
}
