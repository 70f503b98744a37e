//! Message handlers that relay configurations and their status to other entries.

use actix::{Context, Handler};
use ebony_wire::PeerFrame;
use rand::seq::IteratorRandom;

use super::actor::PeerActor;
use super::config_relay::RELAY_FANOUT;
use super::router::PeerKey;
use crate::config::{BroadcastStatus, RequestConfig};
use crate::dispatch::ConfigPublished;

impl Handler<ConfigPublished> for PeerActor {
    type Result = ();

    fn handle(&mut self, ConfigPublished(push): ConfigPublished, _: &mut Context<Self>) {
        let frame = PeerFrame::Config(push);
        let linked: Vec<PeerKey> = self.linked_peers().collect();
        let chosen = linked
            .into_iter()
            .choose_multiple(&mut self.relay.rng, RELAY_FANOUT);
        for peer in chosen {
            self.send(peer, &frame);
        }
    }
}

impl Handler<BroadcastStatus> for PeerActor {
    type Result = ();

    fn handle(&mut self, BroadcastStatus(status): BroadcastStatus, _: &mut Context<Self>) {
        let links = self.linked_peers().count();
        self.relay.status = status;
        let statuses = self.relay.next_round(links);
        self.broadcast_outgoing(&PeerFrame::ConfigInForce(statuses));
    }
}

impl Handler<RequestConfig> for PeerActor {
    type Result = ();

    fn handle(&mut self, RequestConfig { known }: RequestConfig, _: &mut Context<Self>) {
        let frame = PeerFrame::ConfigWanted { known };
        let newer = self
            .relay
            .versions
            .iter()
            .filter(|(_, version)| **version > known);
        let key = newer.map(|(key, _)| *key).choose(&mut self.relay.rng);
        if let Some(link) = key.and_then(|key| self.incoming.get(key)) {
            // Without a reply, the request is repeated, possibly to another entry.
            let _ = link.sender.send(&frame);
            return;
        }
        let linked: Vec<PeerKey> = self.linked_peers().collect();
        if let Some(peer) = linked.into_iter().choose(&mut self.relay.rng) {
            self.send(peer, &frame);
        }
    }
}
