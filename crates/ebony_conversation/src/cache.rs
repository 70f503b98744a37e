//! In-memory cache of turn records.

use std::rc::Rc;

use ebony_types::TurnName;
use lru::LruCache;

use crate::record::TurnRecord;

/// Estimated overhead of an entry in bytes: names, counters and the cache's own tables.
const ENTRY_BYTES: usize = 512;

/// A least-recently-used cache of turn records, bounded by bytes.
///
/// Records are immutable, so that cached ones are never stale.
///
/// ```
/// use std::rc::Rc;
/// use ebony_conversation::{TurnCache, TurnChain};
/// use ebony_types::TurnName;
///
/// let (first, second) = (TurnName::parse("t1")?, TurnName::parse("t2")?);
/// let mut cache = TurnCache::open(1_000);
/// cache.insert(first.clone(), Rc::new(TurnChain::begin(None, &[0; 300], b"")));
/// cache.insert(second.clone(), Rc::new(TurnChain::begin(None, &[0; 300], b"")));
/// assert!(cache.get(&first).is_none() && cache.get(&second).is_some());
/// # Ok::<(), ebony_types::name::NameError>(())
/// ```
#[derive(Debug)]
pub struct TurnCache {
    records: LruCache<TurnName, Rc<TurnRecord>>,
    bytes: usize,
    capacity: usize,
}

impl TurnCache {
    /// Creates an empty cache that holds about `capacity` bytes.
    pub fn open(capacity: usize) -> Self {
        Self {
            records: LruCache::unbounded(),
            bytes: 0,
            capacity,
        }
    }

    /// Returns a record and marks it as used.
    pub fn get(&mut self, name: &TurnName) -> Option<Rc<TurnRecord>> {
        self.records.get(name).cloned()
    }

    /// Adds a record and evicts others to stay within the capacity. A record that exceeds it alone is not cached.
    pub fn insert(&mut self, name: TurnName, record: Rc<TurnRecord>) {
        self.bytes += entry_bytes(&record);
        if let Some(known) = self.records.put(name, record) {
            self.bytes -= entry_bytes(&known);
        }
        while self.bytes > self.capacity {
            let Some((_, oldest)) = self.records.pop_lru() else {
                return;
            };
            self.bytes -= entry_bytes(&oldest);
        }
    }

    /// Returns the size of all entries in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

fn entry_bytes(record: &TurnRecord) -> usize {
    record.content.len() + ENTRY_BYTES
}
