//! A TCP proxy that delays, freezes, cuts and refuses connections.

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

/// Options of a proxy at its start.
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
    /// Where new connections are forwarded to.
    pub upstream: SocketAddr,
    /// Whether new connections are refused. Open ones stay.
    #[serde(default)]
    pub is_refusing: bool,
    /// From the client to the upstream.
    #[serde(default)]
    pub to_upstream: DirectionSettings,
    /// From the upstream to the client.
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

/// Settings of one direction of all connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DirectionSettings {
    /// What happens to the bytes.
    pub mode: DirectionMode,
    /// Milliseconds by which bytes arrive late.
    pub delay_ms: u64,
    /// Closes each connection, in both directions, when it has forwarded this many bytes in this direction.
    pub cut_after_bytes: Option<u64>,
}

/// What happens to the bytes of one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DirectionMode {
    /// They are forwarded.
    #[default]
    Forward,
    /// They are held, and so is the end of the connection, until the mode changes.
    Frozen,
    /// The receiver gets the end of the input, and nothing more is forwarded on open connections.
    Cut,
}

/// What a proxy has seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ProxySeen {
    /// Connections that were accepted.
    pub accepted: u64,
    /// Connections that are open now.
    pub open: u64,
    /// Connections that were closed because the upstream could not be reached.
    pub unreachable: u64,
    /// Connections that were closed behind a number of bytes.
    pub cut: u64,
    /// Bytes that were forwarded to the upstream.
    pub bytes_to_upstream: u64,
    /// Bytes that were forwarded to clients.
    pub bytes_to_client: u64,
}

/// The kind of stand-in that is a proxy.
pub enum ProxyKind {}

impl StandinKind for ProxyKind {
    type Settings = ProxySettings;
    type Seen = ProxySeen;
}

/// Controls a proxy.
pub type ProxyControl = StandinControl<ProxyKind>;

impl StandinControl<ProxyKind> {
    /// Closes all connections. New ones are accepted if the settings allow it.
    ///
    /// # Errors
    ///
    /// Fails if the proxy's control port does not answer.
    pub async fn close_connections(&self) -> control_client::Result<()> {
        let _: ProxySeen = self.post("/_control/close", &()).await?;
        Ok(())
    }
}

/// The state of a running proxy.
pub(crate) struct ProxyState {
    settings: SettingsCell<ProxySettings>,
    seen: SettingsCell<ProxySeen>,
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
        self.port.set(|reasons| reasons.is_out = is_refusing).await;
    }

    fn seen(&self) -> ProxySeen {
        ProxySeen {
            open: self.connections.len() as u64,
            ..self.seen.get()
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
        seen: SettingsCell::open(ProxySeen::default()),
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
    let serving = state.clone();
    let forwarding = accept_connections(data, connections, CloseMode::KeepConnections, move |stream| {
        forward::run(serving.clone(), stream)
    });
    let tasks = vec![
        tokio::task::spawn_local(forwarding),
        tokio::task::spawn_local(accept_http(control, service, ConnectionTable::default())),
    ];
    state.on_settings().await;
    Ok(StandinHandle::open(address, tasks))
}

async fn close_connections(state: web::Data<ProxyState>) -> HttpResponse {
    state.connections.close_all().await;
    HttpResponse::Ok().json(state.seen())
}
