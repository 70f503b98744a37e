//! The HTTP server for callers.

use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use actix_web::dev::ServerHandle;
use actix_web::http::KeepAlive;
use actix_web::web::Data;
use actix_web::{App, HttpResponse, HttpServer, web};
use anyhow::Context;
use ebony_types::{ProblemCode, ProblemReport};

use super::problem::problem_response;
use super::state::CallerState;
use super::{chat, models, program, service};

/// Threads that serve callers.
const WORKERS: usize = 2;

/// The longest time that a caller may take to send the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// The longest time in seconds that a graceful stop waits for connections.
const SHUTDOWN_SECONDS: u64 = 60;

/// The result of starting the server.
pub(super) type Result<T, E = anyhow::Error> = std::result::Result<T, E>;

/// What the server needs besides its state.
pub struct ServerOptions {
    /// The address to bind.
    pub address: SocketAddr,
    /// TLS towards callers; plain HTTP if absent.
    pub tls: Option<rustls::ServerConfig>,
}

/// A running server for callers.
pub struct CallerServer {
    address: SocketAddr,
    handle: ServerHandle,
}

impl CallerServer {
    /// Binds the address and starts to serve in the running actix system.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub fn bind(options: ServerOptions, state: Data<CallerState>) -> Result<Self> {
        let listener = TcpListener::bind(options.address)
            .with_context(|| format!("cannot bind the callers' address {}", options.address))?;
        let address = listener.local_addr()?;
        let limits = state.limits;
        let server = HttpServer::new(move || App::new().app_data(Data::clone(&state)).configure(routes))
            .workers(WORKERS)
            .keep_alive(KeepAlive::Timeout(limits.idle_time))
            .max_connections(usize::try_from(limits.connections).unwrap_or(usize::MAX) / WORKERS + 1)
            .client_request_timeout(HEAD_TIMEOUT)
            .shutdown_timeout(SHUTDOWN_SECONDS)
            // Without it, the last part of a stream waits about 40 ms for the acknowledgement of the part before.
            .tcp_nodelay(true)
            .disable_signals();
        let server = match options.tls {
            Some(config) => server.listen_rustls_0_23(listener, config)?,
            None => server.listen(listener)?,
        };
        let server = server.run();
        let handle = server.handle();
        actix_web::rt::spawn(server);
        Ok(Self { address, handle })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops the server; a graceful stop lets requests under way end.
    pub async fn stop(&self, is_graceful: bool) {
        self.handle.stop(is_graceful).await;
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
