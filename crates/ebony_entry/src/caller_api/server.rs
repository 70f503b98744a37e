//! The HTTP server for callers.

use std::net::SocketAddr;
use std::time::Duration;

use actix_rt::Arbiter;
use actix_web::web::Data;
use actix_web::{App, HttpResponse, web};
use anyhow::Context;
use ebony_listener::{
    BoundPort, HttpOptions, PortClosing, PortEvent, ServingPort, plain_service, tls_service,
};
use ebony_types::{ProblemCode, ProblemReport};
use slog::{Logger, error, warn};
use tokio::sync::{oneshot, watch};

use super::problem::problem_response;
use super::state::CallerState;
use super::{chat, models, program, service};

/// The number of threads that serve callers.
const WORKER_THREADS: usize = 2;

/// The maximum time for a caller to send the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a graceful shutdown waits for connections to end.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(60);

/// The result of starting the server.
pub(super) type Result<T, E = anyhow::Error> = std::result::Result<T, E>;

/// Configuration of the server.
pub struct ServerOptions {
    /// The address to bind.
    pub address: SocketAddr,
    /// TLS configuration. Plain HTTP is served if it is `None`.
    pub tls: Option<rustls::ServerConfig>,
}

/// A running server for callers.
pub struct CallerServer {
    address: SocketAddr,
    stopping: watch::Sender<bool>,
    workers: Vec<ServerWorker>,
}

/// A thread that serves callers.
struct ServerWorker {
    arbiter: Arbiter,
    /// Completes when the thread has closed its port and its connections have ended.
    ended: oneshot::Receiver<()>,
}

impl CallerServer {
    /// Binds the address and starts to serve on dedicated threads.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub fn bind(options: ServerOptions, state: Data<CallerState>, logger: &Logger) -> Result<Self> {
        let port = BoundPort::bind(options.address)?;
        let address = port.address()?;
        let listener = port.into_std()?;
        let (stopping, is_stopping) = PortClosing::open();
        let mut workers = Vec::with_capacity(WORKER_THREADS);
        for _ in 0..WORKER_THREADS {
            let listener = listener.try_clone().context("cannot share the callers' port")?;
            let arbiter = Arbiter::new();
            let (ending, ended) = oneshot::channel();
            let (tls, state) = (options.tls.clone(), Data::clone(&state));
            let (is_stopping, logger) = (is_stopping.clone(), logger.clone());
            arbiter.spawn_fn(move || {
                actix_rt::spawn(async move {
                    serve(listener, tls, state, is_stopping, logger).await;
                    // Nobody waits if the process stops without a graceful shutdown.
                    ending.send(()).ok();
                });
            });
            workers.push(ServerWorker { arbiter, ended });
        }
        Ok(Self {
            address,
            stopping,
            workers,
        })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops the server gracefully: requests that have arrived are answered before their connections are closed.
    pub async fn stop(self) {
        self.stopping.send_replace(true);
        for worker in self.workers {
            worker.ended.await.ok();
            worker.arbiter.stop();
        }
    }
}

/// Serves callers on the current arbiter thread until the server stops.
async fn serve(
    listener: std::net::TcpListener,
    tls: Option<rustls::ServerConfig>,
    state: Data<CallerState>,
    mut is_stopping: PortClosing,
    logger: Logger,
) {
    match open_port(listener, tls, state, &logger).await {
        Ok(port) => {
            is_stopping.wait().await;
            port.close(SHUTDOWN_TIMEOUT).await;
        }
        Err(failure) => {
            error!(logger, "cannot start an HTTP server thread"; "error" => format!("{failure:#}"));
        }
    }
}

async fn open_port(
    listener: std::net::TcpListener,
    tls: Option<rustls::ServerConfig>,
    state: Data<CallerState>,
    logger: &Logger,
) -> Result<ServingPort> {
    let limits = state.limits;
    let options = HttpOptions {
        idle_time: limits.idle_time,
        head_timeout: HEAD_TIMEOUT,
        on_connect: |_| {},
    };
    let max_open = usize::try_from(limits.connections).unwrap_or(usize::MAX) / WORKER_THREADS + 1;
    let port = BoundPort::from_std(listener)?;
    let (closing, is_closing) = PortClosing::open();
    let signal = (closing, is_closing.clone());
    let app = App::new().app_data(state).configure(routes);
    let logger = logger.clone();
    let on_event = move |event| log_event(&logger, &event);
    match tls {
        Some(tls) => {
            let service = tls_service(app, options, is_closing, tls).await?;
            Ok(ServingPort::spawn(port, service, signal, max_open, on_event))
        }
        None => {
            let service = plain_service(app, options, is_closing).await?;
            Ok(ServingPort::spawn(port, service, signal, max_open, on_event))
        }
    }
}

fn log_event(logger: &Logger, event: &PortEvent) {
    match event {
        PortEvent::TooManyConnections(peer) => {
            warn!(logger, "closed a new connection because too many are open"; "peer" => %peer);
        }
        PortEvent::AcceptFailed(error) => warn!(logger, "cannot accept a connection"; "error" => %error),
        PortEvent::Closed(reason) => {
            warn!(logger, "a connection exceeds a limit"; "reason" => reason.as_str());
        }
    }
}

fn routes(config: &mut web::ServiceConfig) {
    config
        .service(resource("/v1/chat/completions").route(web::post().to(chat::complete)))
        .service(resource("/v1/models").route(web::get().to(models::list)))
        .service(resource("/v1/programs").route(web::post().to(program::open)))
        .service(
            resource("/v1/programs/{id}")
                .route(web::get().to(program::show))
                .route(web::delete().to(program::cancel)),
        )
        .service(resource("/v1/programs/{id}/finish").route(web::post().to(program::finish)))
        .route("/v1/services/{service}", web::route().to(service::call))
        .route("/v1/services/{service}/{path:.*}", web::route().to(service::call))
        .default_service(web::to(not_found));
}

fn resource(path: &str) -> actix_web::Resource {
    web::resource(path.to_owned()).default_service(web::to(wrong_method))
}

async fn not_found() -> HttpResponse {
    problem_response(&ProblemReport::not_run(ProblemCode::NotFound, "no such route"))
}

async fn wrong_method() -> HttpResponse {
    problem_response(&ProblemReport::not_run(
        ProblemCode::MethodNotAllowed,
        "the method is not allowed here",
    ))
}
