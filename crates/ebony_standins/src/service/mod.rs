//! Stand-in for a plain service.
//!
//! It accepts any method and path, counts the requests that it runs, and echoes them. It can be set to hang, to answer
//! late, to crash on a marker in the body, or to drop the answer after the run.

mod control;
mod routes;

pub use control::ServiceControl;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

use actix_web::web;
use ebony_types::{HeaderField, ProcessIncarnation};
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::{Deserialize, Serialize};

use crate::counters::CountTable;
use crate::server::control::{HttpKind, StandinKind, StandinState};
use crate::server::faults::{FaultGate, FaultSettings};
use crate::server::{BoundStandin, PortOptions, Result, StandinHandle};
use crate::settings_cell::SettingsCell;

/// Startup options of a service.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceOptions {
    /// The ports.
    pub ports: PortOptions,
    /// The name of the service, as it appears in the answers.
    pub service: String,
    /// The settings.
    pub settings: ServiceSettings,
    /// The faults. `lose_replies` drops answers after the request ran.
    pub faults: FaultSettings,
}

impl Default for ServiceOptions {
    fn default() -> Self {
        Self {
            ports: PortOptions::default(),
            service: "service".to_owned(),
            settings: ServiceSettings::default(),
            faults: FaultSettings::default(),
        }
    }
}

/// Settings of a service.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceSettings {
    /// Whether the answers to requests are held back after the run. They are sent once this is unset.
    pub is_hung: bool,
    /// Number of upcoming requests that run and are never answered.
    pub hang_next: u32,
    /// The status of the answers.
    pub status: u16,
    /// Bytes of padding in each answer.
    pub padding_bytes: u32,
    /// Names of the header fields to echo, in lower case.
    pub echoed_headers: Vec<String>,
    /// A request whose body contains this text crashes the service when it runs; an empty text never does.
    pub crash_marker: String,
    /// Milliseconds until the service restarts after a crash caused by the marker.
    pub crash_down_ms: u64,
}

impl Default for ServiceSettings {
    fn default() -> Self {
        let echoed = ["content-type", "ebony-call", "ebony-program", "idempotency-key"];
        Self {
            is_hung: false,
            hang_next: 0,
            status: 200,
            padding_bytes: 0,
            echoed_headers: echoed.map(str::to_owned).to_vec(),
            crash_marker: "[[crash-service]]".to_owned(),
            crash_down_ms: 200,
        }
    }
}

/// Statistics of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServiceStats {
    /// The current incarnation.
    pub incarnation: ProcessIncarnation,
    /// Requests that began to run.
    pub runs: u64,
    /// Requests that were answered.
    pub answered: u64,
    /// Requests that the settings left unanswered after the run, for a time or for ever.
    pub hung: u64,
    /// Crashes.
    pub crashes: u64,
}

/// Number of runs by idempotency key, path and request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServiceRuns {
    /// Runs by idempotency key.
    pub keys: BTreeMap<String, u32>,
    /// Runs by method and path, such as `POST /orders`.
    pub paths: BTreeMap<String, u32>,
    /// Runs by digest of method, path and body.
    pub requests: BTreeMap<String, u32>,
}

/// The answer of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServiceEcho {
    /// The service.
    pub service: String,
    /// The incarnation that ran the request.
    pub incarnation: ProcessIncarnation,
    /// The sequence number of this run among all runs of the service, starting at 1.
    pub run: u64,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// The echoed header fields.
    pub headers: Vec<HeaderField>,
    /// Size of the request body in bytes.
    pub body_bytes: u64,
    /// SHA-256 digest of the request body in hexadecimal.
    pub body_digest: String,
    /// Padding of the length [`ServiceSettings::padding_bytes`].
    pub padding: String,
}

/// Marker type of the service.
pub enum ServiceKind {}

impl StandinKind for ServiceKind {
    type Settings = ServiceSettings;
    type Stats = ServiceStats;
}

impl HttpKind for ServiceKind {}

#[derive(Default)]
struct ServiceLog {
    runs: u64,
    answered: u64,
    hung: u64,
    crashes: u64,
    keys: CountTable,
    paths: CountTable,
    requests: CountTable,
}

struct ServiceState {
    service: String,
    settings: SettingsCell<ServiceSettings>,
    log: RefCell<ServiceLog>,
    incarnation: Cell<ProcessIncarnation>,
    faults: web::Data<FaultGate>,
}

fn random_incarnation() -> ProcessIncarnation {
    ProcessIncarnation::random(&mut StdRng::from_os_rng())
}

impl StandinState for ServiceState {
    type Kind = ServiceKind;

    fn settings(&self) -> &SettingsCell<ServiceSettings> {
        &self.settings
    }

    fn on_crash(&self) {
        self.log.borrow_mut().crashes += 1;
    }

    fn on_restart(&self) {
        self.incarnation.set(random_incarnation());
    }

    fn stats(&self) -> ServiceStats {
        let log = self.log.borrow();
        ServiceStats {
            incarnation: self.incarnation.get(),
            runs: log.runs,
            answered: log.answered,
            hung: log.hung,
            crashes: log.crashes,
        }
    }
}

/// Starts a service in the running actix system.
///
/// # Errors
///
/// Fails if a port cannot be bound.
pub async fn spawn(options: ServiceOptions) -> Result<StandinHandle> {
    let bound = BoundStandin::bind(options.ports, options.faults, |_| true).await?;
    let state = web::Data::new(ServiceState {
        service: options.service,
        settings: SettingsCell::open(options.settings),
        log: RefCell::default(),
        incarnation: Cell::new(random_incarnation()),
        faults: bound.faults.clone(),
    });
    bound
        .serve(state, routes::data_routes, control::control_routes)
        .await
}
