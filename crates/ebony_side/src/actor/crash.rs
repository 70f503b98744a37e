//! Detects crashes of targets: a closed port, or an answer of another incarnation.

use std::rc::Rc;
use std::time::Duration;

use actix::{ActorFutureExt, AsyncContext, Context, WrapFuture};
use ebony_ledger::CrashOutcome;
use ebony_platform::{ProbeOutcome, probe};
use ebony_types::{CallId, ProblemCode, ProblemReport, ProcessIncarnation, TargetName};
use ebony_wire::SideFrame;
use slog::{info, warn};
use tokio::time::sleep;

use super::ending::cancel_on;
use super::{SideActor, new_life};
use crate::target::TargetAdapter;

/// The wait before the first probe after a broken connection. A crashed process may close its connections a moment
/// before its port.
const FIRST_PROBE: Duration = Duration::from_millis(25);

/// Probes after a broken connection; the wait doubles with each, so that they cover 6 seconds.
const MAX_PROBES: u32 = 8;

/// Failed calls of one target that are watched at once. Further ones count as no crash.
const MAX_UNRESOLVED: usize = 256;

/// The time between two looks at a target that is down.
const DOWN_PROBE: Duration = Duration::from_millis(200);

impl SideActor {
    /// Probes a target whose connection broke during a call, until its state is known or the probes are used up.
    pub(super) fn watch_unresolved(&mut self, name: &TargetName, call: CallId, context: &mut Context<Self>) {
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        if target.unresolved.len() >= MAX_UNRESOLVED {
            return self.ledger.stopped(name, call);
        }
        target.unresolved.insert(call);
        let address = target.open.address;
        let probing = async move {
            for attempt in 0..MAX_PROBES {
                sleep(FIRST_PROBE * (1 << attempt)).await;
                if probe(address).await == ProbeOutcome::Refused {
                    return true;
                }
            }
            false
        };
        let name = name.clone();
        let probing = probing.into_actor(self).map(move |is_gone, actor, context| {
            let target = actor.targets.get_mut(&name);
            if !target.is_some_and(|target| target.unresolved.remove(&call)) {
                // A crash was noted meanwhile.
                return;
            }
            if is_gone {
                actor.target_gone(&name, context);
            } else {
                actor.ledger.stopped(&name, call);
                actor.schedule(&name, context);
            }
        });
        context.spawn(probing);
    }

    /// Compares the incarnation in an answer with the one before.
    pub(super) fn see_life(
        &mut self,
        name: &TargetName,
        call: CallId,
        life: ProcessIncarnation,
        context: &mut Context<Self>,
    ) {
        let now = self.now();
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        let before = target.incarnation.replace(life);
        if before.is_none_or(|before| before == life) {
            return;
        }
        let first = self.ledger.first_call(call).unwrap_or(call);
        let outcome = self.ledger.target_restarted(name, new_life(), first, now);
        self.apply_crash(name, outcome, Some(first), context);
        self.list_held(context);
    }

    /// Notes that a target's port is closed. Its queued calls are refused as not run, so that entries send them
    /// elsewhere.
    pub(super) fn target_gone(&mut self, name: &TargetName, context: &mut Context<Self>) {
        let now = self.now();
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        if std::mem::replace(&mut target.is_down, true) {
            return;
        }
        target.incarnation = None;
        let outcome = self.ledger.target_crashed(name, new_life(), now);
        self.apply_crash(name, outcome, None, context);
        self.refuse_queued(name, context);
        self.watch_down(name, context);
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
            // A call that started in the present life without an answer yet would run on for nobody.
            for call in aborted {
                let cancelling = cancel_on(Rc::clone(&engine), call, self.logger.clone());
                context.spawn(cancelling.into_actor(self));
            }
        }
        for call in &outcome.failed {
            self.finish(*call, context);
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
            self.finish(call, context);
        }
    }

    /// Looks until the target's port is open again.
    fn watch_down(&mut self, name: &TargetName, context: &mut Context<Self>) {
        let Some(target) = self.targets.get(name) else {
            return;
        };
        let address = target.open.address;
        let name = name.clone();
        let looking = async move {
            sleep(DOWN_PROBE).await;
            probe(address).await
        };
        let looking = looking.into_actor(self).map(move |outcome, actor, context| {
            if outcome != ProbeOutcome::Open {
                return actor.watch_down(&name, context);
            }
            info!(actor.logger, "target is back"; "target" => %name);
            if let Some(target) = actor.targets.get_mut(&name) {
                target.is_down = false;
            }
            actor.list_held(context);
        });
        context.spawn(looking);
    }
}
