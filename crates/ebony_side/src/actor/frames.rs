//! Dispatches frames from entries to their handlers.

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
            EntryFrame::Credit { call, bytes } => self.grant_credit(call, bytes, context),
            EntryFrame::Resume { call, offset } => self.resume_answer(link, call, offset, context),
            EntryFrame::Settled { call } => self.settle_call(call),
            EntryFrame::Release { program, token } => self.release_program(link, program, token, context),
            EntryFrame::Vouch { programs } => self.renew_leases(&programs),
            EntryFrame::Retain { program, expires_ms } => self.pin_program(program, expires_ms, context),
            EntryFrame::Load(order) => self.order_load(link, order, context),
            EntryFrame::Config(push) => self.accept_config(link, &push),
            EntryFrame::Crashes(reports) => {
                let now = self.now();
                self.ledger.crashes().merge(&reports, now);
            }
            EntryFrame::Share { caller, weight } => {
                for target in self.targets.values_mut() {
                    if !target.queue.set_weight(&caller, weight) {
                        warn!(self.logger, "share weight ignored: too many callers have a custom weight";
                            "caller" => %caller);
                    }
                }
            }
            EntryFrame::DrainSeen => {
                self.links.confirm_drain(link);
                self.check_drained();
            }
            EntryFrame::Ping { nonce } => {
                // A full send queue needs no pong: its frames show the entry that this process is alive.
                let _ = self.links.send(link, &SideFrame::Pong { nonce });
            }
        }
    }
}
