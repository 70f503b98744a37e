//! Spreading news of configurations to other entries.

use actix::{Context, Handler};
use ebony_wire::PeerFrame;
use rand::seq::IteratorRandom;

use super::actor::PeerActor;
use super::config_news::RELAY_FANOUT;
use super::router::PeerKey;
use crate::config::{SpreadStatus, WantConfig};
use crate::dispatch::ConfigPublished;

impl Handler<ConfigPublished> for PeerActor {
    type Result = ();

    fn handle(&mut self, ConfigPublished(push): ConfigPublished, _: &mut Context<Self>) {
        let frame = PeerFrame::Config(push);
        let linked: Vec<PeerKey> = self.linked_peers().collect();
        let chosen = linked
            .into_iter()
            .choose_multiple(&mut self.news.source, RELAY_FANOUT);
        for peer in chosen {
            self.send(peer, &frame);
        }
    }
}

impl Handler<SpreadStatus> for PeerActor {
    type Result = ();

    fn handle(&mut self, SpreadStatus(status): SpreadStatus, _: &mut Context<Self>) {
        let links = self.linked_peers().count();
        self.news.status = status;
        let statuses = self.news.round(links);
        self.broadcast_outgoing(&PeerFrame::ConfigInForce(statuses));
    }
}

impl Handler<WantConfig> for PeerActor {
    type Result = ();

    fn handle(&mut self, WantConfig { known }: WantConfig, _: &mut Context<Self>) {
        let frame = PeerFrame::ConfigWanted { known };
        let newer = self.news.versions.iter().filter(|(_, version)| **version > known);
        let key = newer.map(|(key, _)| *key).choose(&mut self.news.source);
        if let Some(link) = key.and_then(|key| self.incoming.get(key)) {
            // An entry that does not answer is asked again, or another one is.
            let _ = link.sender.send(&frame);
            return;
        }
        let linked: Vec<PeerKey> = self.linked_peers().collect();
        if let Some(peer) = linked.into_iter().choose(&mut self.news.source) {
            self.send(peer, &frame);
        }
    }
}
