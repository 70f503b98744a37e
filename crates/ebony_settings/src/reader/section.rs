//! Checks one section against its table of keys.

use std::collections::{BTreeMap, HashMap};

use jsonc_parser::ast::{Array, Object, ObjectProp};
use jsonc_parser::common::Ranged;
use serde_json::{Map, Value};

use super::CheckedValue;
use super::close_match::find_close_match;
use super::raw_value::RawValue;
use super::scalar::{check_scalar, wrong_value};
use crate::issue::{IssueKind, SettingsIssue};
use crate::position::{LineIndex, TextPosition};
use crate::schema::{KeyPresence, KeySpec, SectionSpec, ValueKind};
use crate::settings::ProcessRole;

/// The path and position of a value.
#[derive(Clone, Debug)]
pub(super) struct ValueLocation {
    pub(super) path: String,
    pub(super) position: TextPosition,
}

impl ValueLocation {
    pub(super) fn new(path: String, position: TextPosition) -> Self {
        Self { path, position }
    }

    pub(super) fn root(position: TextPosition) -> Self {
        Self::new(String::new(), position)
    }

    /// Returns the path of a key within this section.
    pub(super) fn child(&self, name: &str) -> String {
        if self.path.is_empty() {
            name.to_owned()
        } else {
            format!("{}.{name}", self.path)
        }
    }

    /// Returns the location of an item of this list. The position is still that of the list.
    pub(super) fn item(&self, number: usize) -> Self {
        Self::new(format!("{}[{number}]", self.path), self.position)
    }
}

/// Reads sections and collects issues and checked values.
pub(super) struct SectionReader<'t> {
    pub(super) issues: Vec<SettingsIssue>,
    pub(super) values: Vec<CheckedValue>,
    index: LineIndex<'t>,
    role: Option<ProcessRole>,
}

impl<'t> SectionReader<'t> {
    pub(super) fn new(index: LineIndex<'t>, role: Option<ProcessRole>) -> Self {
        Self {
            issues: Vec::new(),
            values: Vec::new(),
            index,
            role,
        }
    }

    pub(super) fn position(&self, offset: usize) -> TextPosition {
        self.index.position(offset)
    }

    pub(super) fn report(&mut self, position: TextPosition, path: String, kind: IssueKind) {
        self.issues.push(SettingsIssue { position, path, kind });
    }

    /// Reads a section. Without an object, every key is treated as absent.
    pub(super) fn read_section(
        &mut self,
        section: &'static SectionSpec,
        object: Option<&Object<'_>>,
        location: &ValueLocation,
    ) -> Map<String, Value> {
        let mut values = Map::new();
        let properties = object
            .map(|object| object.properties.as_slice())
            .unwrap_or_default();
        let mut misspelled = Vec::new();
        let mut known = BTreeMap::new();
        for property in self.first_properties(properties, location) {
            let name = property.name.as_str();
            match section.keys.iter().find(|spec| spec.name == name) {
                Some(spec) => {
                    known.insert(spec.name, property);
                }
                None => misspelled.extend(self.report_unknown(section, property, location)),
            }
        }
        for spec in section.keys {
            let value = match known.get(spec.name) {
                Some(property) => self.read_property(spec, property, location),
                // A misspelled key was reported already and is not reported as missing as well.
                None if misspelled.contains(&spec.name) => None,
                None => self.read_absent(spec, location),
            };
            values.extend(value.map(|value| (spec.name.to_owned(), value)));
        }
        values
    }

