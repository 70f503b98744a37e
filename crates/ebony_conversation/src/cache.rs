//! Records of turns in memory.

use std::rc::Rc;

use ebony_types::TurnName;
use lru::LruCache;

use crate::record::TurnRecord;

/// Bytes that an entry takes besides its content: names, counters and the cache's own tables.
const ENTRY_BYTES: usize = 512;

/// Records that were lately written or read. The least recently used ones go once their bytes exceed the capacity.
///
/// Records never change, so that an entry is never out of date.
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

    /// Returns a record and notes its use.
    pub fn get(&mut self, name: &TurnName) -> Option<Rc<TurnRecord>> {
        self.records.get(name).cloned()
    }

    /// Adds a record. One that alone exceeds the capacity is not kept.
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

    /// Returns the bytes that the entries take.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

fn entry_bytes(record: &TurnRecord) -> usize {
    record.content.len() + ENTRY_BYTES
}
