//! Engine memory: releases what belongs to programs that ended or that nobody vouches for.

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
    /// Releases a program's memory on all engines, if the sender owns the program's shard.
    pub(super) fn release(
        &mut self,
        link: LinkKey,
        program: ProgramId,
        token: FencingToken,
        context: &mut Context<Self>,
    ) {
        if let Err(FenceError::Stale { highest }) = self.ledger.release_program(program, token) {
            let shard = program.shard();
            self.metrics.fenced.inc();
            info!(self.logger, "release by a former owner refused"; "program" => %program);
            // The owner's next order says the same.
            let _ = self.links.send(link, &SideFrame::Fenced { shard, highest });
            return;
        }
        let now = self.now();
        for name in self.engine_names() {
            let Some(engine) = self.engine_mut(&name) else {
                continue;
            };
            if !engine.has_listed {
                // The engine may hold the program from before the process knew it.
                engine.held.start_call(program, now);
                engine.held.end_call(program, 0, now);
            }
            let orders = engine.held.release(program, now);
            self.order_held(&name, orders, context);
        }
    }

    /// Extends the leases of programs.
    pub(super) fn vouch(&mut self, programs: &[ProgramId]) {
        let now = self.now();
        self.ledger.confirm_programs(programs, now);
        for target in self.targets.values_mut() {
            if let Some(engine) = &mut target.engine {
                engine.held.vouch(programs, now);
            }
        }
    }

    /// Pins a program's memory for a while.
    pub(super) fn retain(&mut self, program: ProgramId, expires_ms: u32, context: &mut Context<Self>) {
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

    /// Gives the orders that are due.
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
                // A release that finds no room is repeated by the table; a pin is an optimisation.
                engine.push(EngineJob::Held(order));
            }
        }
        self.drive_engine(name, context);
    }

    /// Asks every engine which programs it holds memory for.
    pub(super) fn list_held(&mut self, context: &mut Context<Self>) {
        for name in self.engine_names() {
            let Some(engine) = self.engine_mut(&name) else {
                continue;
            };
            let is_asked = engine.jobs.iter().any(|job| matches!(job, EngineJob::List));
            if !is_asked {
                engine.push(EngineJob::List);
            }
            self.drive_engine(&name, context);
        }
    }

    /// Compares an engine's list with what it should hold.
    pub(super) fn compare_held(&mut self, name: &TargetName, held: &[HeldProgram]) {
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
