//! Serializes the table of callers as a JSON object, and deserializes it without an intermediate map.

use std::fmt;

use ebony_types::CallerName;
use serde::de::{Error, MapAccess, Visitor};
use serde::ser::SerializeMap;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use super::builder::CallerBuilder;
use super::{CallerRecord, CallerTable};

impl Serialize for CallerTable {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut map = serializer.serialize_map(Some(self.len()))?;
        for caller in self.iter() {
            map.serialize_entry(caller.name, &caller.to_record())?;
        }
        map.end()
    }
}

impl<'de> Deserialize<'de> for CallerTable {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(TableVisitor)
    }
}

struct TableVisitor;

impl<'de> Visitor<'de> for TableVisitor {
    type Value = CallerTable;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("an object of callers by name")
    }

    fn visit_map<M: MapAccess<'de>>(self, mut map: M) -> Result<CallerTable, M::Error> {
        let mut builder = CallerBuilder::default();
        while let Some((name, record)) = map.next_entry::<CallerName, CallerRecord>()? {
            if record.keys.len() > usize::from(u8::MAX) {
                return Err(Error::custom(format!(
                    "caller `{name}` has more than {} keys",
                    u8::MAX
                )));
            }
            builder.push_record(name.as_str(), &record);
        }
        let table = builder.finish();
        match table.duplicate_name() {
            Some(name) => Err(Error::custom(format!("caller `{name}` occurs twice"))),
            None => Ok(table),
        }
    }
}

impl CallerTable {
    fn duplicate_name(&self) -> Option<&str> {
        let names = |pair: &[super::table::PackedCaller]| match pair {
            [left, right] => Some((self.name(left), self.name(right))),
            _ => None,
        };
        let mut pairs = self.rows.windows(2).filter_map(names);
        pairs.find(|(left, right)| left == right).map(|(left, _)| left)
    }
}
