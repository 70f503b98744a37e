//! Tests whether a target accepts connections.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::timeout;

/// Maximum wait for a connection. A host that is only busy may take longer; its state is reported as unknown.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// The result of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// The target accepts connections.
    Open,
    /// The connection was refused or reset: no process listens at the address.
    Refused,
    /// The probe timed out or failed in another way, so the target may or may not be running.
    Unknown,
}

/// Connects to a target and closes the connection. This tells whether the target's process has crashed; the adapters'
/// errors do not, because they do not distinguish a refused connection from a refused request.
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
