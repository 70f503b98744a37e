//! The port for callers.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::HttpService;
use actix_rt::net::TcpStream;
use actix_service::{IntoServiceFactory, Service, ServiceFactory, map_config};
use actix_web::dev::AppConfig;
use actix_web::web::{self, Data};
use actix_web::{App, HttpRequest};
use anyhow::{Context, anyhow};
use ebony_settings::CallerPort;
use slog::warn;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::call;
use crate::decision_log::{DecisionLog, LineKind};
use crate::gateway::Gateway;
use crate::intake::CallerConnection;

/// Connections that wait to be accepted. A burst of callers must not overrun the queue, because a dropped opening
/// packet comes again only after a second.
const BACKLOG: u32 = 4_096;

/// The pause after an error of the port, such as a lack of descriptors.
const ERROR_PAUSE: Duration = Duration::from_millis(10);

/// The longest time that a caller may take to send its head, which also bounds an idle new connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);

/// How long a connection that ends is given to take its last bytes.
const LINGER: Duration = Duration::from_secs(1);

/// The result of starting the port.
pub(crate) type Result<T, E = anyhow::Error> = std::result::Result<T, E>;

/// The bound port.
pub(crate) struct BoundPort {
    listener: TcpListener,
    settings: CallerPort,
}

impl BoundPort {
    pub(crate) fn bind(settings: CallerPort) -> Result<Self> {
        let address = settings.listen;
        let bind = || {
            let socket = TcpSocket::new_v4()?;
            socket.set_reuseaddr(true)?;
            socket.bind(address)?;
            socket.listen(BACKLOG)
        };
        let listener = bind().with_context(|| format!("cannot bind the callers' address {address}"))?;
        Ok(Self { listener, settings })
    }

    pub(crate) fn address(&self) -> Result<SocketAddr> {
        Ok(self.listener.local_addr()?)
    }

    /// Starts to serve.
    pub(crate) async fn serve(self, gateway: Rc<Gateway>) -> Result<CallerListener> {
        let (closing, is_closing) = watch::channel(false);
        let app = App::new()
            .app_data(Data::new(Rc::clone(&gateway)))
            .default_service(web::route().to(
                |gateway: Data<Rc<Gateway>>, request: HttpRequest, payload: web::Payload| {
                    call::serve(gateway, request, payload)
                },
            ));
        let service = http_service(app, self.settings.idle_time, is_closing).await?;
        let accepting = accept(
            self.listener,
            service,
            self.settings.connections,
            Rc::clone(&gateway.decisions),
        );
        Ok(CallerListener {
            closing,
            _task: tokio::task::spawn_local(accepting),
        })
    }
}

/// The serving port.
pub(crate) struct CallerListener {
    closing: watch::Sender<bool>,
    _task: JoinHandle<()>,
}

impl CallerListener {
    /// Closes idle connections, and the others after their answer.
    pub(crate) fn close_connections(&self) {
        self.closing.send_replace(true);
    }
}

async fn http_service<F, I, B>(
    app: F,
    idle_time: Duration,
    is_closing: watch::Receiver<bool>,
) -> Result<impl Service<TcpStream> + 'static>
where
    F: IntoServiceFactory<I, actix_http::Request>,
    I: ServiceFactory<
            actix_http::Request,
            Config = AppConfig,
            Response = actix_web::dev::ServiceResponse<B>,
            Error = actix_web::Error,
            InitError = (),
        > + 'static,
    I::Future: 'static,
    I::Service: 'static,
    B: actix_web::body::MessageBody + 'static,
{
    let factory = map_config(app.into_factory(), |()| AppConfig::default());
    HttpService::build()
        .keep_alive(idle_time)
        .client_request_timeout(HEAD_TIMEOUT)
        .client_disconnect_timeout(LINGER)
        .tcp_nodelay(true)
        // A caller that closes its side has left, and its call ends.
        .h1_allow_half_closed(false)
        .on_connect_ext(|_: &TcpStream, extensions| {
            extensions.insert(CallerConnection::default());
        })
        .graceful_shutdown_signal(move || {
            let mut is_closing = is_closing.clone();
            async move {
                // The sender lives as long as the process.
                is_closing.wait_for(|is_closing| *is_closing).await.ok();
            }
        })
        .finish(factory)
        .tcp()
        .new_service(())
        .await
        .map_err(|()| anyhow!("the HTTP service does not start"))
}

/// Counts an open connection.
struct ConnectionGuard(Rc<Cell<usize>>);

impl ConnectionGuard {
    fn open(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(Rc::clone(count))
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

async fn accept<S>(listener: TcpListener, service: S, most: usize, decisions: Rc<DecisionLog>)
where
    S: Service<TcpStream> + 'static,
{
    let service = Rc::new(service);
    let open = Rc::new(Cell::new(0));
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                if open.get() >= most {
                    if decisions.admits(LineKind::Belief) {
                        warn!(decisions.logger, "a connection was closed, because too many are open"; "peer" => %peer);
                    }
                    continue;
                }
                let guard = ConnectionGuard::open(&open);
                let service = Rc::clone(&service);
                tokio::task::spawn_local(async move {
                    let _guard = guard;
                    // A broken connection concerns its caller only.
                    service.call(stream).await.ok();
                });
            }
            Err(error) => {
                if decisions.admits(LineKind::Belief) {
                    warn!(decisions.logger, "cannot accept a connection"; "error" => %error);
                }
                sleep(ERROR_PAUSE).await;
            }
        }
    }
}
