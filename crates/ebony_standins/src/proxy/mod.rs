//! A TCP proxy that can delay, freeze, cut and refuse connections.

mod forward;

use std::net::SocketAddr;

use actix_web::{App, HttpResponse, web};
use serde::{Deserialize, Serialize};

use crate::control_client::{self, StandinControl};
use crate::server::connections::ConnectionTable;
use crate::server::control::{StandinKind, StandinState, settings_routes};
use crate::server::gate::{GatedPort, PortGate};
use crate::server::{
    CloseMode, PortOptions, Result, StandinAddress, StandinHandle, accept_connections, accept_http,
    http_service, json_config,
};
use crate::settings_cell::SettingsCell;

/// Startup options of a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProxyOptions {
    /// The ports.
    #[serde(default)]
    pub ports: PortOptions,
    /// The settings.
    pub settings: ProxySettings,
}

impl ProxyOptions {
    /// Returns options for a proxy that forwards to an address.
    pub fn to(upstream: SocketAddr) -> Self {
        Self {
            ports: PortOptions::default(),
            settings: ProxySettings::to(upstream),
        }
    }
}

/// Settings of a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProxySettings {
    /// The address to which new connections are forwarded.
    pub upstream: SocketAddr,
    /// Whether new connections are refused. Open ones stay open.
    #[serde(default)]
    pub is_refusing: bool,
    /// Settings of the direction from the client to the upstream.
    #[serde(default)]
    pub to_upstream: DirectionSettings,
    /// Settings of the direction from the upstream to the client.
    #[serde(default)]
    pub to_client: DirectionSettings,
}

impl ProxySettings {
    /// Returns settings that forward to an address.
    pub fn to(upstream: SocketAddr) -> Self {
        Self {
            upstream,
            is_refusing: false,
            to_upstream: DirectionSettings::default(),
            to_client: DirectionSettings::default(),
        }
    }
}

/// Settings of one direction, for all connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DirectionSettings {
    /// How data is forwarded.
    pub mode: DirectionMode,
    /// Delay of the data in milliseconds.
    pub delay_ms: u64,
    /// Closes a connection in both directions once it has forwarded this many bytes in this direction.
    pub cut_after_bytes: Option<u64>,
}

/// How the data of one direction is forwarded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DirectionMode {
    /// Data is forwarded.
    #[default]
    Forward,
    /// Data and the end of the input are buffered until the mode changes.
    Frozen,
    /// The receiver sees the end of the input, and open connections forward no more data.
    Cut,
}

/// Statistics of a proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ProxyStats {
    /// Connections that were accepted.
    pub accepted: u64,
    /// Connections that are open.
    pub open: u64,
    /// Connections that were closed because the upstream could not be reached.
    pub unreachable: u64,
    /// Connections that were closed by [`DirectionSettings::cut_after_bytes`].
    pub cut: u64,
    /// Bytes that were forwarded to the upstream.
    pub bytes_to_upstream: u64,
    /// Bytes that were forwarded to clients.
    pub bytes_to_client: u64,
}

/// Marker type of the proxy.
pub enum ProxyKind {}

impl StandinKind for ProxyKind {
    type Settings = ProxySettings;
    type Stats = ProxyStats;
}

/// Controls a proxy.
pub type ProxyControl = StandinControl<ProxyKind>;

impl StandinControl<ProxyKind> {
    /// Closes all open connections. Whether new ones are accepted depends on the settings.
    ///
    /// # Errors
    ///
    /// Fails if the proxy's control port does not answer.
    pub async fn close_connections(&self) -> control_client::Result<()> {
        let _: ProxyStats = self.post("/_control/close", &()).await?;
        Ok(())
    }
}

/// The state of a running proxy.
pub(crate) struct ProxyState {
    settings: SettingsCell<ProxySettings>,
    stats: SettingsCell<ProxyStats>,
    connections: ConnectionTable,
    port: PortGate,
}

impl StandinState for ProxyState {
    type Kind = ProxyKind;

    fn settings(&self) -> &SettingsCell<ProxySettings> {
        &self.settings
    }

    async fn on_settings(&self) {
        let is_refusing = self.settings.read(|settings| settings.is_refusing);
        self.port.set(|reasons| reasons.has_outage = is_refusing).await;
    }

    fn stats(&self) -> ProxyStats {
        ProxyStats {
            open: self.connections.len() as u64,
            ..self.stats.get()
        }
    }
}

/// Starts a proxy in the running actix system.
///
/// # Errors
///
/// Fails if a port cannot be bound.
pub async fn spawn(options: ProxyOptions) -> Result<StandinHandle> {
    let (data, gate) = GatedPort::bind(options.ports.data)?;
    let (control, _) = GatedPort::bind(options.ports.control)?;
    let address = StandinAddress {
        data: data.address(),
        control: control.address(),
    };
    let state = web::Data::new(ProxyState {
        settings: SettingsCell::open(options.settings),
        stats: SettingsCell::open(ProxyStats::default()),
        connections: ConnectionTable::default(),
        port: gate,
    });
    let app = App::new()
        .app_data(json_config())
        .app_data(state.clone())
        .configure(settings_routes::<ProxyState>)
        .route("/_control/close", web::post().to(close_connections));
    let service = http_service(app).await?;
    let connections = state.connections.clone();
    let forward_state = state.clone();
    let accept_task = accept_connections(data, connections, CloseMode::KeepConnections, move |stream| {
        forward::run(forward_state.clone(), stream)
    });
    let tasks = vec![
        tokio::task::spawn_local(accept_task),
        tokio::task::spawn_local(accept_http(control, service, ConnectionTable::default())),
    ];
    state.on_settings().await;
    Ok(StandinHandle::open(address, tasks))
}

async fn close_connections(state: web::Data<ProxyState>) -> HttpResponse {
    state.connections.close_all().await;
    HttpResponse::Ok().json(state.stats())
}
