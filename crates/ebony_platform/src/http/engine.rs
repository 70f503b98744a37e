//! A model engine over HTTP.

use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use ebony_types::{CallId, FencingToken, ProgramId};
use rustls::ClientConfig;

use super::client::{HttpClient, HttpReply, StreamedReply};
use super::limits::RequestLimits;
use super::{bare_call, body, failure, from_json, header_field, post_call, to_json};
use crate::engine::{
    CacheNotice, EngineAnswer, EngineCall, EngineLoad, EngineOrder, EngineTarget, HeldProgram,
};
use crate::error::PlatformError;
use crate::protocol::{
    CALL_HEADER, FencedReply, JSON_MEDIA_TYPE, OrderRequest, PRIORITY_HEADER, PROGRAM_HEADER, engine_route,
};
use crate::service::ServiceCall;

use crate::error::Result;

/// Number of connections for load reports, notices, cancellations and orders. They are separate from the connections of
/// calls, so that a cancellation never has to wait until a call is finished.
const CONTROL_CONNECTIONS: usize = 4;

/// Status of the reply to a request for an unknown call.
const NOT_FOUND_STATUS: u16 = 404;

/// Status of the reply to an order whose fencing token is too low.
const FENCED_STATUS: u16 = 409;

/// Statuses that mean that the engine did not run the call.
const NOT_RUN_STATUSES: [u16; 2] = [429, 503];

/// A model engine over HTTP.
pub struct HttpEngine {
    calls: HttpClient,
    control: HttpClient,
}

impl HttpEngine {
    /// Creates an adapter; connections are established as requests need them. Load reports, notices, cancellations and
    /// orders use separate connections, with an answer timeout of at most that of [`RequestLimits::for_platform`].
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::Refused`] if the base URL is malformed or needs TLS.
    pub fn open(base_url: &str, limits: RequestLimits) -> Result<Self> {
        Self::open_tls(base_url, limits, None)
    }

    /// Creates an adapter for a base URL with the scheme `https`.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::Refused`] if the base URL is malformed or needs TLS and no configuration is given.
    pub fn open_tls(base_url: &str, limits: RequestLimits, tls: Option<Arc<ClientConfig>>) -> Result<Self> {
        let platform_limits = RequestLimits::for_platform();
        let control_limits = RequestLimits {
            max_connections: CONTROL_CONNECTIONS,
            connect_timeout: limits.connect_timeout,
            answer_timeout: limits.answer_timeout.min(platform_limits.answer_timeout),
            ..platform_limits
        };
        Ok(Self {
            calls: HttpClient::open(base_url, limits, tls.clone())?,
            control: HttpClient::open(base_url, control_limits, tls)?,
        })
    }

    async fn exchange(&self, call: ServiceCall) -> Result<HttpReply> {
        failure::check_status(self.control.exchange(call).await?)
    }
}

fn complete_call(call: EngineCall) -> ServiceCall {
    let mut request = post_call(engine_route::COMPLETE, JSON_MEDIA_TYPE, call.body);
    request.headers.extend([
        header_field(CALL_HEADER, call.call),
        header_field(PROGRAM_HEADER, call.program),
        header_field(PRIORITY_HEADER, call.priority),
    ]);
    request
}

fn kv_path(program: ProgramId) -> String {
    format!("{}/{program}/kv", engine_route::PROGRAMS)
}

/// Reads the body of a reply for the error text. If the body cannot be read, the error is still a refusal.
async fn into_refusal(reply: StreamedReply) -> PlatformError {
    let status = reply.status;
    let body = body::collect(reply.body).await.unwrap_or_default();
    PlatformError::Refused(failure::describe(&HttpReply { status, body }))
}

#[async_trait(?Send)]
impl EngineTarget for HttpEngine {
    async fn complete(&self, call: EngineCall) -> Result<EngineAnswer> {
        let reply = self.calls.stream(complete_call(call)).await?;
        if NOT_RUN_STATUSES.contains(&reply.status) {
            return Err(into_refusal(reply).await);
        }
        Ok(reply.into())
    }

    /// Returns [`PlatformError::Refused`] if the engine does not keep the call. This does not tell whether the call
    /// itself ran.
    async fn resume(&self, call: CallId, offset: u64) -> Result<EngineAnswer> {
        let path = format!("{}{call}?offset={offset}", engine_route::CALLS);
        let reply = self.calls.stream(bare_call("GET", path)).await?;
        if reply.headers.iter().any(|field| field.name == CALL_HEADER) {
            return Ok(reply.into());
        }
        Err(into_refusal(reply).await)
    }

    async fn cancel(&self, call: CallId) -> Result<()> {
        let path = format!("{}{call}", engine_route::CALLS);
        let reply = self.control.exchange(bare_call("DELETE", path)).await?;
        // If the engine does not know the call, there is nothing to cancel.
        if reply.status != NOT_FOUND_STATUS {
            failure::check_status(reply)?;
        }
        Ok(())
    }

    async fn load(&self) -> Result<EngineLoad> {
        let reply = self.exchange(bare_call("GET", engine_route::LOAD)).await?;
        from_json(&reply.body)
    }

    async fn cache_notices(&self, after: u64) -> Result<Vec<CacheNotice>> {
        let path = format!("{}?after={after}", engine_route::NOTICES);
        let reply = self.exchange(bare_call("GET", path)).await?;
        from_json(&reply.body)
    }

    async fn held(&self) -> Result<Vec<HeldProgram>> {
        let reply = self.exchange(bare_call("GET", engine_route::PROGRAMS)).await?;
        from_json(&reply.body)
    }

    async fn order(&self, order: EngineOrder, token: FencingToken) -> Result<()> {
        let request = OrderRequest { order, token };
        let call = post_call(engine_route::ORDERS, JSON_MEDIA_TYPE, to_json(&request)?);
        let reply = self.control.exchange(call).await?;
        if reply.status == FENCED_STATUS {
            let fenced: FencedReply = from_json(&reply.body)?;
            return Err(PlatformError::Fenced {
                highest: fenced.highest,
            });
        }
        failure::check_status(reply)?;
        Ok(())
    }

    async fn export_kv(&self, program: ProgramId) -> Result<Bytes> {
        let reply = self.calls.exchange(bare_call("GET", kv_path(program))).await?;
        Ok(failure::check_status(reply)?.body)
    }

    async fn import_kv(&self, program: ProgramId, bytes: Bytes) -> Result<()> {
        let call = ServiceCall {
            body: bytes,
            ..bare_call("PUT", kv_path(program))
        };
        failure::check_status(self.calls.exchange(call).await?)?;
        Ok(())
    }
}
