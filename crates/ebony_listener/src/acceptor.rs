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

use crate::guard::{CloseReason, PortGuard};
use crate::guarded_stream::GuardedStream;
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
    /// An open connection was closed, or its body made to yield.
    Closed(CloseReason),
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
        let gate = LimitGate {
            max_connections,
            on_event,
        };
        Self::spawn_acceptor(port, gate, service, (closing, is_closing))
    }

    /// Serves a port in the current local task set, within the limits of the guard.
    pub fn spawn_guarded(
        port: BoundPort,
        service: impl Service<GuardedStream> + 'static,
        (closing, is_closing): (watch::Sender<bool>, PortClosing),
        guard: &Rc<PortGuard>,
    ) -> Self {
        tokio::task::spawn_local(Rc::clone(guard).check_times());
        Self::spawn_acceptor(port, Rc::clone(guard), service, (closing, is_closing))
    }

    fn spawn_acceptor<G: PortGate>(
        port: BoundPort,
        gate: G,
        service: impl Service<G::Stream> + 'static,
        (closing, is_closing): (watch::Sender<bool>, PortClosing),
    ) -> Self {
        let open_connections = Rc::new(Cell::new(0));
        let acceptor = PortAcceptor {
            port,
            gate,
            service: Rc::new(service),
            is_closing,
            open_connections: Rc::clone(&open_connections),
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

/// Decides which connections are served.
trait PortGate: 'static {
    /// The stream of an admitted connection.
    type Stream: 'static;

    /// Admits a connection while so many are open, or returns `None` to close it.
    fn admit(&self, stream: TcpStream, open: usize) -> Option<Self::Stream>;

    /// Returns whether the last connection was admitted in place of another one, which has yet to end.
    fn has_closed_one(&self) -> bool;

    fn report(&self, event: PortEvent);
}

/// Admits connections up to a number.
struct LimitGate<E> {
    max_connections: usize,
    on_event: E,
}

impl<E: Fn(PortEvent) + 'static> PortGate for LimitGate<E> {
    type Stream = TcpStream;

    fn admit(&self, stream: TcpStream, open: usize) -> Option<TcpStream> {
        (open < self.max_connections).then_some(stream)
    }

    fn has_closed_one(&self) -> bool {
        false
    }

    fn report(&self, event: PortEvent) {
        (self.on_event)(event);
    }
}

impl PortGate for Rc<PortGuard> {
    type Stream = GuardedStream;

    fn admit(&self, stream: TcpStream, open: usize) -> Option<GuardedStream> {
        PortGuard::admit(self, stream, open)
    }

    fn has_closed_one(&self) -> bool {
        PortGuard::has_closed_one(self)
    }

    fn report(&self, event: PortEvent) {
        PortGuard::report(self, event);
    }
}

/// Accepts connections and serves them.
struct PortAcceptor<G, S> {
    port: BoundPort,
    gate: G,
    service: Rc<S>,
    is_closing: PortClosing,
    open_connections: Rc<Cell<usize>>,
}

impl<G: PortGate, S: Service<G::Stream> + 'static> PortAcceptor<G, S> {
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
            Ok((stream, peer)) => {
                let open = self.open_connections.get();
                match self.gate.admit(stream, open) {
                    Some(stream) => self.serve(stream),
                    None => self.gate.report(PortEvent::TooManyConnections(peer)),
                }
                if self.gate.has_closed_one() {
                    // That connection ends before the next one is accepted.
                    tokio::task::yield_now().await;
                }
            }
            Err(error) => {
                self.gate.report(PortEvent::AcceptFailed(error));
                sleep(ACCEPT_ERROR_DELAY).await;
            }
        }
    }

    fn serve(&self, stream: G::Stream) {
        let guard = ConnectionGuard::open(&self.open_connections);
        let service = Rc::clone(&self.service);
        tokio::task::spawn_local(async move {
            let _guard = guard;
            // A connection error affects only its caller.
            service.call(stream).await.ok();
        });
    }
}
