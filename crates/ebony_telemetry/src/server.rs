//! The HTTP server for metrics and health.

use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use actix_rt::Arbiter;
use actix_web::web::{self, Data};
use actix_web::{App, HttpResponse};
use anyhow::Context;
use ebony_listener::{
    BoundPort, ConnectionTimes, HttpOptions, MemoryBudget, PortClosing, PortEvent, PortGuard, ServingPort,
    guarded_service,
};
use prometheus::IntCounterVec;

use crate::health::HealthState;
use crate::metrics::MetricsRegistry;

/// Limit of concurrent connections, which is ample for a few scrapers and probes. At the limit, a new connection closes
/// the one that has waited longest for its request.
const MAX_CONNECTIONS: usize = 32;

/// The memory for connections of both addresses.
const MEMORY_BYTES: usize = 4 << 20;

/// How long a client may take to send its request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a connection may be idle. Scrapers usually come every 5 to 15 s.
const IDLE_TIME: Duration = Duration::from_secs(30);

/// How long a client may take nothing of a waiting answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// The result of starting the server.
pub type Result<T, E = anyhow::Error> = std::result::Result<T, E>;

/// A running server for `/metrics`, `/healthz` and `/readyz`. It runs on a thread of its own, so that it answers while
/// the thread that serves callers is busy.
pub struct HealthServer {
    address: SocketAddr,
    thread: Arbiter,
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
        let mut listeners = vec![listener];
        if let Some(collector_address) = collector_address {
            listeners.push(bind_listener(collector_address)?);
        }
        let closed = registry.counter_family(
            "metrics_port_closed_total",
            "Connections to the metrics port that were closed to keep its limits, by reason.",
            &["reason"],
        )?;
        let budget = MemoryBudget::open(MEMORY_BYTES);
        let thread = Arbiter::new();
        for listener in listeners {
            let pages = (registry.clone(), health.clone());
            let (budget, closed) = (budget.clone(), closed.clone());
            thread.spawn_fn(move || {
                actix_rt::spawn(async move {
                    // Fails only if the runtime of the thread is ending.
                    serve(listener, pages, budget, closed).await.ok();
                });
            });
        }
        Ok(Self { address, thread })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops the server without waiting for open connections.
    pub async fn stop(self) {
        self.thread.stop();
    }
}

fn bind_listener(address: SocketAddr) -> Result<TcpListener> {
    let bind = || BoundPort::bind(address)?.into_std();
    bind().with_context(|| format!("cannot bind the metrics address {address}"))
}

/// Serves one address on the current thread.
async fn serve(
    listener: TcpListener,
    (registry, health): (MetricsRegistry, HealthState),
    budget: MemoryBudget,
    closed: IntCounterVec,
) -> Result<()> {
    let app = App::new()
        .app_data(Data::new(registry))
        .app_data(Data::new(health))
        .route("/metrics", web::get().to(metrics))
        .route("/healthz", web::get().to(healthz))
        .route("/readyz", web::get().to(readyz));
    let options = HttpOptions {
        idle_time: IDLE_TIME,
        head_timeout: REQUEST_TIMEOUT,
        on_connect: |_| {},
    };
    let times = ConnectionTimes {
        idle: IDLE_TIME,
        head: REQUEST_TIMEOUT,
        answer: ANSWER_TIMEOUT,
    };
    let guard = PortGuard::open(budget, MAX_CONNECTIONS, times, move |event| {
        let reason = match event {
            PortEvent::TooManyConnections(_) => "too_many",
            PortEvent::AcceptFailed(_) => "accept_failed",
            PortEvent::Closed(reason) => reason.as_str(),
        };
        closed.with_label_values(&[reason]).inc();
    });
    let (closing, is_closing) = PortClosing::open();
    let service = guarded_service(app, options, is_closing.clone()).await?;
    let port = BoundPort::from_std(listener)?;
    ServingPort::spawn_guarded(port, service, (closing, is_closing), &guard);
    Ok(())
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
