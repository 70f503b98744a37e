//! Relays TCP connections and counts their bytes.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use anyhow::Context;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::{AbortHandle, spawn_local};

/// The maximum number of concurrent connections of one relay. Further connections wait.
const MAX_CONNECTIONS: usize = 256;

/// The size of the copy buffer of each direction of a connection.
const BUFFER_BYTES: usize = 16 * 1024;

/// The result of an operation of a relay.
pub type Result<T, E = anyhow::Error> = std::result::Result<T, E>;

/// Counts payload bytes in both directions, without TCP and IP headers. Clones share the counter.
#[derive(Clone, Debug, Default)]
pub struct ByteCount {
    bytes: Rc<Cell<u64>>,
}

impl ByteCount {
    /// Returns the number of bytes so far.
    pub fn bytes(&self) -> u64 {
        self.bytes.get()
    }

    fn add(&self, bytes: usize) {
        self.bytes.set(self.bytes.get() + bytes as u64);
    }
}

/// Forwards TCP connections to a server. Dropping it closes its connections.
pub struct ByteRelay {
    address: SocketAddr,
    task: AbortHandle,
}

impl ByteRelay {
    /// Starts a relay in the current actix system that forwards to `server` and adds the bytes to `count`.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub fn spawn(server: SocketAddr, count: ByteCount) -> Result<Self> {
        let listener = std::net::TcpListener::bind(("127.0.0.1", 0))?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let listener = TcpListener::from_std(listener)?;
        let task = spawn_local(accept(listener, server, count)).abort_handle();
        Ok(Self { address, task })
    }

    /// Returns the address to which clients connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for ByteRelay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, server: SocketAddr, count: ByteCount) -> Result<()> {
    let permits = std::sync::Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let mut connections = tokio::task::JoinSet::new();
    loop {
        let permit = permits.clone().acquire_owned().await?;
        let (client, _) = listener.accept().await?;
        let count = count.clone();
        connections.spawn_local(async move {
            // An error on either side closes both sides, which needs no further handling.
            let _ = relay(client, server, count).await;
            drop(permit);
        });
        while connections.try_join_next().is_some() {}
    }
}

async fn relay(client: TcpStream, server: SocketAddr, count: ByteCount) -> Result<()> {
    let server = TcpStream::connect(server)
        .await
        .context("cannot connect to the server")?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    tokio::select! {
        copied = copy(from_client, to_server, count.clone()) => copied,
        copied = copy(from_server, to_client, count) => copied,
    }
}

async fn copy(
    mut from: impl AsyncReadExt + Unpin,
    mut to: impl AsyncWriteExt + Unpin,
    count: ByteCount,
) -> Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let length = from.read(&mut buffer).await?;
        if length == 0 {
            return Ok(());
        }
        count.add(length);
        to.write_all(&buffer[..length]).await?;
    }
}
