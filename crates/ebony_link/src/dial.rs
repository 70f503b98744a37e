//! The dialing end of links.

use std::net::SocketAddr;
use std::sync::Arc;

use ebony_wire::HandshakeState;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rustls::pki_types::ServerName;
use tokio::net::TcpStream;
use tokio_rustls::TlsConnector;
use tokio_tungstenite::client_async_with_config;

use crate::error::{LinkError, Result};
use crate::open_link::{OpenLink, receive_one, send_one};
use crate::options::{LinkIdentity, LinkOptions};
use crate::stream::{ByteStream, LinkSocket, socket_config};

/// Connects to a listening process and completes the handshake.
///
/// # Errors
///
/// Returns [`LinkError`] if the connection, TLS or the handshake fails, and [`LinkError::TimedOut`] if opening the link
/// takes longer than [`LinkOptions::open_timeout`].
pub async fn dial(address: SocketAddr, identity: &LinkIdentity, options: &LinkOptions) -> Result<OpenLink> {
    tokio::time::timeout(options.open_timeout, open_link(address, identity, options))
        .await
        .map_err(|_| LinkError::TimedOut)?
}

async fn open_link(address: SocketAddr, identity: &LinkIdentity, options: &LinkOptions) -> Result<OpenLink> {
    let stream = connect(address, options).await?;
    let url = format!("ws://{address}/link");
    let (mut socket, _) = client_async_with_config(url, stream, Some(socket_config()))
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

async fn connect(address: SocketAddr, options: &LinkOptions) -> Result<Box<dyn ByteStream>> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let Some(config) = &options.client_tls else {
        return Ok(Box::new(stream));
    };
    let connector = TlsConnector::from(Arc::clone(config));
    let stream = connector.connect(ServerName::from(address.ip()), stream).await?;
    Ok(Box::new(stream))
}

async fn run_handshake(socket: &mut LinkSocket, identity: &LinkIdentity) -> Result<ebony_wire::PeerIdentity> {
    let mut rng = StdRng::from_os_rng();
    let (state, hello) = HandshakeState::dial(identity.key.clone(), identity.to_peer(), &mut rng);
    send_one(socket, &hello).await?;
    let challenge = receive_one(socket).await?;
    let (peer, proof) = state.finish(challenge)?;
    send_one(socket, &proof).await?;
    Ok(peer)
}
