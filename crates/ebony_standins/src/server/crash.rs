//! Simulated crashes: a stand-in loses its state, closes its port and all connections, and restarts after a delay.

use std::cell::Cell;
use std::time::Duration;

use actix_web::{HttpResponse, web};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::time::sleep;

use super::control::StandinState;
use super::faults::FaultGate;

/// Body of a crash request.
#[derive(Clone, Copy, Debug)]
#[derive(Serialize, Deserialize)]
pub(crate) struct CrashRequest {
    /// Milliseconds until the stand-in restarts.
    pub(crate) down_ms: u64,
}

/// Reply to a crash or restart request.
#[derive(Clone, Copy, Debug)]
#[derive(Serialize, Deserialize)]
pub(crate) struct CrashReply {
    /// Whether the stand-in is down.
    pub(crate) is_down: bool,
}

/// Whether a stand-in is down, and the signal to restart it early.
#[derive(Default)]
pub(crate) struct CrashState {
    is_down: Cell<bool>,
    restart: Notify,
}

/// Crashes a stand-in unless it is already down. Its state is discarded before this function returns; the returned
/// future closes the port. Handlers of that port must spawn the future, because closing the port aborts them.
pub(crate) fn crash<S: StandinState>(
    state: web::Data<S>,
    gate: web::Data<FaultGate>,
    down: Duration,
) -> impl Future<Output = ()> + 'static {
    let is_first = !gate.crash_state.is_down.replace(true);
    if is_first {
        state.on_crash();
    }
    async move {
        if is_first {
            gate.port().set(|reasons| reasons.is_crashed = true).await;
            tokio::task::spawn_local(restart_after(state, gate, down));
        }
    }
}

async fn restart_after<S: StandinState>(state: web::Data<S>, gate: web::Data<FaultGate>, down: Duration) {
    tokio::select! {
        () = sleep(down) => {}
        () = gate.crash_state.restart.notified() => {}
    }
    state.on_restart();
    gate.crash_state.is_down.set(false);
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
    if gate.crash_state.is_down.get() {
        gate.crash_state.restart.notify_one();
        gate.port().opened().await;
    }
    HttpResponse::Ok().json(CrashReply { is_down: false })
}
