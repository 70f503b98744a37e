//! The HTTP client of a caller.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use awc::Client;
use bytes::{Bytes, BytesMut};
use ebony_types::ProgramId;
use futures_util::StreamExt;
use serde_json::{Value, json};

/// The time after which a request without an answer fails.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(60);

/// The maximum size of an answer body. A longer body counts as incomplete.
const MAX_REPLY_BYTES: usize = 16 * 1024 * 1024;

/// The result of a request that could be sent.
pub type Result<T, E = anyhow::Error> = std::result::Result<T, E>;

/// The HTTP response that a caller received.
#[derive(Clone, Debug)]
pub struct CallReply {
    /// HTTP status.
    pub status: u16,
    /// The body, as far as it arrived.
    pub body: Bytes,
    /// Whether the complete HTTP body arrived.
    pub is_complete: bool,
}

impl CallReply {
    /// Returns the body as JSON, or null if it is not valid JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    /// Returns the run verdict of an error body.
    pub fn verdict(&self) -> Option<String> {
        self.json()["run"].as_str().map(str::to_owned)
    }

    /// Returns the code of an error body.
    pub fn code(&self) -> Option<String> {
        self.json()["code"].as_str().map(str::to_owned)
    }

    /// Returns the text of a chat completion, plain or streamed.
    pub fn answer_text(&self) -> String {
        if let Some(text) = self.json()["choices"][0]["message"]["content"].as_str() {
            return text.to_owned();
        }
        let body = String::from_utf8_lossy(&self.body);
        let events = body.lines().filter_map(|line| line.strip_prefix("data: "));
        let parts = events.filter_map(|data| serde_json::from_str::<Value>(data).ok());
        let deltas = parts.map(|part| {
            part["choices"][0]["delta"]["content"]
                .as_str()
                .unwrap_or("")
                .to_owned()
        });
        deltas.collect()
    }

    /// Returns `true` if a streamed chat completion ended with its final marker.
    pub fn is_done(&self) -> bool {
        self.is_complete && String::from_utf8_lossy(&self.body).contains("data: [DONE]")
    }
}

/// Sends requests to an entry as a caller does.
#[derive(Clone)]
pub struct CallerClient {
    client: Client,
    base: String,
    key: String,
    timeout_ms: Option<u32>,
}

impl CallerClient {
    /// Creates a client with a bearer key.
    pub fn open(address: SocketAddr, key: &str) -> Self {
        let client = Client::builder().timeout(CLIENT_TIMEOUT).finish();
        Self {
            client,
            base: format!("http://{address}"),
            key: key.to_owned(),
            timeout_ms: None,
        }
    }

    /// Sets the timeout that the client requests for each call.
    #[must_use]
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout_ms = u32::try_from(timeout.as_millis()).ok();
        self
    }

    /// Sends a chat completion with the given body.
    ///
    /// # Errors
    ///
    /// Fails if no answer arrives.
    pub async fn chat(&self, program: Option<ProgramId>, body: &Value) -> Result<CallReply> {
        self.send(
            "POST",
            "/v1/chat/completions",
            program,
            None,
            Bytes::from(body.to_string()),
        )
        .await
    }

    /// Calls a plain service; `path` starts with the service's name.
    ///
    /// # Errors
    ///
    /// Fails if no answer arrives.
    pub async fn service(
        &self,
        method: &str,
        path: &str,
        program: Option<ProgramId>,
        key: Option<&str>,
        body: &str,
    ) -> Result<CallReply> {
        let path = format!("/v1/services/{path}");
        self.send(method, &path, program, key, Bytes::from(body.to_owned()))
            .await
    }

    /// Opens a program.
    ///
    /// # Errors
    ///
    /// Fails if no answer arrives or the program is refused.
    pub async fn open_program(&self, parent: Option<ProgramId>, budget: Value) -> Result<ProgramId> {
        let body = json!({"parent": parent, "budget": budget});
        let reply = self
            .send("POST", "/v1/programs", None, None, Bytes::from(body.to_string()))
            .await?;
        let id = reply.json()["id"].as_str().map(str::to_owned);
        let id = id.with_context(|| {
            format!(
                "the program was not opened: {}",
                String::from_utf8_lossy(&reply.body)
            )
        })?;
        Ok(id.parse()?)
    }

    /// Shows a program with its history.
    ///
    /// # Errors
    ///
    /// Fails if no answer arrives.
    pub async fn show_program(&self, program: ProgramId) -> Result<CallReply> {
        self.send(
            "GET",
            &format!("/v1/programs/{program}"),
            None,
            None,
            Bytes::new(),
        )
        .await
    }

    /// Finishes a program.
    ///
    /// # Errors
    ///
    /// Fails if no answer arrives.
    pub async fn finish_program(&self, program: ProgramId) -> Result<CallReply> {
        self.send(
            "POST",
            &format!("/v1/programs/{program}/finish"),
            None,
            None,
            Bytes::new(),
        )
        .await
    }

    /// Cancels a program.
    ///
    /// # Errors
    ///
    /// Fails if no answer arrives.
    pub async fn cancel_program(&self, program: ProgramId) -> Result<CallReply> {
        self.send(
            "DELETE",
            &format!("/v1/programs/{program}"),
            None,
            None,
            Bytes::new(),
        )
        .await
    }

    /// Sends a request with any method and path.
    ///
    /// # Errors
    ///
    /// Fails if no answer arrives.
    pub async fn send(
        &self,
        method: &str,
        path: &str,
        program: Option<ProgramId>,
        key: Option<&str>,
        body: Bytes,
    ) -> Result<CallReply> {
        let method = method
            .parse::<awc::http::Method>()
            .ok()
            .context("invalid HTTP method")?;
        let mut request = self
            .client
            .request(method, format!("{}{path}", self.base))
            .insert_header(("authorization", format!("Bearer {}", self.key)))
            .insert_header(("content-type", "application/json"));
        if let Some(program) = program {
            request = request.insert_header(("ebony-program", program.to_string()));
        }
        if let Some(key) = key {
            request = request.insert_header(("idempotency-key", key));
        }
        if let Some(timeout) = self.timeout_ms {
            request = request.insert_header(("ebony-timeout-ms", timeout.to_string()));
        }
        let mut response = request
            .send_body(body)
            .await
            .map_err(|error| anyhow::anyhow!("{error}"))?;
        let mut received = BytesMut::new();
        let mut is_complete = true;
        while let Some(chunk) = response.next().await {
            match chunk {
                Ok(chunk) if received.len() + chunk.len() <= MAX_REPLY_BYTES => {
                    received.extend_from_slice(&chunk)
                }
                _ => {
                    is_complete = false;
                    break;
                }
            }
        }
        Ok(CallReply {
            status: response.status().as_u16(),
            body: received.freeze(),
            is_complete,
        })
    }
}

/// Returns the body of a chat completion with one user message.
pub fn chat_body(model: &str, prompt: &str, max_tokens: u32, is_streamed: bool) -> Value {
    json!({
        "model": model,
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": max_tokens,
        "stream": is_streamed,
    })
}
