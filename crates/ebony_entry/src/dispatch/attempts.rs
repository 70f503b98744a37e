//! The lifecycle of a call: admission, placement, attempts and retries.

use std::time::Duration;

use actix::{AsyncContext, Context};
use ebony_policy::retry::RetryDecision;
use ebony_types::{CallId, ClockTime, ProblemCode, ProblemReport, RunVerdict};
use ebony_wire::EntryFrame;
use slog::{debug, info};

use super::actor::DispatchActor;
use super::admission::AdmissionStep;
use super::call::{CallAttempt, CallStage, DispatchedCall};
use super::call_table::MAX_CALLS;
use super::messages::{CallEnded, CallPlaced, FinishedAnswer, PlaceCall};
use super::picker::{PickedTarget, PlacementWork};
use crate::answer::CreditGrant;

/// The maximum wait for a target. It is long enough for a restarted side process to be linked again.
const TARGET_WAIT: Duration = Duration::from_secs(5);

/// The `Retry-After`, in seconds, of a call refused because there was no target or no room in the call table.
const RETRY_AFTER_SECONDS: u32 = 1;

impl DispatchActor {
    /// Starts a call that the owner submitted.
    pub(super) fn start_call(&mut self, place: PlaceCall, context: &mut Context<Self>) {
        let now = self.now();
        let id = place.request.call;
        let Some(program) = place.request.program else {
            let problem = ProblemReport::not_run(ProblemCode::Internal, "the call has no program");
            return self.refuse(id, problem);
        };
        if self.calls.contains(id) {
            slog::error!(self.options.logger, "ignored a call that is already in progress"; "call" => %id);
            return;
        }
        let timeout = Duration::from_millis(u64::from(place.request.timeout_ms));
        let call = DispatchedCall::new(place, program, now, now + timeout);
        if let Some(problem) = self.refusal_of(&call, now) {
            return self.refuse(id, problem);
        }
        let step = self.admission.arrive(&call.place, program, call.deadline, now);
        if let AdmissionStep::Refuse(problem) = step {
            return self.refuse(id, problem);
        }
        let caller = &call.place.request.caller;
        let start = self.programs.start_call(program, caller, now);
        if let Some(pause) = start.pause {
            self.retention.observe(caller, pause);
        }
        if let Some(evicted) = start.evicted {
            self.admission.finish(evicted, now);
        }
        let credit = context.address().recipient::<CreditGrant>();
        call.place.pipe.set_credit(credit);
        match step {
            AdmissionStep::Wait => self.calls.insert(call),
            AdmissionStep::Admit | AdmissionStep::Refuse(_) => self.place_call(call),
        }
    }

    fn refusal_of(&self, call: &DispatchedCall, now: ClockTime) -> Option<ProblemReport> {
        if self.calls.len() >= MAX_CALLS {
            let problem = ProblemReport::not_run(ProblemCode::Overloaded, "too many calls are under way");
            return Some(problem.retry_after(RETRY_AFTER_SECONDS));
        }
        self.crashes.refusal(call, now)
    }

    /// Places or refuses the calls for which the admission controller has decided.
    pub(super) fn poll_admission(&mut self) {
        for (id, step) in self.admission.poll(self.now()) {
            let Some(call) = self.calls.take(id) else { continue };
            match step {
                AdmissionStep::Refuse(problem) => self.end(call, Err(problem)),
                AdmissionStep::Admit | AdmissionStep::Wait => self.place_call(call),
            }
        }
    }

    /// Sends a call to a target, or queues it until one is available.
    pub(super) fn place_call(&mut self, call: DispatchedCall) {
        let now = self.now();
        // The request may have crashed another target since it arrived.
        if let Some(problem) = self.crashes.refusal(&call, now) {
            return self.end(call, Err(problem));
        }
        let work = PlacementWork {
            kind: &call.place.request.kind,
            program: call.program,
            last_target: self
                .programs
                .get(call.program)
                .and_then(|record| record.last_target.as_ref()),
            avoided: &call.avoided,
        };
        match self.picker.pick(&work, &self.registry, now, &mut self.rng) {
            Some(picked) => self.dispatch(call, picked),
            None => self.wait_for_target(call),
        }
    }

