//! Options that another crate interprets: any JSON object, but without duplicate keys.

use std::collections::HashMap;

use jsonc_parser::ast::{Object, Value};
use jsonc_parser::common::Ranged;
use serde_json::Map;

use super::section::{SectionPlace, SectionReader};
use crate::issue::IssueKind;

impl SectionReader<'_> {
    /// Reads an object without a schema.
    pub(super) fn read_options(
        &mut self,
        object: &Object<'_>,
        place: &SectionPlace,
    ) -> Map<String, serde_json::Value> {
        let mut values = Map::new();
        let mut lines = HashMap::new();
        for property in &object.properties {
            let name = property.name.as_str();
            let position = self.position(property.range.start);
            if let Some(first) = lines.insert(name.to_owned(), position.line) {
                self.report(position, place.child(name), IssueKind::DuplicateKey { first });
            }
            let inner = SectionPlace::new(place.child(name), self.position(property.value.range().start));
            let value = self.read_any(&property.value, &inner);
            values.insert(name.to_owned(), value);
        }
        values
    }

    fn read_any(&mut self, value: &Value<'_>, place: &SectionPlace) -> serde_json::Value {
        match value {
            Value::Object(object) => serde_json::Value::Object(self.read_options(object, place)),
            Value::Array(array) => {
                let items = array.elements.iter().enumerate();
                items
                    .map(|(number, item)| self.read_any(item, &place.item(number)))
                    .collect()
            }
            Value::NumberLit(lit) => self.read_any_number(lit.value, place),
            Value::StringLit(lit) => lit.value.as_ref().into(),
            Value::BooleanLit(lit) => lit.value.into(),
            Value::NullKeyword(_) => serde_json::Value::Null,
        }
    }

    fn read_any_number(&mut self, digits: &str, place: &SectionPlace) -> serde_json::Value {
        match digits.parse::<serde_json::Number>() {
            Ok(number) => serde_json::Value::Number(number),
            Err(_) => {
                let kind = IssueKind::WrongValue {
                    expected: "a number that fits into 64 bits".to_owned(),
                    found: "a larger one".to_owned(),
                    close: None,
                };
                self.report(place.position, place.path.clone(), kind);
                serde_json::Value::Null
            }
        }
    }
}
