//! Faults that every HTTP stand-in can be given.

use std::time::Duration;

use actix_web::body::BoxBody;
use actix_web::dev::{ServiceRequest, ServiceResponse};
use actix_web::middleware::Next;
use actix_web::{HttpResponse, web};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use super::connections::ConnectionTable;
use super::crash::Downtime;
use super::gate::PortGate;
use crate::settings_cell::SettingsCell;

/// The result of handling a request.
pub(crate) type Result<T, E = actix_web::Error> = std::result::Result<T, E>;

/// How a stand-in is out of service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutageMode {
    /// In service.
    #[default]
    Off,
    /// Connections are refused and open ones are closed.
    Refuse,
    /// Every request gets status 503, which says that it did not run.
    Reject,
    /// Requests are taken and not run; their connections close when the outage ends.
    Hang,
}

/// Faults of a stand-in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultSettings {
    /// Whether the stand-in is out of service.
    pub outage: OutageMode,
    /// Milliseconds that a request waits before it runs.
    pub latency_ms: u64,
    /// Milliseconds that a reply waits after the request ran.
    pub reply_latency_ms: u64,
    /// How many of the next successful replies are lost after their requests took effect. The connection is closed
    /// instead. For table service and object store, only writes count; for an engine, only calls and orders.
    pub lose_replies: u32,
}

/// What the faults have done.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FaultsSeen {
    /// Requests that were rejected with status 503 by an outage.
    pub rejected: u64,
    /// Requests that were taken and hung by an outage.
    pub hung: u64,
    /// Replies that were lost after their requests took effect.
    pub lost_replies: u64,
}

/// Tells requests whose replies can be lost by [`FaultSettings::lose_replies`].
pub(crate) type HasEffect = fn(&ServiceRequest) -> bool;

/// Applies [`FaultSettings`] to the requests of one stand-in.
pub(crate) struct FaultGate {
    pub(crate) settings: SettingsCell<FaultSettings>,
    pub(crate) seen: SettingsCell<FaultsSeen>,
    pub(crate) connections: ConnectionTable,
    pub(crate) downtime: Downtime,
    port: PortGate,
    has_effect: HasEffect,
}

impl FaultGate {
    pub(crate) fn open(settings: FaultSettings, port: PortGate, has_effect: HasEffect) -> Self {
        Self {
            settings: SettingsCell::open(settings),
            seen: SettingsCell::open(FaultsSeen::default()),
            connections: ConnectionTable::default(),
            downtime: Downtime::default(),
            port,
            has_effect,
        }
    }

    pub(crate) fn port(&self) -> &PortGate {
        &self.port
    }

    /// Changes the settings and returns when they are in force.
    pub(crate) async fn set(&self, settings: FaultSettings) {
        self.settings.set(settings);
        let is_out = settings.outage == OutageMode::Refuse;
        self.port.set(|reasons| reasons.is_out = is_out).await;
    }

    async fn hang(&self, request: &ServiceRequest) -> ! {
        self.seen.change(|seen| seen.hung += 1);
        self.settings
            .wait_for(|settings| settings.outage != OutageMode::Hang)
            .await;
        self.connections.close_own(request.peer_addr()).await
    }

    fn takes_reply(&self) -> bool {
        let is_lost = self.settings.get().lose_replies > 0;
        if is_lost {
            self.settings.change(|settings| settings.lose_replies -= 1);
            self.seen.change(|seen| seen.lost_replies += 1);
        }
        is_lost
    }
}

/// Middleware that applies the faults of the [`FaultGate`] in the application data.
pub(crate) async fn apply(
    gate: web::Data<FaultGate>,
    request: ServiceRequest,
    next: Next<BoxBody>,
) -> Result<ServiceResponse<BoxBody>> {
    match gate.settings.get().outage {
        OutageMode::Off | OutageMode::Refuse => {}
        OutageMode::Reject => {
            gate.seen.change(|seen| seen.rejected += 1);
            let response = HttpResponse::ServiceUnavailable().body("out of service");
            return Ok(request.into_response(response));
        }
        OutageMode::Hang => gate.hang(&request).await,
    }
    pause_ms(gate.settings.get().latency_ms).await;
    let peer = request.peer_addr();
    let has_effect = (gate.has_effect)(&request);
    let response = next.call(request).await?;
    pause_ms(gate.settings.get().reply_latency_ms).await;
    if has_effect && response.status().is_success() && gate.takes_reply() {
        gate.connections.close_own(peer).await;
    }
    Ok(response)
}

async fn pause_ms(millis: u64) {
    if millis > 0 {
        sleep(Duration::from_millis(millis)).await;
    }
}
