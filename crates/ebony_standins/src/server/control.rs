//! Control and inspection routes common to all HTTP stand-ins.

use actix_web::{HttpResponse, web};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use super::crash;
use super::faults::{FaultGate, FaultSettings, FaultsStats};
use crate::settings_cell::{SettingsCell, merge};

/// Marker for a type of stand-in. Defines the types of its settings and statistics.
pub trait StandinKind: 'static {
    /// Settings that can change while the stand-in runs.
    type Settings: Clone + Serialize + DeserializeOwned;
    /// Statistics of the stand-in.
    type Stats: Serialize + DeserializeOwned;
}

/// A type of stand-in that serves HTTP and supports [`FaultSettings`] and crashes.
pub trait HttpKind: StandinKind {}

/// The state of a running stand-in, as used by the common routes.
pub(crate) trait StandinState: 'static {
    type Kind: StandinKind;

    fn settings(&self) -> &SettingsCell<<Self::Kind as StandinKind>::Settings>;

    fn stats(&self) -> <Self::Kind as StandinKind>::Stats;

    /// Applies changed settings.
    async fn on_settings(&self) {}

    /// Discards the state that a crash loses.
    fn on_crash(&self) {}

    /// Initializes the state for the restart after a crash.
    fn on_restart(&self) {}
}

type SettingsOf<S> = <<S as StandinState>::Kind as StandinKind>::Settings;
type StatsOf<S> = <<S as StandinState>::Kind as StandinKind>::Stats;

/// Adds the routes for settings and statistics.
pub(crate) fn settings_routes<S: StandinState>(config: &mut web::ServiceConfig) {
    config
        .route("/_control/settings", web::get().to(get_settings::<S>))
        .route("/_control/settings", web::post().to(set_settings::<S>))
        .route("/_seen/summary", web::get().to(get_stats::<S>));
}

/// Adds the routes for faults and crashes.
pub(crate) fn fault_routes<S: StandinState>(config: &mut web::ServiceConfig) {
    config
        .route("/_control/faults", web::get().to(get_faults))
        .route("/_control/faults", web::post().to(set_faults))
        .route("/_control/crash", web::post().to(crash::post_crash::<S>))
        .route("/_control/restart", web::post().to(crash::post_restart))
        .route("/_seen/faults", web::get().to(get_faults_stats));
}

async fn get_settings<S: StandinState>(state: web::Data<S>) -> web::Json<SettingsOf<S>> {
    web::Json(state.settings().get())
}

async fn set_settings<S: StandinState>(state: web::Data<S>, patch: web::Json<Value>) -> HttpResponse {
    match merge(&state.settings().get(), patch.into_inner()) {
        Ok(settings) => {
            state.settings().set(settings.clone());
            state.on_settings().await;
            HttpResponse::Ok().json(settings)
        }
        Err(error) => HttpResponse::BadRequest().body(error.to_string()),
    }
}

async fn get_faults(gate: web::Data<FaultGate>) -> web::Json<FaultSettings> {
    web::Json(gate.settings.get())
}

async fn set_faults(gate: web::Data<FaultGate>, patch: web::Json<Value>) -> HttpResponse {
    match merge(&gate.settings.get(), patch.into_inner()) {
        Ok(settings) => {
            gate.set(settings).await;
            HttpResponse::Ok().json(settings)
        }
        Err(error) => HttpResponse::BadRequest().body(error.to_string()),
    }
}

async fn get_faults_stats(gate: web::Data<FaultGate>) -> web::Json<FaultsStats> {
    web::Json(gate.stats.get())
}

async fn get_stats<S: StandinState>(state: web::Data<S>) -> web::Json<StatsOf<S>> {
    web::Json(state.stats())
}
