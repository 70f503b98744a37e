//! A port that can be closed, so that connections are refused, and opened again at the same address.

use std::future::pending;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

/// The result of binding a port.
pub(crate) type Result<T, E = std::io::Error> = std::result::Result<T, E>;

/// How often a port is opened again before it is given up. Another process can take the address in the moment when
/// the listener is gone and the address is not yet held.
const REOPEN_ATTEMPTS: u32 = 500;

/// The pause between two attempts to open a port again, or to accept after an error.
const RETRY_PAUSE: Duration = Duration::from_millis(10);

/// Connections that wait to be accepted. With the shorter default of the runtime, 200 callers that started at once
/// overran the queue, and three of them timed out.
const BACKLOG: u32 = 4_096;

/// Why a port is closed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ClosedReasons {
    /// An outage refuses connections.
    pub(crate) is_out: bool,
    /// The process that the stand-in plays is down.
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
    wanted: Rc<watch::Sender<ClosedReasons>>,
    is_listening: watch::Receiver<bool>,
}

impl PortGate {
    /// Changes the reasons, and returns when the port has followed and all connections of a closed port are gone.
    pub(crate) async fn set(&self, change: impl FnOnce(&mut ClosedReasons)) {
        self.wanted.send_modify(change);
        let is_open = self.wanted.borrow().is_open();
        // The port is gone for good if this fails, and then nothing listens.
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

/// What happened at a port.
pub(crate) enum PortEvent {
    /// A connection was accepted.
    Accepted(TcpStream, SocketAddr),
    /// The port was closed. The receiver ends its connections and then calls [`GatedPort::confirm_closed`].
    Closed,
}

/// A listening port with a gate.
pub(crate) struct GatedPort {
    address: SocketAddr,
    listener: Option<TcpListener>,
    // Holds the address of a closed port, so that no other process gets it. A bound socket that does not listen
    // refuses connections.
    held: Option<TcpSocket>,
    wanted: watch::Receiver<ClosedReasons>,
    is_listening: watch::Sender<bool>,
}

impl GatedPort {
    /// Binds a port of the loopback address; port 0 takes a free one.
    pub(crate) fn bind(port: u16) -> Result<(Self, PortGate)> {
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        let listener = bind_socket(address)?.listen(BACKLOG)?;
        let (wanted, wanted_receiver) = watch::channel(ClosedReasons::default());
        let (is_listening, is_listening_receiver) = watch::channel(true);
        let port = Self {
            address: listener.local_addr()?,
            listener: Some(listener),
            held: None,
            wanted: wanted_receiver,
            is_listening,
        };
        let gate = PortGate {
            wanted: Rc::new(wanted),
            is_listening: is_listening_receiver,
        };
        Ok((port, gate))
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits for the next event. May be dropped and called again without loss.
    pub(crate) async fn next(&mut self) -> PortEvent {
        loop {
            let is_open = self.wanted.borrow_and_update().is_open();
            match &self.listener {
                Some(_) if !is_open => {
                    self.listener = None;
                    self.held = bind_socket(self.address).ok();
                    return PortEvent::Closed;
                }
                Some(listener) => tokio::select! {
                    () = changed(&mut self.wanted) => {}
                    accepted = listener.accept() => {
                        match accepted {
                            Ok((stream, peer)) => return PortEvent::Accepted(stream, peer),
                            // Keeps a lack of file descriptors from taking the whole thread.
                            Err(_) => sleep(RETRY_PAUSE).await,
                        }
                    }
                },
                None if is_open => {
                    self.listener = Some(self.reopen().await);
                    self.is_listening.send_replace(true);
                }
                None => changed(&mut self.wanted).await,
            }
        }
    }

    async fn reopen(&mut self) -> TcpListener {
        for _ in 0..REOPEN_ATTEMPTS {
            let socket = match self.held.take() {
                Some(socket) => Ok(socket),
                None => bind_socket(self.address),
            };
            if let Ok(listener) = socket.and_then(|socket| socket.listen(BACKLOG)) {
                return listener;
            }
            sleep(RETRY_PAUSE).await;
        }
        // Clients see the port refuse for good, which their own limits on time report.
        pending().await
    }

    /// States that all connections of the closed port have ended.
    pub(crate) fn confirm_closed(&self) {
        self.is_listening.send_replace(false);
    }
}

async fn changed(wanted: &mut watch::Receiver<ClosedReasons>) {
    if wanted.changed().await.is_err() {
        // Without a gate, the port stays as it is.
        pending::<()>().await;
    }
}

fn bind_socket(address: SocketAddr) -> Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    // Connections of the closed listener may still be ending.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}
