//! Ends calls: cancellation and the steps that follow the end of any call.

use std::rc::Rc;
use std::time::Duration;

use actix::{ActorFutureExt, AsyncContext, Context, WrapFuture};
use ebony_ledger::{AnswerOutcome, CancelDecision};
use ebony_platform::EngineTarget;
use ebony_types::{CallId, ProblemCode, TargetName};
use slog::{Logger, info, warn};
use tokio::time::sleep;

use super::SideActor;
use crate::links::LinkKey;
use crate::target::TargetAdapter;

/// The most attempts to cancel a call on an engine.
const MAX_CANCEL_ATTEMPTS: u32 = 6;

/// The delay before the second attempt; it doubles with each further one.
const CANCEL_BACKOFF: Duration = Duration::from_millis(50);

impl SideActor {
    /// Cancels a call at the request of its entry.
    pub(super) fn cancel(&mut self, link: LinkKey, call: CallId, context: &mut Context<Self>) {
        self.end_early(Some(link), call, ProblemCode::Cancelled, context);
    }

    /// Ends a call before its answer is complete, and cancels its run if there is one.
    pub(super) fn end_early(
        &mut self,
        link: Option<LinkKey>,
        call: CallId,
        cause: ProblemCode,
        context: &mut Context<Self>,
    ) {
        let now = self.now();
        let target = self.ledger.target(call).cloned();
        // The queue holds attached calls under the identifier of the call that was admitted first.
        let first = self.ledger.first_call(call).unwrap_or(call);
        self.deadlines.remove(call);
        match self.ledger.cancel(call, cause, now) {
            CancelDecision::Dequeue(problem) => {
                if let Some(target) = target {
                    self.dequeue(&target, first, context);
                }
                self.fail_delivery(call, link, problem);
            }
            CancelDecision::Interrupt {
                target, call: first, ..
            } => {
                self.finish_call(call, context);
                self.stop_run(&target, first, context);
            }
            CancelDecision::Detach(problem) => self.fail_delivery(call, link, problem),
            CancelDecision::Unknown(problem) => {
                if let Some(link) = link {
                    self.send_failure(link, call, problem);
                }
            }
            CancelDecision::Ended => {}
        }
        self.check_drained();
    }

    fn dequeue(&mut self, name: &TargetName, call: CallId, context: &mut Context<Self>) {
        let now = self.now();
        if let Some(target) = self.targets.get_mut(name) {
            target.remove_waiting(call, now);
        }
        self.schedule(name, context);
    }

    /// Stops the run of a call. For an engine, cancellation is retried until confirmed or attempts run out; for a plain
    /// service, the connection is closed.
    fn stop_run(&mut self, name: &TargetName, call: CallId, context: &mut Context<Self>) {
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        let Some(running) = target.running.get_mut(&call) else {
            return;
        };
        running.abort.abort();
        running.is_stopping = true;
        let TargetAdapter::Engine(engine) = target.open.adapter.clone() else {
            return self.finish_cancelled_run(name, call, context);
        };
        let name = name.clone();
        let cancelling = cancel_on_engine(engine, call, self.logger.clone());
        let cancelling = cancelling.into_actor(self).map(move |(), actor, context| {
            actor.finish_cancelled_run(&name, call, context);
        });
        context.spawn(cancelling);
    }

    fn finish_cancelled_run(&mut self, name: &TargetName, call: CallId, context: &mut Context<Self>) {
        let is_still_running = self
            .targets
            .get(name)
            .is_some_and(|target| target.running.contains_key(&call));
        if !is_still_running {
            // The target crashed in the meantime.
            return;
        }
        self.ledger.record_run_stopped(name, call);
        self.release_slot(name, call, None, context);
        self.schedule(name, context);
        self.rearm_timer(context);
    }

    /// Sends the end of a call's answer, and logs and counts the outcome.
    pub(super) fn finish_call(&mut self, call: CallId, context: &mut Context<Self>) {
        match self.ledger.buffer(call).and_then(|buffer| buffer.outcome()) {
            Some(AnswerOutcome::Complete(usage)) => {
                self.metrics.count_answered();
                info!(self.logger, "call answered"; "call" => %call, "output_tokens" => usage.output_tokens);
            }
            Some(AnswerOutcome::Failed(problem)) => {
                self.metrics.count_failed(problem.run);
                info!(self.logger, "call failed"; "call" => %call, "code" => problem.code.as_str(),
                    "run" => problem.run.as_str());
            }
            None => {}
        }
        for attached in self.ledger.attached(call).to_vec() {
            self.deadlines.remove(attached);
        }
        self.deliver(call, context);
        self.check_drained();
    }
}

/// Cancels a call on an engine with up to [`MAX_CANCEL_ATTEMPTS`] attempts.
pub(super) async fn cancel_on_engine(engine: Rc<dyn EngineTarget>, call: CallId, logger: Logger) {
    for attempt in 0..MAX_CANCEL_ATTEMPTS {
        if engine.cancel(call).await.is_ok() {
            return;
        }
        sleep(CANCEL_BACKOFF * (1 << attempt)).await;
    }
    warn!(logger, "engine did not confirm the cancellation of a call"; "call" => %call);
}
