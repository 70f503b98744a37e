//! The HTTP client that all adapters share.

use std::sync::Arc;

use awc::http::header::HeaderValue;
use awc::http::{Method, Uri};
use awc::{Client, ClientRequest, ClientResponse};
use bytes::Bytes;
use ebony_types::HeaderField;
use ebony_types::limits::MAX_HEADER_FIELDS;
use futures_util::stream::{LocalBoxStream, StreamExt};
use rustls::ClientConfig;
use rustls::pki_types::ServerName;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

use super::body::{self, BodyReader};
use super::connector::{EofFlag, TlsClient, WatchedConnector};
use super::failure;
use super::limits::RequestLimits;
use crate::error::PlatformError;
use crate::service::{ServiceAnswer, ServiceCall};

use crate::error::Result;

/// Default port of the scheme `https`.
const HTTPS_PORT: u16 = 443;

/// Header fields that concern a single connection or are set by the client itself; they are not passed through.
const CONNECTION_FIELDS: [&str; 11] = [
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// A reply whose body was read completely.
pub(crate) struct HttpReply {
    pub(crate) status: u16,
    pub(crate) body: Bytes,
}

/// A reply with a streamed body.
pub(crate) struct StreamedReply {
    pub(crate) status: u16,
    pub(crate) headers: Vec<HeaderField>,
    pub(crate) body: LocalBoxStream<'static, Result<Bytes>>,
}

impl From<StreamedReply> for ServiceAnswer {
    fn from(reply: StreamedReply) -> Self {
        Self {
            status: reply.status,
            headers: reply.headers,
            body: reply.body,
        }
    }
}

/// A client of one server with a bounded number of connections.
pub(crate) struct HttpClient {
    client: Client,
    base: String,
    limits: RequestLimits,
    permits: Arc<Semaphore>,
    eof: EofFlag,
}

impl HttpClient {
    pub(crate) fn open(
        base_url: &str,
        limits: RequestLimits,
        tls: Option<Arc<ClientConfig>>,
    ) -> Result<Self> {
        let address = BaseAddress::parse(base_url)?;
        let tls = address.tls_client(tls)?;
        let eof = EofFlag::default();
        let connector = awc::Connector::new()
            .connector(WatchedConnector::open(tls, eof.clone()))
            .timeout(limits.connect_timeout)
            .conn_keep_alive(limits.keep_idle)
            .limit(limits.max_connections);
        let client = Client::builder()
            .connector(connector)
            .timeout(limits.connect_timeout + limits.answer_timeout)
            .disable_redirects()
            .no_default_headers()
            .finish();
        Ok(Self {
            client,
            base: address.base,
            limits,
            permits: Arc::new(Semaphore::new(limits.max_connections)),
            eof,
        })
    }

    /// Sends a request and reads the whole reply, regardless of its status.
    pub(crate) async fn exchange(&self, call: ServiceCall) -> Result<HttpReply> {
        let reply = self.stream(call).await?;
        let collecting = body::collect(reply.body);
        match timeout(self.limits.answer_timeout, collecting).await {
            Ok(body) => Ok(HttpReply {
                status: reply.status,
                body: body?,
            }),
            Err(_) => Err(PlatformError::Unknown("the reply took too long".into())),
        }
    }

    /// Sends a request and returns the reply's head and its body as a stream.
    pub(crate) async fn stream(&self, call: ServiceCall) -> Result<StreamedReply> {
        let is_head = call.method.eq_ignore_ascii_case("head");
        let request = self.request(&call)?;
        let permit = self.acquire().await?;
        let response = request
            .send_body(call.body)
            .await
            .map_err(failure::from_send_error)?;
        check_framing(&response, is_head)?;
        let status = response.status().as_u16();
        let headers = header_fields(&response)?;
        let body = self.reader(response, permit).into_stream();
        Ok(StreamedReply {
            status,
            headers,
            body,
        })
    }

    async fn acquire(&self) -> Result<OwnedSemaphorePermit> {
        let permit = timeout(self.limits.connect_timeout, self.permits.clone().acquire_owned()).await;
        match permit {
            Ok(Ok(permit)) => Ok(permit),
            _ => Err(PlatformError::Refused("no free connection".into())),
        }
    }

    fn request(&self, call: &ServiceCall) -> Result<ClientRequest> {
        let method = Method::from_bytes(call.method.as_bytes()).map_err(|_| refused("malformed method"))?;
        if !call.path.starts_with('/') {
            return Err(refused("a path starts with a slash"));
        }
        let uri = format!("{}{}", self.base, call.path);
        let uri: Uri = uri.parse().map_err(|_| refused("malformed path"))?;
        let mut request = self.client.request(method, uri);
        for field in call.headers.iter().filter(|field| is_passed_through(&field.name)) {
            let value = HeaderValue::from_bytes(field.value.as_bytes())
                .map_err(|_| refused("malformed header value"))?;
            request = request.append_header((field.name.as_str(), value));
        }
        Ok(request)
    }

    fn reader(&self, response: ClientResponse, permit: OwnedSemaphorePermit) -> BodyReader {
        BodyReader {
            payload: response.boxed_local(),
            _permit: permit,
            eof: self.eof.clone(),
            idle_timeout: self.limits.idle_timeout,
            remaining_bytes: self.limits.max_body_bytes,
        }
    }
}

fn refused(detail: &str) -> PlatformError {
    PlatformError::Refused(detail.into())
}

fn is_passed_through(name: &str) -> bool {
    !CONNECTION_FIELDS
        .iter()
        .any(|field| field.eq_ignore_ascii_case(name))
}

/// Rejects an answer whose framing does not mark the end of its body, since a truncated body could not be detected.
/// `awc` would treat such a body as empty.
fn check_framing(response: &ClientResponse, is_head: bool) -> Result<()> {
    let status = response.status().as_u16();
    let has_no_body = is_head || matches!(status, 100..=199 | 204 | 304);
    let headers = response.headers();
    if has_no_body || headers.contains_key("content-length") || headers.contains_key("transfer-encoding") {
        return Ok(());
    }
    let detail = "the answer has neither a length nor chunks";
    Err(PlatformError::Malformed(detail.into()))
}

fn header_fields(response: &ClientResponse) -> Result<Vec<HeaderField>> {
    let mut fields = Vec::new();
    for (name, value) in response.headers() {
        if !is_passed_through(name.as_str()) {
            continue;
        }
        let value = std::str::from_utf8(value.as_bytes())
            .map_err(|_| PlatformError::Malformed(format!("the value of {name} is not UTF-8")))?;
        fields.push(HeaderField {
            name: name.as_str().to_owned(),
            value: value.to_owned(),
        });
    }
    if fields.len() > MAX_HEADER_FIELDS {
        return Err(PlatformError::Malformed("too many header fields".into()));
    }
    Ok(fields)
}

/// The parts of a base URL.
struct BaseAddress {
    /// The URL that is passed to `awc`. Its scheme is always `http`, because the connector handles TLS.
    base: String,
    host: String,
    is_secure: bool,
}

impl BaseAddress {
    fn parse(base_url: &str) -> Result<Self> {
        let malformed = || PlatformError::Refused(format!("malformed base URL {base_url}"));
        let uri: Uri = base_url.parse().map_err(|_| malformed())?;
        let host = uri.host().ok_or_else(malformed)?.to_owned();
        let (default_port, is_secure) = match uri.scheme_str() {
            Some("http") => (None, false),
            Some("https") => (Some(HTTPS_PORT), true),
            _ => return Err(malformed()),
        };
        let port = uri.port_u16().or(default_port);
        let port = port.map(|port| format!(":{port}")).unwrap_or_default();
        let path = uri.path().trim_end_matches('/');
        Ok(Self {
            base: format!("http://{host}{port}{path}"),
            host,
            is_secure,
        })
    }

    fn tls_client(&self, config: Option<Arc<ClientConfig>>) -> Result<Option<TlsClient>> {
        if !self.is_secure {
            return Ok(None);
        }
        let config = config.ok_or_else(|| refused("https needs a TLS configuration"))?;
        let name = self.host.trim_start_matches('[').trim_end_matches(']').to_owned();
        let server = ServerName::try_from(name).map_err(|_| refused("malformed server name"))?;
        Ok(Some(TlsClient::open(config, server)))
    }
}
