//! Accepting connections and closing a port.

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

/// The pause after an error of the port, such as a lack of descriptors.
const ERROR_PAUSE: Duration = Duration::from_millis(10);

/// The pause between two looks at the open connections while the port closes.
const CLOSING_PAUSE: Duration = Duration::from_millis(10);

/// A closing port is empty once no connection came for this long. Connections that the kernel took become visible within
/// one round of the event loop.
const LAST_QUIET: Duration = Duration::from_millis(10);

/// The longest time that a closing port goes on taking connections.
const LAST_CALL: Duration = Duration::from_millis(100);

/// What happens at a port besides connections that are served.
#[derive(Debug)]
pub enum PortEvent {
    /// A connection was closed, because too many are open.
    TooMany(SocketAddr),
    /// A connection could not be accepted.
    Failed(std::io::Error),
}

/// A port that is served.
pub struct ServingPort {
    closing: watch::Sender<bool>,
    /// Open connections.
    open: Rc<Cell<usize>>,
    task: JoinHandle<()>,
}

impl ServingPort {
    /// Serves a port in the running local task set: at most `most` connections at once.
    pub fn spawn(
        port: BoundPort,
        service: impl Service<TcpStream> + 'static,
        (closing, is_closing): (watch::Sender<bool>, PortClosing),
        most: usize,
        on_event: impl Fn(PortEvent) + 'static,
    ) -> Self {
        let open = Rc::new(Cell::new(0));
        let acceptor = PortAcceptor {
            port,
            service: Rc::new(service),
            is_closing,
            open: Rc::clone(&open),
            most,
            on_event,
        };
        Self {
            closing,
            open,
            task: tokio::task::spawn_local(acceptor.run()),
        }
    }

    /// Takes what has arrived, closes the port and idle connections, and waits up to `limit` for the others to end with
    /// their answers.
    pub async fn close(self, limit: Duration) {
        self.closing.send_replace(true);
        let ending = async {
            // The port is closed once nothing waits to be accepted. The task ends by itself.
            self.task.await.ok();
            while self.open.get() > 0 {
                sleep(CLOSING_PAUSE).await;
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
    open: Rc<Cell<usize>>,
    /// The most open connections.
    most: usize,
    on_event: E,
}

impl<S: Service<TcpStream> + 'static, E: Fn(PortEvent)> PortAcceptor<S, E> {
    /// Runs until the port is to be closed and nothing waits to be accepted.
    async fn run(mut self) {
        loop {
            tokio::select! {
                accepted = self.port.listener.accept() => self.take(accepted).await,
                () = self.is_closing.wait() => break,
            }
        }
        // Whoever was accepted by the kernel is answered.
        let end = Instant::now() + LAST_CALL;
        while Instant::now() < end
            && let Ok(accepted) = timeout(LAST_QUIET, self.port.listener.accept()).await
        {
            self.take(accepted).await;
        }
    }

    async fn take(&self, accepted: std::io::Result<(TcpStream, SocketAddr)>) {
        match accepted {
            Ok((_, peer)) if self.open.get() >= self.most => (self.on_event)(PortEvent::TooMany(peer)),
            Ok((stream, _)) => self.serve(stream),
            Err(error) => {
                (self.on_event)(PortEvent::Failed(error));
                sleep(ERROR_PAUSE).await;
            }
        }
    }

    fn serve(&self, stream: TcpStream) {
        let guard = ConnectionGuard::open(&self.open);
        let service = Rc::clone(&self.service);
        tokio::task::spawn_local(async move {
            let _guard = guard;
            // A broken connection concerns its caller only.
            service.call(stream).await.ok();
        });
    }
}
