//! Counters by key, with a limit on the number of keys.

use std::collections::{BTreeMap, VecDeque};

/// Maximum number of keys; the oldest are evicted first. A test that counts more calls must read the counts in time.
const MAX_KEYS: usize = 200_000;

/// Counts by key. Holds at most [`MAX_KEYS`] keys.
#[derive(Default)]
pub(crate) struct CountTable {
    counts: BTreeMap<String, u32>,
    order: VecDeque<String>,
}

impl CountTable {
    /// Increments the count of a key and returns the new count.
    pub(crate) fn add(&mut self, key: &str) -> u32 {
        if let Some(count) = self.counts.get_mut(key) {
            *count += 1;
            return *count;
        }
        if self.order.len() >= MAX_KEYS
            && let Some(oldest) = self.order.pop_front()
        {
            self.counts.remove(&oldest);
        }
        self.counts.insert(key.to_owned(), 1);
        self.order.push_back(key.to_owned());
        1
    }

    /// Returns the counts that are at least `min`.
    pub(crate) fn at_least(&self, min: u32) -> BTreeMap<String, u32> {
        self.counts
            .iter()
            .filter(|(_, count)| **count >= min)
            .map(|(key, count)| (key.clone(), *count))
            .collect()
    }
}