    fn wait_for_target(&mut self, mut call: DispatchedCall) {
        let now = self.now();
        let may_come = match &call.last_problem {
            // A target that refused the call because it is draining is about to be replaced.
            Some(problem) => matches!(problem.code, ProblemCode::Draining | ProblemCode::NoTarget),
            None => true,
        };
        let until = match call.stage {
            CallStage::Target { until } => until,
            _ => now + TARGET_WAIT,
        };
        if may_come && until > now && self.calls.has_wait_room() {
            call.stage = CallStage::Target { until };
            return self.calls.insert(call);
        }
        self.end_without_target(call);
    }

    fn end_without_target(&mut self, call: DispatchedCall) {
        let no_target = || {
            let detail = "no target serves the request at present";
            ProblemReport::not_run(ProblemCode::NoTarget, detail).retry_after(RETRY_AFTER_SECONDS)
        };
        let problem = call.last_problem.clone().unwrap_or_else(no_target);
        self.end(call, Err(problem));
    }

    /// Retries the placement of calls that wait for a target.
    pub(super) fn retry_waiting(&mut self) {
        for id in self.calls.waiting() {
            if let Some(call) = self.calls.take(id) {
                self.place_call(call);
            }
        }
    }

    fn dispatch(&mut self, mut call: DispatchedCall, picked: PickedTarget) {
        let now = self.now();
        let id = call.id();
        let is_first = call.attempts == 0;
        let order = call.order(picked.name.clone());
        let side = self.sides.get_or_insert(&picked.host);
        self.count_attempt(&call, is_first, now);
        let (_, output_tokens) = self.picker.token_counts(&order.request.kind);
        self.picker.record_dispatch(&picked, output_tokens, now);
        if let Some(loader) = &mut self.loader {
            let (domain, kind) = (&self.options.domain, &order.request.kind);
            loader.record_dispatch(domain, kind, &picked, output_tokens, now);
        }
        self.programs
            .record_placement(call.program, &picked.host, &picked.name);
        if let Some(record) = self.sides.get_mut(side) {
            record.open_calls += 1;
        }
        debug!(self.options.logger, "call dispatched"; "call" => %id, "program" => %call.program,
            "caller" => %call.place.request.caller, "target" => %picked.name, "attempt" => call.attempts + 1);
        self.options.placed.do_send(CallPlaced {
            call: id,
            target: picked.name.clone(),
        });
        call.start(CallAttempt {
            side,
            picked,
            sent_at: now,
            first_part: None,
        });
        self.calls.insert(call);
        if !self.sides.send(side, &EntryFrame::Dispatch(Box::new(order))) {
            let detail = "the link to the target takes no call";
            self.fail_attempt(id, ProblemReport::not_run(ProblemCode::NoTarget, detail));
        }
    }

    fn count_attempt(&mut self, call: &DispatchedCall, is_first: bool, now: ClockTime) {
        let metrics = &self.options.metrics;
        let kind = if is_first { "first" } else { "retry" };
        metrics.attempts.with_label_values(&[kind]).inc();
        if is_first {
            self.budget.record_first(now);
            let waited = now.since(call.arrived);
            self.options.metrics.placement.observe(waited.as_secs_f64());
        }
    }

    /// Handles a failed attempt: retries the call if that is safe and within the budget, otherwise ends it.
    pub(super) fn fail_attempt(&mut self, id: CallId, problem: ProblemReport) {
        let Some(mut call) = self.calls.take(id) else {
            return;
        };
        let now = self.now();
        call.fail(&problem);
        self.record_attempt_end(&call, now);
        if now < call.deadline && is_retryable(&problem) && call.may_retry(problem.run) {
            // `may_retry` has checked that the call has not run or may safely run twice.
            let verdict = RunVerdict::NotRun;
            match self.budget.decide(verdict, call.attempts, now, &mut self.rng) {
                RetryDecision::After(wait) => {
                    call.stage = CallStage::Backoff { until: now + wait };
                    return self.calls.insert(call);
                }
                RetryDecision::BudgetSpent => self.options.metrics.retries_refused.inc(),
                RetryDecision::AttemptsSpent | RetryDecision::MayHaveRun => {}
            }
        }
        self.end(call, Err(problem));
    }

