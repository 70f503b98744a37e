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
pub enum ProbeOutcome {
    /// The target accepts connections.
    Open,
    /// Nothing listens: the target's process is gone.
    Refused,
    /// Neither is certain.
    Unknown,
}

/// Connects to a target and closes the connection. The adapters' errors do not tell a refused connection from a
/// refused request, and only the former shows a crash.
///
/// ```
/// use ebony_platform::probe::{ProbeOutcome, probe};
///
/// # actix_rt::System::new().block_on(async {
/// let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
/// let address = listener.local_addr()?;
/// assert_eq!(probe(address).await, ProbeOutcome::Open);
/// drop(listener);
/// assert_eq!(probe(address).await, ProbeOutcome::Refused);
/// # Ok::<(), std::io::Error>(())
/// # })?;
/// # Ok::<(), std::io::Error>(())
/// ```
pub async fn probe(address: SocketAddr) -> ProbeOutcome {
    match timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(_)) => ProbeOutcome::Open,
        // Some networks reset the connection instead of refusing it.
        Ok(Err(error)) if is_refusal(error.kind()) => ProbeOutcome::Refused,
        Ok(Err(_)) | Err(_) => ProbeOutcome::Unknown,
    }
}

fn is_refusal(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset)
}
