//! Simulates calls: placement, queueing, retries, hedging and answers.

use std::time::Duration;

use ebony_policy::prelude::*;
use ebony_types::{CallId, ClockTime, RunVerdict};
use ebony_wire::QueueRank;

use crate::engine::EngineWork;
use crate::processes::caller_name;
use crate::run::{AttemptState, CALL_TIMEOUT_SECONDS, CallState, Event, Simulation};
use crate::scenario::{SLOTS, engine_speed};

impl Simulation {
    pub(crate) fn dispatch(&mut self, call: usize) {
        if self.calls[call].has_first_token {
            return;
        }
        self.calls[call].tries += 1;
        let Some(choice) = self.place(call) else {
            self.calls[call].avoid.clear();
            self.schedule_after(3.0, Event::Dispatch(call));
            return;
        };
        let entry = &self.entries[self.programs[self.calls[call].program].entry];
        let delay = entry
            .hedge
            .delay(CallRepeat::RepeatableModel, choice.estimate.first_token);
        if let Some(delay) = delay.filter(|_| self.calls[call].attempts.is_empty()) {
            self.schedule_after(delay.as_secs_f64(), Event::Hedge(call));
        }
        self.send(call, choice);
    }

    pub(crate) fn place(&mut self, call: usize) -> Option<PlacementChoice> {
        let program = self.calls[call].program;
        let state = &self.programs[program];
        let entry = &mut self.entries[state.entry];
        let last_target = state.last_side.map(|side| entry.keys[side]);
        let request = PlacementRequest {
            pool: entry.pools[self.plans[program].model],
            domain: entry.domain,
            program: self.ids[program],
            prompt_tokens: self.calls[call].prompt_tokens,
            output_tokens: None,
            last_target,
            retained: last_target,
            avoid: &self.calls[call].avoid,
        };
        entry.planner.place(&request, &entry.cache, &mut entry.rng).ok()
    }

    pub(crate) fn send(&mut self, call: usize, choice: PlacementChoice) {
        let now = self.now();
        let entry = &mut self.entries[self.programs[self.calls[call].program].entry];
        let uncached_tokens = choice.estimate.uncached_tokens;
        let work = CallWork {
            uncached_tokens,
            new_kv_tokens: uncached_tokens,
        };
        entry.planner.record_dispatch(choice.target, work, now);
        let side = entry.sides[&choice.target];
        self.enqueue(call, side, uncached_tokens);
    }

