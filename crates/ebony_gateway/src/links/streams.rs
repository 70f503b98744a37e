//! Lookups of the software version that began a stream, at all other gateways.

use ebony_stream::{PeerFindings, StreamDigest};
use ebony_types::ServiceName;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

use super::{PeerLinks, PeerReply, PeerRequest};

impl PeerLinks {
    /// Asks all linked gateways for the version that began a stream. The first one that has a record of it decides.
    pub(crate) async fn find_stream(
        &self,
        stream: Option<StreamDigest>,
        service: &ServiceName,
    ) -> PeerFindings {
        let peers: Vec<String> = {
            let links = self.links.borrow();
            let linked = links.iter().filter(|(_, link)| link.knows_streams.get());
            linked.map(|(name, _)| name.clone()).collect()
        };
        let linked = self.links.borrow().len();
        let ask = |peer: String| {
            let service = service.clone();
            let request = move |number| PeerRequest::FindStream {
                number,
                stream,
                service,
            };
            async move { self.exchange(&peer, request).await }
        };
        let mut replies: FuturesUnordered<_> = peers.into_iter().map(ask).collect();
        let mut findings = PeerFindings::default();
        let mut answered = 0;
        while let Some(reply) = replies.next().await {
            let Some(PeerReply::Stream { origin, versions, .. }) = reply else {
                continue;
            };
            answered += 1;
            findings.versions.extend(versions);
            if origin.is_some() {
                findings.origin = origin;
                return findings;
            }
        }
        findings.is_majority = answered == linked && answered * 2 >= self.fleet.peers().len();
        findings
    }
}
