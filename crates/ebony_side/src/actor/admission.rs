//! Admits calls to the queues of their targets, or refuses them with an accurate run verdict.

use std::time::Duration;

use actix::Context;
use ebony_ledger::LedgerDecision;
use ebony_policy::{EngineSpeed, QueuedCall};
use ebony_types::{CallId, CallKind, CallRequest, ProblemCode, ProblemReport, ProgramId, ShardKey};
use ebony_wire::{AnswerFrame, DispatchOrder, SideFrame};
use slog::{debug, info};

use super::SideActor;
use crate::links::LinkKey;
use crate::target::WaitingCall;

/// The cost of a plain service call that is charged to its caller's share. Services report no cost; the value
/// corresponds to a short model call.
const SERVICE_CALL_COST_TOKENS: u64 = 500;

/// The `Retry-After` of refusals because a target is down or the process is draining: a restarted target, or the
/// successor of this process, may accept calls by then.
const RETRY_AFTER_SECONDS: u32 = 1;

impl SideActor {
    pub(super) fn admit(&mut self, link: LinkKey, order: DispatchOrder, context: &mut Context<Self>) {
        let now = self.now();
        let call = order.request.call;
        let timeout = Duration::from_millis(u64::from(order.request.timeout_ms));
        match self.ledger.admit(&order, now) {
            LedgerDecision::Run => {
                debug!(self.logger, "call admitted"; "call" => %call, "caller" => %order.request.caller,
                    "program" => order.request.program.map(|program| program.to_string()));
                self.enqueue(link, order, context);
            }
            LedgerDecision::Attach { call: first } => {
                debug!(self.logger, "call attached"; "call" => %call, "first" => %first);
                self.deliveries.open(call, link);
                self.deadlines.insert(call, now + timeout);
                self.deliver(call, context);
            }
            LedgerDecision::Replay { call: first } => {
                debug!(self.logger, "stored answer replayed"; "call" => %call, "first" => %first);
                self.deliveries.open(call, link);
                self.deliver(call, context);
            }
            LedgerDecision::Refuse(problem) => self.send_failure(link, call, problem),
            LedgerDecision::Fenced { highest, problem } => {
                let shard = order.request.program.map_or(ShardKey(0), ProgramId::shard);
                self.metrics.fenced.inc();
                info!(self.logger, "order with a stale fencing token refused"; "call" => %call,
                    "shard" => %shard);
                // If this frame is lost, the failure sent next still informs the sender of the call.
                let _ = self.links.send(link, &SideFrame::Fenced { shard, highest });
                self.send_failure(link, call, problem);
            }
        }
    }

    fn enqueue(&mut self, link: LinkKey, order: DispatchOrder, context: &mut Context<Self>) {
        let now = self.now();
        let call = order.request.call;
        let timeout = Duration::from_millis(u64::from(order.request.timeout_ms));
        if let Err(problem) = self.push(&order) {
            // The ledger adjusts the verdict for earlier attempts of the call.
            let problem = self.ledger.fail(call, problem.clone(), now).unwrap_or(problem);
            if problem.run.is_safe_to_retry() {
                // Not kept in the ledger, where refusals during an overload would evict stored answers.
                self.ledger.settled(call);
            }
            return self.send_failure(link, call, problem);
        }
        self.deliveries.open(call, link);
        self.deadlines.insert(call, now + timeout);
        self.deliver(call, context);
        self.schedule(&order.target, context);
    }

    /// Puts a call into the queue of its target.
    fn push(&mut self, order: &DispatchOrder) -> Result<(), ProblemReport> {
        let now = self.now();
        if self.drain.is_draining() {
            let problem = ProblemReport::not_run(ProblemCode::Draining, "the side process is stopping");
            return Err(problem.retry_after(RETRY_AFTER_SECONDS));
        }
        let program = order.request.program;
        let queue_time = self.config.queue_time(&order.request, &order.target);
        let target = self.targets.get_mut(&order.target);
        let (Some(target), Some(program)) = (target, program) else {
            let detail = "no such target beside this process";
            return Err(ProblemReport::not_run(ProblemCode::NoTarget, detail));
        };
        if target.is_down {
            let problem = ProblemReport::not_run(ProblemCode::NoTarget, "the target is down");
            return Err(problem.retry_after(RETRY_AFTER_SECONDS));
        }
        let timeout = Duration::from_millis(u64::from(order.request.timeout_ms));
        let queued = QueuedCall {
            call: order.request.call,
            program,
            caller: order.request.caller.clone(),
            rank: order.rank,
            cost_tokens: cost_tokens(&order.request, target.open.report.slots),
            deadline: now + timeout.min(queue_time),
        };
        let key = target.queue.push(queued, now)?;
        let waiting = WaitingCall {
            key: Some(key),
            request: order.request.clone(),
        };
        target.waiting.insert(order.request.call, waiting);
        Ok(())
    }

    /// Reports the failure of a call that has no answer.
    pub(super) fn send_failure(&mut self, link: LinkKey, call: CallId, problem: ProblemReport) {
        self.metrics.count_failed(problem.run);
        info!(self.logger, "call refused"; "call" => %call, "code" => problem.code.as_str(),
            "run" => problem.run.as_str());
        // If the link is lost or full, the entry sends a resume or abandons the call at its deadline.
        let _ = self
            .links
            .send(link, &SideFrame::Answer(AnswerFrame::Failed { call, problem }));
    }
}

fn cost_tokens(request: &CallRequest, slots: u32) -> u64 {
    match request.kind {
        CallKind::Model {
            prompt_tokens,
            max_output_tokens,
            ..
        } => EngineSpeed::default().service_tokens(prompt_tokens.into(), max_output_tokens.into(), slots),
        CallKind::Service { .. } => SERVICE_CALL_COST_TOKENS,
    }
}
