//! Simulates programs: admission, turns, pauses and their end.

use std::time::Duration;

use ebony_policy::prelude::*;
use rand::Rng;

use crate::processes::{caller_name, model_name};
use crate::run::{CALL_TIMEOUT_SECONDS, CallState, Event, Simulation};
use crate::scenario::{SLOTS, engine_speed};

impl Simulation {
    pub(crate) fn arrive(&mut self, program: usize) {
        let arrival = ProgramArrival {
            program: self.ids[program],
            caller: caller_name(self.plans[program].caller),
            deadline: self.now() + Duration::from_secs_f64(CALL_TIMEOUT_SECONDS),
            prompt_tokens: self.plans[program].turns[0].added_tokens,
            is_admitted: self.plans[program].parent.is_some(),
        };
        let now = self.now();
        let decision = self.entries[self.programs[program].entry]
            .controller
            .arrive(&arrival, now);
        self.handle_decision(program, decision);
    }

    pub(crate) fn handle_decision(&mut self, program: usize, decision: AdmissionDecision) {
        match decision {
            AdmissionDecision::Admitted => self.issue(program),
            AdmissionDecision::Waiting => {}
            AdmissionDecision::Refused { retry_after_seconds } => {
                self.handle_refusal(program, retry_after_seconds, Event::Arrive(program));
            }
        }
    }

    /// Handles a refusal: the caller retries after the retry time or abandons the program.
    pub(crate) fn handle_refusal(&mut self, program: usize, retry_after_seconds: u32, retry: Event) {
        self.refusals += 1;
        let state = &mut self.programs[program];
        state.refusals += 1;
        if state.refusals > self.scenario.max_refusals
            && state.turn == 0
            && self.plans[program].parent.is_none()
        {
            state.is_abandoned = true;
            self.end_program(program);
            return;
        }
        let jitter = self.entries[0].rng.random_range(0.0..1.0);
        self.schedule_after(f64::from(retry_after_seconds) + jitter, retry);
    }

    pub(crate) fn issue(&mut self, program: usize) {
        let turn = self.plans[program].turns[self.programs[program].turn];
        let now = self.now();
        let state = &mut self.programs[program];
        if let Some(start) = state.pause_start.take() {
            let kind = PauseKind {
                caller: caller_name(self.plans[program].caller),
                kind: state.pause_kind,
            };
            self.entries[state.entry].pauses.observe(&kind, now.since(start));
        }
        self.calls.push(CallState {
            program,
            prompt_tokens: state.history + turn.added_tokens,
            output_tokens: turn.output_tokens,
            added_tokens: turn.added_tokens,
            issued: self.seconds,
            tries: 0,
            avoid: Vec::new(),
            attempts: Vec::new(),
            has_first_token: false,
        });
        let entry = &mut self.entries[state.entry];
        entry.budget.record_first(now);
        let speed = engine_speed();
        let work = speed.service_tokens(turn.added_tokens, turn.output_tokens, SLOTS);
        let engine_seconds = speed.prefill_seconds(work);
        let model = model_name(self.plans[program].model);
        let domain = entry.domain_name.clone();
        entry.loader.record_demand(&domain, &model, engine_seconds, now);
        self.dispatch(self.calls.len() - 1);
    }

    /// Continues with the next turn after a pause, or ends the program.
    pub(crate) fn start_next_turn(&mut self, program: usize, side: Option<usize>) {
        let turn = self.programs[program].turn;
        if turn == self.plans[program].turns.len() {
            self.end_program(program);
            return;
        }
        let seconds = self.plans[program].turns[turn - 1].pause;
        if let Some(side) = side {
            self.pause(program, side, 0);
            self.schedule_after(seconds, Event::Issue(program));
        } else {
            self.schedule_at(self.seconds, Event::Issue(program));
        }
    }

    pub(crate) fn pause(&mut self, program: usize, side: usize, kind: u64) {
        let now = self.now();
        let state = &mut self.programs[program];
        state.pause_start = Some(now);
        state.pause_kind = kind;
        if !self.options.retention.keep {
            return;
        }
        let entry = &self.entries[state.entry];
        let pause_kind = PauseKind {
            caller: caller_name(self.plans[program].caller),
            kind,
        };
        let histogram = entry.pauses.histogram(&pause_kind);
        let load = entry.planner.table().load(entry.keys[side]);
        let pressure = MemoryPressure {
            used_share: load.map_or(0.0, |load| load.kv_used_share()),
        };
        let id = self.ids[program];
        let held = &mut self.sides[side].held;
        let orders = match entry.plan.decide(state.history, &histogram, pressure) {
            HoldDecision::Keep(expires) => held.retain(id, histogram.expected(), expires, now),
            HoldDecision::Export => held.export(id, now),
            HoldDecision::Leave => Vec::new(),
        };
        self.carry_out(side, orders);
    }

    pub(crate) fn end_program(&mut self, program: usize) {
        let now = self.now();
        let id = self.ids[program];
        self.programs[program].end = Some(self.seconds);
        self.unfinished -= 1;
        let entry = self.programs[program].entry;
        self.entries[entry].controller.finish(id, now);
        for side in &mut self.sides {
            side.engine.end_program(program);
        }
        let mut used_sides = std::mem::take(&mut self.programs[program].used_sides);
        used_sides.sort_unstable();
        used_sides.dedup();
        for side in used_sides {
            let key = self.entries[entry].keys[side];
            self.entries[entry].cache.forget_program(key, id);
            if self.options.retention.release_ended {
                let orders = self.sides[side].held.release(id, now);
                self.carry_out(side, orders);
            }
        }
        if let Some((_, children)) = self.plans[program]
            .fan_out
            .clone()
            .filter(|_| self.programs[program].is_abandoned)
        {
            // The sub-agents of a program that was abandoned before its start never start.
            self.unfinished -= children.len();
        }
        if let Some(parent) = self.plans[program].parent {
            self.programs[parent].children_left -= 1;
            if self.programs[parent].children_left == 0 {
                self.start_next_turn(parent, None);
            }
        }
        self.admit_waiting(entry);
    }

    pub(crate) fn admit_waiting(&mut self, entry: usize) {
        let now = self.now();
        for outcome in self.entries[entry].controller.poll(now) {
            self.handle_decision(self.by_id[&outcome.program], outcome.decision);
        }
    }

    pub(crate) fn renew_leases(&mut self) {
        let now = self.now();
        for program in 0..self.programs.len() {
            let state = &self.programs[program];
            if let Some(side) = state.last_side.filter(|_| state.end.is_none()) {
                self.sides[side].held.renew_leases(&[self.ids[program]], now);
            }
        }
    }
}
