//! A port that can be closed, so that connections are refused, and opened again at the same address.

use std::future::pending;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

/// The result of binding a port.
pub(crate) type Result<T, E = std::io::Error> = std::result::Result<T, E>;

/// How often a port is bound again before it is given up. An outgoing connection of any process can hold the address
/// for as long as it lives.
const REBIND_ATTEMPTS: u32 = 500;

/// The pause between two attempts to bind a port again.
const REBIND_PAUSE: Duration = Duration::from_millis(10);

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
    wanted: watch::Receiver<ClosedReasons>,
    is_listening: watch::Sender<bool>,
}

impl GatedPort {
    /// Binds a port of the loopback address; port 0 takes a free one.
    pub(crate) async fn bind(port: u16) -> Result<(Self, PortGate)> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, port)).await?;
        let (wanted, wanted_receiver) = watch::channel(ClosedReasons::default());
        let (is_listening, is_listening_receiver) = watch::channel(true);
        let port = Self {
            address: listener.local_addr()?,
            listener: Some(listener),
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
                    return PortEvent::Closed;
                }
                Some(listener) => tokio::select! {
                    () = changed(&mut self.wanted) => {}
                    accepted = listener.accept() => {
                        // Errors of single connections, such as one that was reset early, end only that connection.
                        if let Ok((stream, peer)) = accepted {
                            return PortEvent::Accepted(stream, peer);
                        }
                    }
                },
                None if is_open => {
                    self.listener = Some(rebind(self.address).await);
                    self.is_listening.send_replace(true);
                }
                None => changed(&mut self.wanted).await,
            }
        }
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

async fn rebind(address: SocketAddr) -> TcpListener {
    for _ in 0..REBIND_ATTEMPTS {
        if let Ok(listener) = TcpListener::bind(address).await {
            return listener;
        }
        sleep(REBIND_PAUSE).await;
    }
    // Callers see the port refuse for good, which their own limits on time report.
    pending().await
}
