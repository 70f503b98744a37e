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
    /// Tokens of KV cache by target, from load reports. Bounded by the targets that are open for calls.
    kv_tokens: BTreeMap<TargetName, u64>,
}

impl CallGate {
    pub(super) fn open(options: &PolicyOptions) -> Self {
        Self {
            gate: AdmissionGate::open(options.admission.clone()),
            speed: options.speed,
            waiting: HashMap::new(),
            kv_tokens: BTreeMap::new(),
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
        if matches!(request.kind, CallKind::Service { .. }) {
            return GateStep::Enter;
        }
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

    /// Learns how much KV cache the targets have, of which each of `entries` entries takes an equal part.
    pub(super) fn apply_load(&mut self, report: &LoadReport, entries: usize) {
        if report.kv_bytes_total > 0 {
            let tokens = self.speed.tokens_in(report.kv_bytes_total);
            self.kv_tokens.insert(report.target.clone(), tokens);
            self.set_kv_limit(entries);
        }
    }

    /// Forgets a target that receives no further work.
    pub(super) fn remove_target(&mut self, target: &TargetName, entries: usize) {
        if self.kv_tokens.remove(target).is_some() && !self.kv_tokens.is_empty() {
            self.set_kv_limit(entries);
        }
    }

    /// Returns the programs in progress.
    pub(super) fn in_progress(&self) -> usize {
        self.gate.in_progress()
    }

    fn set_kv_limit(&mut self, entries: usize) {
        let total: u64 = self.kv_tokens.values().sum();
        self.gate.set_kv_limit(total / entries.max(1) as u64);
    }
}
