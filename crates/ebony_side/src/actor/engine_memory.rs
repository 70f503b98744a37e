//! Engine memory: releases the memory of programs that ended or whose lease expired.

use std::time::Duration;

use actix::Context;
use ebony_ledger::FenceError;
use ebony_platform::HeldProgram;
use ebony_policy::{EngineSpeed, HeldOrder, ListedProgram};
use ebony_types::{FencingToken, ProgramId, TargetName};
use ebony_wire::SideFrame;
use slog::info;

use super::SideActor;
use crate::links::LinkKey;
use crate::target::EngineJob;

impl SideActor {
    /// Releases a program's memory on all engines, unless the sender's fencing token is stale.
    pub(super) fn release_program(
        &mut self,
        link: LinkKey,
        program: ProgramId,
        token: FencingToken,
        context: &mut Context<Self>,
    ) {
        if let Err(FenceError::Stale { highest }) = self.ledger.release_program(program, token) {
            let shard = program.shard();
            self.metrics.fenced.inc();
            info!(self.logger, "release with a stale fencing token refused"; "program" => %program);
            // If this frame is lost, the sender's next order is refused with the same report.
            let _ = self.links.send(link, &SideFrame::Fenced { shard, highest });
            return;
        }
        let now = self.now();
        for name in self.engine_names() {
            let Some(engine) = self.engine_mut(&name) else {
                continue;
            };
            if !engine.has_listed {
                // The engine may hold memory for the program from before this process or the engine's last crash.
                engine.held.start_call(program, now);
                engine.held.end_call(program, 0, now);
            }
            let orders = engine.held.release(program, now);
            self.order_held(&name, orders, context);
        }
    }

    /// Renews the leases of programs that an entry vouches for.
    pub(super) fn renew_leases(&mut self, programs: &[ProgramId]) {
        let now = self.now();
        self.ledger.confirm_programs(programs, now);
        for target in self.targets.values_mut() {
            if let Some(engine) = &mut target.engine {
                engine.held.renew_leases(programs, now);
            }
        }
    }

    /// Pins a program's memory on all engines for up to `expires_ms`.
    pub(super) fn pin_program(&mut self, program: ProgramId, expires_ms: u32, context: &mut Context<Self>) {
        let now = self.now();
        let expires = Duration::from_millis(u64::from(expires_ms));
        for name in self.engine_names() {
            let Some(engine) = self.engine_mut(&name) else {
                continue;
            };
            let orders = engine.held.retain(program, expires, expires, now);
            self.order_held(&name, orders, context);
        }
    }

    /// Queues the memory orders that are due.
    pub(super) fn poll_held(&mut self, name: &TargetName, context: &mut Context<Self>) {
        let now = self.now();
        let Some(engine) = self.engine_mut(name) else {
            return;
        };
        let orders = engine.held.poll(now);
        self.order_held(name, orders, context);
    }

    pub(super) fn order_held(
        &mut self,
        name: &TargetName,
        orders: Vec<HeldOrder>,
        context: &mut Context<Self>,
    ) {
        if orders.is_empty() {
            return;
        }
        if let Some(engine) = self.engine_mut(name) {
            for order in orders {
                // If the queue is full, a release is repeated by the table, and a pin is only an optimisation.
                engine.push(EngineJob::Held(order));
            }
        }
        self.start_next_job(name, context);
    }

    /// Requests the list of held programs from every engine.
    pub(super) fn list_held(&mut self, context: &mut Context<Self>) {
        for name in self.engine_names() {
            let Some(engine) = self.engine_mut(&name) else {
                continue;
            };
            let is_asked = engine.jobs.iter().any(|job| matches!(job, EngineJob::List));
            if !is_asked {
                engine.push(EngineJob::List);
            }
            self.start_next_job(&name, context);
        }
    }

    /// Reconciles an engine's list of held programs with the table.
    pub(super) fn reconcile_held(&mut self, name: &TargetName, held: &[HeldProgram]) {
        let now = self.now();
        let speed = EngineSpeed::default();
        let listed = held.iter().map(|held| ListedProgram {
            program: held.program,
            tokens: speed.tokens_in(held.bytes),
        });
        let listed: Vec<ListedProgram> = listed.collect();
        if let Some(engine) = self.engine_mut(name) {
            engine.held.reconcile(&listed, now);
            engine.has_listed = true;
        }
    }
}
