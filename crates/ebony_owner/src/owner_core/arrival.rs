//! Admission of calls: idempotency checks, limits, and queueing in the program.

use ebony_types::{
    BudgetUse, CallRequest, CallerName, ClockTime, ProblemCode, ProblemReport, ProgramBudget, ProgramId,
    ShardKey,
};

use super::state::{Result, ServingState, TimerTask};
use crate::action::OwnerAction;
use crate::call::{CallContent, CallEntry, CallIntent, CallKey, CallPhase, deadline_of, max_use_of};
use crate::intent::{KeyDecision, key_in_use, one_call_program};
use crate::journal::record::{BodyPlace, OpenedRecord};
use crate::program::history::MessageList;
use crate::program::image::{ProgramImage, ProgramState};
use crate::program::queue::EnqueueOutcome;
use crate::program::table::{ProgramEntry, ProgramKey};
use crate::settings::RETRY_AFTER_SECONDS;

/// The program that a call runs in.
enum CallProgram {
    Known(ProgramKey),
    NewOneCall(ProgramId),
}

/// The outcome of the idempotency and ownership checks.
enum CallDecision {
    Run(CallProgram),
    Replay(BodyPlace),
}

impl ServingState {
    pub(super) fn on_call_arrived(&mut self, request: CallRequest, messages: MessageList) {
        if self.calls.find(request.call).is_some() {
            return;
        }
        let call = request.call;
        if let Err(problem) = self.admit(request, messages) {
            self.refuse(call, problem);
        }
    }

    fn admit(&mut self, request: CallRequest, messages: MessageList) -> Result<()> {
        let intent = request.idempotency_key.as_ref().map(|key| CallIntent {
            key: key.clone(),
            digest: request.digest(),
        });
        match self.decide(&request, intent.as_ref())? {
            CallDecision::Replay(place) => {
                self.emit(OwnerAction::Replay {
                    call: request.call,
                    place,
                });
                Ok(())
            }
            CallDecision::Run(program) => {
                self.check_capacity(intent.is_some())?;
                let program = match program {
                    CallProgram::Known(key) => key,
                    CallProgram::NewOneCall(program) => self.insert_one_call(program, &request)?,
                };
                self.enqueue_call(program, request, messages, intent)
            }
        }
    }

    fn decide(&mut self, request: &CallRequest, intent: Option<&CallIntent>) -> Result<CallDecision> {
        match (request.program, intent) {
            (Some(program), _) => self.decide_known(program, &request.caller, intent),
            (None, Some(intent)) => self.decide_one_call(request, intent),
            (None, None) => {
                let shard = self.shards.pick_serving(&mut self.rng).ok_or_else(not_owned)?;
                let program = ProgramId::random(shard, &mut self.rng);
                Ok(CallDecision::Run(CallProgram::NewOneCall(program)))
            }
        }
    }

    fn decide_known(
        &self,
        program: ProgramId,
        caller: &CallerName,
        intent: Option<&CallIntent>,
    ) -> Result<CallDecision> {
        self.check_admitting(program.shard())?;
        let Some((key, entry)) = self.find_entry(program) else {
            return Err(unknown_program(intent.is_some()));
        };
        check_caller(entry, caller)?;
        if entry.image.is_one_call {
            return Err(program_ended(entry.image.state));
        }
        if let Some(place) = self.decide_key(entry, intent)? {
            return Ok(CallDecision::Replay(place));
        }
        if !entry.is_open() {
            return Err(program_ended(entry.image.state));
        }
        Ok(CallDecision::Run(CallProgram::Known(key)))
    }

    fn decide_one_call(&self, request: &CallRequest, intent: &CallIntent) -> Result<CallDecision> {
        let program = one_call_program(&request.caller, &intent.key, self.settings.shard_count);
        self.check_admitting(program.shard())?;
        if let Some(retired) = self.programs.retired(program) {
            return retired.decide(intent.digest).map(CallDecision::Replay);
        }
        let Some((key, entry)) = self.find_entry(program) else {
            return Ok(CallDecision::Run(CallProgram::NewOneCall(program)));
        };
        check_caller(entry, &request.caller)?;
        if let Some(place) = self.decide_key(entry, Some(intent))? {
            return Ok(CallDecision::Replay(place));
        }
        Ok(CallDecision::Run(CallProgram::Known(key)))
    }

    /// Looks up an idempotency key. Returns the place of its stored answer, or `None` if the call may run.
    fn decide_key(&self, entry: &ProgramEntry, intent: Option<&CallIntent>) -> Result<Option<BodyPlace>> {
        let Some(intent) = intent else {
            return Ok(None);
        };
        let decision = entry.image.intents.decide(&intent.key, intent.digest)?;
        let calls = entry.queue.calls().filter_map(|call| self.calls.get(call));
        let mut intents = calls.filter_map(|call| call.intent.as_ref());
        if intents.any(|other| other.key == intent.key) {
            return Err(key_in_use());
        }
        match decision {
            KeyDecision::Run => Ok(None),
            KeyDecision::Repeat { turn } => self.answer_place(entry, turn).map(Some),
        }
    }

    /// Returns the place of a stored answer. Until the turn is durable, the key counts as in use.
    fn answer_place(&self, entry: &ProgramEntry, turn: u32) -> Result<BodyPlace> {
        let place = entry.image.history.place(turn).ok_or_else(key_in_use)?;
        let is_own = place.session == self.writer.session();
        if is_own && place.sequence > self.writer.durable() {
            return Err(key_in_use());
        }
        Ok(place)
    }

