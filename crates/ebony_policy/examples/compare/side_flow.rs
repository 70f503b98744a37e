//! Simulates side processes: starting calls, retaining KV cache and sending cache events.

use std::time::Duration;

use ebony_policy::prelude::*;
use ebony_types::CallId;
use rand::Rng;

use crate::engine::{EngineEvent, EngineWork};
use crate::run::{Event, Simulation};

/// Lag of cache events in seconds.
const EVENT_LAG_SECONDS: f64 = 0.3;

/// Share of release orders that are lost.
const LOST_RELEASES: f64 = 0.02;

impl Simulation {
    /// Advances the engine to the current time, handles its events and sends the cache events.
    pub(crate) fn advance_engine(&mut self, side: usize) {
        let events = self.sides[side].engine.advance(self.seconds);
        for event in events {
            match event {
                EngineEvent::FirstToken(work) => self.first_token(work.attempt),
                EngineEvent::Finished(work) => self.finish_call(work),
            }
        }
        self.send_cache_events(side);
    }

    pub(crate) fn schedule_engine(&mut self, side: usize) {
        self.sides[side].version += 1;
        let version = self.sides[side].version;
        if let Some(seconds) = self.sides[side].engine.next_event() {
            self.schedule_at(seconds + 2e-6, Event::Engine { side, version });
        }
    }

    /// Starts queued calls while the engine has slots and memory, and schedules its next event.
    pub(crate) fn start_queued_calls(&mut self, side: usize) {
        let now = self.now();
        while !self.sides[side].is_loading && self.sides[side].engine.has_slot() {
            let mut queue = std::mem::replace(
                &mut self.sides[side].queue,
                CallQueue::open(QueueOptions::default()),
            );
            let popped = queue.pop_fitting(now, |call, waited| {
                let work = self.engine_work(self.sides[side].waiting[&call.call]);
                self.make_room(side, &work, waited)
            });
            self.sides[side].queue = queue;
            let Some(call) = popped else {
                break;
            };
            let work = self.engine_work(self.sides[side].waiting[&call.call]);
            self.start(side, work);
        }
        self.send_cache_events(side);
        self.schedule_engine(side);
    }

    pub(crate) fn engine_work(&self, attempt: usize) -> EngineWork {
        let call = &self.calls[self.attempts[attempt].call];
        EngineWork {
            attempt,
            program: call.program,
            prompt_tokens: call.prompt_tokens,
            output_tokens: call.output_tokens,
            setup_seconds: 0.0,
        }
    }

    pub(crate) fn make_room(&mut self, side: usize, work: &EngineWork, waited: Duration) -> bool {
        let missing = self.sides[side].engine.missing_tokens(work);
        if missing > 0 && self.uses_retention() {
            let now = self.now();
            let program = self.ids[work.program];
            let orders = self.sides[side].held.make_room(program, missing, waited, now);
            self.carry_out(side, orders);
        }
        self.sides[side].engine.shortfall(work) == 0
    }

    pub(crate) fn uses_retention(&self) -> bool {
        self.options.retention.keep || self.options.retention.release_ended
    }

    pub(crate) fn start(&mut self, side: usize, mut work: EngineWork) {
        let now = self.now();
        let program = self.ids[work.program];
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&(work.attempt as u64).to_be_bytes());
        self.sides[side].waiting.remove(&CallId::from_bytes(bytes));
        if self.uses_retention() {
            for order in self.sides[side].held.start_call(program, now) {
                if order == HeldOrder::Import(program) {
                    let tokens = self.sides[side].engine.import(work.program);
                    let rate = self.options.retention.transfer_tokens_per_second;
                    work.setup_seconds = tokens as f64 / rate;
                }
            }
        }
        let cached = self.sides[side].engine.cached_tokens(work.program);
        let attempt = &mut self.attempts[work.attempt];
        attempt.key = None;
        attempt.started = self.seconds;
        attempt.uncached = work.prompt_tokens.saturating_sub(cached);
        self.sides[side].engine.start(work);
    }

    pub(crate) fn carry_out(&mut self, side: usize, orders: Vec<HeldOrder>) {
        let mut orders = std::collections::VecDeque::from(orders);
        while let Some(order) = orders.pop_front() {
            let now = self.now();
            let process = &mut self.sides[side];
            match order {
                HeldOrder::Pin(id) => process.engine.pin(self.by_id[&id], true),
                HeldOrder::Unpin(id) => process.engine.pin(self.by_id[&id], false),
                HeldOrder::Export(id) => {
                    process.engine.export(self.by_id[&id]);
                    orders.extend(process.held.finish_export(id, true, now));
                }
                HeldOrder::Import(_) => {}
                HeldOrder::DropExport(id) => process.engine.drop_export(self.by_id[&id]),
                HeldOrder::Release(id) => {
                    if self.entries[0].rng.random::<f64>() >= LOST_RELEASES {
                        process.engine.release(self.by_id[&id]);
                        process.held.confirm_release(id);
                    }
                }
            }
        }
    }

    pub(crate) fn send_cache_events(&mut self, side: usize) {
        for (program, tokens) in self.sides[side].engine.take_changes() {
            self.sides[side].event_sequence += 1;
            let sequence = self.sides[side].event_sequence;
            if self.entries[0].rng.random::<f64>() >= self.scenario.event_loss {
                let event = Event::Cache {
                    side,
                    sequence,
                    program,
                    tokens,
                };
                self.schedule_after(EVENT_LAG_SECONDS, event);
            }
        }
    }

    pub(crate) fn fail_queued_calls(&mut self, side: usize) {
        let now = self.now();
        while let Some(call) = self.sides[side].queue.pop(now) {
            if let Some(attempt) = self.sides[side].waiting.remove(&call.call) {
                self.attempts[attempt].key = None;
                self.fail_attempt(attempt, 1);
            }
        }
    }

    /// Fails all calls. Queued calls did not run and are retried. Calls on the engine may have run, so they are left to
    /// their callers, which send them again a second later.
    pub(crate) fn lose_calls(&mut self, side: usize) {
        self.fail_queued_calls(side);
        for attempt in self.sides[side].engine.fail() {
            self.end_attempt(attempt);
            let call = self.attempts[attempt].call;
            if self.live_attempts(call) == 0 {
                self.calls[call].has_first_token = false;
                self.calls[call].tries = 0;
                self.schedule_after(1.0, Event::Dispatch(call));
            }
        }
    }
}
