//! Binds ports.

use std::net::SocketAddr;

use anyhow::Context;
use tokio::net::{TcpListener, TcpSocket};

use crate::Result;

/// The most connections that wait to be accepted. A burst of callers must not overflow this queue, because a
/// dropped SYN packet is retransmitted only after a second.
const BACKLOG: u32 = 4_096;

/// The size of the kernel's send buffer of one connection, which Linux doubles. Callers are 1 to 3 ms away, and 30 Mbit/s
/// fill 11 KB in 3 ms.
const SEND_BUFFER_BYTES: u32 = 32 * 1024;

/// The size of the kernel's receive buffer of one connection. Larger than the send buffer, for bodies of several MB.
const RECEIVE_BUFFER_BYTES: u32 = 128 * 1024;

/// A port that is bound but not yet served.
#[derive(Debug)]
pub struct BoundPort {
    pub(crate) listener: TcpListener,
}

impl BoundPort {
    /// Binds an address. Must be called within a tokio runtime.
    ///
    /// ```
    /// use ebony_listener::BoundPort;
    ///
    /// actix_rt::System::new().block_on(async {
    ///     let port = BoundPort::bind("127.0.0.1:0".parse()?)?;
    ///     assert_ne!(port.address()?.port(), 0);
    ///     Ok::<(), anyhow::Error>(())
    /// })?;
    /// # Ok::<(), anyhow::Error>(())
    /// ```
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub fn bind(address: SocketAddr) -> Result<Self> {
        let bind = || {
            let socket = match address {
                SocketAddr::V4(_) => TcpSocket::new_v4()?,
                SocketAddr::V6(_) => TcpSocket::new_v6()?,
            };
            socket.set_reuseaddr(true)?;
            // Connections inherit the sizes. Without them, the kernel holds up to several MB for each caller that
            // does not read its answers.
            socket.set_send_buffer_size(SEND_BUFFER_BYTES)?;
            socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
            socket.bind(address)?;
            socket.listen(BACKLOG)
        };
        let listener = bind().with_context(|| format!("cannot bind the callers' address {address}"))?;
        Ok(Self { listener })
    }

    /// Registers a shared port with the runtime of one of the threads that accept from it.
    ///
    /// # Errors
    ///
    /// Fails if the port cannot be registered with the runtime of the thread.
    pub fn from_std(listener: std::net::TcpListener) -> Result<Self> {
        listener.set_nonblocking(true)?;
        Ok(Self {
            listener: TcpListener::from_std(listener)?,
        })
    }

    /// Returns the listener so that several threads can share it.
    ///
    /// # Errors
    ///
    /// Fails if the port cannot be deregistered from the runtime.
    pub fn into_std(self) -> Result<std::net::TcpListener> {
        Ok(self.listener.into_std()?)
    }

    /// Returns the bound address.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be read.
    pub fn address(&self) -> Result<SocketAddr> {
        Ok(self.listener.local_addr()?)
    }
}
