//! Connections that detect whether the peer closed them while an answer was read.
//!
//! `awc` ends the body of an answer without an error if the peer closes the connection before the end of the body. The
//! connections created here record the end of input, so that [`super::body`] can report such a body as incomplete. TLS
//! is handled here too, because the end of the decrypted input has to be detected.

use std::cell::Cell;
use std::fmt;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};

use actix_rt::net::{ActixStream, Ready, TcpStream};
use actix_service::Service;
use actix_tls::connect::{ConnectError, ConnectInfo, Connection, Connector, ConnectorService};
use awc::http::Uri;
use futures_util::future::LocalBoxFuture;
use rustls::ClientConfig;
use rustls::pki_types::ServerName;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio_rustls::TlsConnector;
use tokio_rustls::client::TlsStream;

/// The result of establishing a connection.
pub(crate) type Result<T, E = ConnectError> = std::result::Result<T, E>;

/// Set when a read from any connection of the client reaches the end of input.
///
/// Reads happen only within the poll of one body, on one thread. If the flag is cleared before the poll, it therefore
/// shows afterwards whether the connection of that body reached the end of input.
#[derive(Clone, Debug, Default)]
pub(crate) struct EofFlag(Rc<Cell<bool>>);

impl EofFlag {
    pub(crate) fn clear(&self) {
        self.0.set(false);
    }

    pub(crate) fn is_set(&self) -> bool {
        self.0.get()
    }
}

enum Transport {
    Plain(TcpStream),
    Tls(Box<TlsStream<TcpStream>>),
}

impl Transport {
    fn tcp(&self) -> &TcpStream {
        match self {
            Self::Plain(stream) => stream,
            Self::Tls(stream) => stream.get_ref().0,
        }
    }
}

/// A connection that sets an [`EofFlag`] at the end of input.
pub(crate) struct WatchedStream {
    transport: Transport,
    eof: EofFlag,
}

impl fmt::Debug for WatchedStream {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("WatchedStream")
            .field("tcp", self.transport.tcp())
            .finish_non_exhaustive()
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        let poll = match &mut self.transport {
            Transport::Plain(stream) => Pin::new(stream).poll_read(context, buffer),
            Transport::Tls(stream) => Pin::new(stream).poll_read(context, buffer),
        };
        if matches!(poll, Poll::Ready(Ok(()))) && buffer.filled().len() == filled_before {
            self.eof.0.set(true);
        }
        poll
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        match &mut self.transport {
            Transport::Plain(stream) => Pin::new(stream).poll_write(context, bytes),
            Transport::Tls(stream) => Pin::new(stream).poll_write(context, bytes),
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match &mut self.transport {
            Transport::Plain(stream) => Pin::new(stream).poll_flush(context),
            Transport::Tls(stream) => Pin::new(stream).poll_flush(context),
        }
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match &mut self.transport {
            Transport::Plain(stream) => Pin::new(stream).poll_shutdown(context),
            Transport::Tls(stream) => Pin::new(stream).poll_shutdown(context),
        }
    }
}

impl ActixStream for WatchedStream {
    fn poll_read_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(self.transport.tcp(), context)
    }

    fn poll_write_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(self.transport.tcp(), context)
    }
}

/// The TLS configuration and the name of one server.
#[derive(Clone)]
pub(crate) struct TlsClient {
    connector: TlsConnector,
    server: ServerName<'static>,
}

impl TlsClient {
    pub(crate) fn open(config: Arc<ClientConfig>, server: ServerName<'static>) -> Self {
        Self {
            connector: TlsConnector::from(config),
            server,
        }
    }
}

/// Establishes [`WatchedStream`]s.
#[derive(Clone)]
pub(crate) struct WatchedConnector {
    tcp: ConnectorService,
    tls: Option<TlsClient>,
    eof: EofFlag,
}

impl WatchedConnector {
    pub(crate) fn open(tls: Option<TlsClient>, eof: EofFlag) -> Self {
        Self {
            tcp: Connector::default().service(),
            tls,
            eof,
        }
    }

    /// Performs the TLS handshake if `tls` is given.
    async fn establish_transport(tls: Option<TlsClient>, stream: TcpStream) -> Result<Transport> {
        stream.set_nodelay(true).map_err(ConnectError::Io)?;
        let Some(client) = tls else {
            return Ok(Transport::Plain(stream));
        };
        let stream = client
            .connector
            .connect(client.server, stream)
            .await
            .map_err(ConnectError::Io)?;
        Ok(Transport::Tls(Box::new(stream)))
    }
}

impl Service<ConnectInfo<Uri>> for WatchedConnector {
    type Response = Connection<Uri, WatchedStream>;
    type Error = ConnectError;
    type Future = LocalBoxFuture<'static, Result<Self::Response>>;

    actix_service::always_ready!();

    fn call(&self, info: ConnectInfo<Uri>) -> Self::Future {
        let connecting = self.tcp.call(info);
        let tls = self.tls.clone();
        let eof = self.eof.clone();
        Box::pin(async move {
            let (stream, uri) = connecting.await?.into_parts();
            let transport = Self::establish_transport(tls, stream).await?;
            Ok(Connection::new(uri, WatchedStream { transport, eof }))
        })
    }
}
