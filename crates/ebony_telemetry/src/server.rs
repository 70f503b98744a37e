//! The HTTP server for metrics and health.

use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use actix_web::dev::ServerHandle;
use actix_web::web::Data;
use actix_web::{App, HttpResponse, HttpServer, web};
use anyhow::Context;

use crate::health::HealthState;
use crate::metrics::MetricsRegistry;

/// Limit of concurrent connections, which is ample for a few scrapers and probes.
const MAX_CONNECTIONS: usize = 32;

/// How long a client may take to send its request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// The result of starting the server.
pub type Result<T, E = anyhow::Error> = std::result::Result<T, E>;

/// A running server for `/metrics`, `/healthz` and `/readyz`.
pub struct HealthServer {
    address: SocketAddr,
    handle: ServerHandle,
}

impl HealthServer {
    /// Binds the address and starts the server in the running actix system.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub fn bind(address: SocketAddr, registry: MetricsRegistry, health: HealthState) -> Result<Self> {
        Self::bind_with_collector(address, None, registry, health)
    }

    /// Like [`HealthServer::bind`], with an optional second address for collectors that scrape all processes on the same
    /// port.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be bound.
    pub fn bind_with_collector(
        address: SocketAddr,
        collector_address: Option<SocketAddr>,
        registry: MetricsRegistry,
        health: HealthState,
    ) -> Result<Self> {
        let listener = bind_listener(address)?;
        let address = listener.local_addr()?;
        let mut server = HttpServer::new(move || {
            App::new()
                .app_data(Data::new(registry.clone()))
                .app_data(Data::new(health.clone()))
                .route("/metrics", web::get().to(metrics))
                .route("/healthz", web::get().to(healthz))
                .route("/readyz", web::get().to(readyz))
        })
        .workers(1)
        .max_connections(MAX_CONNECTIONS)
        .client_request_timeout(REQUEST_TIMEOUT)
        .disable_signals()
        .listen(listener)?;
        if let Some(collector_address) = collector_address {
            server = server.listen(bind_listener(collector_address)?)?;
        }
        let server = server.run();
        let handle = server.handle();
        actix_web::rt::spawn(server);
        Ok(Self { address, handle })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops the server without waiting for open connections.
    pub async fn stop(self) {
        self.handle.stop(false).await;
    }
}

fn bind_listener(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).with_context(|| format!("cannot bind the metrics address {address}"))
}

async fn metrics(registry: Data<MetricsRegistry>) -> HttpResponse {
    match registry.to_text() {
        Ok(text) => HttpResponse::Ok()
            .content_type("text/plain; version=0.0.4")
            .body(text),
        Err(_) => HttpResponse::InternalServerError().finish(),
    }
}

async fn healthz() -> HttpResponse {
    HttpResponse::Ok().body("ok\n")
}

async fn readyz(health: Data<HealthState>) -> HttpResponse {
    if health.is_ready() {
        HttpResponse::Ok().body("ready\n")
    } else {
        HttpResponse::ServiceUnavailable().body("not ready\n")
    }
}
