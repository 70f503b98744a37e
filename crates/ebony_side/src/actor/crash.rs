//! Detects crashes of targets by a closed port or by an answer with a different incarnation.

use std::rc::Rc;
use std::time::Duration;

use actix::{ActorFutureExt, AsyncContext, Context, WrapFuture};
use ebony_ledger::CrashOutcome;
use ebony_platform::{ProbeOutcome, probe};
use ebony_types::{CallId, ProblemCode, ProblemReport, ProcessIncarnation, TargetName};
use ebony_wire::SideFrame;
use slog::{info, warn};
use tokio::time::sleep;

use super::call_end::cancel_on_engine;
use super::{SideActor, new_incarnation};
use crate::target::TargetAdapter;

/// The delay before the first probe after a broken connection, because a crashed process may close its connections
/// shortly before its port. It doubles with each further probe.
const FIRST_PROBE_DELAY: Duration = Duration::from_millis(25);

/// The number of probes after a broken connection. With the doubling delay they cover 6 seconds.
const MAX_PROBES: u32 = 8;

/// The most failed calls of one target that are probed concurrently. Further failures are not treated as crashes.
const MAX_UNRESOLVED_CALLS: usize = 256;

/// The time between two probes of a target that is down.
const DOWN_PROBE_INTERVAL: Duration = Duration::from_millis(200);

impl SideActor {
    /// Probes a target whose connection broke during a call, until its port is found closed or all probes have been
    /// made.
    pub(super) fn probe_after_failure(
        &mut self,
        name: &TargetName,
        call: CallId,
        context: &mut Context<Self>,
    ) {
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        if target.unresolved.len() >= MAX_UNRESOLVED_CALLS {
            return self.ledger.record_run_stopped(name, call);
        }
        target.unresolved.insert(call);
        let address = target.open.address;
        let probing = async move {
            for attempt in 0..MAX_PROBES {
                sleep(FIRST_PROBE_DELAY * (1 << attempt)).await;
                if probe(address).await == ProbeOutcome::Refused {
                    return true;
                }
            }
            false
        };
        let name = name.clone();
        let probing = probing.into_actor(self).map(move |is_down, actor, context| {
            let target = actor.targets.get_mut(&name);
            if !target.is_some_and(|target| target.unresolved.remove(&call)) {
                // A crash was detected in the meantime.
                return;
            }
            if is_down {
                actor.handle_target_down(&name, context);
            } else {
                actor.ledger.record_run_stopped(&name, call);
                actor.schedule(&name, context);
            }
        });
        context.spawn(probing);
    }

    /// Records a crash if the incarnation in an answer differs from the previous one.
    pub(super) fn check_incarnation(
        &mut self,
        name: &TargetName,
        call: CallId,
        incarnation: ProcessIncarnation,
        context: &mut Context<Self>,
    ) {
        let now = self.now();
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        let before = target.incarnation.replace(incarnation);
        if before.is_none_or(|before| before == incarnation) {
            return;
        }
        let first = self.ledger.first_call(call).unwrap_or(call);
        let outcome = self.ledger.target_restarted(name, new_incarnation(), first, now);
        self.apply_crash(name, outcome, Some(first), context);
        self.list_held(context);
    }

    /// Handles the closed port of a target as a crash. Its queued calls are refused as not run, so that entries
    /// send them to other targets.
    pub(super) fn handle_target_down(&mut self, name: &TargetName, context: &mut Context<Self>) {
        let now = self.now();
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        if std::mem::replace(&mut target.is_down, true) {
            return;
        }
        target.incarnation = None;
        let outcome = self.ledger.target_crashed(name, new_incarnation(), now);
        self.apply_crash(name, outcome, None, context);
        self.refuse_queued(name, context);
        self.probe_until_up(name, context);
    }

    fn apply_crash(
        &mut self,
        name: &TargetName,
        outcome: Option<CrashOutcome>,
        survivor: Option<CallId>,
        context: &mut Context<Self>,
    ) {
        let retention = self.options.retention();
        let now = self.now();
        let (Some(outcome), Some(target)) = (outcome, self.targets.get_mut(name)) else {
            return;
        };
        warn!(self.logger, "target crashed"; "target" => %name, "failed_calls" => outcome.failed.len());
        self.metrics.crashes.with_label_values(&[name.as_str()]).inc();
        target.unresolved.clear();
        let mut aborted = Vec::new();
        target.running.retain(|call, running| {
            let survives = Some(*call) == survivor;
            if !survives {
                running.abort.abort();
                aborted.push(*call);
            }
            survives
        });
        if let Some(engine) = &mut target.engine {
            engine.reset_after_crash(retention);
            for running in target.running.values() {
                running
                    .program
                    .map(|program| engine.held.start_call(program, now));
            }
        }
        if let (Some(_), TargetAdapter::Engine(engine)) = (survivor, target.open.adapter.clone()) {
            // A call that the restarted engine runs and has not yet answered would otherwise keep running unused.
            for call in aborted {
                let cancelling = cancel_on_engine(Rc::clone(&engine), call, self.logger.clone());
                context.spawn(cancelling.into_actor(self));
            }
        }
        for call in &outcome.failed {
            self.finish_call(*call, context);
        }
        let reports = self.ledger.crashes().reports(now).into_iter();
        let reports: Vec<_> = reports
            .filter(|report| outcome.suspects.contains(&report.digest))
            .collect();
        if !reports.is_empty() {
            self.links.broadcast(&SideFrame::Crashes(reports));
        }
    }

    fn refuse_queued(&mut self, name: &TargetName, context: &mut Context<Self>) {
        let now = self.now();
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        let waiting: Vec<CallId> = target.waiting.keys().copied().collect();
        for call in &waiting {
            target.remove_waiting(*call, now);
        }
        for call in waiting {
            let problem = ProblemReport::not_run(ProblemCode::TargetFailed, "the target crashed");
            // Fails only if the call has ended, which leaves nothing to record.
            let _ = self.ledger.fail(call, problem.retry_after(1), now);
            self.finish_call(call, context);
        }
    }

    /// Probes the target until its port is open again.
    fn probe_until_up(&mut self, name: &TargetName, context: &mut Context<Self>) {
        let Some(target) = self.targets.get(name) else {
            return;
        };
        let address = target.open.address;
        let name = name.clone();
        let probing = async move {
            sleep(DOWN_PROBE_INTERVAL).await;
            probe(address).await
        };
        let probing = probing.into_actor(self).map(move |outcome, actor, context| {
            if outcome != ProbeOutcome::Open {
                return actor.probe_until_up(&name, context);
            }
            info!(actor.logger, "target accepts connections again"; "target" => %name);
            if let Some(target) = actor.targets.get_mut(&name) {
                target.is_down = false;
            }
            actor.list_held(context);
        });
        context.spawn(probing);
    }
}
