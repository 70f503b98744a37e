//! Ends calls whose deadline has passed, with a single timer for all calls.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use actix::{AsyncContext, Context, SpawnHandle};
use ebony_types::{CallId, ClockTime, ProblemCode, ProblemReport, TargetName};

use super::SideActor;

/// The shortest delay of the timer. Deadlines within this time are processed together.
const MIN_TIMER_DELAY: Duration = Duration::from_millis(1);

/// Deadlines of open calls. A call is removed when it ends.
#[derive(Default)]
pub(super) struct DeadlineTable {
    by_time: BTreeSet<(ClockTime, CallId)>,
    by_call: HashMap<CallId, ClockTime>,
    timer: Option<(ClockTime, SpawnHandle)>,
}

impl DeadlineTable {
    pub(super) fn insert(&mut self, call: CallId, deadline: ClockTime) {
        self.remove(call);
        self.by_time.insert((deadline, call));
        self.by_call.insert(call, deadline);
    }

    pub(super) fn remove(&mut self, call: CallId) {
        if let Some(deadline) = self.by_call.remove(&call) {
            self.by_time.remove(&(deadline, call));
        }
    }

    fn pop_due(&mut self, now: ClockTime) -> Option<CallId> {
        let (deadline, call) = self.by_time.first().copied()?;
        if deadline > now {
            return None;
        }
        self.remove(call);
        Some(call)
    }
}

impl SideActor {
    /// Sets the timer to the earliest deadline of a call, a queue or a held program.
    pub(super) fn rearm_timer(&mut self, context: &mut Context<Self>) {
        let Some(due) = self.next_due() else { return };
        if let Some((armed, handle)) = self.deadlines.timer {
            if armed <= due {
                return;
            }
            context.cancel_future(handle);
        }
        let wait = due.since(self.now()).max(MIN_TIMER_DELAY);
        let handle = context.run_later(wait, |actor, context| {
            actor.deadlines.timer = None;
            actor.process_due(context);
            actor.rearm_timer(context);
        });
        self.deadlines.timer = Some((due, handle));
    }

    fn next_due(&self) -> Option<ClockTime> {
        let call = self.deadlines.by_time.first().map(|(deadline, _)| *deadline);
        let queues = self.targets.values().map(|target| target.queue.next_deadline());
        let held = self.targets.values().map(|target| {
            let engine = target.engine.as_ref()?;
            engine.held.next_poll()
        });
        queues.chain(held).chain([call]).flatten().min()
    }

    fn process_due(&mut self, context: &mut Context<Self>) {
        let now = self.now();
        while let Some(call) = self.deadlines.pop_due(now) {
            self.end_early(None, call, ProblemCode::DeadlineExceeded, context);
        }
        let names: Vec<TargetName> = self.targets.keys().cloned().collect();
        for name in names {
            self.refuse_expired(&name, context);
            self.poll_held(&name, context);
        }
    }

    /// Refuses calls that waited in the queue past their deadline or for longer than the configuration allows.
    pub(super) fn refuse_expired(&mut self, name: &TargetName, context: &mut Context<Self>) {
        let now = self.now();
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        let retry_seconds = target.queue.retry_after_seconds();
        for expired in target.queue.take_expired(now) {
            let call = expired.call;
            if let Some(target) = self.targets.get_mut(name) {
                target.waiting.remove(&call);
            }
            let is_past_deadline = self
                .deadlines
                .by_call
                .get(&call)
                .is_some_and(|deadline| *deadline <= now);
            let code = match is_past_deadline {
                true => ProblemCode::DeadlineExceeded,
                false => ProblemCode::Overloaded,
            };
            let problem = ProblemReport::not_run(code, "the call waited too long for its target");
            // Fails only if the call has ended, which leaves nothing to record.
            let _ = self.ledger.fail(call, problem.retry_after(retry_seconds), now);
            self.finish_call(call, context);
        }
    }
}
