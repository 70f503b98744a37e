//! The live view of the configuration as server-sent events.

use std::convert::Infallible;
use std::time::Duration;

use actix_web::web::{Data, Payload};
use actix_web::{HttpRequest, HttpResponse};
use bytes::Bytes;
use ebony_types::ProblemCode;
use futures_util::stream::unfold;
use serde::Serialize;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::broadcast::Receiver;
use tokio::sync::broadcast::error::RecvError;

use super::auth::authenticate_first;
use super::error::{AdminProblem, Result};
use super::state::AdminState;
use crate::config::{FleetStatus, ReadFleetStatus, SubscribedWatch, WatchEvent, WatchFleet};

/// An idle stream sends a comment at this interval, so that a lost connection is detected.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(5);

/// An open live view.
struct WatchStream {
    state: Data<AdminState>,
    events: Receiver<WatchEvent>,
    /// Whether the full status is sent next: at the start of the stream, or after events were lost.
    needs_status: bool,
    /// Counts the stream against the limit of open live views until it ends.
    _permit: OwnedSemaphorePermit,
}

/// Handles `GET /v1/config/watch`.
pub(super) async fn watch(
    request: HttpRequest,
    _payload: Payload,
    state: Data<AdminState>,
) -> Result<HttpResponse> {
    authenticate_first(&request, &state)?;
    let full = |_| AdminProblem::not_run(ProblemCode::Overloaded, "too many live views are open");
    let permit = state.watchers.clone().try_acquire_owned().map_err(full)?;
    let subscribed = state.config.send(WatchFleet).await;
    let SubscribedWatch(events) = subscribed.map_err(|_| AdminProblem::busy())?;
    let stream = WatchStream {
        state,
        events,
        needs_status: true,
        _permit: permit,
    };
    let body = unfold(stream, |mut stream| async move {
        let text = stream.next().await?;
        Some((Ok::<_, Infallible>(Bytes::from(text)), stream))
    });
    Ok(HttpResponse::Ok()
        .content_type("text/event-stream")
        .streaming(body))
}

impl WatchStream {
    async fn next(&mut self) -> Option<String> {
        if std::mem::take(&mut self.needs_status) {
            let status: FleetStatus = self.state.config.send(ReadFleetStatus).await.ok()?;
            return Some(to_event("status", &status));
        }
        match tokio::time::timeout(KEEP_ALIVE_INTERVAL, self.events.recv()).await {
            Ok(Ok(event)) => Some(to_event("change", &event)),
            Ok(Err(RecvError::Lagged(_))) => {
                self.needs_status = true;
                Some(": events were lost\n\n".to_owned())
            }
            Ok(Err(RecvError::Closed)) => None,
            Err(_) => Some(": still here\n\n".to_owned()),
        }
    }
}

fn to_event(name: &str, data: &impl Serialize) -> String {
    let data = serde_json::to_string(data).unwrap_or_default();
    format!("event: {name}\ndata: {data}\n\n")
}
