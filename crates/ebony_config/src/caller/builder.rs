//! Builds a [`CallerTable`].

use std::collections::HashMap;

use ebony_types::ModelName;

use super::table::{ALL_MODELS, CallerTable, PackedCaller, SharedKey};
use super::{CallerRecord, CallerView};
use crate::name::GroupName;

/// The most shared keys that are recorded, since a report lists no more issues.
const MAX_SHARED_KEYS: usize = crate::issue::MAX_ISSUES;

/// Collects callers in any order and builds a [`CallerTable`].
#[derive(Default)]
pub(super) struct CallerBuilder {
    table: CallerTable,
    groups: HashMap<GroupName, u32>,
    model_sets: HashMap<Box<[ModelName]>, u32>,
}

impl CallerBuilder {
    /// Reserves memory for a number of callers and for the bytes of their names.
    pub(super) fn with_capacity(callers: usize, name_bytes: usize) -> Self {
        let mut builder = Self::default();
        builder.table.rows.reserve(callers);
        builder.table.digests.reserve(callers);
        builder.table.names.reserve(name_bytes);
        builder
    }

    pub(super) fn push_record(&mut self, name: &str, record: &CallerRecord) {
        self.push(CallerView {
            name,
            group: &record.group,
            keys: &record.keys,
            weight: record.weight,
            models: record.models.as_deref(),
        });
    }

    /// Adds a caller. Names of more than 255 bytes and lists of more than 255 keys are truncated. No valid document has
    /// them: a [`ebony_types::CallerName`] is shorter, and validation allows fewer keys.
    pub(super) fn push(&mut self, caller: CallerView<'_>) {
        let group = self.intern_group(caller.group);
        let models = caller
            .models
            .map_or(ALL_MODELS, |models| self.intern_models(models));
        let table = &mut self.table;
        let key_count = u8::try_from(caller.keys.len()).unwrap_or(u8::MAX);
        table.rows.push(PackedCaller {
            name_start: saturating_u32(table.names.len()),
            name_length: u8::try_from(caller.name.len()).unwrap_or(u8::MAX),
            key_count,
            key_start: saturating_u32(table.digests.len()),
            group,
            models,
            weight: caller.weight,
        });
        table.names.push_str(caller.name);
        table
            .digests
            .extend(caller.keys.iter().take(usize::from(key_count)));
    }

    /// Sorts the callers, indexes their keys and returns the table.
    pub(super) fn finish(self) -> CallerTable {
        let mut table = self.table;
        let mut rows = std::mem::take(&mut table.rows);
        rows.sort_by(|left, right| table.name(left).cmp(table.name(right)));
        table.rows = rows;
        index_keys(&mut table);
        table.rows.shrink_to_fit();
        table.names.shrink_to_fit();
        table.digests.shrink_to_fit();
        table.groups.shrink_to_fit();
        table.model_sets.shrink_to_fit();
        table
    }

    fn intern_group(&mut self, group: &GroupName) -> u32 {
        if let Some(number) = self.groups.get(group) {
            return *number;
        }
        let number = saturating_u32(self.table.groups.len());
        self.table.groups.push(group.clone());
        self.groups.insert(group.clone(), number);
        number
    }

    fn intern_models(&mut self, models: &[ModelName]) -> u32 {
        if let Some(number) = self.model_sets.get(models) {
            return *number;
        }
        let number = saturating_u32(self.table.model_sets.len());
        self.table.model_sets.push(models.into());
        self.model_sets.insert(models.into(), number);
        number
    }
}

fn index_keys(table: &mut CallerTable) {
    table.digest_rows = vec![0; table.digests.len()];
    table.index.reserve(table.digests.len(), |_| 0);
    for (row_number, row) in table.rows.iter().enumerate() {
        for number in row.key_start..row.key_start + u32::from(row.key_count) {
            let digest = table.digests[number as usize];
            table.digest_rows[number as usize] = saturating_u32(row_number);
            let is_same = |other: &u32| table.digests[*other as usize] == digest;
            if let Some(other) = table.index.find(digest.table_hash(), is_same) {
                if table.shared_keys.len() < MAX_SHARED_KEYS {
                    let first = &table.rows[table.digest_rows[*other as usize] as usize];
                    table.shared_keys.push(SharedKey {
                        first: table.name(first).to_owned(),
                        second: table.name(row).to_owned(),
                    });
                }
            } else {
                let digests = &table.digests;
                let hasher = |other: &u32| digests[*other as usize].table_hash();
                table.index.insert_unique(digest.table_hash(), number, hasher);
            }
        }
    }
}

/// Converts a size to 32 bits. Sizes never come near the limit, because a document has at most 8 MiB.
fn saturating_u32(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
