//! Serves HTTP on accepted connections.

use std::rc::Rc;
use std::time::Duration;

use actix_http::HttpService;
use actix_http::body::MessageBody;
use actix_http::error::DispatchError;
use actix_rt::net::TcpStream;
use actix_service::{
    IntoServiceFactory, Service, ServiceFactory, ServiceFactoryExt, apply_fn_factory, fn_service, map_config,
};
use actix_web::Error;
use actix_web::dev::{AppConfig, Extensions, ServiceResponse};
use anyhow::anyhow;
use tokio::sync::watch;

use crate::Result;
use crate::connection::ConnectionState;
use crate::guarded_stream::GuardedStream;
use crate::tracked::{ServedRequest, TrackedBody};

/// The longest time that a closing connection may take to receive its remaining bytes.
const DISCONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeouts and set-up of connections.
#[derive(Clone, Copy, Debug)]
pub struct HttpOptions {
    /// The time after which a connection without a request is closed.
    pub idle_time: Duration,
    /// The longest time that a caller may take to send the head of a request.
    pub head_timeout: Duration,
    /// Initializes the extensions of a new connection.
    pub on_connect: fn(&mut Extensions),
}

/// Signals connections that their port is closing.
#[derive(Clone, Debug)]
pub struct PortClosing {
    is_closing: watch::Receiver<bool>,
}

impl PortClosing {
    /// Creates a signal and its sender. The port closes once `true` is sent.
    pub fn open() -> (watch::Sender<bool>, Self) {
        let (closing, is_closing) = watch::channel(false);
        (closing, Self { is_closing })
    }

    /// Waits until the port closes. If the sender is dropped, the port stays open for the lifetime of the process.
    pub async fn wait(&mut self) {
        if self.is_closing.wait_for(|is_closing| *is_closing).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Waits until the port closes, or forever if it was already closing when the connection was accepted. Such a
    /// connection is answered once and then closed.
    async fn wait_if_open_at_accept(mut self) {
        if *self.is_closing.borrow() {
            std::future::pending::<()>().await;
        }
        self.wait().await;
    }
}

macro_rules! http_service {
    ($app:expr, $options:expr, $closing:expr) => {{
        let on_connect = $options.on_connect;
        let closing: PortClosing = $closing;
        let factory = map_config($app.into_factory(), |()| AppConfig::default());
        HttpService::build()
            .keep_alive($options.idle_time)
            .client_request_timeout($options.head_timeout)
            .client_disconnect_timeout(DISCONNECT_TIMEOUT)
            .tcp_nodelay(true)
            // A caller that closes its sending side is treated as disconnected, which ends its call.
            .h1_allow_half_closed(false)
            .on_connect_ext(move |_: &_, extensions: &mut Extensions| on_connect(extensions))
            .graceful_shutdown_signal(move || closing.clone().wait_if_open_at_accept())
            .finish(factory)
    }};
}

/// Starts the HTTP service of an application for the connections of a [`PortGuard`](crate::PortGuard), without encryption.
/// Requests carry the state of their connection, for [`BodyReader`](crate::BodyReader).
///
/// # Errors
///
/// Fails if the application does not start.
pub async fn guarded_service<F, I, B>(
    app: F,
    options: HttpOptions,
    closing: PortClosing,
) -> Result<impl Service<GuardedStream> + 'static>
where
    F: IntoServiceFactory<I, actix_http::Request>,
    I: ServiceFactory<
            actix_http::Request,
            Config = AppConfig,
            Response = ServiceResponse<B>,
            Error = Error,
            InitError = (),
        > + 'static,
    I::Future: 'static,
    I::Service: 'static,
    B: MessageBody + 'static,
{
    let on_connect = options.on_connect;
    let app = map_config(app.into_factory(), |()| AppConfig::default());
    let tracked = apply_fn_factory(app, |request: actix_http::Request, service| {
        let state = request.conn_data::<Rc<ConnectionState>>().cloned();
        let served = ServedRequest::begin(state);
        let answering = service.call(request);
        async move {
            let response: actix_http::Response<B> = answering.await?.into();
            Ok::<_, Error>(response.map_body(|_, body| TrackedBody::open(body, served)))
        }
    });
    let service = HttpService::build()
        .keep_alive(options.idle_time)
        .client_request_timeout(options.head_timeout)
        .client_disconnect_timeout(DISCONNECT_TIMEOUT)
        .h1_allow_half_closed(false)
        .on_connect_ext(move |stream: &GuardedStream, extensions: &mut Extensions| {
            extensions.insert(Rc::clone(&stream.state));
            on_connect(extensions);
        })
        .graceful_shutdown_signal(move || closing.clone().wait_if_open_at_accept())
        .h1(tracked);
    let with_peer = fn_service(|stream: GuardedStream| async move {
        stream.set_nodelay();
        let peer = stream.peer();
        Ok::<_, DispatchError>((stream, peer))
    });
    let started = with_peer.and_then(service).new_service(()).await;
    started.map_err(|()| anyhow!("cannot start the HTTP service"))
}

/// Starts the HTTP service of an application without encryption.
///
/// # Errors
///
/// Fails if the application does not start.
pub async fn plain_service<F, I, B>(
    app: F,
    options: HttpOptions,
    closing: PortClosing,
) -> Result<impl Service<TcpStream> + 'static>
where
    F: IntoServiceFactory<I, actix_http::Request>,
    I: ServiceFactory<
            actix_http::Request,
            Config = AppConfig,
            Response = ServiceResponse<B>,
            Error = Error,
            InitError = (),
        > + 'static,
    I::Future: 'static,
    I::Service: 'static,
    B: MessageBody + 'static,
{
    let service = http_service!(app, options, closing).tcp();
    let started = service.new_service(()).await;
    started.map_err(|()| anyhow!("cannot start the HTTP service"))
}

/// Starts the HTTP service of an application behind TLS.
///
/// # Errors
///
/// Fails if the application does not start.
pub async fn tls_service<F, I, B>(
    app: F,
    options: HttpOptions,
    closing: PortClosing,
    tls: rustls::ServerConfig,
) -> Result<impl Service<TcpStream> + 'static>
where
    F: IntoServiceFactory<I, actix_http::Request>,
    I: ServiceFactory<
            actix_http::Request,
            Config = AppConfig,
            Response = ServiceResponse<B>,
            Error = Error,
            InitError = (),
        > + 'static,
    I::Future: 'static,
    I::Service: 'static,
    B: MessageBody + 'static,
{
    let service = http_service!(app, options, closing).rustls_0_23(tls);
    let started = service.new_service(()).await;
    started.map_err(|()| anyhow!("cannot start the HTTP service"))
}
