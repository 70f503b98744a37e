//! A listening port that can be closed, so that it refuses connections, and reopened at the same address.

use std::future::pending;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

/// The result of binding a port.
pub(crate) type Result<T, E = std::io::Error> = std::result::Result<T, E>;

/// Maximum number of attempts to reopen a port. They can fail because another process may take the address between
/// the closing of the listener and the binding of the reserving socket.
const MAX_REOPEN_ATTEMPTS: u32 = 500;

/// Delay between attempts to reopen a port, and before the next accept after an error.
const RETRY_DELAY: Duration = Duration::from_millis(10);

/// Maximum number of connections that wait to be accepted. The runtime's default is shorter: 200 callers that started
/// at once overflowed the queue, and three of them timed out.
const LISTEN_BACKLOG: u32 = 4_096;

/// Why a port is closed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ClosedReasons {
    /// An outage refuses connections.
    pub(crate) has_outage: bool,
    /// The simulated process has crashed.
    pub(crate) is_crashed: bool,
}

impl ClosedReasons {
    fn is_open(self) -> bool {
        self == Self::default()
    }
}

/// Opens and closes a [`GatedPort`].
#[derive(Clone)]
pub(crate) struct PortGate {
    reasons: Rc<watch::Sender<ClosedReasons>>,
    is_listening: watch::Receiver<bool>,
}

impl PortGate {
    /// Changes the reasons. Returns once the port is open or closed accordingly. A closed port has no connections left.
    pub(crate) async fn set(&self, change: impl FnOnce(&mut ClosedReasons)) {
        self.reasons.send_modify(change);
        let is_open = self.reasons.borrow().is_open();
        // Fails only if the port was dropped, in which case nothing listens either.
        self.is_listening
            .clone()
            .wait_for(|is_listening| *is_listening == is_open)
            .await
            .ok();
    }

    /// Waits until the port listens.
    pub(crate) async fn opened(&self) {
        let mut is_listening = self.is_listening.clone();
        is_listening.wait_for(|is_listening| *is_listening).await.ok();
    }
}

/// An event at a port.
pub(crate) enum PortEvent {
    /// A connection was accepted.
    Accepted(TcpStream, SocketAddr),
    /// The port was closed. The receiver of the event must end the connections and then call
    /// [`GatedPort::confirm_closed`].
    Closed,
}

/// A listening port that its [`PortGate`] opens and closes.
pub(crate) struct GatedPort {
    address: SocketAddr,
    listener: Option<TcpListener>,
    // Reserves the address while the port is closed, so that no other process can bind it. Connections to a bound
    // socket that does not listen are refused.
    reserved: Option<TcpSocket>,
    reasons: watch::Receiver<ClosedReasons>,
    is_listening: watch::Sender<bool>,
}

impl GatedPort {
    /// Binds a port of the loopback address; port 0 selects a free one.
    pub(crate) fn bind(port: u16) -> Result<(Self, PortGate)> {
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        let listener = bind_socket(address)?.listen(LISTEN_BACKLOG)?;
        let (reasons, reasons_receiver) = watch::channel(ClosedReasons::default());
        let (is_listening, is_listening_receiver) = watch::channel(true);
        let port = Self {
            address: listener.local_addr()?,
            listener: Some(listener),
            reserved: None,
            reasons: reasons_receiver,
            is_listening,
        };
        let gate = PortGate {
            reasons: Rc::new(reasons),
            is_listening: is_listening_receiver,
        };
        Ok((port, gate))
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits for the next event. Cancel-safe: no event is lost if the future is dropped.
    pub(crate) async fn next(&mut self) -> PortEvent {
        loop {
            let is_open = self.reasons.borrow_and_update().is_open();
            match &self.listener {
                Some(_) if !is_open => {
                    self.listener = None;
                    self.reserved = bind_socket(self.address).ok();
                    return PortEvent::Closed;
                }
                Some(listener) => tokio::select! {
                    () = wait_for_change(&mut self.reasons) => {}
                    accepted = listener.accept() => {
                        match accepted {
                            Ok((stream, peer)) => return PortEvent::Accepted(stream, peer),
                            // Avoids a busy loop while the process is out of file descriptors.
                            Err(_) => sleep(RETRY_DELAY).await,
                        }
                    }
                },
                None if is_open => {
                    self.listener = Some(self.reopen().await);
                    self.is_listening.send_replace(true);
                }
                None => wait_for_change(&mut self.reasons).await,
            }
        }
    }

    async fn reopen(&mut self) -> TcpListener {
        for _ in 0..MAX_REOPEN_ATTEMPTS {
            let socket = match self.reserved.take() {
                Some(socket) => Ok(socket),
                None => bind_socket(self.address),
            };
            if let Ok(listener) = socket.and_then(|socket| socket.listen(LISTEN_BACKLOG)) {
                return listener;
            }
            sleep(RETRY_DELAY).await;
        }
        // The port stays closed. Clients report this through their own time-outs.
        pending().await
    }

    /// Reports that all connections of the closed port have ended.
    pub(crate) fn confirm_closed(&self) {
        self.is_listening.send_replace(false);
    }
}

async fn wait_for_change(reasons: &mut watch::Receiver<ClosedReasons>) {
    if reasons.changed().await.is_err() {
        // The gate was dropped, so the reasons can no longer change.
        pending::<()>().await;
    }
}

fn bind_socket(address: SocketAddr) -> Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    // Allows binding while connections of the closed listener are still ending.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}
