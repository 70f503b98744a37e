//! Fault injection common to all HTTP stand-ins.

use std::time::Duration;

use actix_web::body::BoxBody;
use actix_web::dev::{ServiceRequest, ServiceResponse};
use actix_web::middleware::Next;
use actix_web::{HttpResponse, web};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use super::connections::ConnectionTable;
use super::crash::CrashState;
use super::gate::PortGate;
use crate::settings_cell::SettingsCell;

/// The result of handling a request.
pub(crate) type Result<T, E = actix_web::Error> = std::result::Result<T, E>;

/// How a stand-in behaves during an outage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutageMode {
    /// No outage.
    #[default]
    Off,
    /// New connections are refused and open ones are closed.
    Refuse,
    /// Every request gets status 503, which means that it did not run.
    Reject,
    /// Requests are accepted but not run; their connections are closed when the outage ends.
    Hang,
}

/// Faults to inject into a stand-in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultSettings {
    /// The kind of outage, if any.
    pub outage: OutageMode,
    /// Delay in milliseconds before a request runs.
    pub latency_ms: u64,
    /// Delay in milliseconds between the run of a request and its reply.
    pub reply_latency_ms: u64,
    /// Number of upcoming successful replies to drop after their requests took effect. The connection is closed
    /// instead. Only writes count for the table service and the object store, and only calls and orders for an engine.
    pub lose_replies: u32,
}

/// Counts of the requests and replies that faults have affected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FaultsStats {
    /// Requests that were rejected with status 503 by an outage.
    pub rejected: u64,
    /// Requests that an outage accepted and left without a reply.
    pub hung: u64,
    /// Replies that were lost after their requests took effect.
    pub lost_replies: u64,
}

/// Returns whether the reply to a request can be dropped by [`FaultSettings::lose_replies`].
pub(crate) type HasEffect = fn(&ServiceRequest) -> bool;

/// Applies [`FaultSettings`] to the requests of one stand-in.
pub(crate) struct FaultGate {
    pub(crate) settings: SettingsCell<FaultSettings>,
    pub(crate) stats: SettingsCell<FaultsStats>,
    pub(crate) connections: ConnectionTable,
    pub(crate) crash_state: CrashState,
    port: PortGate,
    has_effect: HasEffect,
}

impl FaultGate {
    pub(crate) fn open(settings: FaultSettings, port: PortGate, has_effect: HasEffect) -> Self {
        Self {
            settings: SettingsCell::open(settings),
            stats: SettingsCell::open(FaultsStats::default()),
            connections: ConnectionTable::default(),
            crash_state: CrashState::default(),
            port,
            has_effect,
        }
    }

    pub(crate) fn port(&self) -> &PortGate {
        &self.port
    }

    /// Changes the settings and returns once they apply.
    pub(crate) async fn set(&self, settings: FaultSettings) {
        self.settings.set(settings);
        let has_outage = settings.outage == OutageMode::Refuse;
        self.port.set(|reasons| reasons.has_outage = has_outage).await;
    }

    /// Waits for the end of the outage, then closes the connection.
    async fn hang(&self, request: &ServiceRequest) -> ! {
        self.stats.change(|stats| stats.hung += 1);
        self.settings
            .wait_for(|settings| settings.outage != OutageMode::Hang)
            .await;
        self.connections.close_current(request.peer_addr()).await
    }

    /// Returns whether to drop the current reply, and counts it if so.
    fn should_lose_reply(&self) -> bool {
        let is_lost = self.settings.get().lose_replies > 0;
        if is_lost {
            self.settings.change(|settings| settings.lose_replies -= 1);
            self.stats.change(|stats| stats.lost_replies += 1);
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
            gate.stats.change(|stats| stats.rejected += 1);
            let response = HttpResponse::ServiceUnavailable().body("out of service");
            return Ok(request.into_response(response));
        }
        OutageMode::Hang => gate.hang(&request).await,
    }
    sleep_ms(gate.settings.get().latency_ms).await;
    let peer = request.peer_addr();
    let has_effect = (gate.has_effect)(&request);
    let response = next.call(request).await?;
    sleep_ms(gate.settings.get().reply_latency_ms).await;
    if has_effect && response.status().is_success() && gate.should_lose_reply() {
        gate.connections.close_current(peer).await;
    }
    Ok(response)
}

async fn sleep_ms(millis: u64) {
    if millis > 0 {
        sleep(Duration::from_millis(millis)).await;
    }
}
