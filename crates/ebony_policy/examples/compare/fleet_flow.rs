//! Simulates the fleet: load reports, model loads and outages.

use ebony_policy::prelude::*;
use ebony_wire::LoadReport;

use crate::processes::{MODELS, model_name, pool_name, target_name};
use crate::run::{Event, Simulation};
use crate::scenario::{KV_TOKENS, SLOTS, engine_speed};

/// Interval and lag of load reports, in seconds.
const REPORT_SECONDS: f64 = 0.5;

/// Interval in seconds at which entries renew the leases of their programs.
const RENEWAL_SECONDS: u64 = 10;

/// Time to load a model, in seconds.
const LOAD_SECONDS: f64 = 40.0;

impl Simulation {
    pub(crate) fn report(&mut self) {
        for side in 0..self.sides.len() {
            self.advance_engine(side);
            self.start_queued_calls(side);
        }
        let bytes = engine_speed().kv_bytes_per_token;
        let reports = self.sides.iter().enumerate().map(|(index, side)| LoadReport {
            target: target_name(index),
            running: side.engine.running() as u32,
            queued: side.queue.len() as u32,
            pending_tokens: side.engine.pending_tokens() + side.queue.backlog_tokens(),
            kv_bytes_held: side.engine.held_tokens() * bytes,
            kv_bytes_total: side.engine.kv_tokens() * bytes,
        });
        let reports = reports.collect();
        self.schedule_after(REPORT_SECONDS, Event::Deliver(reports));
        self.schedule_after(REPORT_SECONDS, Event::Report);
    }

    pub(crate) fn deliver(&mut self, reports: &[LoadReport]) {
        let now = self.now();
        let serving = self.sides.iter().filter(|side| !side.is_loading).count();
        let entries = self.entries.len();
        for entry in &mut self.entries {
            let kv_limit = KV_TOKENS * serving as u64 / entries as u64;
            entry
                .controller
                .set_capacity(kv_limit, SLOTS * serving as u32 / entries as u32);
            for (side, report) in reports.iter().enumerate() {
                let key = entry.keys[side];
                entry.planner.apply_report(key, report, now);
                entry.cache.set_capacity(key, KV_TOKENS);
            }
        }
    }

    pub(crate) fn poll(&mut self) {
        let now = self.now();
        for side in 0..self.sides.len() {
            let expired = self.sides[side].queue.take_expired(now);
            for call in expired {
                self.expired += 1;
                if let Some(attempt) = self.sides[side].waiting.remove(&call.call) {
                    self.attempts[attempt].key = None;
                    self.fail_attempt(attempt, 1);
                }
            }
            if self.uses_retention() {
                let orders = self.sides[side].held.poll(now);
                self.carry_out(side, orders);
            }
        }
        if std::env::var("DBG").is_ok() && (self.seconds as u64).is_multiple_of(60) {
            self.print_state();
        }
        if (self.seconds as u64).is_multiple_of(RENEWAL_SECONDS) {
            self.renew_leases();
        }
        for entry in 0..self.entries.len() {
            self.admit_waiting(entry);
            for decision in self.entries[entry].loader.plan(now) {
                self.begin_load(entry, &decision);
            }
        }
        self.schedule_after(1.0, Event::Poll);
    }

    /// Prints the state of the run to standard error, with tokens in thousands.
    fn print_state(&self) {
        let live = self
            .programs
            .iter()
            .filter(|program| program.end.is_none() && (program.turn > 0 || program.last_side.is_some()))
            .count();
        let unfinished = self.programs.iter().filter(|program| program.end.is_none());
        let history: u64 = unfinished.map(|program| program.history).sum();
        let sides = || self.sides.iter();
        let running: Vec<usize> = sides().map(|side| side.engine.running()).collect();
        let queued: Vec<usize> = sides().map(|side| side.queue.len()).collect();
        let held: Vec<u64> = sides().map(|side| side.engine.held_tokens() / 1000).collect();
        let exported: Vec<u64> = sides().map(|side| side.held.exported_tokens() / 1000).collect();
        let evicted: u64 = sides().map(|side| side.engine.counters.evicted).sum();
        let never_reused: u64 = sides().map(|side| side.engine.counters.never_reused).sum();
        let controllers = self.entries.iter().map(|entry| &entry.controller);
        let controllers: Vec<(usize, usize, u32)> = controllers
            .map(|controller| (controller.in_progress(), controller.waiting(), controller.limit()))
            .collect();
        eprintln!(
            "{:.0}s live {live} hist {}k run {running:?} q {queued:?} held {held:?} exp {exported:?} \
             evicted {}k never {}k gate {controllers:?}",
            self.seconds,
            history / 1000,
            evicted / 1000,
            never_reused / 1000
        );
    }

    pub(crate) fn begin_load(&mut self, entry: usize, decision: &LoadDecision) {
        let side = self.entries[entry].sides[&decision.target];
        let model = MODELS
            .iter()
            .position(|name| *name == decision.load.as_str())
            .unwrap_or(0);
        for entry in &mut self.entries {
            entry.planner.set_pools(entry.keys[side], &[]).expect("room");
        }
        self.sides[side].is_loading = true;
        self.fail_queued_calls(side);
        self.schedule_after(LOAD_SECONDS, Event::Loaded { side, model });
    }

    /// Starts or ends an outage of the first failure domain. Its engines lose their calls and caches.
    pub(crate) fn outage(&mut self, is_over: bool) {
        let domain = self.sides[0].domain.clone();
        let state = if is_over {
            TargetState::Serving
        } else {
            TargetState::Failed
        };
        let sides = (0..self.sides.len()).filter(|side| self.sides[*side].domain == domain);
        for side in sides.collect::<Vec<_>>() {
            self.advance_engine(side);
            for entry in &mut self.entries {
                let key = entry.keys[side];
                entry.planner.set_state(key, state);
                entry.cache.forget_target(key);
            }
            self.sides[side].is_loading = !is_over;
            if !is_over {
                self.lose_calls(side);
                self.sides[side].engine.flush();
                self.sides[side].held = HeldTable::open(self.options.retention.clone());
            }
            self.start_queued_calls(side);
        }
    }

    pub(crate) fn finish_load(&mut self, side: usize, model: usize) {
        self.advance_engine(side);
        self.sides[side].is_loading = false;
        self.sides[side].model = model;
        self.sides[side].engine.flush();
        for entry in &mut self.entries {
            let key = entry.keys[side];
            entry.planner.set_pools(key, &[pool_name(model)]).expect("room");
            let domain = self.sides[side].domain.clone();
            entry.loader.set_engine(key, domain, vec![model_name(model)]);
        }
        self.start_queued_calls(side);
    }
}
