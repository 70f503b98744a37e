//! Client for the control and inspection routes.

use std::marker::PhantomData;
use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, anyhow, ensure};
use awc::error::SendRequestError;
use awc::{Client, ClientResponse};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::server::control::{HttpKind, StandinKind};
use crate::server::crash::{CrashReply, CrashRequest};
use crate::server::faults::{FaultSettings, FaultsStats};

/// The result of a control request.
pub(crate) type Result<T, E = anyhow::Error> = std::result::Result<T, E>;

/// Time-out for a reply. It is long because the reply to closing a port is sent after all its connections have ended.
const REPLY_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum size of a reply. The largest replies are the counts by key.
const MAX_REPLY_BYTES: usize = 64 * 1024 * 1024;

/// Controls and inspects a stand-in in this or another process.
///
/// Each type of stand-in adds its own methods, for example [`crate::engine::EngineControl`].
pub struct StandinControl<K: StandinKind> {
    client: Client,
    base: String,
    kind: PhantomData<K>,
}

impl<K: StandinKind> StandinControl<K> {
    /// Creates a client for the control address [`crate::StandinAddress::control`].
    pub fn open(address: SocketAddr) -> Self {
        Self {
            client: Client::builder().timeout(REPLY_TIMEOUT).finish(),
            base: format!("http://{address}"),
            kind: PhantomData,
        }
    }

    /// Returns the current settings.
    ///
    /// # Errors
    ///
    /// Fails if the stand-in does not answer.
    pub async fn settings(&self) -> Result<K::Settings> {
        self.get("/_control/settings").await
    }

    /// Changes the settings and returns once they apply.
    ///
    /// # Errors
    ///
    /// Fails if the stand-in does not answer or refuses the settings.
    pub async fn change(&self, change: impl FnOnce(&mut K::Settings)) -> Result<()> {
        let mut settings = self.settings().await?;
        change(&mut settings);
        let _: K::Settings = self.post("/_control/settings", &settings).await?;
        Ok(())
    }

    /// Returns the statistics of the stand-in.
    ///
    /// # Errors
    ///
    /// Fails if the stand-in does not answer.
    pub async fn stats(&self) -> Result<K::Stats> {
        self.get("/_seen/summary").await
    }

    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        let sent = self.client.get(format!("{}{path}", self.base)).send().await;
        read_reply(path, sent).await
    }

    pub(crate) async fn post<T: DeserializeOwned>(&self, path: &str, message: &impl Serialize) -> Result<T> {
        let request = self.client.post(format!("{}{path}", self.base));
        let sent = request.send_json(message).await;
        read_reply(path, sent).await
    }
}

impl<K: HttpKind> StandinControl<K> {
    /// Returns the current faults.
    ///
    /// # Errors
    ///
    /// Fails if the stand-in does not answer.
    pub async fn faults(&self) -> Result<FaultSettings> {
        self.get("/_control/faults").await
    }

    /// Sets the faults and returns once they apply.
    ///
    /// # Errors
    ///
    /// Fails if the stand-in does not answer.
    pub async fn set_faults(&self, faults: FaultSettings) -> Result<()> {
        let _: FaultSettings = self.post("/_control/faults", &faults).await?;
        Ok(())
    }

    /// Crashes the stand-in and returns once its port refuses connections. The stand-in restarts after `down`, or on
    /// [`StandinControl::restart`].
    ///
    /// # Errors
    ///
    /// Fails if the control port does not answer.
    pub async fn crash(&self, down: Duration) -> Result<()> {
        let request = CrashRequest {
            down_ms: down.as_millis() as u64,
        };
        let _: CrashReply = self.post("/_control/crash", &request).await?;
        Ok(())
    }

    /// Restarts a crashed stand-in immediately and returns once it listens.
    ///
    /// # Errors
    ///
    /// Fails if the control port does not answer.
    pub async fn restart(&self) -> Result<()> {
        let _: CrashReply = self.post("/_control/restart", &()).await?;
        Ok(())
    }

    /// Returns how many requests and replies the faults have affected.
    ///
    /// # Errors
    ///
    /// Fails if the stand-in does not answer.
    pub async fn faults_stats(&self) -> Result<FaultsStats> {
        self.get("/_seen/faults").await
    }
}

async fn read_reply<T: DeserializeOwned>(
    path: &str,
    sent: Result<ClientResponse, SendRequestError>,
) -> Result<T> {
    // anyhow requires errors to be Send, which those of awc are not.
    let mut response = sent.map_err(|error| anyhow!("{path}: {error}"))?;
    let body = response.body().limit(MAX_REPLY_BYTES).await?;
    let status = response.status();
    ensure!(
        status.is_success(),
        "{path}: {status}: {}",
        String::from_utf8_lossy(&body)
    );
    serde_json::from_slice(&body).with_context(|| format!("{path}: malformed reply"))
}
