//! Handles the messages of running calls.

use actix::{Context, Handler};
use ebony_ledger::{BufferError, CrashStanding, LedgerError};
use ebony_types::{CallId, CallUsage, RequestDigest, TargetName};
use ebony_wire::SideFrame;

use super::SideActor;
use crate::run::{CrashSuspicion, RunChunk, RunEnded, RunHead, RunKey, RunOutcome, RunStep};

impl Handler<RunHead> for SideActor {
    type Result = bool;

    fn handle(&mut self, message: RunHead, context: &mut Context<Self>) -> bool {
        let RunKey { target, call, .. } = &message.key;
        if !self.is_current(&message.key) {
            return false;
        }
        if let Some(incarnation) = message.incarnation {
            self.check_incarnation(target, *call, incarnation, context);
        }
        if let Some(head) = message.head
            && self.ledger.record_head(*call, head).is_err()
        {
            return false;
        }
        self.deliver(*call, context);
        true
    }
}

impl Handler<RunChunk> for SideActor {
    type Result = RunStep;

    fn handle(&mut self, message: RunChunk, context: &mut Context<Self>) -> RunStep {
        if !self.is_current(&message.key) {
            return RunStep::Ended;
        }
        let call = message.key.call;
        match self.ledger.record_chunk(call, &message.bytes) {
            Ok(_) => {
                self.deliver(call, context);
                RunStep::Taken
            }
            Err(LedgerError::Buffer(BufferError::Full)) => RunStep::Full,
            Err(_) => RunStep::Ended,
        }
    }
}

impl Handler<RunEnded> for SideActor {
    type Result = ();

    fn handle(&mut self, message: RunEnded, context: &mut Context<Self>) {
        let RunEnded { key, outcome } = message;
        if !self.is_current(&key) {
            // The call was cancelled or its target crashed, and its entry has been informed.
            return;
        }
        let RunKey {
            target: name, call, ..
        } = key;
        match outcome {
            RunOutcome::Completed(usage) => self.complete(&name, call, usage, context),
            RunOutcome::Failed { problem, suspicion } => {
                let now = self.now();
                // Fails only if the call has ended, which leaves nothing to record.
                let _ = self.ledger.fail(call, problem, now);
                self.release_slot(&name, call, None, context);
                match suspicion {
                    CrashSuspicion::NotSuspected => self.ledger.record_run_stopped(&name, call),
                    CrashSuspicion::Unconfirmed => self.probe_after_failure(&name, call, context),
                    CrashSuspicion::PortClosed => self.handle_target_down(&name, context),
                }
                self.finish_call(call, context);
            }
        }
        self.schedule(&name, context);
        self.rearm_timer(context);
    }
}

impl SideActor {
    /// Returns `true` if a run is in progress and not being stopped.
    fn is_current(&self, key: &RunKey) -> bool {
        let target = self.targets.get(&key.target);
        let running = target.and_then(|target| target.running.get(&key.call));
        running.is_some_and(|running| running.number == key.number && !running.is_stopping)
    }

    fn complete(&mut self, name: &TargetName, call: CallId, usage: CallUsage, context: &mut Context<Self>) {
        let now = self.now();
        let suspect = self.suspect_digest(call);
        if self.ledger.complete(call, usage, now).is_err() {
            self.ledger.record_run_stopped(name, call);
        }
        self.release_slot(name, call, Some(usage), context);
        if let Some(digest) = suspect {
            // Entries are informed that the completion cleared the request of suspicion.
            let reports = self.ledger.crashes().reports(now);
            let cleared = reports.into_iter().filter(|report| report.digest == digest);
            self.links.broadcast(&SideFrame::Crashes(cleared.collect()));
        }
        self.finish_call(call, context);
    }

    /// Returns the digest of a running call if it is a crash suspect.
    fn suspect_digest(&mut self, call: CallId) -> Option<RequestDigest> {
        let now = self.now();
        let digest = self.ledger.digest(call)?;
        let standing = self.ledger.crashes().standing(digest, now);
        (standing != CrashStanding::Clear).then_some(digest)
    }

    /// Releases the slot of a call that no longer runs.
    pub(super) fn release_slot(
        &mut self,
        name: &TargetName,
        call: CallId,
        usage: Option<CallUsage>,
        context: &mut Context<Self>,
    ) {
        let now = self.now();
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        let Some(running) = target.running.remove(&call) else {
            return;
        };
        let tokens = usage.map_or(0, |usage| u64::from(usage.prompt_tokens + usage.output_tokens));
        if let Some(usage) = usage.filter(|_| running.program.is_some()) {
            let served = u64::from(usage.prompt_tokens.saturating_sub(usage.cached_tokens));
            let actual = ebony_policy::EngineSpeed::default().service_tokens(
                served,
                usage.output_tokens.into(),
                target.open.report.slots,
            );
            target.queue.settle(&running.caller, running.cost_tokens, actual);
        }
        let orders = match (&mut target.engine, running.program) {
            (Some(engine), Some(program)) => engine.held.end_call(program, tokens, now),
            _ => Vec::new(),
        };
        self.order_held(name, orders, context);
    }
}
