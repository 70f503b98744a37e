//! A few candidates for a call, at a cost that does not depend on the number of targets.

use rand::{Rng, RngCore};

use super::target_table::{DomainKey, PoolKey, TargetKey, TargetTable};

/// The most candidates of one decision: two samples each of two failure domains, the last target, the target with
/// the retained KV cache, and spare room for larger samples.
const MAX_CANDIDATES: usize = 16;

/// The targets among which one is chosen, without repeats.
#[derive(Debug, Default)]
pub(crate) struct CandidateList {
    keys: [TargetKey; MAX_CANDIDATES],
    length: usize,
}

impl CandidateList {
    pub(crate) fn as_slice(&self) -> &[TargetKey] {
        &self.keys[..self.length]
    }

    pub(crate) fn push(&mut self, key: TargetKey) {
        if self.length < MAX_CANDIDATES && !self.as_slice().contains(&key) {
            self.keys[self.length] = key;
            self.length += 1;
        }
    }

    /// Adds up to `count` random members that are not to be avoided.
    pub(crate) fn sample(
        &mut self,
        members: &[TargetKey],
        avoid: &[TargetKey],
        count: usize,
        source: &mut impl RngCore,
    ) {
        let start_length = self.length;
        for _ in 0..count {
            if members.is_empty() {
                return;
            }
            let start = source.random_range(0..members.len());
            // Among this many consecutive members one is neither avoided nor sampled before, if such a one exists.
            let probes = members.len().min(avoid.len() + count);
            let mut cycle = members.iter().cycle().skip(start).take(probes);
            let sampled = &self.keys[start_length..self.length];
            if let Some(key) = cycle.find(|key| !avoid.contains(key) && !sampled.contains(key)) {
                self.push_sampled(*key);
            }
        }
    }

    /// Adds a key behind the sampled ones even if an affinity candidate repeats it, so that a sample keeps its size.
    fn push_sampled(&mut self, key: TargetKey) {
        if self.length < MAX_CANDIDATES {
            self.keys[self.length] = key;
            self.length += 1;
        }
    }
}

/// Samples the first failure domain with usable members, beginning at a random one and leaving out `own`.
pub(crate) fn sample_other_domain(
    list: &mut CandidateList,
    table: &TargetTable,
    pool: PoolKey,
    own: DomainKey,
    avoid: &[TargetKey],
    count: usize,
    source: &mut impl RngCore,
) {
    let domains = table.domain_count();
    if domains == 0 {
        return;
    }
    let own_index = table.domain_index(own);
    let start = source.random_range(0..domains);
    for offset in 0..domains {
        let index = (start + offset) % domains;
        if Some(index) == own_index {
            continue;
        }
        let length = list.as_slice().len();
        list.sample(table.members_at(pool, index), avoid, count, source);
        if list.as_slice().len() > length {
            return;
        }
    }
}
