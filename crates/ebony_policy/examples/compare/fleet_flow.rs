//! What happens to the fleet: load reports, model loads and outages.

use ebony_policy::prelude::*;
use ebony_wire::LoadReport;

use crate::parts::{MODELS, model_name, pool_name, target_name};
use crate::run::{Event, Simulation};
use crate::scenario::{KV_TOKENS, SLOTS, engine_speed};

/// Seconds between load reports, and by which they lag.
const REPORT_SECONDS: f64 = 0.5;

/// Seconds between the vouching of an entry.
const VOUCH_SECONDS: u64 = 10;

/// Seconds that loading a model takes.
const LOAD_SECONDS: f64 = 40.0;

impl Simulation {
    pub(crate) fn report(&mut self) {
        for side in 0..self.sides.len() {
            self.sync(side);
            self.pump(side);
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
        self.after(REPORT_SECONDS, Event::Deliver(reports));
        self.after(REPORT_SECONDS, Event::Report);
    }

    pub(crate) fn deliver(&mut self, reports: &[LoadReport]) {
        let now = self.now();
        let serving = self.sides.iter().filter(|side| !side.is_loading).count();
        let entries = self.entries.len();
        for entry in &mut self.entries {
            let kv_limit = KV_TOKENS * serving as u64 / entries as u64;
            entry
                .gate
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
            let live = self
                .programs
                .iter()
                .zip(&self.plans)
                .filter(|(s, _)| s.end.is_none() && (s.turn > 0 || s.home.is_some()))
                .count();
            let hist: u64 = self
                .programs
                .iter()
                .filter(|s| s.end.is_none())
                .map(|s| s.history)
                .sum();
            let run: Vec<usize> = self.sides.iter().map(|s| s.engine.running()).collect();
            let q: Vec<usize> = self.sides.iter().map(|s| s.queue.len()).collect();
            let held: Vec<u64> = self.sides.iter().map(|s| s.engine.held_tokens() / 1000).collect();
            let exp: Vec<u64> = self
                .sides
                .iter()
                .map(|s| s.held.exported_tokens() / 1000)
                .collect();
            let (e, n) = self.sides.iter().fold((0, 0), |a, s| {
                (a.0 + s.engine.tally.evicted, a.1 + s.engine.tally.never_reused)
            });
            let gate: Vec<(usize, usize, u32)> = self
                .entries
                .iter()
                .map(|e| (e.gate.in_progress(), e.gate.waiting(), e.gate.limit()))
                .collect();
            eprintln!(
                "{:.0}s live {live} hist {}k run {run:?} q {q:?} held {held:?} exp {exp:?} evicted {}k never {}k gate {gate:?}",
                self.seconds,
                hist / 1000,
                e / 1000,
                n / 1000
            );
        }
        if (self.seconds as u64).is_multiple_of(VOUCH_SECONDS) {
            self.vouch();
        }
        for entry in 0..self.entries.len() {
            self.admit_waiting(entry);
            for decision in self.entries[entry].loader.plan(now) {
                self.begin_load(entry, &decision);
            }
        }
        self.after(1.0, Event::Poll);
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
        self.bounce_queue(side);
        self.after(LOAD_SECONDS, Event::Loaded { side, model });
    }

    /// The engines of the first failure domain are lost with their caches, or come back empty.
    pub(crate) fn outage(&mut self, is_over: bool) {
        let lost = self.sides[0].domain.clone();
        let state = if is_over {
            TargetState::Serving
        } else {
            TargetState::Failed
        };
        let sides = (0..self.sides.len()).filter(|side| self.sides[*side].domain == lost);
        for side in sides.collect::<Vec<_>>() {
            self.sync(side);
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
            self.pump(side);
        }
    }

    pub(crate) fn loaded(&mut self, side: usize, model: usize) {
        self.sync(side);
        self.sides[side].is_loading = false;
        self.sides[side].model = model;
        self.sides[side].engine.flush();
        for entry in &mut self.entries {
            let key = entry.keys[side];
            entry.planner.set_pools(key, &[pool_name(model)]).expect("room");
            let domain = self.sides[side].domain.clone();
            entry.loader.set_engine(key, domain, vec![model_name(model)]);
        }
        self.pump(side);
    }
}
