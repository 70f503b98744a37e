//! Reads options that another crate interprets: any JSON object without duplicate keys.

use std::collections::HashMap;

use jsonc_parser::ast::{Object, Value};
use jsonc_parser::common::Ranged;
use serde_json::Map;

use super::section::{SectionReader, ValueLocation};
use crate::issue::IssueKind;

impl SectionReader<'_> {
    /// Reads an object that has no schema.
    pub(super) fn read_options(
        &mut self,
        object: &Object<'_>,
        location: &ValueLocation,
    ) -> Map<String, serde_json::Value> {
        let mut values = Map::new();
        let mut lines = HashMap::new();
        for property in &object.properties {
            let name = property.name.as_str();
            let position = self.position(property.range.start);
            if let Some(first) = lines.insert(name.to_owned(), position.line) {
                self.report(position, location.child(name), IssueKind::DuplicateKey { first });
            }
            let inner = ValueLocation::new(location.child(name), self.position(property.value.range().start));
            let value = self.read_untyped(&property.value, &inner);
            values.insert(name.to_owned(), value);
        }
        values
    }

    fn read_untyped(&mut self, value: &Value<'_>, location: &ValueLocation) -> serde_json::Value {
        match value {
            Value::Object(object) => serde_json::Value::Object(self.read_options(object, location)),
            Value::Array(array) => {
                let items = array.elements.iter().enumerate();
                items
                    .map(|(number, item)| self.read_untyped(item, &location.item(number)))
                    .collect()
            }
            Value::NumberLit(lit) => self.read_untyped_number(lit.value, location),
            Value::StringLit(lit) => lit.value.as_ref().into(),
            Value::BooleanLit(lit) => lit.value.into(),
            Value::NullKeyword(_) => serde_json::Value::Null,
        }
    }

    fn read_untyped_number(&mut self, digits: &str, location: &ValueLocation) -> serde_json::Value {
        match digits.parse::<serde_json::Number>() {
            Ok(number) => serde_json::Value::Number(number),
            Err(_) => {
                let kind = IssueKind::WrongValue {
                    expected: "a number that fits into 64 bits".to_owned(),
                    found: "a larger one".to_owned(),
                    suggestion: None,
                };
                self.report(location.position, location.path.clone(), kind);
                serde_json::Value::Null
            }
        }
    }
}
