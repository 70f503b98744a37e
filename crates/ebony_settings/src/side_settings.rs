//! The settings that only side processes have.

use std::net::SocketAddr;
use std::time::Duration;

use ebony_types::{ModelName, ServiceName, TargetName};
use ebony_wire::TargetKind;
use serde::Deserialize;

/// The settings of a side process.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SideSettings {
    /// The targets that run beside the process, at least one.
    pub targets: Vec<TargetSettings>,
    /// The ledger of calls that run at most once.
    pub ledger: LedgerSettings,
}

/// One target.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(try_from = "TargetFields")]
pub struct TargetSettings {
    /// The name of the target.
    pub name: TargetName,
    /// What the target serves.
    pub kind: TargetKind,
    /// The target's HTTP address.
    pub address: SocketAddr,
    /// The most calls that the target runs at once.
    pub slots: u32,
    /// Whether the target itself refuses orders with an old fencing token.
    pub checks_fencing: bool,
}

/// The limits of the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LedgerSettings {
    /// The most keys that are kept.
    pub entries: usize,
    /// The most bytes of stored responses.
    pub bytes: u64,
    /// How long a key is kept after its response.
    pub retention: Duration,
}

/// Whether a target is an engine or a plain service.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum TargetClass {
    Engine,
    Service,
}

/// A target as written in the file.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TargetFields {
    name: TargetName,
    kind: TargetClass,
    address: SocketAddr,
    models: Option<Vec<ModelName>>,
    service: Option<ServiceName>,
    slots: u32,
    checks_fencing: bool,
}

impl TryFrom<TargetFields> for TargetSettings {
    type Error = &'static str;

    fn try_from(fields: TargetFields) -> Result<Self, Self::Error> {
        let kind = match (fields.kind, fields.models, fields.service) {
            (TargetClass::Engine, Some(models), None) => TargetKind::Engine { models },
            (TargetClass::Service, None, Some(service)) => TargetKind::Service { service },
            _ => return Err("an engine has models and a service has a service's name"),
        };
        Ok(Self {
            name: fields.name,
            kind,
            address: fields.address,
            slots: fields.slots,
            checks_fencing: fields.checks_fencing,
        })
    }
}
