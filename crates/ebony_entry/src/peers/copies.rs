//! Replicates journal rows between entries while the platform accepts no writes.

use std::time::Duration;

use actix::{ActorFutureExt, AsyncContext, Context, Handler, Message, ResponseFuture, WrapFuture};
use ebony_owner::journal::AppendOutcome;
use ebony_types::SessionId;
use ebony_wire::{HeldRow, PeerFrame};
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use tokio::sync::oneshot;

use super::actor::PeerActor;
use super::copy_messages::{
    CollectCopies, CopyHeld, CopyLost, CopyRow, DropCopies, RelinquishSession, append_of, held_of,
};
use super::messages::IncomingKey;
use super::router::PeerKey;

/// The interval at which appending held rows, and placing an unconfirmed copy, is retried.
const COPY_INTERVAL: Duration = Duration::from_millis(500);

/// The maximum wait for a reply with another entry's copies.
const COLLECT_TIMEOUT: Duration = Duration::from_secs(2);

/// The maximum number of replies with copies requested from one entry before a seal.
const MAX_COLLECT_ROUNDS: u32 = 64;

impl PeerActor {
    pub(super) fn hold_copy(&mut self, row: HeldRow) -> Option<PeerFrame> {
        let (session, sequence) = (row.session, row.sequence);
        self.held
            .hold(row)
            .then_some(PeerFrame::RowHeld { session, sequence })
    }

    /// Replies with copies to a successor that is about to seal a journal. If the session is the own one, it is ended,
    /// and its rows are held like those of other owners until they are durable.
    pub(super) fn read_held(
        &mut self,
        key: IncomingKey,
        request: u64,
        session: SessionId,
        after: u64,
        context: &mut Context<Self>,
    ) {
        if self.presence.session != Some(session) {
            return self.reply_held(key, request, session, after);
        }
        let relinquished = self.options.relinquish.send(RelinquishSession { session });
        let relinquished = relinquished.into_actor(self).map(move |rows, actor, _| {
            for row in rows.unwrap_or_default() {
                actor.held.hold(row);
            }
            actor.reply_held(key, request, session, after);
        });
        context.spawn(relinquished);
    }

    fn reply_held(&mut self, key: IncomingKey, request: u64, session: SessionId, after: u64) {
        self.held.close(session);
        let rows = self.held.read(session, after);
        self.reply(key, Some(PeerFrame::HeldRows { request, rows }));
    }

    /// Requests new copies of the rows whose copies were held by a lost peer.
    pub(super) fn replace_lost_copies(&mut self, peer: PeerKey) {
        let lost = self.copy_holders.extract_if(.., |_, holder| *holder == peer);
        let Some(session) = self.presence.session else {
            return;
        };
        for (sequence, _) in lost {
            self.options.lost_copies.do_send(CopyLost { session, sequence });
        }
    }

    pub(super) fn record_copy_held(&mut self, peer: PeerKey, session: SessionId, sequence: u64) {
        if self.presence.session == Some(session) {
            self.copy_holders.insert(sequence, peer);
            self.last_copy_peer = Some(peer);
        }
        if self
            .pending_copy
            .as_ref()
            .is_some_and(|copy| (copy.session, copy.row.sequence) == (session, sequence))
        {
            self.pending_copy = None;
        }
        self.options.copied.do_send(CopyHeld { session, sequence });
    }

    /// Offers the pending copy to the entry that holds the previous row, so that one entry holds consecutive rows. If
    /// that entry does not confirm, a random linked entry is tried next.
    pub(super) fn offer_copy(&mut self) {
        let Some(copy) = self.pending_copy.clone() else {
            return;
        };
        let peers: Vec<PeerKey> = self.linked_peers().collect();
        let last = self.last_copy_peer.filter(|peer| peers.contains(peer));
        let Some(peer) = last.or_else(|| peers.choose(&mut StdRng::from_os_rng()).copied()) else {
            return;
        };
        // Set again when the entry confirms.
        self.last_copy_peer = None;
        let held = held_of(copy.session, copy.row);
        self.send(peer, &PeerFrame::HoldRow(Box::new(held)));
    }

    /// Appends held rows on behalf of their owners, and offers an unconfirmed copy again.
    fn retry_copies(&mut self, context: &mut Context<Self>) {
        self.offer_copy();
        for held in self.held.first_of_each() {
            self.append_held(held, context);
        }
    }

