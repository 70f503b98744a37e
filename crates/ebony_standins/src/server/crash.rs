//! Crashes: a stand-in loses its state, closes its port and all connections, and comes back after a time.

use std::cell::Cell;
use std::time::Duration;

use actix_web::{HttpResponse, web};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::time::sleep;

use super::control::StandinState;
use super::faults::FaultGate;

/// Asks for a crash.
#[derive(Clone, Copy, Debug)]
#[derive(Serialize, Deserialize)]
pub(crate) struct CrashRequest {
    /// Milliseconds until the stand-in comes back by itself.
    pub(crate) down_ms: u64,
}

/// Says whether a stand-in is down.
#[derive(Clone, Copy, Debug)]
#[derive(Serialize, Deserialize)]
pub(crate) struct CrashReply {
    /// Whether it is down.
    pub(crate) is_down: bool,
}

/// The time that a stand-in is down.
#[derive(Default)]
pub(crate) struct Downtime {
    is_down: Cell<bool>,
    restart: Notify,
}

/// Crashes a stand-in unless it is down already: its state is lost on return. The returned future closes the port
/// and ends when it is closed. A request's handler spawns it, because the crash ends the handler.
pub(crate) fn crash<S: StandinState>(
    state: web::Data<S>,
    gate: web::Data<FaultGate>,
    down: Duration,
) -> impl Future<Output = ()> + 'static {
    let is_first = !gate.downtime.is_down.replace(true);
    if is_first {
        state.on_crash();
    }
    async move {
        if is_first {
            gate.port().set(|reasons| reasons.is_crashed = true).await;
            tokio::task::spawn_local(come_back(state, gate, down));
        }
    }
}

async fn come_back<S: StandinState>(state: web::Data<S>, gate: web::Data<FaultGate>, down: Duration) {
    tokio::select! {
        () = sleep(down) => {}
        () = gate.downtime.restart.notified() => {}
    }
    state.on_restart();
    gate.downtime.is_down.set(false);
    gate.port().set(|reasons| reasons.is_crashed = false).await;
}

pub(crate) async fn post_crash<S: StandinState>(
    state: web::Data<S>,
    gate: web::Data<FaultGate>,
    request: web::Json<CrashRequest>,
) -> HttpResponse {
    crash(state, gate, Duration::from_millis(request.down_ms)).await;
    HttpResponse::Ok().json(CrashReply { is_down: true })
}

pub(crate) async fn post_restart(gate: web::Data<FaultGate>) -> HttpResponse {
    if gate.downtime.is_down.get() {
        gate.downtime.restart.notify_one();
        gate.port().opened().await;
    }
    HttpResponse::Ok().json(CrashReply { is_down: false })
}
