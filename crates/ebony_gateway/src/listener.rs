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
use tokio::time::{sleep, timeout};

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

/// The pause between two looks at the open connections while the port closes.
const CLOSING_PAUSE: Duration = Duration::from_millis(10);

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
        let service = http_service(app, self.settings.idle_time, is_closing.clone()).await?;
        let open = Rc::new(Cell::new(0));
        let accepting = CallerAcceptor {
            listener: self.listener,
            service,
            is_closing,
            open: Rc::clone(&open),
            most: self.settings.connections,
            decisions: Rc::clone(&gateway.decisions),
        };
        let accepting = accepting.run();
        Ok(CallerListener {
            closing,
            open,
            task: tokio::task::spawn_local(accepting),
        })
    }
}

/// The serving port.
pub(crate) struct CallerListener {
    closing: watch::Sender<bool>,
    /// Open connections.
    open: Rc<Cell<usize>>,
    task: JoinHandle<()>,
}

impl CallerListener {
    /// Takes what has arrived, closes the port and idle connections, and waits up to `limit` for the others to end with
    /// their answers.
    pub(crate) async fn close(self, limit: Duration) {
        self.closing.send_replace(true);
        let ending = async {
            // The port is closed once nothing waits to be accepted.
            self.task.await.ok();
            while self.open.get() > 0 {
                sleep(CLOSING_PAUSE).await;
            }
        };
        timeout(limit, ending).await.ok();
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
                if *is_closing.borrow_and_update() {
                    // A connection that was accepted last is answered once, and ends with that answer.
                    std::future::pending::<()>().await;
                }
                // The sender lives as long as the port.
                is_closing.changed().await.ok();
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

/// Accepts connections and serves them.
struct CallerAcceptor<S> {
    listener: TcpListener,
    service: S,
    is_closing: watch::Receiver<bool>,
    open: Rc<Cell<usize>>,
    /// The most open connections.
    most: usize,
    decisions: Rc<DecisionLog>,
}

impl<S: Service<TcpStream> + 'static> CallerAcceptor<S> {
    /// Runs until the port is to be closed and nothing waits to be accepted.
    async fn run(mut self) {
        let service = Rc::new(self.service);
        loop {
            let accepted = tokio::select! {
                // Whoever was accepted by the kernel is answered, also when the port is to be closed.
                biased;
                accepted = self.listener.accept() => accepted,
                _ = self.is_closing.wait_for(|is_closing| *is_closing) => return,
            };
            match accepted {
                Ok((_, peer)) if self.open.get() >= self.most => {
                    if self.decisions.admits(LineKind::Belief) {
                        warn!(self.decisions.logger, "a connection was closed, because too many are open"; "peer" => %peer);
                    }
                }
                Ok((stream, _)) => {
                    let guard = ConnectionGuard::open(&self.open);
                    let service = Rc::clone(&service);
                    tokio::task::spawn_local(async move {
                        let _guard = guard;
                        // A broken connection concerns its caller only.
                        service.call(stream).await.ok();
                    });
                }
                Err(error) => {
                    if self.decisions.admits(LineKind::Belief) {
                        warn!(self.decisions.logger, "cannot accept a connection"; "error" => %error);
                    }
                    sleep(ERROR_PAUSE).await;
                }
            }
        }
    }
}