    /// Removes the call's current attempt from the load of its target and side process.
    pub(super) fn record_attempt_end(&mut self, call: &DispatchedCall, now: ClockTime) {
        let Some(attempt) = call.attempt() else { return };
        self.picker.record_end(attempt.picked.key, now);
        if let Some(record) = self.sides.get_mut(attempt.side) {
            record.open_calls = record.open_calls.saturating_sub(1);
            record.last_used = now;
        }
    }

    /// Ends a call without an answer of a side process: at its deadline, or because it was cancelled while not at a
    /// target or while the link was down.
    pub(super) fn end_early(&mut self, id: CallId, code: ProblemCode, detail: &'static str) {
        let Some(call) = self.calls.take(id) else { return };
        let now = self.now();
        self.record_attempt_end(&call, now);
        if let Some(attempt) = call.attempt()
            && let Some(record) = self.sides.get_mut(attempt.side)
        {
            record.cancel(id);
        }
        let problem = call.early_end_problem(code, detail);
        self.end(call, Err(problem));
    }

    /// Handles all timers that are due.
    pub(super) fn run_timers(&mut self) {
        let now = self.now();
        for id in self.calls.due(now) {
            let Some(call) = self.calls.get(id) else { continue };
            if now >= call.deadline {
                let detail = "the call did not end before its deadline";
                self.end_early(id, ProblemCode::DeadlineExceeded, detail);
                continue;
            }
            let is_waiting = matches!(call.stage, CallStage::Target { .. });
            let Some(call) = self.calls.take(id) else { continue };
            if is_waiting {
                self.end_without_target(call);
            } else {
                self.place_call(call);
            }
        }
    }

    /// Reports the outcome of a call to the owner. The call must already be removed from the table.
    pub(super) fn end(&mut self, call: DispatchedCall, outcome: Result<FinishedAnswer, ProblemReport>) {
        let id = call.id();
        let now = self.now();
        if matches!(call.stage, CallStage::Admission) {
            self.admission
                .withdraw(id, call.program, &call.place.request.caller);
        }
        let outcome = outcome.map_err(|problem| call.verdict_on(problem));
        let is_model = matches!(call.place.request.kind, ebony_types::CallKind::Model { .. });
        let history = outcome
            .as_ref()
            .ok()
            .filter(|_| is_model)
            .map(|answer| u64::from(answer.usage.prompt_tokens) + u64::from(answer.usage.output_tokens));
        self.programs.end_call(call.program, history, now);
        if outcome.is_ok() {
            debug!(self.options.logger, "call finished"; "call" => %id, "program" => %call.program,
                "caller" => %call.place.request.caller, "attempts" => call.attempts);
        }
        if let Err(problem) = &outcome {
            info!(self.options.logger, "call failed"; "call" => %id, "program" => %call.program,
                "caller" => %call.place.request.caller, "attempts" => call.attempts,
                "code" => problem.code.as_str(), "run" => problem.run.as_str());
        }
        self.send_end(CallEnded {
            call: id,
            was_placed: call.attempts > 0,
            outcome,
        });
    }

    /// Refuses a call that is not in the table.
    fn refuse(&self, call: CallId, problem: ProblemReport) {
        debug!(self.options.logger, "call refused"; "call" => %call, "code" => problem.code.as_str());
        self.send_end(CallEnded {
            call,
            was_placed: false,
            outcome: Err(problem),
        });
    }

    fn send_end(&self, ended: CallEnded) {
        let outcome = match &ended.outcome {
            Ok(_) => "finished",
            Err(problem) => problem.code.as_str(),
        };
        self.options.metrics.ends.with_label_values(&[outcome]).inc();
        self.options.ended.do_send(ended);
    }
}

/// Returns `true` if the call may succeed on another target.
fn is_retryable(problem: &ProblemReport) -> bool {
    matches!(
        problem.code,
        ProblemCode::NoTarget | ProblemCode::Draining | ProblemCode::Overloaded | ProblemCode::TargetFailed
    )
}
