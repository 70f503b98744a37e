//! Stand-in for the weight store.

use std::cell::RefCell;

use actix_web::{HttpResponse, web};
use ebony_platform::protocol::{TRANSFERS_ROUTE, TransferRequest};
use ebony_types::ModelName;
use serde::{Deserialize, Serialize};

use crate::control_client::{self, StandinControl};
use crate::rate_limit::RateLimit;
use crate::server::control::{HttpKind, StandinKind, StandinState};
use crate::server::faults::FaultSettings;
use crate::server::{BoundStandin, PortOptions, Result, StandinHandle};
use crate::settings_cell::SettingsCell;

/// Maximum number of recent transfers that are kept; the oldest are dropped.
const MAX_RECENT: usize = 1_000;

/// Startup options of a weight store.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WeightsOptions {
    /// The ports.
    pub ports: PortOptions,
    /// The settings.
    pub settings: WeightsSettings,
    /// The faults.
    pub faults: FaultSettings,
}

/// Settings of a weight store.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WeightsSettings {
    /// Maximum transfers per second; transfers above it are refused. A burst of one second's transfers, but at least
    /// one, is allowed. No limit if absent.
    pub transfers_per_second: Option<f64>,
}

/// Statistics of a weight store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WeightsStats {
    /// Transfers that began.
    pub begun: u64,
    /// Transfers refused because of the rate limit.
    pub refused: u64,
}

/// Marker type of the weight store.
pub enum WeightsKind {}

impl StandinKind for WeightsKind {
    type Settings = WeightsSettings;
    type Stats = WeightsStats;
}

impl HttpKind for WeightsKind {}

/// Controls a weight store.
pub type WeightsControl = StandinControl<WeightsKind>;

impl StandinControl<WeightsKind> {
    /// Returns the models of the most recent transfers, oldest first.
    ///
    /// # Errors
    ///
    /// Fails if the weight store's control port does not answer.
    pub async fn recent_transfers(&self) -> control_client::Result<Vec<ModelName>> {
        self.get("/_seen/transfers").await
    }
}

struct WeightsState {
    settings: SettingsCell<WeightsSettings>,
    stats: SettingsCell<WeightsStats>,
    limit: RefCell<RateLimit>,
    recent: RefCell<Vec<ModelName>>,
}

impl StandinState for WeightsState {
    type Kind = WeightsKind;

    fn settings(&self) -> &SettingsCell<WeightsSettings> {
        &self.settings
    }

    fn stats(&self) -> WeightsStats {
        self.stats.get()
    }
}

/// Starts a weight store in the running actix system.
///
/// # Errors
///
/// Fails if a port cannot be bound.
pub async fn spawn(options: WeightsOptions) -> Result<StandinHandle> {
    let bound = BoundStandin::bind(options.ports, options.faults, |_| true).await?;
    let state = web::Data::new(WeightsState {
        settings: SettingsCell::open(options.settings),
        stats: SettingsCell::open(WeightsStats::default()),
        limit: RefCell::default(),
        recent: RefCell::default(),
    });
    bound.serve(state, data_routes, control_routes).await
}

fn data_routes(config: &mut web::ServiceConfig) {
    config.route(TRANSFERS_ROUTE, web::post().to(begin_transfer));
}

fn control_routes(config: &mut web::ServiceConfig) {
    config.route("/_seen/transfers", web::get().to(recent_transfers));
}

async fn begin_transfer(state: web::Data<WeightsState>, request: web::Json<TransferRequest>) -> HttpResponse {
    let rate = state.settings.read(|settings| settings.transfers_per_second);
    if !state.limit.borrow_mut().try_take(rate) {
        state.stats.change(|stats| stats.refused += 1);
        return HttpResponse::ServiceUnavailable().body("over the rate");
    }
    state.stats.change(|stats| stats.begun += 1);
    let mut recent = state.recent.borrow_mut();
    recent.push(request.into_inner().model);
    if recent.len() > MAX_RECENT {
        recent.remove(0);
    }
    HttpResponse::NoContent().finish()
}

async fn recent_transfers(state: web::Data<WeightsState>) -> HttpResponse {
    HttpResponse::Ok().json(&*state.recent.borrow())
}