    /// Returns the first property of each name and reports the others as duplicates.
    fn first_properties<'p, 'v>(
        &mut self,
        properties: &'p [ObjectProp<'v>],
        location: &ValueLocation,
    ) -> Vec<&'p ObjectProp<'v>> {
        let mut lines = HashMap::new();
        let mut unique = Vec::new();
        for property in properties {
            let name = property.name.as_str();
            let position = self.position(property.range.start);
            match lines.get(name) {
                Some(first) => {
                    let kind = IssueKind::DuplicateKey { first: *first };
                    self.report(position, location.child(name), kind);
                }
                None => {
                    lines.insert(name, position.line);
                    unique.push(property);
                }
            }
        }
        unique
    }

    /// Reports an unknown key and returns the known key that it may be a misspelling of.
    fn report_unknown(
        &mut self,
        section: &SectionSpec,
        property: &ObjectProp<'_>,
        location: &ValueLocation,
    ) -> Option<&'static str> {
        let name = property.name.as_str();
        let role = self.role;
        let names = section
            .keys
            .iter()
            .filter(|spec| spec.is_for(role))
            .map(|spec| spec.name);
        let suggestion = find_close_match(name, names);
        let position = self.position(property.range.start);
        self.report(
            position,
            location.child(name),
            IssueKind::UnknownKey { suggestion },
        );
        suggestion
    }

    fn read_property(
        &mut self,
        spec: &KeySpec,
        property: &ObjectProp<'_>,
        location: &ValueLocation,
    ) -> Option<Value> {
        let path = location.child(spec.name);
        if let Some(role) = spec.role.filter(|_| !spec.is_for(self.role)) {
            let position = self.position(property.range.start);
            self.report(position, path, IssueKind::OtherRole(role.as_str()));
            return None;
        }
        let inner = ValueLocation::new(path, self.position(property.value.range().start));
        self.read_value(spec.kind, RawValue::from_tree(&property.value), &inner)
    }

    fn read_absent(&mut self, spec: &KeySpec, location: &ValueLocation) -> Option<Value> {
        // If the role is unknown, it is also unknown which keys are missing.
        if spec.role.is_some() && spec.role != self.role {
            return None;
        }
        let path = location.child(spec.name);
        match spec.presence {
            KeyPresence::Optional => None,
            KeyPresence::Required => {
                let expected = spec.kind.expected();
                self.report(location.position, path, IssueKind::MissingKey { expected });
                None
            }
            KeyPresence::Default(text) => {
                let inner = ValueLocation::new(path, location.position);
                self.read_value(spec.kind, RawValue::from_default(spec.kind, text), &inner)
            }
        }
    }

    fn read_value(&mut self, kind: ValueKind, raw: RawValue<'_>, location: &ValueLocation) -> Option<Value> {
        let result = match (kind, raw) {
            (ValueKind::Section(section), RawValue::Object(object)) => {
                Ok(Value::Object(self.read_section(section, object, location)))
            }
            (ValueKind::Options, RawValue::Object(object)) => {
                let values = object.map(|object| self.read_options(object, location));
                Ok(Value::Object(values.unwrap_or_default()))
            }
            (ValueKind::List { item, min, max }, RawValue::List(array)) => {
                let count = array.map_or(0, |array| array.elements.len());
                if (min..=max).contains(&count) {
                    Ok(self.read_list(*item, array, location))
                } else {
                    Err(wrong_value(kind, raw))
                }
            }
            _ => check_scalar(kind, raw),
        };
        let value = result
            .map_err(|issue| self.report(location.position, location.path.clone(), issue))
            .ok();
        let is_container = matches!(kind, ValueKind::Section(_) | ValueKind::Options);
        let checked = value
            .as_ref()
            .map(|value| if is_container { Value::Null } else { value.clone() });
        self.values.push(CheckedValue {
            path: location.path.clone(),
            position: location.position,
            kind,
            json: checked,
        });
        value
    }

    fn read_list(&mut self, item: ValueKind, array: Option<&Array<'_>>, location: &ValueLocation) -> Value {
        let elements = array.map(|array| array.elements.as_slice()).unwrap_or_default();
        let mut values = Vec::new();
        for (number, element) in elements.iter().enumerate() {
            let mut inner = location.item(number);
            inner.position = self.position(element.range().start);
            values.extend(self.read_value(item, RawValue::from_tree(element), &inner));
        }
        Value::Array(values)
    }
}
