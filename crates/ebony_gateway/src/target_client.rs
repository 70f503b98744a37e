//! The HTTP client for targets, with a pool of idle connections.
//!
//! It manages connections itself so that a truncated answer is an error even if it has no length, a connection whose
//! answer was not read completely is closed, and bytes that arrive on an idle connection close it.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use ebony_dispatch::TargetKey;
use ebony_settings::TargetLimits;
use http::{Request, StatusCode, response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use slotmap::SecondaryMap;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout};

/// The fraction of a target's idle timeout for which an idle connection is kept. The outcome of a request is unknown if
/// the target closes the connection at the same time.
const IDLE_TIME_SHARE: f64 = 0.6;

/// The maximum number of idle connections to one target.
const MAX_IDLE_CONNECTIONS: usize = 16;

/// The maximum size of the head of an answer, and of the bytes that a connection reads ahead. Heads of targets have less
/// than 2 KB, but a faulty target may send one without end.
const MAX_READ_BYTES: usize = 32 * 1024;

/// The interval of TCP keepalive probes on a silent connection.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Why a call got no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum SendFailure {
    /// Nothing was sent.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The call was sent, at least in part, and the target may have run it.
    #[error("broke off: {0}")]
    Broken(String),
}

/// The result of sending a call.
pub type Result<T, E = SendFailure> = std::result::Result<T, E>;

type CallSender = SendRequest<Full<Bytes>>;

struct IdleConnection {
    connection: OpenConnection,
    since: Instant,
    keep: Duration,
}

/// An open connection. Dropping it closes the connection.
struct OpenConnection {
    sender: CallSender,
    task: AbortHandle,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The head of an answer and its body.
pub(crate) struct OpenAnswer {
    pub(crate) head: response::Parts,
    pub(crate) body: Incoming,
    pub(crate) lease: ConnectionLease,
}

/// Holds the connection of an answer. Dropping it closes the connection, which cancels the call at the target.
pub(crate) struct ConnectionLease {
    client: Rc<TargetClient>,
    target: TargetKey,
    connection: Option<OpenConnection>,
}

impl ConnectionLease {
    /// Returns a handle that closes the connection.
    pub(crate) fn abort_handle(&self) -> AbortHandle {
        let connection = self
            .connection
            .as_ref()
            .expect("a lease holds its connection until it is recycled");
        connection.task.clone()
    }

    /// Returns the connection to the pool after the answer was read completely. `idle_timeout` is that of the target,
    /// if known.
    pub(crate) fn recycle(mut self, idle_timeout: Option<Duration>) {
        let Some(connection) = self.connection.take() else {
            return;
        };
        let keep = match idle_timeout {
            Some(idle_timeout) => idle_timeout.mul_f64(IDLE_TIME_SHARE),
            None => self.client.limits.keep_idle,
        };
        self.client.keep(self.target, connection, keep);
    }
}

/// Returns whether an answer may have the status. Interim answers are read by the connection, apart from one that
/// switches protocols, which no call asks for.
fn is_final_status(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Sends calls to targets.
pub(crate) struct TargetClient {
    limits: TargetLimits,
    idle: RefCell<SecondaryMap<TargetKey, Vec<IdleConnection>>>,
    opened: prometheus::IntCounter,
}

impl TargetClient {
    pub(crate) fn open(limits: TargetLimits, opened: prometheus::IntCounter) -> Rc<Self> {
        Rc::new(Self {
            limits,
            idle: RefCell::default(),
            opened,
        })
    }

    /// Sends a call and returns the head of its answer. Dropping the future cancels the call.
    pub(crate) async fn send(
        self: &Rc<Self>,
        target: TargetKey,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
    ) -> Result<OpenAnswer> {
        while let Some(connection) = self.take_idle(target) {
            match self.send_on(target, connection, request).await {
                Ok(answer) => return Ok(answer),
                Err((_, Some(unsent))) => request = unsent,
                Err((failure, None)) => return Err(failure),
            }
        }
        let connection = self.connect(address).await?;
        self.send_on(target, connection, request)
            .await
            .map_err(|(failure, _)| failure)
    }

    /// Returns whether the pool has a connection to a target that is open at both ends.
    pub(crate) fn has_idle(&self, target: TargetKey) -> bool {
        let idle = self.idle.borrow();
        let mut connections = idle.get(target).into_iter().flatten();
        connections.any(|idle| !idle.connection.sender.is_closed())
    }

    /// Drops idle connections that are closed, have been idle for too long, or whose target accepts no new calls.
    pub(crate) fn prune(&self, is_ready: impl Fn(TargetKey) -> bool) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|target, connections| {
            connections.retain(|idle| now - idle.since < idle.keep && !idle.connection.sender.is_closed());
            !connections.is_empty() && is_ready(target)
        });
    }

