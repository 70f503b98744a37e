//! Tells whether a target's port is open.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::timeout;

/// The longest wait for a connection. A host that is merely busy answers later and counts as unknown.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// What a probe found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProbeOutcome {
    /// The target accepts connections.
    Open,
    /// Nothing listens: the target's process is gone.
    Refused,
    /// Neither is certain.
    Unknown,
}

/// Connects to a target and closes the connection. The adapters' errors do not tell a refused connection from a
/// refused request, and only the former shows a crash.
pub(crate) async fn probe(address: SocketAddr) -> ProbeOutcome {
    match timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(_)) => ProbeOutcome::Open,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => ProbeOutcome::Refused,
        _ => ProbeOutcome::Unknown,
    }
}