    /// Appends a held row, and then the rows after it as long as the platform accepts them.
    fn append_held(&mut self, held: HeldRow, context: &mut Context<Self>) {
        let storage = self.options.storage.clone();
        let (session, sequence) = (held.session, held.sequence);
        let append = async move {
            // A successor reads the journal up to the first gap, so it would not see a row after one.
            let has_previous = sequence == 1 || storage.has_row(session, sequence - 1).await;
            has_previous && storage.append(session, append_of(held)).await != AppendOutcome::Unavailable
        };
        let append = append.into_actor(self).map(move |is_over, actor, context| {
            if !is_over {
                return;
            }
            // If the row exists with another nonce, the journal was sealed without this row, and the copy is obsolete.
            actor.held.drop_up_to(session, sequence);
            if let Some(next) = actor.held.first_after(session, sequence) {
                actor.append_held(next, context);
            }
        });
        context.spawn(append);
    }

    pub(super) fn start_copies(&mut self, context: &mut Context<Self>) {
        context.run_interval(COPY_INTERVAL, PeerActor::retry_copies);
    }

    pub(super) fn end_collect(&mut self, request: u64, rows: Vec<HeldRow>) {
        if let Some(reply) = self.pending_collects.remove(&request) {
            // The requester may have given up.
            let _ = reply.send(rows);
        }
    }

    /// Requests copies from one entry. The receiver gets an error if the request can't be sent, and nothing if the link
    /// is lost before the reply.
    fn request_rows(
        &mut self,
        peer: PeerKey,
        session: SessionId,
        after: u64,
    ) -> oneshot::Receiver<Vec<HeldRow>> {
        let (reply, rows) = oneshot::channel();
        self.pending_collects.retain(|_, pending| !pending.is_closed());
        self.next_collect += 1;
        let request = self.next_collect;
        if self.send(
            peer,
            &PeerFrame::ReadHeldRows {
                request,
                session,
                after,
            },
        ) {
            self.pending_collects.insert(request, reply);
        }
        rows
    }
}

/// Requests the next batch of copies from one linked entry. The result is empty if it has no more, or if no reply
/// arrives within [`COLLECT_TIMEOUT`].
#[derive(Clone, Copy, Debug)]
#[derive(Message)]
#[rtype(result = "Vec<HeldRow>")]
struct RequestRows {
    peer: PeerKey,
    session: SessionId,
    after: u64,
}

impl Handler<RequestRows> for PeerActor {
    type Result = ResponseFuture<Vec<HeldRow>>;

    fn handle(&mut self, message: RequestRows, _: &mut Context<Self>) -> Self::Result {
        let rows = self.request_rows(message.peer, message.session, message.after);
        Box::pin(async move {
            let rows = tokio::time::timeout(COLLECT_TIMEOUT, rows).await;
            rows.ok().and_then(Result::ok).unwrap_or_default()
        })
    }
}

impl Handler<CopyRow> for PeerActor {
    type Result = ();

    fn handle(&mut self, message: CopyRow, _: &mut Context<Self>) {
        self.pending_copy = Some(message);
        self.offer_copy();
    }
}

impl Handler<DropCopies> for PeerActor {
    type Result = ();

    fn handle(&mut self, DropCopies { session, durable }: DropCopies, _: &mut Context<Self>) {
        self.copy_holders.retain(|sequence, _| *sequence > durable);
        self.pending_copy = self
            .pending_copy
            .take()
            .filter(|copy| copy.session == session && copy.row.sequence > durable);
        for peer in self.peers.keys() {
            self.send(peer, &PeerFrame::DropRows { session, durable });
        }
    }
}

impl Handler<CollectCopies> for PeerActor {
    type Result = ResponseFuture<Vec<HeldRow>>;

    fn handle(&mut self, message: CollectCopies, context: &mut Context<Self>) -> Self::Result {
        let CollectCopies { session, after } = message;
        self.held.close(session);
        let mut rows = self.held.read(session, after);
        let peers: Vec<PeerKey> = self.linked_peers().collect();
        let address = context.address();
        Box::pin(async move {
            for peer in peers {
                let mut after = after;
                for _ in 0..MAX_COLLECT_ROUNDS {
                    let more = address
                        .send(RequestRows { peer, session, after })
                        .await
                        .unwrap_or_default();
                    let Some(last) = more.last() else { break };
                    after = last.sequence;
                    rows.extend(more);
                }
            }
            rows.sort_by_key(|row| row.sequence);
            rows.dedup_by_key(|row| row.sequence);
            rows
        })
    }
}