    fn check_capacity(&self, has_key: bool) -> Result<()> {
        if self.calls.len() >= self.settings.max_calls {
            return Err(overloaded("too many calls are under way"));
        }
        let has_turns = self.writer.undurable_turns() < self.settings.max_undurable_turns;
        let has_bytes = self.writer.undurable_bytes() < self.settings.max_undurable_bytes;
        let needs_record = has_key && self.writer.is_unavailable();
        if has_turns && has_bytes && !needs_record {
            Ok(())
        } else {
            Err(platform_unavailable())
        }
    }

    /// Evicts ended programs until a new one fits. Ended programs are kept only so that their history can be read,
    /// and evicting one is safe: a repeated call to it is answered as unknown and never runs, and the keys of
    /// one-call programs are kept separately.
    pub(super) fn ensure_program_capacity(&mut self) -> Result<()> {
        while self.programs.len() >= self.settings.max_programs {
            let Some(oldest) = self.programs.oldest_ended(self.writer.durable()) else {
                return Err(overloaded("too many programs are in progress"));
            };
            self.evict_program(oldest);
        }
        Ok(())
    }

    /// Adds the program of a call that names none. Its first journal record is the intent or the turn of that call.
    fn insert_one_call(&mut self, program: ProgramId, request: &CallRequest) -> Result<ProgramKey> {
        self.ensure_program_capacity()?;
        let need = max_use_of(&request.kind);
        let record = OpenedRecord {
            program,
            parent: None,
            caller: request.caller.clone(),
            budget: ProgramBudget {
                tokens: need.tokens,
                calls: need.calls,
                seconds: request.timeout_ms.div_ceil(1_000),
                depth: 0,
            },
            is_one_call: true,
            opened: self.wall_now(),
            ceiling: BudgetUse::default(),
        };
        Ok(self.programs.insert(ProgramImage::open(&record), self.now))
    }

    fn enqueue_call(
        &mut self,
        program: ProgramKey,
        request: CallRequest,
        messages: MessageList,
        intent: Option<CallIntent>,
    ) -> Result<()> {
        let due = deadline_of(&request, self.now);
        let call = self.insert_call(program, request, messages, intent, due);
        let Some(entry) = self.programs.get_mut(program) else {
            self.remove_call(call);
            return Err(unknown_program(false));
        };
        match entry.queue.push(call) {
            EnqueueOutcome::Ready => self.start_call(call),
            EnqueueOutcome::Waiting => {}
            EnqueueOutcome::Full => {
                self.remove_call(call);
                return Err(too_many_calls());
            }
        }
        Ok(())
    }

    fn insert_call(
        &mut self,
        program: ProgramKey,
        request: CallRequest,
        messages: MessageList,
        intent: Option<CallIntent>,
        due: ClockTime,
    ) -> CallKey {
        let need = max_use_of(&request.kind);
        let call = self.calls.insert(CallEntry {
            call: request.call,
            program,
            content: CallContent {
                kind: request.kind,
                body: request.body,
                messages,
            },
            need,
            intent,
            phase: CallPhase::Waiting,
            is_answered: false,
            timer: None,
        });
        self.set_call_timer(call, due, TimerTask::CallDeadline(call));
        if let Some(entry) = self.programs.get_mut(program) {
            entry.open_calls += 1;
            let shard = entry.image.program.shard();
            self.shards.add_call(shard);
        }
        call
    }

    pub(super) fn find_entry(&self, program: ProgramId) -> Option<(ProgramKey, &ProgramEntry)> {
        let key = self.programs.find(program)?;
        Some((key, self.programs.get(key)?))
    }

    /// Checks that this owner serves the shard and is not about to release it.
    pub(super) fn check_admitting(&self, shard: ShardKey) -> Result<()> {
        if self.shards.is_admitting(shard) {
            Ok(())
        } else {
            Err(not_owned())
        }
    }
}

pub(super) fn check_caller(entry: &ProgramEntry, caller: &CallerName) -> Result<()> {
    if &entry.image.caller == caller {
        Ok(())
    } else {
        Err(ProblemReport::not_run(
            ProblemCode::Forbidden,
            "the program belongs to another caller",
        ))
    }
}

pub(super) fn not_owned() -> ProblemReport {
    ProblemReport::not_run(
        ProblemCode::OwnerUnavailable,
        "this entry does not serve the program's shard at present",
    )
    .retry_after(1)
}

/// A call with an idempotency key may have run before its program was evicted, so the verdict is then `MayHaveRun`
/// instead of `NotRun`.
pub(super) fn unknown_program(has_key: bool) -> ProblemReport {
    let detail = "the program is unknown, or ended too long ago";
    if has_key {
        ProblemReport::may_have_run(ProblemCode::UnknownProgram, detail)
    } else {
        ProblemReport::not_run(ProblemCode::UnknownProgram, detail)
    }
}

pub(super) fn program_ended(state: ProgramState) -> ProblemReport {
    match state {
        ProgramState::Exhausted => crate::budget::exhausted(),
        _ => ProblemReport::not_run(ProblemCode::ProgramEnded, "the program has ended"),
    }
}

pub(super) fn platform_unavailable() -> ProblemReport {
    ProblemReport::not_run(
        ProblemCode::PlatformUnavailable,
        "the platform does not take the record that the request needs",
    )
    .retry_after(RETRY_AFTER_SECONDS)
}

pub(super) fn overloaded(detail: &'static str) -> ProblemReport {
    ProblemReport::not_run(ProblemCode::Overloaded, detail).retry_after(RETRY_AFTER_SECONDS)
}

fn too_many_calls() -> ProblemReport {
    ProblemReport::not_run(
        ProblemCode::TooManyCalls,
        "too many calls of the program wait for their turn",
    )
    .retry_after(RETRY_AFTER_SECONDS)
}
