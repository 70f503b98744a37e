//! Accepts connections and closes ports.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::net::TcpStream;
use actix_service::Service;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};

use crate::port::BoundPort;
use crate::service::PortClosing;

/// The delay after a failed `accept`, for example because no file descriptors are available.
const ACCEPT_ERROR_DELAY: Duration = Duration::from_millis(10);

/// The interval at which a closing port checks for open connections.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A closing port stops accepting once no connection has arrived for this long. Connections that the kernel has
/// accepted become visible within one iteration of the event loop.
const CLOSE_IDLE_TIME: Duration = Duration::from_millis(10);

/// The longest time that a closing port continues to accept connections.
const CLOSE_ACCEPT_TIMEOUT: Duration = Duration::from_millis(100);

/// An event at a port other than a served connection.
#[derive(Debug)]
pub enum PortEvent {
    /// A connection was closed because too many are open.
    TooManyConnections(SocketAddr),
    /// A connection could not be accepted.
    AcceptFailed(std::io::Error),
}

/// A port that accepts and serves connections. It continues to do so if this handle is dropped.
pub struct ServingPort {
    closing: watch::Sender<bool>,
    /// The number of open connections.
    open_connections: Rc<Cell<usize>>,
    task: JoinHandle<()>,
}

impl ServingPort {
    /// Serves a port in the current local task set, with at most `max_connections` open connections.
    pub fn spawn(
        port: BoundPort,
        service: impl Service<TcpStream> + 'static,
        (closing, is_closing): (watch::Sender<bool>, PortClosing),
        max_connections: usize,
        on_event: impl Fn(PortEvent) + 'static,
    ) -> Self {
        let open_connections = Rc::new(Cell::new(0));
        let acceptor = PortAcceptor {
            port,
            service: Rc::new(service),
            is_closing,
            open_connections: Rc::clone(&open_connections),
            max_connections,
            on_event,
        };
        Self {
            closing,
            open_connections,
            task: tokio::task::spawn_local(acceptor.run()),
        }
    }

    /// Accepts the connections that have arrived, closes the port and idle connections, and waits up to `limit`
    /// until the remaining connections have received their answers and ended.
    pub async fn close(self, limit: Duration) {
        self.closing.send_replace(true);
        let ending = async {
            // The task ends and closes the port once no connection is waiting to be accepted.
            self.task.await.ok();
            while self.open_connections.get() > 0 {
                sleep(CLOSE_POLL_INTERVAL).await;
            }
        };
        timeout(limit, ending).await.ok();
    }
}

/// Counts an open connection.
struct ConnectionGuard(Rc<Cell<usize>>);

impl ConnectionGuard {
    fn open(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(Rc::clone(count))
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Accepts connections and serves them.
struct PortAcceptor<S, E> {
    port: BoundPort,
    service: Rc<S>,
    is_closing: PortClosing,
    open_connections: Rc<Cell<usize>>,
    max_connections: usize,
    on_event: E,
}

impl<S: Service<TcpStream> + 'static, E: Fn(PortEvent)> PortAcceptor<S, E> {
    /// Runs until the port is told to close and no connection is waiting to be accepted.
    async fn run(mut self) {
        loop {
            tokio::select! {
                accepted = self.port.listener.accept() => self.handle_accepted(accepted).await,
                () = self.is_closing.wait() => break,
            }
        }
        // Connections that the kernel has already accepted are served.
        let end = Instant::now() + CLOSE_ACCEPT_TIMEOUT;
        while Instant::now() < end
            && let Ok(accepted) = timeout(CLOSE_IDLE_TIME, self.port.listener.accept()).await
        {
            self.handle_accepted(accepted).await;
        }
    }

    async fn handle_accepted(&self, accepted: std::io::Result<(TcpStream, SocketAddr)>) {
        match accepted {
            Ok((_, peer)) if self.open_connections.get() >= self.max_connections => {
                (self.on_event)(PortEvent::TooManyConnections(peer))
            }
            Ok((stream, _)) => self.serve(stream),
            Err(error) => {
                (self.on_event)(PortEvent::AcceptFailed(error));
                sleep(ACCEPT_ERROR_DELAY).await;
            }
        }
    }

    fn serve(&self, stream: TcpStream) {
        let guard = ConnectionGuard::open(&self.open_connections);
        let service = Rc::clone(&self.service);
        tokio::task::spawn_local(async move {
            let _guard = guard;
            // A connection error affects only its caller.
            service.call(stream).await.ok();
        });
    }
}
