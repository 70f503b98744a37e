//! The listener for callers.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_web::web::{self, Data};
use actix_web::{App, HttpRequest};
use ebony_listener::{BoundPort, HttpOptions, PortClosing, PortEvent, ServingPort, plain_service};
use ebony_settings::CallerPort;
use slog::warn;

use crate::call;
use crate::decision_log::{DecisionLog, LineKind};
use crate::gateway::Gateway;
use crate::intake::CallerConnection;

/// The timeout of a request head, which also limits how long a new connection may stay idle.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);

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
            head_timeout: HEAD_TIMEOUT,
            on_connect: |extensions| {
                extensions.insert(CallerConnection::default());
            },
        };
        let (closing, is_closing) = PortClosing::open();
        let service = plain_service(app, options, is_closing.clone()).await?;
        let decisions = Rc::clone(&gateway.decisions);
        Ok(ServingPort::spawn(
            self.port,
            service,
            (closing, is_closing),
            self.settings.connections,
            move |event| log_event(&decisions, &event),
        ))
    }
}

fn log_event(decisions: &DecisionLog, event: &PortEvent) {
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
    }
}
