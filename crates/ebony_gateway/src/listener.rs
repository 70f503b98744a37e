//! The listener for callers.

use std::net::SocketAddr;
use std::rc::Rc;

use actix_web::web::{self, Data};
use actix_web::{App, HttpRequest};
use ebony_listener::{
    BoundPort, ConnectionTimes, HttpOptions, MemoryBudget, PortClosing, PortEvent, PortGuard, ServingPort,
    guarded_service, host_limits,
};
use ebony_settings::CallerPort;
use slog::{info, warn};

use crate::call;
use crate::decision_log::{DecisionLog, LineKind};
use crate::gateway::Gateway;
use crate::intake::CallerConnection;
use crate::metrics::GatewayMetrics;

/// The result of starting the port.
pub(crate) type Result<T, E = anyhow::Error> = std::result::Result<T, E>;

/// The bound port for callers, before it is served.
pub(crate) struct CallerListener {
    port: BoundPort,
    settings: CallerPort,
}

impl CallerListener {
    pub(crate) fn bind(settings: CallerPort) -> Result<Self> {
        Ok(Self {
            port: BoundPort::bind(settings.listen)?,
            settings,
        })
    }

    pub(crate) fn address(&self) -> Result<SocketAddr> {
        self.port.address()
    }

    /// Starts to serve callers.
    pub(crate) async fn serve(self, gateway: Rc<Gateway>) -> Result<ServingPort> {
        let app = App::new()
            .app_data(Data::new(Rc::clone(&gateway)))
            .default_service(web::route().to(
                |gateway: Data<Rc<Gateway>>, request: HttpRequest, payload: web::Payload| {
                    call::serve(gateway, request, payload)
                },
            ));
        let options = HttpOptions {
            idle_time: self.settings.idle_time,
            head_timeout: self.settings.head_time,
            on_connect: |extensions| {
                extensions.insert(CallerConnection::default());
            },
        };
        let (closing, is_closing) = PortClosing::open();
        let service = guarded_service(app, options, is_closing.clone()).await?;
        let guard = self.open_guard(&gateway);
        Ok(ServingPort::spawn_guarded(
            self.port,
            service,
            (closing, is_closing),
            &guard,
        ))
    }

    /// Opens the limits of the port.
    fn open_guard(&self, gateway: &Rc<Gateway>) -> Rc<PortGuard> {
        let settings = &self.settings;
        let memory = settings.memory.unwrap_or_else(host_limits::default_memory);
        let budget = MemoryBudget::open(usize::try_from(memory).unwrap_or(usize::MAX));
        let connections = settings.connections.min(host_limits::max_connections());
        info!(gateway.logger, "limits of callers"; "memory" => memory, "connections" => connections);
        let times = ConnectionTimes {
            idle: settings.idle_time,
            head: settings.head_time,
            answer: settings.answer_time,
        };
        let (decisions, metrics) = (Rc::clone(&gateway.decisions), Rc::clone(&gateway.metrics));
        let used = budget.clone();
        PortGuard::open(budget, connections, times, move |event| {
            metrics
                .caller_memory
                .set(i64::try_from(used.used()).unwrap_or(i64::MAX));
            record_event(&decisions, &metrics, &event);
        })
    }
}

fn record_event(decisions: &DecisionLog, metrics: &GatewayMetrics, event: &PortEvent) {
    let reason = match event {
        PortEvent::TooManyConnections(_) => "too_many",
        PortEvent::AcceptFailed(_) => "accept_failed",
        PortEvent::Closed(reason) => reason.as_str(),
    };
    metrics.caller_limits.with_label_values(&[reason]).inc();
    if !decisions.admits(LineKind::State) {
        return;
    }
    match event {
        PortEvent::TooManyConnections(peer) => {
            warn!(decisions.logger, "closed a new connection because too many are open"; "peer" => %peer);
        }
        PortEvent::AcceptFailed(error) => {
            warn!(decisions.logger, "cannot accept a connection"; "error" => %error);
        }
        PortEvent::Closed(reason) => {
            warn!(decisions.logger, "a caller's connection exceeds a limit"; "reason" => reason.as_str());
        }
    }
}
