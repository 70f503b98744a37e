//! Message handlers of the dispatcher for other actors.

use actix::{Context, Handler, MessageResult};
use slog::warn;

use super::actor::DispatchActor;
use super::config_push::SideConfig;
use super::crashes::CrashSource;
use super::messages::{
    ConfigPublished, CrashesReported, DrainOutcome, DrainTarget, PlaceCall, ReadCrashes, ReadReadiness,
    ReadTargets, ReleaseProgram, SetCrashRecipient, SettleCall, VouchPrograms,
};
use crate::answer::{CancelCall, CreditGrant};
use ebony_types::ProblemCode;
use ebony_wire::EntryFrame;

impl Handler<PlaceCall> for DispatchActor {
    type Result = ();

    fn handle(&mut self, place: PlaceCall, context: &mut Context<Self>) {
        self.start_call(place, context);
        self.schedule_wakeup(context);
    }
}

impl Handler<CancelCall> for DispatchActor {
    type Result = ();

    fn handle(&mut self, CancelCall { call }: CancelCall, context: &mut Context<Self>) {
        let Some(known) = self.calls.get(call) else { return };
        if known.attempt().is_some() {
            self.cancel_call(call);
        } else {
            self.end_early(call, ProblemCode::Cancelled, "the call was cancelled");
        }
        self.schedule_wakeup(context);
    }
}

impl Handler<CreditGrant> for DispatchActor {
    type Result = ();

    fn handle(&mut self, CreditGrant { call, bytes }: CreditGrant, _: &mut Context<Self>) {
        self.grant_credit(call, bytes);
    }
}

impl Handler<SettleCall> for DispatchActor {
    type Result = ();

    fn handle(&mut self, SettleCall { call, side }: SettleCall, _: &mut Context<Self>) {
        // A side process that is not linked drops the answer when its retention time ends.
        self.sides.send(side, &EntryFrame::Settled { call });
    }
}

impl Handler<ReleaseProgram> for DispatchActor {
    type Result = ();

    fn handle(&mut self, ReleaseProgram { program, token }: ReleaseProgram, context: &mut Context<Self>) {
        self.release_program(program, token);
        self.poll_admission();
        self.schedule_wakeup(context);
    }
}

impl Handler<VouchPrograms> for DispatchActor {
    type Result = ();

    fn handle(&mut self, VouchPrograms { programs }: VouchPrograms, context: &mut Context<Self>) {
        self.vouch_programs(&programs);
        self.poll_admission();
        self.schedule_wakeup(context);
    }
}

impl Handler<ConfigPublished> for DispatchActor {
    type Result = ();

    fn handle(&mut self, ConfigPublished(push): ConfigPublished, _: &mut Context<Self>) {
        let Some(push) = SideConfig::accept(&mut self.config, &push) else {
            warn!(self.options.logger, "ignored a configuration that is malformed or skips a version";
                "version" => push.version);
            return;
        };
        if let Some(config) = &self.config {
            self.apply_values(&config.values());
        }
        self.sides.broadcast(&EntryFrame::Config(push), None);
    }
}

impl Handler<CrashesReported> for DispatchActor {
    type Result = ();

    fn handle(&mut self, CrashesReported(reports): CrashesReported, _: &mut Context<Self>) {
        self.merge_crashes(&reports, CrashSource::Entry);
    }
}

impl Handler<ReadCrashes> for DispatchActor {
    type Result = MessageResult<ReadCrashes>;

    fn handle(&mut self, _: ReadCrashes, _: &mut Context<Self>) -> Self::Result {
        MessageResult(self.crashes.reports(self.now()))
    }
}

impl Handler<SetCrashRecipient> for DispatchActor {
    type Result = ();

    fn handle(&mut self, SetCrashRecipient { crashes }: SetCrashRecipient, _: &mut Context<Self>) {
        self.peers = Some(crashes);
    }
}

impl Handler<DrainTarget> for DispatchActor {
    type Result = DrainOutcome;

    fn handle(&mut self, DrainTarget { target }: DrainTarget, context: &mut Context<Self>) -> DrainOutcome {
        let outcome = self.drain_target(target, context);
        self.schedule_wakeup(context);
        outcome
    }
}

impl Handler<ReadTargets> for DispatchActor {
    type Result = MessageResult<ReadTargets>;

    fn handle(&mut self, _: ReadTargets, _: &mut Context<Self>) -> Self::Result {
        MessageResult(self.target_statuses())
    }
}

impl Handler<ReadReadiness> for DispatchActor {
    type Result = bool;

    /// Returns `true` once the host list has been read and each wanted side process has been dialed at least once.
    fn handle(&mut self, _: ReadReadiness, _: &mut Context<Self>) -> bool {
        let is_tried = |host, was_tried| was_tried || !self.registry.is_wanted(host);
        self.has_hosts
            && self
                .sides
                .iter()
                .all(|(_, side)| is_tried(&side.host, side.was_tried))
    }
}
