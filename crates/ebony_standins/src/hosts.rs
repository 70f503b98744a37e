//! Stand-in for the host list.

use std::cell::RefCell;
use std::time::Duration;

use actix_web::{HttpResponse, web};
use ebony_platform::HostEntry;
use ebony_platform::protocol::HOSTS_ROUTE;
use serde::{Deserialize, Serialize};

use crate::control_client::{self, StandinControl};
use crate::lagged::LaggedValue;
use crate::server::control::{HttpKind, StandinKind, StandinState};
use crate::server::faults::FaultSettings;
use crate::server::{BoundStandin, PortOptions, Result, StandinHandle};
use crate::settings_cell::SettingsCell;

/// Maximum number of hosts in the list.
const MAX_HOSTS: usize = 100_000;

/// Startup options of a host list.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HostsOptions {
    /// The ports.
    pub ports: PortOptions,
    /// The hosts.
    pub hosts: Vec<HostEntry>,
    /// The settings.
    pub settings: HostsSettings,
    /// The faults.
    pub faults: FaultSettings,
}

/// Settings of a host list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HostsSettings {
    /// Age in milliseconds of the list that readers get.
    pub lag_ms: u64,
}

/// Statistics of a host list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HostsStats {
    /// Hosts in the current list.
    pub hosts: u64,
    /// Reads.
    pub reads: u64,
}

/// Marker type of the host list.
pub enum HostsKind {}

impl StandinKind for HostsKind {
    type Settings = HostsSettings;
    type Stats = HostsStats;
}

impl HttpKind for HostsKind {}

/// Controls a host list.
pub type HostsControl = StandinControl<HostsKind>;

impl StandinControl<HostsKind> {
    /// Returns the current list, without the lag.
    ///
    /// # Errors
    ///
    /// Fails if the host list does not answer.
    pub async fn hosts(&self) -> control_client::Result<Vec<HostEntry>> {
        self.get("/_control/hosts").await
    }

    /// Replaces the list. Readers get the new list after the lag.
    ///
    /// # Errors
    ///
    /// Fails if the host list does not answer.
    pub async fn set_hosts(&self, hosts: &[HostEntry]) -> control_client::Result<()> {
        let _: Vec<HostEntry> = self.post("/_control/hosts", &hosts).await?;
        Ok(())
    }
}

struct HostsState {
    settings: SettingsCell<HostsSettings>,
    hosts: RefCell<LaggedValue<Vec<HostEntry>>>,
    stats: SettingsCell<HostsStats>,
}

impl StandinState for HostsState {
    type Kind = HostsKind;

    fn settings(&self) -> &SettingsCell<HostsSettings> {
        &self.settings
    }

    fn stats(&self) -> HostsStats {
        HostsStats {
            hosts: self.hosts.borrow().current().len() as u64,
            ..self.stats.get()
        }
    }
}

/// Starts a host list in the running actix system.
///
/// # Errors
///
/// Fails if a port cannot be bound.
pub async fn spawn(options: HostsOptions) -> Result<StandinHandle> {
    let bound = BoundStandin::bind(options.ports, options.faults, |_| false).await?;
    let state = web::Data::new(HostsState {
        settings: SettingsCell::open(options.settings),
        hosts: RefCell::new(LaggedValue::open(options.hosts)),
        stats: SettingsCell::open(HostsStats::default()),
    });
    bound.serve(state, data_routes, control_routes).await
}

fn data_routes(config: &mut web::ServiceConfig) {
    config.route(HOSTS_ROUTE, web::get().to(fetch));
}

fn control_routes(config: &mut web::ServiceConfig) {
    config
        .route("/_control/hosts", web::get().to(get_hosts))
        .route("/_control/hosts", web::post().to(set_hosts));
}

async fn fetch(state: web::Data<HostsState>) -> HttpResponse {
    state.stats.change(|stats| stats.reads += 1);
    let lag = state.settings.read(|settings| settings.lag_ms);
    let hosts = state.hosts.borrow().get(Duration::from_millis(lag));
    HttpResponse::Ok().json(hosts)
}

async fn get_hosts(state: web::Data<HostsState>) -> HttpResponse {
    HttpResponse::Ok().json(state.hosts.borrow().current())
}

async fn set_hosts(state: web::Data<HostsState>, hosts: web::Json<Vec<HostEntry>>) -> HttpResponse {
    if hosts.len() > MAX_HOSTS {
        return HttpResponse::BadRequest().body("too many hosts");
    }
    state.hosts.borrow_mut().set(hosts.into_inner());
    get_hosts(state).await
}
