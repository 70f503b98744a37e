//! Sends orders to engines, one at a time per engine.

use std::rc::Rc;

use actix::{ActorFutureExt, AsyncContext, Context, WrapFuture};
use ebony_ledger::FenceError;
use ebony_platform::{EngineOrder, EngineTarget, HeldProgram, PlatformError};
use ebony_policy::HeldOrder;
use ebony_types::{FencingToken, ShardKey, TargetName};
use ebony_wire::{LoadOrder, SideFrame};
use slog::{info, warn};

use super::SideActor;
use crate::links::LinkKey;
use crate::target::{EngineJob, EngineState};

/// An engine's reply to a job.
enum JobReply {
    Ordered,
    Listed(Vec<HeldProgram>),
}

/// The result of an order.
type Result<T, E = PlatformError> = std::result::Result<T, E>;

impl SideActor {
    pub(super) fn engine_names(&self) -> Vec<TargetName> {
        let engines = self.targets.iter().filter(|(_, target)| target.engine.is_some());
        engines.map(|(name, _)| name.clone()).collect()
    }

    pub(super) fn engine_mut(&mut self, name: &TargetName) -> Option<&mut EngineState> {
        self.targets.get_mut(name)?.engine.as_mut()
    }

    /// Queues an entry's order to load or unload a model.
    pub(super) fn order_load(&mut self, link: LinkKey, order: LoadOrder, context: &mut Context<Self>) {
        let name = order.target.clone();
        let Some(engine) = self.engine_mut(&name) else {
            warn!(self.logger, "load order ignored: unknown engine"; "target" => %name);
            return;
        };
        if !engine.push(EngineJob::Load(link, order)) {
            warn!(self.logger, "load order dropped: engine order queue is full"; "target" => %name);
        }
        self.start_next_job(&name, context);
    }

    /// Starts the next queued job of an engine if none is in progress.
    pub(super) fn start_next_job(&mut self, name: &TargetName, context: &mut Context<Self>) {
        while let Some((job, engine)) = self.next_job(name) {
            let Some((order, token)) = self.authorize_job(name, &job) else {
                continue;
            };
            let Some(state) = self.engine_mut(name) else {
                return;
            };
            state.is_busy = true;
            let crash_count = state.crash_count;
            let name = name.clone();
            let running = run_job(engine, order, token).into_actor(self);
            let running = running.map(move |reply, actor, context| {
                let Some(state) = actor.engine_mut(&name) else {
                    return;
                };
                state.is_busy = false;
                let is_current = state.crash_count == crash_count || matches!(job, EngineJob::Load(..));
                if is_current {
                    actor.finish_job(&name, &job, reply);
                }
                actor.start_next_job(&name, context);
                actor.rearm_timer(context);
            });
            context.spawn(running);
            return;
        }
    }

    fn next_job(&mut self, name: &TargetName) -> Option<(EngineJob, Rc<dyn EngineTarget>)> {
        let engine = self.engine_mut(name)?;
        if engine.is_busy {
            return None;
        }
        let job = engine.jobs.pop_front()?;
        Some((job, Rc::clone(&engine.engine)))
    }

    /// Returns the order of a job, or `None` if the job lists programs, and the fencing token to send. Returns
    /// `None` overall if the token of a load order is stale, or if the process does not send this kind of order.
    fn authorize_job(
        &mut self,
        name: &TargetName,
        job: &EngineJob,
    ) -> Option<(Option<EngineOrder>, FencingToken)> {
        let highest = self.ledger.fence().highest_target_token(name);
        let known = self.engine_mut(name)?.token.max(highest);
        match job {
            EngineJob::List => Some((None, known)),
            EngineJob::Held(order) => Some((Some(engine_order(*order)?), known)),
            EngineJob::Load(link, order) => {
                if let Err(FenceError::Stale { highest }) = self.ledger.fence().begin_order(name, order.token)
                {
                    self.report_fenced(*link, highest);
                    return None;
                }
                let model = order.model.clone();
                let order_to_engine = match order.is_load {
                    true => EngineOrder::Load(model),
                    false => EngineOrder::Unload(model),
                };
                Some((Some(order_to_engine), order.token))
            }
        }
    }

    /// Reports a stale token of a load order to its sender. Load orders belong to no shard, so the report names
    /// shard 0.
    fn report_fenced(&self, link: LinkKey, highest: FencingToken) {
        self.metrics.fenced.inc();
        let shard = ShardKey(0);
        // If this frame is lost, the load planner's next order is refused with the same report.
        let _ = self.links.send(link, &SideFrame::Fenced { shard, highest });
    }

    fn finish_job(&mut self, name: &TargetName, job: &EngineJob, reply: Result<JobReply>) {
        if let EngineJob::Load(..) = job {
            self.ledger.fence().end_order(name);
        }
        match (job, reply) {
            (EngineJob::List, Ok(JobReply::Listed(held))) => self.reconcile_held(name, &held),
            (EngineJob::Held(HeldOrder::Release(program)), Ok(_)) => {
                info!(self.logger, "engine memory released"; "target" => %name, "program" => %program);
                if let Some(engine) = self.engine_mut(name) {
                    engine.held.confirm_release(*program);
                }
            }
            (EngineJob::Held(_), Err(PlatformError::Fenced { highest })) => {
                // The engine has received a higher token from the owner of another shard. The token for the
                // program's own shard was already checked, so the order is sent again with the higher token.
                if let Some(engine) = self.engine_mut(name) {
                    engine.token = engine.token.max(FencingToken(highest));
                    engine.push(job.clone());
                }
            }
            (EngineJob::Load(link, _), Err(PlatformError::Fenced { highest })) => {
                self.report_fenced(*link, FencingToken(highest));
            }
            (EngineJob::Load(_, order), Err(error)) => {
                warn!(self.logger, "load order failed"; "target" => %name, "model" => %order.model,
                    "error" => %error);
            }
            _ => {}
        }
    }
}

async fn run_job(
    engine: Rc<dyn EngineTarget>,
    order: Option<EngineOrder>,
    token: FencingToken,
) -> Result<JobReply> {
    match order {
        Some(order) => engine.order(order, token).await.map(|()| JobReply::Ordered),
        None => engine.held().await.map(JobReply::Listed),
    }
}

/// Converts an order of the table of held programs. Returns `None` for orders about exports, which never occur because
/// this process exports nothing.
fn engine_order(order: HeldOrder) -> Option<EngineOrder> {
    match order {
        HeldOrder::Release(program) => Some(EngineOrder::Release(program)),
        HeldOrder::Pin(program) => Some(EngineOrder::Pin(program)),
        HeldOrder::Unpin(program) => Some(EngineOrder::Unpin(program)),
        HeldOrder::Export(_) | HeldOrder::Import(_) | HeldOrder::DropExport(_) => None,
    }
}
