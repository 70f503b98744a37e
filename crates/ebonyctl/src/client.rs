//! HTTP client for the administration API of entries.

use std::time::Duration;

use awc::error::SendRequestError;
use awc::http::{Method, StatusCode};
use awc::{Client, ClientRequest, ClientResponse};
use serde_json::Value;

use crate::error::{ControlError, Result};

/// The largest response body in bytes. A whole configuration document and a page of history are smaller.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// The connection timeout, short so that the next entry is soon tried when one is unreachable.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// The longest duration of an event stream. A script that needs a longer one runs the command again.
const STREAM_TIMEOUT: Duration = Duration::from_secs(24 * 3_600);

/// Sends requests to entries, authenticated with an operator's key.
pub struct AdminClient {
    client: Client,
    entries: Vec<String>,
    key: String,
    timeout: Duration,
}

/// A request to the administration API of an entry.
#[derive(Clone, Debug)]
pub struct AdminRequest {
    /// The HTTP method.
    pub method: Method,
    /// The path with its query.
    pub path: String,
    /// The JSON body, if any.
    pub body: Option<Value>,
}

impl AdminRequest {
    /// Creates a GET request without a body.
    pub fn get(path: impl Into<String>) -> Self {
        Self::new(Method::GET, path, None)
    }

    /// Creates a request with any method.
    pub fn new(method: Method, path: impl Into<String>, body: Option<Value>) -> Self {
        let path = path.into();
        Self { method, path, body }
    }
}

impl AdminClient {
    /// Creates a client for one or more entries.
    ///
    /// # Errors
    ///
    /// Fails if `entries` is empty.
    pub fn open(entries: &[String], key: String, timeout: Duration) -> Result<Self> {
        if entries.is_empty() {
            let message = "name at least one entry with --entry URL".to_owned();
            return Err(ControlError::Usage(message));
        }
        let connector = awc::Connector::new().timeout(CONNECT_TIMEOUT);
        Ok(Self {
            client: Client::builder().connector(connector).timeout(timeout).finish(),
            entries: entries
                .iter()
                .map(|url| url.trim_end_matches('/').to_owned())
                .collect(),
            key,
            timeout,
        })
    }

    /// Returns the entries' URLs.
    pub fn entries(&self) -> &[String] {
        &self.entries
    }

    /// Sends a request to the first entry that can be reached.
    ///
    /// # Errors
    ///
    /// Fails if no entry can be reached, the response is lost or malformed, or the entry refuses the request.
    pub async fn send(&self, request: &AdminRequest) -> Result<Value> {
        let mut last_error = ControlError::Unreachable(String::new());
        for entry in &self.entries {
            match self.send_to(entry, request).await {
                Err(error @ ControlError::Unreachable(_)) => last_error = error,
                result => return result,
            }
        }
        Err(last_error)
    }

    /// Sends a request to one entry.
    ///
    /// # Errors
    ///
    /// Fails if the entry cannot be reached, the response is lost or malformed, or the entry refuses the request.
    pub async fn send_to(&self, entry: &str, request: &AdminRequest) -> Result<Value> {
        let mut response = self.open_response(entry, request, self.timeout).await?;
        read_json(entry, &mut response).await
    }

    /// Opens a stream of server-sent events at the first entry that can be reached.
    ///
    /// # Errors
    ///
    /// Fails like [`AdminClient::send`].
    pub async fn stream(&self, path: &str) -> Result<ClientResponse> {
        let request = AdminRequest::get(path);
        let mut last_error = ControlError::Unreachable(String::new());
        for entry in &self.entries {
            match self.open_response(entry, &request, STREAM_TIMEOUT).await {
                Err(error @ ControlError::Unreachable(_)) => last_error = error,
                Ok(mut response) if !response.status().is_success() => {
                    return Err(refusal_error(
                        response.status(),
                        &read_body(entry, &mut response).await?,
                    ));
                }
                result => return result,
            }
        }
        Err(last_error)
    }

    async fn open_response(
        &self,
        entry: &str,
        request: &AdminRequest,
        timeout: Duration,
    ) -> Result<ClientResponse> {
        let sent = self.prepare(entry, request).timeout(timeout);
        let sent = match &request.body {
            Some(body) => sent.send_json(body).await,
            None => sent.send().await,
        };
        sent.map_err(|error| send_error(entry, request, &error))
    }

    fn prepare(&self, entry: &str, request: &AdminRequest) -> ClientRequest {
        self.client
            .request(request.method.clone(), format!("{entry}{}", request.path))
            .insert_header(("authorization", format!("Bearer {}", self.key)))
    }
}

fn send_error(entry: &str, request: &AdminRequest, error: &SendRequestError) -> ControlError {
    let message = format!("{entry}: {error}");
    match error {
        SendRequestError::Url(_) | SendRequestError::Http(_) => ControlError::Usage(message),
        SendRequestError::Connect(_) => ControlError::Unreachable(message),
        // A GET request changes nothing, so it can be sent to another entry when its response is lost.
        _ if request.method == Method::GET => ControlError::Unreachable(message),
        _ => ControlError::AnswerLost(message),
    }
}

async fn read_body(entry: &str, response: &mut ClientResponse) -> Result<Vec<u8>> {
    let body = response.body().limit(MAX_RESPONSE_BYTES).await;
    let to_lost = |error| ControlError::AnswerLost(format!("{entry}: {error}"));
    Ok(body.map_err(to_lost)?.to_vec())
}

async fn read_json(entry: &str, response: &mut ClientResponse) -> Result<Value> {
    let body = read_body(entry, response).await?;
    if !response.status().is_success() {
        return Err(refusal_error(response.status(), &body));
    }
    serde_json::from_slice(&body).map_err(|error| ControlError::Malformed(format!("{entry}: {error}")))
}

fn refusal_error(status: StatusCode, body: &[u8]) -> ControlError {
    let problem = serde_json::from_slice(body).unwrap_or_else(|_| {
        // The response does not come from an entry but, for example, from a proxy in between.
        serde_json::json!({"code": status.to_string(), "status": status.as_u16()})
    });
    ControlError::Refused(problem)
}
