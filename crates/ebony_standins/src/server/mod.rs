//! Infrastructure common to all stand-ins: ports, connections, faults and common routes.
//!
//! A stand-in listens on two ports: one for its protocol, where faults apply, and one for control and inspection, which
//! faults never affect.

pub(crate) mod connections;
pub(crate) mod control;
pub(crate) mod crash;
pub(crate) mod faults;
pub(crate) mod gate;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::HttpService;
use actix_rt::net::TcpStream;
use actix_service::{IntoServiceFactory, Service, ServiceFactory, map_config};
use actix_web::dev::AppConfig;
use actix_web::{App, middleware, web};
use anyhow::anyhow;
use serde::{Deserialize, Serialize};
use tokio::task::{JoinHandle, JoinSet};

use connections::ConnectionTable;
use control::{StandinState, fault_routes, settings_routes};
use faults::{FaultGate, FaultSettings, HasEffect};
use gate::{GatedPort, PortEvent};

/// The result of starting a stand-in.
pub(crate) type Result<T, E = anyhow::Error> = std::result::Result<T, E>;

/// Maximum size of a request body. Checkpoints are the largest objects.
const MAX_REQUEST_BYTES: usize = 64 * 1024 * 1024;

/// How long idle connections stay open. Longer than the idle time-out of the clients, so that no request is sent on a
/// connection that the server is closing.
const KEEP_ALIVE: Duration = Duration::from_secs(75);

/// The ports of a stand-in; 0 selects a free one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PortOptions {
    /// The port of the protocol.
    pub data: u16,
    /// The port for control and inspection.
    pub control: u16,
}

/// The addresses of a running stand-in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StandinAddress {
    /// The address of the protocol, where faults apply.
    pub data: SocketAddr,
    /// The address for control and inspection.
    pub control: SocketAddr,
}

impl StandinAddress {
    /// Returns the base URL of the protocol.
    pub fn url(&self) -> String {
        format!("http://{}", self.data)
    }
}

/// A running stand-in. It stops when the handle is dropped.
#[must_use = "the stand-in stops when its handle is dropped"]
pub struct StandinHandle {
    address: StandinAddress,
    tasks: Vec<JoinHandle<()>>,
}

impl StandinHandle {
    pub(crate) fn open(address: StandinAddress, tasks: Vec<JoinHandle<()>>) -> Self {
        Self { address, tasks }
    }

    /// Returns the addresses.
    pub fn address(&self) -> StandinAddress {
        self.address
    }

    /// Returns the base URL of the protocol.
    pub fn url(&self) -> String {
        self.address.url()
    }

    /// Stops the stand-in and returns once its ports are closed and its connections have ended.
    pub async fn stop(mut self) {
        for task in std::mem::take(&mut self.tasks) {
            task.abort();
            // The error is expected, because the task was aborted.
            task.await.ok();
        }
    }
}

impl Drop for StandinHandle {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

/// A stand-in whose ports are bound, but which does not serve requests yet.
pub(crate) struct BoundStandin {
    data: GatedPort,
    control: GatedPort,
    pub(crate) faults: web::Data<FaultGate>,
}

impl BoundStandin {
    pub(crate) async fn bind(
        ports: PortOptions,
        faults: FaultSettings,
        has_effect: HasEffect,
    ) -> Result<Self> {
        let (data, gate) = GatedPort::bind(ports.data)?;
        let (control, _) = GatedPort::bind(ports.control)?;
        let faults_gate = FaultGate::open(faults, gate, has_effect);
        Ok(Self {
            data,
            control,
            faults: web::Data::new(faults_gate),
        })
    }

