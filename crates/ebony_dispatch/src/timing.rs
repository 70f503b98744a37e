//! Times of the entry's own calls, from which the board learns the speed of targets.

use std::time::Duration;

use ebony_types::{ClockTime, DomainName, ServiceName};

use crate::board::{RunKey, TargetBoard, TargetEntry, TargetKey};
use crate::options::DispatchOptions;
use crate::speed::{ServicePace, WorkKind};

/// The fewest prompt tokens whose prefill time is measured. For shorter prompts, other delays prevail.
const MIN_PREFILL_TOKENS: u64 = 256;

/// The time that a step of an engine takes longer in a full batch than in an empty one, as a share: steps take 2.4 to
/// 3.4 ms.
const FULL_BATCH_SHARE: f64 = 0.4;

/// Added to run times before they are compared, in milliseconds: the variation of the delays at both hosts. Without it, the
/// times of very short calls make equal targets look several times slower or faster.
const RUN_NOISE_MS: f64 = 1.0;

/// The shortest measured time, in milliseconds. Shorter ones are within the variation of the network's delay.
const MIN_MILLIS: f64 = 0.1;

/// What was known when a call was sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunTiming {
    began: ClockTime,
    /// Rounds of calls that had to end before the call could run.
    queue_rounds: f64,
    /// Prompt tokens to prefill, with those of earlier calls of the entry.
    prefill: u64,
    /// The network's delay, in milliseconds.
    network_ms: f64,
}

impl TargetBoard {
    /// Starts to measure the time of a call that was just sent.
    pub fn start_timing(
        &mut self,
        run: RunKey,
        domain: &DomainName,
        options: &DispatchOptions,
        now: ClockTime,
    ) {
        let Some(run) = self.runs.get_mut(run) else { return };
        let Some(target) = self.targets.get(run.target) else {
            return;
        };
        let slots = f64::from(target.record.slots.max(1));
        let is_remote = target.record.domain != *domain;
        run.timing = Some(RunTiming {
            began: now,
            queue_rounds: (target.load.calls(options, now) - slots).max(0.0) / slots,
            prefill: target.load.own_prefill(),
            network_ms: if is_remote { options.domain_delay_ms } else { 0.0 },
        });
    }

    /// Records that the first event of an answer arrived. The time shows the target's speed if the prompt was long
    /// and the call did not have to queue.
    pub fn record_first_event(&mut self, run: RunKey, now: ClockTime) {
        let Some((target, timing)) = self.timing(run) else {
            return;
        };
        if timing.queue_rounds > 0.0 || timing.prefill < MIN_PREFILL_TOKENS {
            return;
        }
        let millis = millis(now.since(timing.began)) - timing.network_ms;
        let per_token = millis.max(MIN_MILLIS) / timing.prefill as f64;
        self.record_time(target, WorkKind::Prefill, per_token, now);
    }

    /// Records the time of some consecutive events of a stream.
    pub fn record_events(
        &mut self,
        run: RunKey,
        events: u32,
        elapsed: Duration,
        options: &DispatchOptions,
        now: ClockTime,
    ) {
        let Some((key, _)) = self.timing(run) else { return };
        let Some(target) = self.targets.get(key) else {
            return;
        };
        let slots = f64::from(target.record.slots.max(1));
        let occupancy = (target.load.calls(options, now) / slots).min(1.0);
        let per_event = millis(elapsed) / f64::from(events.max(1)) / (1.0 + FULL_BATCH_SHARE * occupancy);
        self.record_time(key, WorkKind::Event, per_event, now);
    }

    /// Records that a call was answered completely.
    pub fn record_finish(&mut self, run: RunKey, now: ClockTime) {
        let Some((key, timing)) = self.timing(run) else {
            return;
        };
        let elapsed = millis(now.since(timing.began)) - timing.network_ms;
        let in_slot = elapsed.max(MIN_MILLIS) / (1.0 + timing.queue_rounds);
        let is_plain = self.runs.get(run).is_some_and(|run| run.is_plain);
        if is_plain {
            self.record_time(key, WorkKind::Run, in_slot + RUN_NOISE_MS, now);
        }
        let Some(target) = self.targets.get(key) else {
            return;
        };
        let usual = in_slot / target.time_factor(now);
        if let Some(pace) = self.paces.get_mut(&target.record.service) {
            pace.record_slot_time(usual);
        }
    }

    fn timing(&self, run: RunKey) -> Option<(TargetKey, RunTiming)> {
        let run = self.runs.get(run)?;
        Some((run.target, run.timing?))
    }

    fn record_time(&mut self, key: TargetKey, kind: WorkKind, millis: f64, now: ClockTime) {
        let Some(target) = self.targets.get_mut(key) else {
            return;
        };
        let pace = self.paces.get_mut(&target.record.service);
        let usual_host = millis / target.slowdown.factor(now);
        if let Some(ratio) = pace.and_then(|pace| pace.record(kind, usual_host, &target.speed, now)) {
            target.speed.record(ratio, now);
        }
    }

    /// Returns whether targets of the service report the slow-down of their hosts.
    pub fn reports_slowdown(&self, service: &ServiceName) -> bool {
        self.paces.get(service).is_some_and(ServicePace::reports_slowdown)
    }
}

impl TargetEntry {
    /// Returns the time that work is expected to take at the target now, relative to the usual time of its service.
    pub fn time_factor(&self, now: ClockTime) -> f64 {
        self.speed.time_factor(now) * self.slowdown.factor(now)
    }
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}
