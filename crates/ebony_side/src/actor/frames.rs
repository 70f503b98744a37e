//! Routes frames of entries.

use actix::Context;
use ebony_wire::{EntryFrame, SideFrame};
use slog::warn;

use super::SideActor;
use crate::links::LinkKey;

impl SideActor {
    pub(super) fn accept_frame(&mut self, link: LinkKey, frame: EntryFrame, context: &mut Context<Self>) {
        match frame {
            EntryFrame::Dispatch(order) => self.admit(link, *order, context),
            EntryFrame::Cancel { call } => self.cancel(link, call, context),
            EntryFrame::Credit { call, bytes } => self.grant(call, bytes, context),
            EntryFrame::Resume { call, offset } => self.resume(link, call, offset, context),
            EntryFrame::Settled { call } => self.settle(call),
            EntryFrame::Release { program, token } => self.release(link, program, token, context),
            EntryFrame::Vouch { programs } => self.vouch(&programs),
            EntryFrame::Retain { program, expires_ms } => self.retain(program, expires_ms, context),
            EntryFrame::Load(order) => self.order_load(link, order, context),
            EntryFrame::Config(push) => self.accept_config(link, &push),
            EntryFrame::Crashes(reports) => {
                let now = self.now();
                self.ledger.crashes().merge(&reports, now);
            }
            EntryFrame::Share { caller, weight } => {
                for target in self.targets.values_mut() {
                    if !target.queue.set_weight(&caller, weight) {
                        warn!(self.logger, "too many callers have a share of their own"; "caller" => %caller);
                    }
                }
            }
            EntryFrame::DrainSeen => {
                self.links.confirm_drain(link);
                self.check_drained();
            }
            EntryFrame::Ping { nonce } => {
                // A full queue means that the link is busy, which is a sign of life as well.
                let _ = self.links.send(link, &SideFrame::Pong { nonce });
            }
        }
    }
}
