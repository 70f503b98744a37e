//! Baseline placement rules. Like the load balancers that they stand for, they scan every target of a pool.

use super::target_table::{PoolKey, TargetKey};
use super::{PlacementPlanner, PlacementRequest};

impl PlacementPlanner {
    /// Returns the next usable target of the pool in round-robin order.
    pub(super) fn next_round_robin(&mut self, request: &PlacementRequest<'_>) -> Option<TargetKey> {
        let targets: Vec<TargetKey> = self.pool_targets(request.pool).collect();
        let start = *self.round_robin_positions.entry(request.pool)?.or_insert(0);
        for offset in 0..targets.len() {
            let index = (start + offset) % targets.len();
            if self.is_usable(request, targets[index]) {
                self.round_robin_positions
                    .insert(request.pool, (index + 1) % targets.len());
                return Some(targets[index]);
            }
        }
        None
    }

    /// Returns the usable target with the fewest calls; ties go to the first one found.
    pub(super) fn least_outstanding(&self, request: &PlacementRequest<'_>) -> Option<TargetKey> {
        let usable = self
            .pool_targets(request.pool)
            .filter(|target| self.is_usable(request, *target));
        usable.min_by_key(|target| self.table.load(*target).map(|load| load.calls()))
    }

    /// Returns the program's last target if it is usable, otherwise the usable target with the fewest calls.
    pub(super) fn last_or_least_outstanding(&self, request: &PlacementRequest<'_>) -> Option<TargetKey> {
        let last = request
            .last_target
            .filter(|target| self.is_usable(request, *target));
        last.or_else(|| self.least_outstanding(request))
    }

    fn pool_targets(&self, pool: PoolKey) -> impl Iterator<Item = TargetKey> + '_ {
        let domains = 0..self.table.domain_count();
        domains.flat_map(move |index| self.table.members_at(pool, index).iter().copied())
    }
}
