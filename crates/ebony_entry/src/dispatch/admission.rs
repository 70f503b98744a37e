//! Admission control of programs, decided at their first model call.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use ebony_policy::admission::refusal_report;
use ebony_policy::speed::EngineSpeed;
use ebony_policy::{AdmissionController, AdmissionDecision, FirstTokenSample, PolicyOptions, ProgramArrival};
use ebony_types::limits::MAX_WAITING_CALLS_PER_PROGRAM;
use ebony_types::{CallId, CallKind, CallerName, ClockTime, ProblemReport, ProgramId, TargetName};
use ebony_wire::LoadReport;

use super::messages::PlaceCall;

/// The `Retry-After`, in seconds, of a call refused because its program already has too many calls waiting for
/// admission.
const WAITING_RETRY_SECONDS: u32 = 1;

/// The admission decision on a call.
#[derive(Clone, Debug)]
pub(super) enum AdmissionStep {
    /// The call proceeds to placement.
    Admit,
    /// The call waits until its program is admitted.
    Wait,
    /// The call is refused; it has not run.
    Refuse(ProblemReport),
}

/// The admission controller and the calls that wait for it. Both the number of waiting programs and the number of
/// waiting calls of each program are bounded.
pub(super) struct CallAdmission {
    controller: AdmissionController,
    speed: EngineSpeed,
    waiting: HashMap<ProgramId, Vec<CallId>>,
    /// Engines that accept calls.
    engines: BTreeMap<TargetName, EngineCapacity>,
}

/// The capacity of an engine.
#[derive(Clone, Copy, Debug)]
struct EngineCapacity {
    slots: u32,
    /// Size of the KV cache in tokens, from the last load report.
    kv_tokens: Option<u64>,
}

impl CallAdmission {
    pub(super) fn open(options: &PolicyOptions) -> Self {
        Self {
            controller: AdmissionController::open(options.admission.clone(), options.latency_weight),
            speed: options.speed,
            waiting: HashMap::new(),
            engines: BTreeMap::new(),
        }
    }

    /// Decides whether an arriving call is admitted, waits or is refused.
    pub(super) fn arrive(
        &mut self,
        place: &PlaceCall,
        program: ProgramId,
        deadline: ClockTime,
        now: ClockTime,
    ) -> AdmissionStep {
        let request = &place.request;
        let CallKind::Model { prompt_tokens, .. } = &request.kind else {
            return AdmissionStep::Admit;
        };
        let prompt_tokens = u64::from(*prompt_tokens);
        if let Some(calls) = self.waiting.get_mut(&program) {
            if calls.len() >= MAX_WAITING_CALLS_PER_PROGRAM {
                return AdmissionStep::Refuse(refusal_report(WAITING_RETRY_SECONDS));
            }
            calls.push(request.call);
            return AdmissionStep::Wait;
        }
        let arrival = ProgramArrival {
            program,
            caller: request.caller.clone(),
            deadline,
            // A program that has already been served, or that blocks its parent, belongs to admitted work.
            prompt_tokens,
            is_admitted: place.rank.attained_tokens > 0 || place.rank.blocks_parent,
        };
        match self.controller.arrive(&arrival, now) {
            AdmissionDecision::Admitted => AdmissionStep::Admit,
            AdmissionDecision::Waiting => {
                self.waiting.insert(program, vec![request.call]);
                AdmissionStep::Wait
            }
            AdmissionDecision::Refused { retry_after_seconds } => {
                AdmissionStep::Refuse(refusal_report(retry_after_seconds))
            }
        }
    }

    /// Returns the calls whose programs were admitted or refused since the last poll.
    pub(super) fn poll(&mut self, now: ClockTime) -> Vec<(CallId, AdmissionStep)> {
        let mut steps = Vec::new();
        for outcome in self.controller.poll(now) {
            let calls = self.waiting.remove(&outcome.program).unwrap_or_default();
            let step = match outcome.decision {
                AdmissionDecision::Refused { retry_after_seconds } => {
                    AdmissionStep::Refuse(refusal_report(retry_after_seconds))
                }
                AdmissionDecision::Admitted | AdmissionDecision::Waiting => AdmissionStep::Admit,
            };
            if calls.is_empty() {
                // All of its calls were withdrawn, so the program never started.
                self.controller.finish(outcome.program, now);
            }
            steps.extend(calls.into_iter().map(|call| (call, step.clone())));
        }
        steps
    }

    /// Removes a call that ended while waiting for admission.
    pub(super) fn withdraw(&mut self, call: CallId, program: ProgramId, caller: &CallerName) {
        let Some(calls) = self.waiting.get_mut(&program) else {
            return;
        };
        calls.retain(|waiting| *waiting != call);
        if calls.is_empty() {
            self.waiting.remove(&program);
            self.controller.withdraw(caller, program);
        }
    }

    /// Records that a program ended or moved to another entry.
    pub(super) fn finish(&mut self, program: ProgramId, now: ClockTime) {
        self.controller.finish(program, now);
    }

    /// Records the length of a program's history in tokens.
    pub(super) fn record_history(&mut self, program: ProgramId, tokens: u64) {
        self.controller.record_history(program, tokens);
    }

    /// Records the measured time to first token of a call. `new_tokens` is the number of prompt tokens that the call
    /// added to its program.
    pub(super) fn observe_first_token(&mut self, measured: Duration, new_tokens: u64, now: ClockTime) {
        let seconds = self.speed.prefill_seconds(new_tokens);
        let own_prefill = Duration::try_from_secs_f64(seconds).unwrap_or_default();
        let sample = FirstTokenSample {
            measured,
            own_prefill,
        };
        self.controller.observe_first_token(sample, now);
    }

    /// Adds an engine that accepts calls. Its capacity is divided equally among `entries` entries.
    pub(super) fn add_engine(&mut self, target: TargetName, slots: u32, entries: usize) {
        let capacity = EngineCapacity {
            slots,
            kv_tokens: None,
        };
        self.engines.insert(target, capacity);
        self.set_capacity(entries);
    }

    /// Updates an engine's KV cache size from its load report.
    pub(super) fn apply_load(&mut self, report: &LoadReport, entries: usize) {
        let tokens = self.speed.tokens_in(report.kv_bytes_total);
        if let Some(capacity) = self.engines.get_mut(&report.target) {
            capacity.kv_tokens = Some(tokens).filter(|tokens| *tokens > 0);
            self.set_capacity(entries);
        }
    }

    /// Removes a target that receives no further work.
    pub(super) fn remove_target(&mut self, target: &TargetName, entries: usize) {
        if self.engines.remove(target).is_some() && !self.engines.is_empty() {
            self.set_capacity(entries);
        }
    }

    /// Sets the weight of latency relative to wasted cache.
    pub(super) fn set_latency_weight(&mut self, weight: f64) {
        self.controller.set_latency_weight(weight);
    }

    /// Returns the number of programs in progress.
    pub(super) fn in_progress(&self) -> usize {
        self.controller.in_progress()
    }

    /// Recomputes the share of capacity of this entry. As long as any engine has not reported its KV cache size, the
    /// token capacity is unlimited.
    fn set_capacity(&mut self, entries: usize) {
        let entries = u32::try_from(entries.max(1)).unwrap_or(u32::MAX);
        let slots: u32 = self.engines.values().map(|capacity| capacity.slots).sum();
        let tokens: Option<u64> = self.engines.values().map(|capacity| capacity.kv_tokens).sum();
        let tokens = tokens.map_or(u64::MAX, |tokens| tokens / u64::from(entries));
        self.controller.set_capacity(tokens, slots.div_ceil(entries));
    }
}
