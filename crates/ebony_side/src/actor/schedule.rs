//! Starts calls on targets that have a free slot.

use std::rc::Rc;

use actix::{AsyncContext, Context};
use ebony_ledger::StartDecision;
use ebony_policy::QueuedCall;
use ebony_types::{CallKind, TargetName};
use tokio::sync::Notify;

use super::SideActor;
use crate::run::{CallRun, RunKey};
use crate::target::{RunningCall, prompt_tokens};

/// The most held-back calls of a target. While the ledger holds back this many because of a crash suspect, no further
/// calls are tried.
const MAX_HELD_BACK_CALLS: usize = 4;

impl SideActor {
    /// Starts queued calls on a target while it has free slots.
    pub(super) fn schedule(&mut self, name: &TargetName, context: &mut Context<Self>) {
        self.retry_held_back(name, context);
        while let Some(queued) = self.next_queued(name) {
            if !self.try_start(name, queued, context)
                && self
                    .targets
                    .get(name)
                    .is_some_and(|target| target.held_back.len() >= MAX_HELD_BACK_CALLS)
            {
                break;
            }
        }
        self.refuse_expired(name, context);
        self.report_load_change(name);
    }

    fn retry_held_back(&mut self, name: &TargetName, context: &mut Context<Self>) {
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        for queued in std::mem::take(&mut target.held_back) {
            let has_slot = self.targets.get(name).is_some_and(|target| target.has_slot());
            if has_slot {
                self.try_start(name, queued, context);
            } else if let Some(target) = self.targets.get_mut(name) {
                target.held_back.push_back(queued);
            }
        }
    }

    fn next_queued(&mut self, name: &TargetName) -> Option<QueuedCall> {
        let now = self.now();
        let target = self.targets.get_mut(name)?;
        if !target.has_slot() || target.held_back.len() >= MAX_HELD_BACK_CALLS {
            return None;
        }
        let queued = target.queue.pop(now)?;
        if let Some(waiting) = target.waiting.get_mut(&queued.call) {
            waiting.key = None;
        }
        Some(queued)
    }

    /// Starts a call if the ledger permits it. Returns `false` if the call is held back.
    fn try_start(&mut self, name: &TargetName, queued: QueuedCall, context: &mut Context<Self>) -> bool {
        let now = self.now();
        let call = queued.call;
        match self.ledger.start(call, now) {
            Ok(StartDecision::Start) => self.start(name, queued, context),
            Ok(StartDecision::Hold) => {
                if let Some(target) = self.targets.get_mut(name) {
                    target.held_back.push_back(queued);
                }
                return false;
            }
            Ok(StartDecision::Refuse(_)) => {
                self.remove_waiting(name, call);
                self.finish_call(call, context);
            }
            Err(_) => self.remove_waiting(name, call),
        }
        true
    }

    fn remove_waiting(&mut self, name: &TargetName, call: ebony_types::CallId) {
        let now = self.now();
        if let Some(target) = self.targets.get_mut(name) {
            target.remove_waiting(call, now);
        }
    }

    fn start(&mut self, name: &TargetName, queued: QueuedCall, context: &mut Context<Self>) {
        let now = self.now();
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        let Some(waiting) = target.waiting.remove(&queued.call) else {
            return;
        };
        let request = waiting.request;
        let is_model = matches!(request.kind, CallKind::Model { .. });
        let program = request.program.filter(|_| is_model);
        self.runs += 1;
        let number = self.runs;
        let buffer_room = Rc::new(Notify::new());
        let prompt_tokens = prompt_tokens(&request);
        let run = CallRun {
            actor: context.address(),
            key: RunKey {
                target: name.clone(),
                call: queued.call,
                number,
            },
            address: target.open.address,
            adapter: target.open.adapter.clone(),
            request,
            buffer_room: Rc::clone(&buffer_room),
        };
        let orders = match (&mut target.engine, program) {
            (Some(engine), Some(program)) => engine.held.start_call(program, now),
            _ => Vec::new(),
        };
        let task = actix::spawn(run.run());
        let running = RunningCall {
            number,
            abort: task.abort_handle(),
            buffer_room,
            program,
            caller: queued.caller,
            cost_tokens: queued.cost_tokens,
            prompt_tokens,
            is_stopping: false,
        };
        target.running.insert(queued.call, running);
        self.order_held(name, orders, context);
    }
}