    /// Serves the protocol's routes and the control routes.
    pub(crate) async fn serve<S: StandinState>(
        self,
        state: web::Data<S>,
        data_routes: fn(&mut web::ServiceConfig),
        control_routes: fn(&mut web::ServiceConfig),
    ) -> Result<StandinHandle> {
        state.on_settings().await;
        let address = StandinAddress {
            data: self.data.address(),
            control: self.control.address(),
        };
        let data_app = App::new()
            .app_data(web::PayloadConfig::new(MAX_REQUEST_BYTES))
            .app_data(json_config())
            .app_data(self.faults.clone())
            .app_data(state.clone())
            .configure(data_routes)
            .wrap(middleware::from_fn(faults::apply));
        let control_app = App::new()
            .app_data(json_config())
            .app_data(self.faults.clone())
            .app_data(state)
            .configure(settings_routes::<S>)
            .configure(fault_routes::<S>)
            .configure(control_routes);
        let connections = self.faults.connections.clone();
        let initial_faults = self.faults.settings.get();
        let data_service = http_service(data_app).await?;
        let control_service = http_service(control_app).await?;
        let control = accept_http(self.control, control_service, ConnectionTable::default());
        let tasks = vec![
            tokio::task::spawn_local(accept_http(self.data, data_service, connections)),
            tokio::task::spawn_local(control),
        ];
        self.faults.set(initial_faults).await;
        Ok(StandinHandle::open(address, tasks))
    }
}

/// Accepts JSON with any or no media type, so that requests written by hand need no header.
pub(crate) fn json_config() -> web::JsonConfig {
    web::JsonConfig::default()
        .limit(MAX_REQUEST_BYTES)
        .content_type_required(false)
        .content_type(|_| true)
}

/// Creates the HTTP/1 service of an application.
pub(crate) async fn http_service<F, I, B>(app: F) -> Result<impl Service<TcpStream> + 'static>
where
    F: IntoServiceFactory<I, actix_http::Request>,
    I: ServiceFactory<
            actix_http::Request,
            Config = AppConfig,
            Response = actix_web::dev::ServiceResponse<B>,
            Error = actix_web::Error,
            InitError = (),
        > + 'static,
    I::Future: 'static,
    I::Service: 'static,
    B: actix_web::body::MessageBody + 'static,
{
    let factory = map_config(app.into_factory(), |()| AppConfig::default());
    HttpService::build()
        .keep_alive(KEEP_ALIVE)
        .tcp_nodelay(true)
        .h1_allow_half_closed(false)
        .finish(factory)
        .tcp()
        .new_service(())
        .await
        .map_err(|()| anyhow!("cannot start the HTTP service"))
}

/// What happens to open connections when their port is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CloseMode {
    /// They are closed.
    CloseConnections,
    /// They stay open.
    KeepConnections,
}

/// Serves each connection of a port in a separate task.
pub(crate) async fn accept_connections<F, T>(
    mut port: GatedPort,
    connections: ConnectionTable,
    mode: CloseMode,
    serve: F,
) where
    F: Fn(TcpStream) -> T,
    T: Future<Output = ()> + 'static,
{
    let mut tasks = JoinSet::new();
    loop {
        tokio::select! {
            Some(_) = tasks.join_next() => {}
            event = port.next() => match event {
                PortEvent::Accepted(stream, peer) if !connections.is_full() => {
                    let guard = connections.guard(peer);
                    let serving = serve(stream);
                    let handle = tasks.spawn_local(async move {
                        let _guard = guard;
                        serving.await;
                    });
                    connections.insert(peer, handle);
                }
                PortEvent::Accepted(..) => {}
                PortEvent::Closed => {
                    if mode == CloseMode::CloseConnections {
                        tasks.shutdown().await;
                    }
                    port.confirm_closed();
                }
            }
        }
    }
}

/// Serves each connection of a port with an HTTP service.
pub(crate) async fn accept_http<S>(port: GatedPort, service: S, connections: ConnectionTable)
where
    S: Service<TcpStream> + 'static,
{
    let service = Rc::new(service);
    let serve = |stream| {
        let service = Rc::clone(&service);
        async move {
            // An error affects only this connection.
            service.call(stream).await.ok();
        }
    };
    accept_connections(port, connections, CloseMode::CloseConnections, serve).await;
}
