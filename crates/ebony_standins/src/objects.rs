//! Stand-in for the object store.

use std::cell::RefCell;
use std::collections::HashMap;

use actix_web::dev::ServiceRequest;
use actix_web::http::Method;
use actix_web::{HttpResponse, web};
use bytes::Bytes;
use ebony_platform::protocol::OBJECT_ROUTE;
use serde::{Deserialize, Serialize};

use crate::control_client::StandinControl;
use crate::rate_limit::RateLimit;
use crate::server::control::{HttpKind, StandinKind, StandinState};
use crate::server::faults::FaultSettings;
use crate::server::{BoundStandin, PortOptions, Result, StandinHandle};
use crate::settings_cell::SettingsCell;

/// Startup options of an object store.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ObjectsOptions {
    /// The ports.
    pub ports: PortOptions,
    /// The settings.
    pub settings: ObjectsSettings,
    /// The faults.
    pub faults: FaultSettings,
}

/// Settings of an object store.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ObjectsSettings {
    /// Maximum reads per second; reads above it are rejected as not run. No limit if absent.
    pub reads_per_second: Option<f64>,
    /// Maximum writes and deletions per second; those above it are rejected as not run. No limit if absent.
    pub writes_per_second: Option<f64>,
    /// Maximum total size of the objects in bytes. A write that exceeds it is rejected as not run.
    pub max_bytes: u64,
}

impl Default for ObjectsSettings {
    fn default() -> Self {
        Self {
            reads_per_second: None,
            writes_per_second: None,
            max_bytes: 1024 * 1024 * 1024,
        }
    }
}

/// Statistics of an object store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ObjectsStats {
    /// Stored objects.
    pub objects: u64,
    /// Total size of the stored objects in bytes.
    pub bytes: u64,
    /// Reads that were accepted.
    pub reads: u64,
    /// Writes and deletions that took effect.
    pub writes: u64,
    /// Reads rejected because of the rate limit.
    pub rejected_reads: u64,
    /// Writes and deletions rejected because of the rate limit, or because the store was full.
    pub rejected_writes: u64,
}

/// Marker type of the object store.
pub enum ObjectsKind {}

impl StandinKind for ObjectsKind {
    type Settings = ObjectsSettings;
    type Stats = ObjectsStats;
}

impl HttpKind for ObjectsKind {}

/// Controls an object store.
pub type ObjectsControl = StandinControl<ObjectsKind>;

struct ObjectsState {
    settings: SettingsCell<ObjectsSettings>,
    // Bounded by the setting `max_bytes`, because an empty object counts as one byte.
    objects: RefCell<HashMap<String, Bytes>>,
    stats: SettingsCell<ObjectsStats>,
    read_limit: RefCell<RateLimit>,
    write_limit: RefCell<RateLimit>,
}

impl ObjectsState {
    /// Applies the read rate limit and counts the read as accepted or rejected.
    fn try_admit_read(&self) -> bool {
        let rate = self.settings.read(|settings| settings.reads_per_second);
        let is_allowed = self.read_limit.borrow_mut().try_take(rate);
        self.stats.change(|stats| match is_allowed {
            true => stats.reads += 1,
            false => stats.rejected_reads += 1,
        });
        is_allowed
    }

    /// Applies the size and write rate limits and counts the write as accepted or rejected.
    fn try_admit_write(&self, bytes: u64) -> bool {
        let (rate, max_bytes) = self
            .settings
            .read(|settings| (settings.writes_per_second, settings.max_bytes));
        let has_room = self.stats.read(|stats| stats.bytes) + bytes <= max_bytes;
        let is_allowed = has_room && self.write_limit.borrow_mut().try_take(rate);
        self.stats.change(|stats| match is_allowed {
            true => stats.writes += 1,
            false => stats.rejected_writes += 1,
        });
        is_allowed
    }

    /// Inserts the object, or removes the stored one if `object` is `None`.
    fn set_object(&self, key: String, object: Option<Bytes>) {
        let mut objects = self.objects.borrow_mut();
        let added = object.as_ref().map_or(0, size);
        let removed = match object {
            Some(object) => objects.insert(key, object),
            None => objects.remove(&key),
        };
        let removed = removed.as_ref().map_or(0, size);
        self.stats
            .change(|stats| stats.bytes = stats.bytes + added - removed);
    }
}

/// Returns the size of an object in bytes, at least 1.
fn size(object: &Bytes) -> u64 {
    object.len().max(1) as u64
}

impl StandinState for ObjectsState {
    type Kind = ObjectsKind;

    fn settings(&self) -> &SettingsCell<ObjectsSettings> {
        &self.settings
    }

    fn stats(&self) -> ObjectsStats {
        ObjectsStats {
            objects: self.objects.borrow().len() as u64,
            ..self.stats.get()
        }
    }
}

/// Starts an object store in the running actix system.
///
/// # Errors
///
/// Fails if a port cannot be bound.
pub async fn spawn(options: ObjectsOptions) -> Result<StandinHandle> {
    let bound = BoundStandin::bind(options.ports, options.faults, is_write).await?;
    let state = web::Data::new(ObjectsState {
        settings: SettingsCell::open(options.settings),
        objects: RefCell::default(),
        stats: SettingsCell::open(ObjectsStats::default()),
        read_limit: RefCell::default(),
        write_limit: RefCell::default(),
    });
    bound.serve(state, data_routes, |_| {}).await
}

fn data_routes(config: &mut web::ServiceConfig) {
    let route = format!("{OBJECT_ROUTE}{{key:.+}}");
    let resource = web::resource(route)
        .route(web::put().to(put))
        .route(web::get().to(get))
        .route(web::delete().to(delete));
    config.service(resource);
}

fn is_write(request: &ServiceRequest) -> bool {
    request.method() != Method::GET
}

fn rejection() -> HttpResponse {
    HttpResponse::ServiceUnavailable().body("over the rate, or no room")
}

async fn put(state: web::Data<ObjectsState>, key: web::Path<String>, body: Bytes) -> HttpResponse {
    if !state.try_admit_write(size(&body)) {
        return rejection();
    }
    state.set_object(key.into_inner(), Some(body));
    HttpResponse::NoContent().finish()
}

async fn get(state: web::Data<ObjectsState>, key: web::Path<String>) -> HttpResponse {
    if !state.try_admit_read() {
        return rejection();
    }
    match state.objects.borrow().get(key.as_str()) {
        Some(object) => HttpResponse::Ok().body(object.clone()),
        None => HttpResponse::NotFound().finish(),
    }
}

async fn delete(state: web::Data<ObjectsState>, key: web::Path<String>) -> HttpResponse {
    if !state.try_admit_write(0) {
        return rejection();
    }
    state.set_object(key.into_inner(), None);
    HttpResponse::NoContent().finish()
}
