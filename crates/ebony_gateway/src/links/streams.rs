//! Lookups of the software version that began a stream, at all other gateways.

use ebony_stream::book::VOUCHING_TIME;
use ebony_stream::{PeerFindings, StreamDigest};
use ebony_types::ServiceName;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

use super::{PeerLinks, PeerReply, PeerRequest};

impl PeerLinks {
    /// Asks all linked gateways for the version that began a stream. One of them that reaches the store reads it there.
    /// The first one that knows the version decides.
    pub(crate) async fn find_stream(
        &self,
        stream: Option<StreamDigest>,
        service: &ServiceName,
    ) -> PeerFindings {
        let reader = self.peer_with_store();
        let peers: Vec<String> = {
            let links = self.links.borrow();
            let linked = links.iter().filter(|(_, link)| link.knows_streams.get());
            linked.map(|(name, _)| name.clone()).collect()
        };
        let ask = |peer: String| {
            let service = service.clone();
            let reads_store = reader.as_ref() == Some(&peer);
            let request = move |number| PeerRequest::FindStream {
                number,
                stream,
                service,
                reads_store,
            };
            async move {
                let reply = self.exchange(&peer, request).await;
                (peer, reply)
            }
        };
        let mut replies: FuturesUnordered<_> = peers.into_iter().map(ask).collect();
        let mut findings = PeerFindings::default();
        let mut vouching = Vec::new();
        while let Some((peer, reply)) = replies.next().await {
            let Some(PeerReply::Stream {
                origin,
                versions,
                vouches,
                ..
            }) = reply
            else {
                continue;
            };
            findings.versions.extend(versions);
            if vouches {
                vouching.push(peer);
            }
            if origin.is_some() {
                findings.origin = origin;
                return findings;
            }
        }
        findings.is_complete = self.are_all_others(&vouching);
        findings
    }

    /// Returns whether no other gateway can have begun a stream that may still be resumed, and these are at least half of
    /// the others.
    fn are_all_others(&self, vouching: &[String]) -> bool {
        let others = self.fleet.peers();
        let now = self.clock.now();
        let unlinked_since = self.unlinked_since.borrow();
        let has_gone = |name: &String| {
            let since = unlinked_since.get(name);
            since.is_some_and(|since| now.since(*since) >= VOUCHING_TIME)
        };
        let are_all = others
            .iter()
            .all(|(name, _)| vouching.contains(name) || has_gone(name));
        are_all && vouching.len() * 2 >= others.len()
    }
}
