//! Gives orders to engines, one at a time for each engine.

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

/// What an engine replied.
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

    /// Takes an entry's order to load or unload a model.
    pub(super) fn order_load(&mut self, link: LinkKey, order: LoadOrder, context: &mut Context<Self>) {
        let name = order.target.clone();
        let Some(engine) = self.engine_mut(&name) else {
            warn!(self.logger, "load order for an unknown engine"; "target" => %name);
            return;
        };
        if !engine.push(EngineJob::Load(link, order)) {
            warn!(self.logger, "too many orders wait for the engine"; "target" => %name);
        }
        self.drive_engine(&name, context);
    }

    /// Gives the next order to an engine that has none under way.
    pub(super) fn drive_engine(&mut self, name: &TargetName, context: &mut Context<Self>) {
        while let Some((job, engine)) = self.next_job(name) {
            let Some((order, token)) = self.permit(name, &job) else {
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
                let is_present = state.crash_count == crash_count || matches!(job, EngineJob::Load(..));
                if is_present {
                    actor.finish_job(&name, &job, reply);
                }
                actor.drive_engine(&name, context);
                actor.rearm(context);
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

    /// Returns the order behind a job, `None` within for a list, and its token; nothing if a newer token fences it.
    fn permit(&mut self, name: &TargetName, job: &EngineJob) -> Option<(Option<EngineOrder>, FencingToken)> {
        let highest = self.ledger.fence().highest_for(name);
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

    /// Load orders belong to no shard; their refusal names shard 0.
    fn report_fenced(&self, link: LinkKey, highest: FencingToken) {
        self.metrics.fenced.inc();
        let shard = ShardKey(0);
        // The planner's next order says the same.
        let _ = self.links.send(link, &SideFrame::Fenced { shard, highest });
    }

    fn finish_job(&mut self, name: &TargetName, job: &EngineJob, reply: Result<JobReply>) {
        if let EngineJob::Load(..) = job {
            self.ledger.fence().end_order(name);
        }
        match (job, reply) {
            (EngineJob::List, Ok(JobReply::Listed(held))) => self.compare_held(name, &held),
            (EngineJob::Held(HeldOrder::Release(program)), Ok(_)) => {
                info!(self.logger, "engine memory released"; "target" => %name, "program" => %program);
                if let Some(engine) = self.engine_mut(name) {
                    engine.held.confirm_release(*program);
                }
            }
            (EngineJob::Held(_), Err(PlatformError::Fenced { highest })) => {
                // The engine has seen the order of another shard's owner. The process checked the program's own shard.
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

/// Returns the engine's order; the process never exports, so that orders about exports do not occur.
fn engine_order(order: HeldOrder) -> Option<EngineOrder> {
    match order {
        HeldOrder::Release(program) => Some(EngineOrder::Release(program)),
        HeldOrder::Pin(program) => Some(EngineOrder::Pin(program)),
        HeldOrder::Unpin(program) => Some(EngineOrder::Unpin(program)),
        HeldOrder::Export(_) | HeldOrder::Import(_) | HeldOrder::DropExport(_) => None,
    }
}
