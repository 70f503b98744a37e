//! The listening end of links.

use std::net::SocketAddr;
use std::sync::Arc;

use ebony_wire::{HandshakeState, PeerIdentity};
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio::task::JoinHandle;
use tokio_rustls::TlsAcceptor;
use tokio_tungstenite::accept_async_with_config;

use crate::error::{LinkError, Result};
use crate::open_link::{OpenLink, receive_one, send_one};
use crate::options::{LinkIdentity, LinkOptions};
use crate::stream::{ByteStream, LinkSocket, socket_config};

/// The most open links that wait in the listener for [`LinkListener::next`].
const MAX_PENDING_LINKS: usize = 64;

/// The most concurrent handshakes. Further connections wait in the kernel's accept queue.
const MAX_CONCURRENT_HANDSHAKES: usize = 64;

/// A running listener for links. Dropping it closes the listening socket, but no open links.
pub struct LinkListener {
    address: SocketAddr,
    links: mpsc::Receiver<OpenLink>,
    task: JoinHandle<()>,
}

impl LinkListener {
    /// Binds the address and starts accepting links. Must be called within a local task set.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError::Connection`] if the address cannot be bound.
    pub async fn bind(address: SocketAddr, identity: LinkIdentity, options: LinkOptions) -> Result<Self> {
        let socket = TcpListener::bind(address).await?;
        let address = socket.local_addr()?;
        let (queue, links) = mpsc::channel(MAX_PENDING_LINKS);
        let task = tokio::task::spawn_local(accept_all(socket, identity, options, queue));
        Ok(Self { address, links, task })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits for the next link that completed its handshake. Returns `None` once the listener has stopped.
    pub async fn next(&mut self) -> Option<OpenLink> {
        self.links.recv().await
    }
}

impl Drop for LinkListener {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept_all(
    socket: TcpListener,
    identity: LinkIdentity,
    options: LinkOptions,
    queue: mpsc::Sender<OpenLink>,
) {
    let handshakes = Arc::new(Semaphore::new(MAX_CONCURRENT_HANDSHAKES));
    let links = Arc::new(Semaphore::new(options.max_links));
    loop {
        let Ok(handshake) = Arc::clone(&handshakes).acquire_owned().await else {
            return;
        };
        let Ok(permit) = Arc::clone(&links).acquire_owned().await else {
            return;
        };
        let Ok((stream, _)) = socket.accept().await else {
            // The process may be out of file descriptors. Waits until some may have been closed.
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
            continue;
        };
        let (identity, options, queue) = (identity.clone(), options.clone(), queue.clone());
        tokio::task::spawn_local(async move {
            let timeout = options.open_timeout;
            let opened = tokio::time::timeout(timeout, accept_one(stream, &identity, &options)).await;
            if let Ok(Ok(mut link)) = opened {
                link.permit = Some(permit);
                // Fails only if the listener was dropped.
                let _ = queue.send(link).await;
            }
            drop(handshake);
        });
    }
}

async fn accept_one(stream: TcpStream, identity: &LinkIdentity, options: &LinkOptions) -> Result<OpenLink> {
    stream.set_nodelay(true)?;
    let stream: Box<dyn ByteStream> = match &options.server_tls {
        Some(config) => Box::new(TlsAcceptor::from(Arc::clone(config)).accept(stream).await?),
        None => Box::new(stream),
    };
    let mut socket = accept_async_with_config(stream, Some(socket_config()))
        .await
        .map_err(|error| LinkError::Socket(Box::new(error)))?;
    let peer = run_handshake(&mut socket, identity).await?;
    Ok(OpenLink {
        peer,
        socket,
        options: options.clone(),
        permit: None,
    })
}

async fn run_handshake(socket: &mut LinkSocket, identity: &LinkIdentity) -> Result<PeerIdentity> {
    let hello = receive_one(socket).await?;
    let mut rng = StdRng::from_os_rng();
    let (state, challenge) =
        HandshakeState::answer(identity.key.clone(), identity.to_peer(), hello, &mut rng)?;
    send_one(socket, &challenge).await?;
    let proof = receive_one(socket).await?;
    Ok(state.finish(proof)?)
}
