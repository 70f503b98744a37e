//! Candidate targets for a call. Sampling keeps the cost independent of the number of targets.

use rand::{Rng, RngCore};

use super::target_table::{DomainKey, PoolKey, TargetKey, TargetTable};

/// Maximum candidates of one decision: two samples from each of two failure domains, the last target and the target
/// with the retained KV cache, plus room for larger sample sizes.
const MAX_CANDIDATES: usize = 16;

/// The candidates of one decision.
#[derive(Debug, Default)]
pub(crate) struct CandidateList {
    keys: [TargetKey; MAX_CANDIDATES],
    length: usize,
}

impl CandidateList {
    pub(crate) fn as_slice(&self) -> &[TargetKey] {
        &self.keys[..self.length]
    }

    /// Adds a key unless it is already in the list or the list is full.
    pub(crate) fn push(&mut self, key: TargetKey) {
        if self.length < MAX_CANDIDATES && !self.as_slice().contains(&key) {
            self.keys[self.length] = key;
            self.length += 1;
        }
    }

    /// Adds up to `count` distinct random members that are not in `avoid`.
    pub(crate) fn sample(
        &mut self,
        members: &[TargetKey],
        avoid: &[TargetKey],
        count: usize,
        rng: &mut impl RngCore,
    ) {
        let start_length = self.length;
        for _ in 0..count {
            if members.is_empty() {
                return;
            }
            let start = rng.random_range(0..members.len());
            // If any member is neither avoided nor already sampled, one lies within this many consecutive members.
            let probes = members.len().min(avoid.len() + count);
            let mut cycle = members.iter().cycle().skip(start).take(probes);
            let sampled = &self.keys[start_length..self.length];
            if let Some(key) = cycle.find(|key| !avoid.contains(key) && !sampled.contains(key)) {
                self.push_sampled(*key);
            }
        }
    }

    /// Adds a sampled key even if it is already an affinity candidate, so that the sample keeps its size.
    fn push_sampled(&mut self, key: TargetKey) {
        if self.length < MAX_CANDIDATES {
            self.keys[self.length] = key;
            self.length += 1;
        }
    }
}

/// Samples one failure domain other than `own`: the first one with usable members, starting from a random domain.
pub(crate) fn sample_other_domain(
    list: &mut CandidateList,
    table: &TargetTable,
    pool: PoolKey,
    own: DomainKey,
    avoid: &[TargetKey],
    count: usize,
    rng: &mut impl RngCore,
) {
    let domains = table.domain_count();
    if domains == 0 {
        return;
    }
    let own_index = table.domain_index(own);
    let start = rng.random_range(0..domains);
    for offset in 0..domains {
        let index = (start + offset) % domains;
        if Some(index) == own_index {
            continue;
        }
        let length = list.as_slice().len();
        list.sample(table.members_at(pool, index), avoid, count, rng);
        if list.as_slice().len() > length {
            return;
        }
    }
}
