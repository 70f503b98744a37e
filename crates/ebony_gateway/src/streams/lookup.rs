//! Finds out at which software version a resumed stream goes on.

use std::time::Duration;

use ebony_stream::{PeerFindings, StreamDigest, StreamVerdict};
use ebony_types::{ProblemCode, ServiceName, SoftwareVersion};
use tokio::time::timeout;

use super::StreamRegistry;
use crate::call_log::CallLog;
use crate::links::PeerReply;
use crate::refusal::{CallRefusal, Result};
use crate::routed_call::RoutedCall;

/// How long a lookup waits for the store before it asks the other gateways.
const STORE_TIMEOUT: Duration = Duration::from_millis(400);

/// The `Retry-After` of a lookup while the store does not answer.
const STORE_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The most lookups that ask the other gateways at the same time. Each sends a message to all of them.
const MAX_PEER_LOOKUPS: usize = 8;

/// The most versions of a service that a gateway sends to another one.
const MAX_SENT_VERSIONS: usize = 16;

/// The detail that callers get when nothing tells the version that began their stream.
const UNKNOWN_DETAIL: &str =
    "the software version that began the stream is not known; send the call from its start";

/// The detail that callers get when no target of the version accepts calls.
const VERSION_LEFT_DETAIL: &str =
    "no target has the software version that began the stream; send the call from its start";

impl StreamRegistry {
    /// Returns the version at which a call must run, if it resumes a stream.
    ///
    /// # Errors
    ///
    /// Refuses a call if the version that began its stream is not known for certain, or no target of it accepts calls.
    pub(crate) async fn settle(
        &self,
        call: &RoutedCall,
        log: &mut CallLog,
    ) -> Result<Option<SoftwareVersion>> {
        if !call.is_stream() || !call.head.resumption.is_resumed() {
            return Ok(None);
        }
        let (verdict, has_read) = self.find(call.stream(), &call.service).await;
        let (label, settled) = match verdict {
            StreamVerdict::At(version, source) => {
                log.set_origin(&version);
                let board = call.gateway.board.borrow();
                match board.has_ready_version(&call.service, &version) {
                    true => (source.as_str(), Ok(Some(version))),
                    false => ("version_left", Err(not_resumable(VERSION_LEFT_DETAIL))),
                }
            }
            StreamVerdict::Unknown if has_read => ("unknown", Err(not_resumable(UNKNOWN_DETAIL))),
            StreamVerdict::Unknown => ("store_away", Err(store_away())),
        };
        log.set_origin_source(label);
        self.metrics.resumptions.with_label_values(&[label]).inc();
        settled
    }

    /// Decides where a stream goes on, from memory, from the store or by the other gateways. Returns also whether the
    /// store answered, if it was asked.
    async fn find(&self, stream: Option<StreamDigest>, service: &ServiceName) -> (StreamVerdict, bool) {
        let known = stream.and_then(|stream| self.book.borrow().origin(stream, service));
        if let Some((version, source)) = known {
            return (StreamVerdict::At(version, source), true);
        }
        let has_read = timeout(STORE_TIMEOUT, self.read()).await.unwrap_or(false);
        if has_read {
            let verdict = self.book.borrow().verdict(stream, service);
            // The other gateways know nothing more of a stream without a name.
            if verdict != StreamVerdict::Unknown || stream.is_none() {
                return (verdict, true);
            }
        }
        let findings = self.ask_peers(stream, service).await;
        let verdict = self
            .book
            .borrow()
            .verdict_by_peers(stream, service, has_read, findings);
        (verdict, has_read)
    }

    async fn ask_peers(&self, stream: Option<StreamDigest>, service: &ServiceName) -> PeerFindings {
        if self.peer_lookups.get() >= MAX_PEER_LOOKUPS {
            return PeerFindings::default();
        }
        let _lookup = PeerLookupGuard::open(self);
        let mut findings = self.links.find_stream(stream, service).await;
        findings.is_complete &= self.vouches();
        findings
    }

    /// Answers the lookup of another gateway, from memory or from the store.
    pub(crate) async fn answer_peer(
        &self,
        number: u64,
        stream: Option<StreamDigest>,
        service: &ServiceName,
        reads_store: bool,
    ) -> PeerReply {
        let origin = stream.and_then(|stream| self.book.borrow().origin(stream, service));
        let mut origin = origin.map(|(version, _)| version);
        if origin.is_none() && reads_store && self.read().await {
            origin = match self.book.borrow().verdict(stream, service) {
                StreamVerdict::At(version, _) => Some(version),
                StreamVerdict::Unknown => None,
            };
        }
        let versions = self.book.borrow().known_versions(service);
        PeerReply::Stream {
            number,
            origin,
            vouches: self.vouches() && versions.len() <= MAX_SENT_VERSIONS,
            versions: versions.into_iter().take(MAX_SENT_VERSIONS).collect(),
        }
    }
}

/// Counts a lookup while it waits for the other gateways.
struct PeerLookupGuard<'r>(&'r StreamRegistry);

impl<'r> PeerLookupGuard<'r> {
    fn open(registry: &'r StreamRegistry) -> Self {
        registry.peer_lookups.set(registry.peer_lookups.get() + 1);
        Self(registry)
    }
}

impl Drop for PeerLookupGuard<'_> {
    fn drop(&mut self) {
        self.0.peer_lookups.set(self.0.peer_lookups.get() - 1);
    }
}

/// Returns the refusal of a call that would be refused again, so that its caller need not wait.
fn not_resumable(detail: &'static str) -> CallRefusal {
    CallRefusal::not_run(ProblemCode::NotResumable, detail).retry_after(Duration::ZERO)
}

fn store_away() -> CallRefusal {
    let detail = "the software version that began the stream cannot be looked up";
    CallRefusal::not_run(ProblemCode::NotResumable, detail).retry_after(STORE_RETRY_AFTER)
}