    /// Sends a request on a connection. A failure includes the request if nothing of it was sent.
    async fn send_on(
        self: &Rc<Self>,
        target: TargetKey,
        mut connection: OpenConnection,
        request: Request<Full<Bytes>>,
    ) -> Result<OpenAnswer, (SendFailure, Option<Request<Full<Bytes>>>)> {
        match connection.sender.try_send_request(request).await {
            Ok(answer) if !is_final_status(answer.status()) => {
                let failure = SendFailure::Broken(format!("invalid status {}", answer.status().as_u16()));
                Err((failure, None))
            }
            Ok(answer) => {
                let (head, body) = answer.into_parts();
                let lease = ConnectionLease {
                    client: Rc::clone(self),
                    target,
                    connection: Some(connection),
                };
                Ok(OpenAnswer { head, body, lease })
            }
            Err(mut failure) => {
                let unsent = failure.take_message();
                let detail = failure.into_error().to_string();
                let failure = match unsent {
                    Some(_) => SendFailure::NotSent(detail),
                    None => SendFailure::Broken(detail),
                };
                Err((failure, unsent))
            }
        }
    }

    fn take_idle(&self, target: TargetKey) -> Option<OpenConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(target)?;
        let now = Instant::now();
        // The most recently used connection comes first, so that surplus ones expire.
        while let Some(last) = connections.pop() {
            if now - last.since < last.keep && last.connection.sender.is_ready() {
                return Some(last.connection);
            }
        }
        None
    }

    fn keep(&self, target: TargetKey, connection: OpenConnection, keep: Duration) {
        if keep.is_zero() || connection.sender.is_closed() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let Some(entry) = idle.entry(target) else { return };
        let connections = entry.or_default();
        if connections.len() < MAX_IDLE_CONNECTIONS {
            connections.push(IdleConnection {
                connection,
                since: Instant::now(),
                keep,
            });
        }
    }

    async fn connect(&self, address: SocketAddr) -> Result<OpenConnection> {
        let not_sent = |error: String| SendFailure::NotSent(error);
        let stream = timeout(self.limits.connect_timeout, TcpStream::connect(address))
            .await
            .map_err(|_| not_sent("no connection in time".to_owned()))?
            .map_err(|error| not_sent(error.to_string()))?;
        self.configure(&stream)
            .map_err(|error| not_sent(error.to_string()))?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_READ_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| not_sent(error.to_string()))?;
        // Errors of the connection are reported to the call that uses it.
        let task = tokio::task::spawn_local(async move { drop(connection.await) });
        self.opened.inc();
        Ok(OpenConnection {
            sender,
            task: task.abort_handle(),
        })
    }

    /// Disables Nagle's algorithm, and limits how long a silent connection stays open by `TCP_USER_TIMEOUT` and
    /// keepalive probes.
    fn configure(&self, stream: &TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let socket = SockRef::from(stream);
        socket.set_tcp_user_timeout(Some(self.limits.silence))?;
        let probes = TcpKeepalive::new()
            .with_time(KEEPALIVE_INTERVAL)
            .with_interval(KEEPALIVE_INTERVAL);
        socket.set_tcp_keepalive(&probes)
    }
}