    pub(crate) fn enqueue(&mut self, call: usize, side: usize, uncached: u64) {
        self.advance_engine(side);
        let now = self.now();
        let CallState {
            program,
            output_tokens,
            issued,
            ..
        } = self.calls[call];
        let plan = &self.plans[program];
        let short = self.scenario.short_timeout.filter(|_| plan.caller % 4 == 1);
        let timeout = short.unwrap_or(CALL_TIMEOUT_SECONDS);
        let attempt = self.attempts.len();
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&(attempt as u64).to_be_bytes());
        let cost_tokens = engine_speed().service_tokens(uncached, output_tokens, SLOTS);
        let queued = QueuedCall {
            call: CallId::from_bytes(bytes),
            program: self.ids[program],
            caller: caller_name(plan.caller),
            rank: QueueRank {
                attained_tokens: self.programs[program].attained,
                blocks_parent: plan.parent.is_some(),
                program_age_ms: ((self.seconds - plan.arrival) * 1_000.0) as u64,
            },
            cost_tokens,
            deadline: ClockTime::from_micros(((issued + timeout) * 1e6) as u64),
        };
        let id = queued.call;
        let result = self.sides[side].queue.push(queued, now);
        self.attempts.push(AttemptState {
            call,
            side,
            key: result.as_ref().ok().copied(),
            cost_tokens,
            expected_uncached: uncached,
            uncached,
            started: self.seconds,
            first_token: self.seconds,
            is_live: true,
        });
        self.calls[call].attempts.push(attempt);
        match result {
            Ok(_) => {
                self.sides[side].waiting.insert(id, attempt);
                self.programs[program].used_sides.push(side);
                self.start_queued_calls(side);
            }
            Err(
                QueueRefusal::Full { retry_after_seconds } | QueueRefusal::TooLate { retry_after_seconds },
            ) => {
                self.fail_attempt(attempt, retry_after_seconds);
            }
        }
    }

    /// Handles an attempt that did not run: it is retried on another target within the budget, otherwise refused.
    pub(crate) fn fail_attempt(&mut self, attempt: usize, retry_after_seconds: u32) {
        let AttemptState { call, side, .. } = self.attempts[attempt];
        self.end_attempt(attempt);
        let now = self.now();
        if self.calls[call].has_first_token || self.live_attempts(call) > 0 {
            return;
        }
        let program = self.calls[call].program;
        let entry = &mut self.entries[self.programs[program].entry];
        let key = entry.keys[side];
        let tries = self.calls[call].tries;
        match entry
            .budget
            .decide(RunVerdict::NotRun, tries, now, &mut entry.rng)
        {
            RetryDecision::After(delay) => {
                self.calls[call].avoid.push(key);
                self.schedule_after(delay.as_secs_f64(), Event::Dispatch(call));
            }
            _ => {
                self.calls[call].avoid.clear();
                self.calls[call].tries = 0;
                self.calls[call].issued = self.seconds + f64::from(retry_after_seconds);
                self.handle_refusal(program, retry_after_seconds, Event::Dispatch(call));
            }
        }
    }

    pub(crate) fn live_attempts(&self, call: usize) -> usize {
        let attempts = self.calls[call].attempts.iter();
        attempts
            .filter(|attempt| self.attempts[**attempt].is_live)
            .count()
    }

    pub(crate) fn end_attempt(&mut self, attempt: usize) {
        let AttemptState {
            call, side, is_live, ..
        } = self.attempts[attempt];
        if is_live {
            self.attempts[attempt].is_live = false;
            let now = self.now();
            let entry = &mut self.entries[self.programs[self.calls[call].program].entry];
            entry.planner.record_end(entry.keys[side], now);
        }
    }

    pub(crate) fn hedge(&mut self, call: usize) {
        let now = self.now();
        let program = self.calls[call].program;
        if self.calls[call].has_first_token || self.live_attempts(call) != 1 {
            return;
        }
        let last = self.calls[call].attempts.last().copied();
        let side = last.map(|attempt| self.attempts[attempt].side);
        let entry = &mut self.entries[self.programs[program].entry];
        self.calls[call].avoid.extend(side.map(|side| entry.keys[side]));
        let waited = Duration::from_secs_f64((self.seconds - self.calls[call].issued).max(0.0));
        let Some(choice) = self.place(call) else {
            return;
        };
        let entry = &mut self.entries[self.programs[program].entry];
        if entry.hedge.is_worthwhile(waited, choice.estimate.first_token) && entry.budget.spend_hedge(now) {
            self.send(call, choice);
        }
    }

    pub(crate) fn first_token(&mut self, attempt: usize) {
        let now = self.now();
        let AttemptState {
            call,
            side,
            expected_uncached,
            ..
        } = self.attempts[attempt];
        self.attempts[attempt].first_token = self.seconds;
        let CallState {
            program,
            issued,
            added_tokens,
            ..
        } = self.calls[call];
        let entry = &mut self.entries[self.programs[program].entry];
        let key = entry.keys[side];
        entry.planner.record_first_token(key, expected_uncached, now);
        if self.calls[call].has_first_token {
            return;
        }
        self.calls[call].has_first_token = true;
        let measured = self.seconds - issued;
        let sample = FirstTokenSample {
            measured: Duration::from_secs_f64(measured.max(0.0)),
            own_prefill: Duration::from_secs_f64(engine_speed().prefill_seconds(added_tokens)),
        };
        entry.controller.observe_first_token(sample, now);
        self.first_token_seconds.push(measured);
        for other in self.calls[call].attempts.clone() {
            if other != attempt && self.attempts[other].is_live {
                self.cancel(other);
            }
        }
    }

    pub(crate) fn cancel(&mut self, attempt: usize) {
        let side = self.attempts[attempt].side;
        let now = self.now();
        self.end_attempt(attempt);
        if let Some(key) = self.attempts[attempt].key {
            if let Some(removed) = self.sides[side].queue.remove(key, now) {
                self.sides[side].waiting.remove(&removed.call);
            }
            return;
        }
        self.sides[side].engine.cancel(attempt);
        let program = self.calls[self.attempts[attempt].call].program;
        let tokens = self.sides[side].engine.cached_tokens(program);
        self.sides[side].held.end_call(self.ids[program], tokens, now);
        self.schedule_engine(side);
    }

    pub(crate) fn finish_call(&mut self, work: EngineWork) {
        let now = self.now();
        let AttemptState {
            call,
            side,
            cost_tokens,
            uncached,
            started,
            first_token,
            ..
        } = self.attempts[work.attempt];
        let program = work.program;
        self.end_attempt(work.attempt);
        let tokens = work.prompt_tokens + work.output_tokens;
        let service = engine_speed().service_tokens(uncached, work.output_tokens, SLOTS);
        let caller = caller_name(self.plans[program].caller);
        self.sides[side].queue.settle(&caller, cost_tokens, service);
        let state = &mut self.programs[program];
        let entry = &mut self.entries[state.entry];
        let key = entry.keys[side];
        let in_slot = Duration::from_secs_f64(self.seconds - started);
        let decode = Duration::from_secs_f64(self.seconds - first_token);
        entry
            .planner
            .observe_call(key, in_slot, decode, work.output_tokens);
        entry.cache.record_call(key, self.ids[program], tokens, now);
        entry.controller.record_history(self.ids[program], tokens);
        state.history = tokens;
        state.attained += service;
        state.last_side = Some(side);
        state.turn += 1;
        let turn = state.turn;
        debug_assert!(self.calls[call].has_first_token);
        if self.uses_retention() {
            let orders = self.sides[side].held.end_call(self.ids[program], tokens, now);
            self.carry_out(side, orders);
        }
        let fan_out = self.plans[program]
            .fan_out
            .clone()
            .filter(|(after, _)| *after + 1 == turn);
        if let Some((_, children)) = fan_out {
            self.programs[program].children_left = children.len();
            self.pause(program, side, 1);
            children
                .into_iter()
                .for_each(|child| self.schedule_at(self.seconds, Event::Arrive(child)));
        } else {
            self.start_next_turn(program, Some(side));
        }
    }
}
