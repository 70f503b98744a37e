//! The table of all callers, packed into a few arrays.

use ebony_types::{CallerName, ModelName};
use hashbrown::HashTable;

use super::builder::CallerBuilder;
use super::{CallerRecord, CallerView};
use crate::key_digest::KeyDigest;
use crate::name::GroupName;
use crate::patch::MapPatch;

/// Marks a caller that may use all models.
pub(super) const ALL_MODELS: u32 = u32::MAX;

/// One caller as offsets into the arrays of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PackedCaller {
    pub(super) name_start: u32,
    pub(super) name_length: u8,
    pub(super) key_count: u8,
    pub(super) key_start: u32,
    /// The index into `groups`.
    pub(super) group: u32,
    /// The index into `model_sets`, or [`ALL_MODELS`].
    pub(super) models: u32,
    pub(super) weight: u32,
}

/// Two callers that hold the same key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct SharedKey {
    /// The caller that [`CallerTable::find_key`] returns for the key.
    pub(crate) first: String,
    /// The other caller.
    pub(crate) second: String,
}

/// All callers of a configuration. The table is immutable; [`CallerTable::apply`] builds a changed copy.
///
/// Look-up takes constant time by the digest of a key and logarithmic time by name. Names, digests, groups and model
/// sets are stored in shared arrays, because separate allocations would take three times the memory.
///
/// ```
/// use ebony_config::{CallerTable, KeyDigest};
///
/// let key = KeyDigest::of_key("secret");
/// let json = format!("{{ \"shop\": {{ \"group\": \"retail\", \"keys\": [\"{key}\"] }} }}");
/// let table: CallerTable = serde_json::from_str(&json)?;
/// assert_eq!(table.find_key(&key).map(|caller| caller.name), Some("shop"));
/// assert_eq!(table.find_key(&KeyDigest::of_key("guess")), None);
/// # Ok::<(), serde_json::Error>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct CallerTable {
    /// Sorted by name.
    pub(super) rows: Vec<PackedCaller>,
    pub(super) names: String,
    pub(super) digests: Vec<KeyDigest>,
    /// For each digest, the index into `rows` of the caller that holds it.
    pub(super) digest_rows: Vec<u32>,
    /// Indices into `digests`, hashed by digest.
    pub(super) index: HashTable<u32>,
    pub(super) groups: Vec<GroupName>,
    pub(super) model_sets: Vec<Box<[ModelName]>>,
    pub(super) shared_keys: Vec<SharedKey>,
}

impl CallerTable {
    /// Returns the number of callers.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns `true` if there is no caller.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns the caller that holds a key, in constant time.
    pub fn find_key(&self, key: &KeyDigest) -> Option<CallerView<'_>> {
        let is_same = |number: &u32| self.digests.get(*number as usize) == Some(key);
        let number = self.index.find(key.table_hash(), is_same)?;
        let row = self.digest_rows.get(*number as usize)?;
        self.rows.get(*row as usize).map(|row| self.view(row))
    }

    /// Returns the caller with a name, in logarithmic time.
    pub fn find_name(&self, name: &str) -> Option<CallerView<'_>> {
        let index = self.rows.binary_search_by(|row| self.name(row).cmp(name)).ok()?;
        self.rows.get(index).map(|row| self.view(row))
    }

    /// Returns all callers, sorted by name.
    pub fn iter(&self) -> impl Iterator<Item = CallerView<'_>> {
        self.rows.iter().map(|row| self.view(row))
    }

    /// Returns the bytes of heap memory that the table uses, without the allocator's overhead.
    pub fn heap_bytes(&self) -> usize {
        let name_list = |names: &[ModelName]| size_of_val(names);
        // Each group name is an `Arc<str>`, whose allocation starts with two counters of 8 bytes.
        let groups: usize = self.groups.iter().map(|group| group.as_str().len() + 16).sum();
        self.rows.capacity() * size_of::<PackedCaller>()
            + self.names.capacity()
            + self.digests.capacity() * size_of::<KeyDigest>()
            + self.digest_rows.capacity() * size_of::<u32>()
            + self.index.allocation_size()
            + self.groups.capacity() * size_of::<GroupName>()
            + groups
            + self.model_sets.capacity() * size_of::<Box<[ModelName]>>()
            + self.model_sets.iter().map(|set| name_list(set)).sum::<usize>()
    }

    /// Returns a copy of the table with a change applied.
    #[must_use]
    pub fn apply(&self, patch: &MapPatch<CallerName, CallerRecord>) -> Self {
        let mut builder = CallerBuilder::with_capacity(self.rows.len() + patch.set.len(), self.names.len());
        for caller in self.iter() {
            if !patch.set.contains_key(caller.name) && !patch.remove.contains(caller.name) {
                builder.push(caller);
            }
        }
        for (name, record) in &patch.set {
            builder.push_record(name.as_str(), record);
        }
        builder.finish()
    }

    /// Returns the change that turns this table into `next`.
    pub(crate) fn diff(&self, next: &Self) -> MapPatch<CallerName, CallerRecord> {
        let mut patch = MapPatch::default();
        for caller in next.iter() {
            if self.find_name(caller.name) != Some(caller) {
                patch
                    .set
                    .extend(caller.to_name().map(|name| (name, caller.to_record())));
            }
        }
        let removed = self.iter().filter(|caller| next.find_name(caller.name).is_none());
        patch.remove.extend(removed.filter_map(|caller| caller.to_name()));
        patch
    }

    /// Returns the pairs of callers that hold the same key.
    pub(crate) fn shared_keys(&self) -> &[SharedKey] {
        &self.shared_keys
    }

    pub(super) fn name(&self, row: &PackedCaller) -> &str {
        let start = row.name_start as usize;
        self.names
            .get(start..start + usize::from(row.name_length))
            .unwrap_or_default()
    }

    pub(super) fn keys(&self, row: &PackedCaller) -> &[KeyDigest] {
        let start = row.key_start as usize;
        self.digests
            .get(start..start + usize::from(row.key_count))
            .unwrap_or_default()
    }

    fn view(&self, row: &PackedCaller) -> CallerView<'_> {
        CallerView {
            name: self.name(row),
            group: &self.groups[row.group as usize],
            keys: self.keys(row),
            weight: row.weight,
            models: self.model_sets.get(row.models as usize).map(AsRef::as_ref),
        }
    }
}

impl PartialEq for CallerTable {
    fn eq(&self, other: &Self) -> bool {
        self.len() == other.len() && self.iter().eq(other.iter())
    }
}
