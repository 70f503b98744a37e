//! Relays crash reports between entries.

use actix::{Context, Handler};
use ebony_wire::PeerFrame;

use super::actor::PeerActor;
use super::router::PeerKey;
use crate::dispatch::{CrashesReported, ReadCrashes};

/// The maximum number of reports in one frame.
const REPORTS_PER_FRAME: usize = 256;

impl PeerActor {
    /// Sends all unexpired crash reports to a newly linked entry.
    pub(super) fn send_known_crashes(&self, peer: PeerKey) {
        let Some(sender) = self.peers.get(peer).and_then(|record| record.sender.clone()) else {
            return;
        };
        let crashes = self.options.known_crashes.clone();
        actix::spawn(async move {
            let reports = crashes.send(ReadCrashes).await.unwrap_or_default();
            for part in reports.chunks(REPORTS_PER_FRAME) {
                // If the link is lost, the reports are sent again over the next one.
                let _ = sender.send(&PeerFrame::Crashes(part.to_vec()));
            }
        });
    }
}

impl Handler<CrashesReported> for PeerActor {
    type Result = ();

    fn handle(&mut self, CrashesReported(reports): CrashesReported, _: &mut Context<Self>) {
        for part in reports.chunks(REPORTS_PER_FRAME) {
            self.broadcast_outgoing(&PeerFrame::Crashes(part.to_vec()));
        }
    }
}
