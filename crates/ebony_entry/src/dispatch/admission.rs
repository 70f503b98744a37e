//! Admission of programs by their first model call.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use ebony_policy::admission::refusal_report;
use ebony_policy::speed::EngineSpeed;
use ebony_policy::{AdmissionDecision, AdmissionGate, FirstTokenSample, PolicyOptions, ProgramArrival};
use ebony_types::limits::MAX_WAITING_CALLS_PER_PROGRAM;
use ebony_types::{CallId, CallKind, CallerName, ClockTime, ProblemReport, ProgramId, TargetName};
use ebony_wire::LoadReport;

use super::messages::PlaceCall;

/// Seconds after which a further call of a program that waits for admission may come back.
const WAITING_RETRY_SECONDS: u32 = 1;

/// What becomes of a call at the gate.
#[derive(Clone, Debug)]
pub(super) enum GateStep {
    /// The call goes on to placement.
    Enter,
    /// The call waits for its program's admission.
    Wait,
    /// The call is refused; it has not run.
    Refuse(ProblemReport),
}

/// The gate, and the calls that wait for it. The gate bounds the programs that wait, and each has a bounded number of
/// calls.
pub(super) struct CallGate {
    gate: AdmissionGate,
    speed: EngineSpeed,
    waiting: HashMap<ProgramId, Vec<CallId>>,
    /// Engines that are open for calls.
    engines: BTreeMap<TargetName, EngineRoom>,
}

/// What an engine has room for.
#[derive(Clone, Copy, Debug)]
struct EngineRoom {
    slots: u32,
    /// Tokens of KV cache, from the last load report.
    kv_tokens: Option<u64>,
}

impl CallGate {
    pub(super) fn open(options: &PolicyOptions) -> Self {
        Self {
            gate: AdmissionGate::open(options.admission.clone(), options.latency_weight),
            speed: options.speed,
            waiting: HashMap::new(),
            engines: BTreeMap::new(),
        }
    }

    /// Decides on a call that arrived.
    pub(super) fn arrive(
        &mut self,
        place: &PlaceCall,
        program: ProgramId,
        deadline: ClockTime,
        now: ClockTime,
    ) -> GateStep {
        let request = &place.request;
        let CallKind::Model { prompt_tokens, .. } = &request.kind else {
            return GateStep::Enter;
        };
        let prompt_tokens = u64::from(*prompt_tokens);
        if let Some(calls) = self.waiting.get_mut(&program) {
            if calls.len() >= MAX_WAITING_CALLS_PER_PROGRAM {
                return GateStep::Refuse(refusal_report(WAITING_RETRY_SECONDS));
            }
            calls.push(request.call);
            return GateStep::Wait;
        }
        let arrival = ProgramArrival {
            program,
            caller: request.caller.clone(),
            deadline,
            // A program that has attained service, or blocks its parent, is part of work that was admitted.
            prompt_tokens,
            is_admitted: place.rank.attained_tokens > 0 || place.rank.blocks_parent,
        };
        match self.gate.arrive(&arrival, now) {
            AdmissionDecision::Admitted => GateStep::Enter,
            AdmissionDecision::Waiting => {
                self.waiting.insert(program, vec![request.call]);
                GateStep::Wait
            }
            AdmissionDecision::Refused { retry_after_seconds } => {
                GateStep::Refuse(refusal_report(retry_after_seconds))
            }
        }
    }

    /// Returns the calls whose wait is over.
    pub(super) fn poll(&mut self, now: ClockTime) -> Vec<(CallId, GateStep)> {
        let mut steps = Vec::new();
        for outcome in self.gate.poll(now) {
            let calls = self.waiting.remove(&outcome.program).unwrap_or_default();
            let step = match outcome.decision {
                AdmissionDecision::Refused { retry_after_seconds } => {
                    GateStep::Refuse(refusal_report(retry_after_seconds))
                }
                AdmissionDecision::Admitted | AdmissionDecision::Waiting => GateStep::Enter,
            };
            if calls.is_empty() {
                // Every call was withdrawn, so that the program has not started.
                self.gate.finish(outcome.program, now);
            }
            steps.extend(calls.into_iter().map(|call| (call, step.clone())));
        }
        steps
    }

    /// Removes a call that ended while it waited.
    pub(super) fn withdraw(&mut self, call: CallId, program: ProgramId, caller: &CallerName) {
        let Some(calls) = self.waiting.get_mut(&program) else {
            return;
        };
        calls.retain(|waiting| *waiting != call);
        if calls.is_empty() {
            self.waiting.remove(&program);
            self.gate.withdraw(caller, program);
        }
    }

    /// Notes that a program ended or moved to another entry.
    pub(super) fn finish(&mut self, program: ProgramId, now: ClockTime) {
        self.gate.finish(program, now);
    }

    /// Notes the length of a program's history.
    pub(super) fn record_history(&mut self, program: ProgramId, tokens: u64) {
        self.gate.record_history(program, tokens);
    }

    /// Learns from the time to a call's first token. `new_tokens` are the tokens that the call added to its program.
    pub(super) fn observe_first_token(&mut self, measured: Duration, new_tokens: u64, now: ClockTime) {
        let seconds = self.speed.prefill_seconds(new_tokens);
        let own_prefill = Duration::try_from_secs_f64(seconds).unwrap_or_default();
        let sample = FirstTokenSample {
            measured,
            own_prefill,
        };
        self.gate.observe_first_token(sample, now);
    }

    /// Adds an engine that is open for calls. Each of `entries` entries takes an equal part of its room.
    pub(super) fn add_engine(&mut self, target: TargetName, slots: u32, entries: usize) {
        let room = EngineRoom {
            slots,
            kv_tokens: None,
        };
        self.engines.insert(target, room);
        self.set_capacity(entries);
    }

    /// Learns how much KV cache an engine has.
    pub(super) fn apply_load(&mut self, report: &LoadReport, entries: usize) {
        let tokens = self.speed.tokens_in(report.kv_bytes_total);
        if let Some(room) = self.engines.get_mut(&report.target) {
            room.kv_tokens = Some(tokens).filter(|tokens| *tokens > 0);
            self.set_capacity(entries);
        }
    }

    /// Forgets a target that receives no further work.
    pub(super) fn remove_target(&mut self, target: &TargetName, entries: usize) {
        if self.engines.remove(target).is_some() && !self.engines.is_empty() {
            self.set_capacity(entries);
        }
    }

    /// Sets the weight of latency against wasted cache.
    pub(super) fn set_latency_weight(&mut self, weight: f64) {
        self.gate.set_latency_weight(weight);
    }

    /// Returns the programs in progress.
    pub(super) fn in_progress(&self) -> usize {
        self.gate.in_progress()
    }

    /// An engine that has not reported its memory does not limit it.
    fn set_capacity(&mut self, entries: usize) {
        let entries = u32::try_from(entries.max(1)).unwrap_or(u32::MAX);
        let slots: u32 = self.engines.values().map(|room| room.slots).sum();
        let tokens: Option<u64> = self.engines.values().map(|room| room.kv_tokens).sum();
        let tokens = tokens.map_or(u64::MAX, |tokens| tokens / u64::from(entries));
        self.gate.set_capacity(tokens, slots.div_ceil(entries));
    }
}
