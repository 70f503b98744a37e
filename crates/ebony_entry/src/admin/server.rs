//! The HTTP server for operators.

use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use actix_web::dev::ServerHandle;
use actix_web::web::{Data, QueryConfig};
use actix_web::{App, HttpServer, web};
use anyhow::Context;
use ebony_types::ProblemCode;

use super::error::{AdminProblem, Result as AdminResult};
use super::state::AdminState;
use super::{burn, config, programs, targets, watch};

/// The maximum number of concurrent connections: operators, their scripts and live views.
const MAX_CONNECTIONS: usize = 64;

/// The maximum time for an operator to send the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// The result of starting the server.
pub(super) type Result<T, E = anyhow::Error> = std::result::Result<T, E>;

/// Configuration of the server.
#[derive(Clone, Copy, Debug)]
pub struct AdminOptions {
    /// The address to bind.
    pub address: SocketAddr,
    /// The time after which a connection without a request is closed.
    pub idle_time: Duration,
}

/// A running server for operators.
pub struct AdminServer {
    address: SocketAddr,
    handle: ServerHandle,
}

impl AdminServer {
    /// Binds the address and starts to serve in the running actix system.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub fn bind(options: AdminOptions, state: Data<AdminState>) -> Result<Self> {
        let listener = TcpListener::bind(options.address)
            .with_context(|| format!("cannot bind the administration address {}", options.address))?;
        let address = listener.local_addr()?;
        let server = HttpServer::new(move || App::new().app_data(Data::clone(&state)).configure(routes))
            .workers(1)
            .keep_alive(options.idle_time)
            .max_connections(MAX_CONNECTIONS)
            .client_request_timeout(HEAD_TIMEOUT)
            .disable_signals()
            .listen(listener)?
            .run();
        let handle = server.handle();
        actix_web::rt::spawn(server);
        Ok(Self { address, handle })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops the server immediately. A change in progress may still be accepted; the operator can check the history.
    pub async fn stop(&self) {
        self.handle.stop(false).await;
    }
}

fn routes(routes: &mut web::ServiceConfig) {
    let malformed = |error: actix_web::error::QueryPayloadError, _: &actix_web::HttpRequest| {
        AdminProblem::not_run(ProblemCode::BadRequest, format!("malformed query: {error}")).into()
    };
    routes
        .app_data(QueryConfig::default().error_handler(malformed))
        .service(
            resource("/v1/config")
                .route(web::get().to(config::show))
                .route(web::put().to(config::replace))
                .route(web::patch().to(config::patch)),
        )
        .service(resource("/v1/config/revert").route(web::post().to(config::revert)))
        .service(resource("/v1/config/history").route(web::get().to(config::history)))
        .service(resource("/v1/config/status").route(web::get().to(config::status)))
        .service(resource("/v1/config/watch").route(web::get().to(watch::watch)))
        .service(resource("/v1/targets").route(web::get().to(targets::list)))
        .service(resource("/v1/targets/{name}/drain").route(web::post().to(targets::drain)))
        .service(
            resource("/v1/programs/{id}")
                .route(web::get().to(programs::show))
                .route(web::delete().to(programs::cancel)),
        )
        .service(resource("/v1/burn/snapshot").route(web::get().to(burn::snapshot)))
        .service(resource("/v1/burn/report").route(web::get().to(burn::report)))
        .default_service(web::to(not_found));
}

fn resource(path: &str) -> actix_web::Resource {
    web::resource(path.to_owned()).default_service(web::to(wrong_method))
}

async fn not_found() -> AdminResult<&'static str> {
    Err(AdminProblem::not_run(ProblemCode::NotFound, "no such route"))
}

async fn wrong_method() -> AdminResult<&'static str> {
    let detail = "the method is not allowed here";
    Err(AdminProblem::not_run(ProblemCode::MethodNotAllowed, detail))
}
