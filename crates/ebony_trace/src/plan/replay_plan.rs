//! Scheduling of the steps of a replay.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;

use ebony_types::{ClockTime, ProblemCode, RunVerdict};

use crate::format::{ProgramOrigin, TimeScale, ToolCall, TraceDocument, TraceProgram};
use crate::plan::program_state::{ProgramPhase, ProgramState};
use crate::plan::step::{
    DueStep, ModelStep, ProgramEnd, ProgramOutcome, StepCompletion, StepEnd, StepKey, StepKind, ToolStep,
};
use crate::timeline::children_of;

/// Maximum number of times that a call is sent before the program gives up.
pub const MAX_ATTEMPTS: u8 = 4;

/// Delay before a retry if the response states no `retry_after`.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Lowest HTTP status of problems for which a retry without `retry_after` may help.
const MIN_SERVER_ERROR_STATUS: u16 = 500;

/// Reasons why a completion is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum PlanError {
    /// The call is not in flight.
    #[error("call {0} is not in flight")]
    NotInFlight(StepKey),
}

/// The result of [`ReplayPlan::complete`].
pub type Result<T, E = PlanError> = std::result::Result<T, E>;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum PlannedAction {
    Marker(usize),
    Call(u32),
    ToolEnd(u32),
}

/// Schedules the steps of all programs and processes their completions.
///
/// Arrivals, pauses and deadlines are scaled to replay time; `retry_after` times from the system are not. The queue is
/// bounded, because it holds each marker once and at most one entry per program.
///
/// ```
/// use std::sync::Arc;
/// use std::time::Duration;
/// use ebony_trace::prelude::*;
/// use ebony_types::ClockTime;
///
/// let document = TraceGenerator::open(DeploymentKind::Calabash).generate(TraceScenario::Burst)?;
/// let mut plan = ReplayPlan::open(Arc::new(document), ClockTime::default());
/// let mut finished = 0;
/// while let Some(now) = plan.next_due() {
///     let key = match plan.take_due(now) {
///         Some(DueStep::Model(step)) => step.key,
///         Some(DueStep::Tool(step)) => step.key,
///         Some(DueStep::Marker(_)) | None => continue,
///     };
///     let completion = plan.complete(key, StepEnd::Answered, now + Duration::from_millis(5))?;
///     finished += usize::from(completion.outcome.is_some());
/// }
/// assert_eq!(finished, plan.document().programs().len());
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Clone, Debug)]
pub struct ReplayPlan {
    document: Arc<TraceDocument>,
    scale: TimeScale,
    children: Vec<Vec<u32>>,
    states: Vec<ProgramState>,
    queue: BinaryHeap<Reverse<(ClockTime, PlannedAction)>>,
    in_flight: usize,
}

impl ReplayPlan {
    /// Plans a replay that starts at `start`.
    pub fn open(document: Arc<TraceDocument>, start: ClockTime) -> Self {
        let mut plan = Self {
            scale: document.header().time_scale,
            children: children_of(&document),
            states: vec![ProgramState::NOT_STARTED; document.programs().len()],
            queue: BinaryHeap::new(),
            in_flight: 0,
            document: document.clone(),
        };
        for (index, marker) in document.markers().iter().enumerate() {
            let due = start + plan.wall_ms(marker.at_ms);
            plan.schedule(due, PlannedAction::Marker(index));
        }
        for program in document.programs() {
            if let ProgramOrigin::Arrival { at_ms } = program.origin {
                plan.schedule_call(program.id, StepKind::Model, start + plan.wall_ms(at_ms));
            }
        }
        plan
    }

    /// Returns the trace.
    pub fn document(&self) -> &TraceDocument {
        &self.document
    }

    /// Returns when the next step is due, or `None` if the plan only waits for completions or is finished.
    pub fn next_due(&self) -> Option<ClockTime> {
        self.queue.peek().map(|Reverse((due, _))| *due)
    }

    /// Returns the number of calls in flight.
    pub fn in_flight_calls(&self) -> usize {
        self.in_flight
    }

    /// Returns `true` if no step is scheduled and no call is in flight.
    pub fn is_finished(&self) -> bool {
        self.queue.is_empty() && self.in_flight == 0
    }

    /// Returns the number of programs that have not started. After the replay these are sub-agents whose parent gave up.
    pub fn unstarted_programs(&self) -> usize {
        let phases = self.states.iter().map(|state| state.phase);
        phases.filter(|phase| *phase == ProgramPhase::NotStarted).count()
    }

    /// Removes and returns the next step that is due at `now`.
    pub fn take_due(&mut self, now: ClockTime) -> Option<DueStep> {
        while self.next_due().is_some_and(|due| due <= now) {
            let Reverse((due, action)) = self.queue.pop()?;
            match action {
                PlannedAction::Marker(index) => {
                    let action = self.document.markers()[index].action.clone();
                    return Some(DueStep::Marker(action));
                }
                PlannedAction::Call(program) => return self.send(program, now),
                PlannedAction::ToolEnd(program) => {
                    self.states[program as usize].has_open_tool = false;
                    self.try_next_turn(program, due);
                }
            }
        }
        None
    }

    /// Records the end of a call that was sent.
    ///
    /// # Errors
    ///
    /// Returns [`PlanError::NotInFlight`] if the call is not in flight.
    pub fn complete(&mut self, key: StepKey, end: StepEnd, now: ClockTime) -> Result<StepCompletion> {
        let state = self.states.get_mut(key.program as usize);
        let is_sent = |state: &&mut ProgramState| {
            state.phase == ProgramPhase::InFlight(key.kind) && state.turn == usize::from(key.turn)
        };
        let state = state.filter(is_sent).ok_or(PlanError::NotInFlight(key))?;
        let attempts = state.attempts;
        self.in_flight -= 1;
        if let Some(wait) = retry_delay(end, self.is_repeatable(key)).filter(|_| attempts < MAX_ATTEMPTS) {
            self.schedule_retry(key, now + wait);
            return Ok(StepCompletion {
                will_retry: true,
                outcome: None,
            });
        }
        Ok(StepCompletion {
            will_retry: false,
            outcome: self.advance(key, end, now),
        })
    }

    /// Advances a program after a call that is not retried.
    fn advance(&mut self, key: StepKey, end: StepEnd, now: ClockTime) -> Option<ProgramOutcome> {
        // A failed tool does not end the program: the model receives the error as the tool's result.
        if key.kind == StepKind::Tool {
            self.states[key.program as usize].has_open_tool = false;
            self.states[key.program as usize].phase = ProgramPhase::BetweenTurns;
            self.try_next_turn(key.program, now);
            return None;
        }
        let is_last = usize::from(key.turn) + 1 == self.program(key.program).turns.len();
        match end {
            StepEnd::Answered if is_last => Some(self.finish(key.program, ProgramEnd::Finished, now)),
            StepEnd::Answered => {
                self.start_tools(key, now);
                None
            }
            StepEnd::Problem { code, .. } => Some(self.finish(key.program, ProgramEnd::Problem(code), now)),
            StepEnd::Disconnected | StepEnd::Corrupt => Some(self.finish(key.program, ProgramEnd::Lost, now)),
        }
    }

    /// Starts the sub-agents and the tool of a turn whose model call was answered.
    fn start_tools(&mut self, key: StepKey, now: ClockTime) {
        self.states[key.program as usize].phase = ProgramPhase::BetweenTurns;
        self.start_children(key, now);
        let turn = &self.document.programs()[key.program as usize].turns[usize::from(key.turn)];
        let (has_call, pause_ms) = (turn.call.is_some(), turn.pause_ms);
        let state = &mut self.states[key.program as usize];
        state.has_open_tool = has_call || pause_ms > 0;
        if has_call {
            state.attempts = 0;
            self.schedule_call(key.program, StepKind::Tool, now);
        } else if pause_ms > 0 {
            let due = now + self.wall_ms(pause_ms);
            self.schedule(due, PlannedAction::ToolEnd(key.program));
        } else {
            self.try_next_turn(key.program, now);
        }
    }

    fn start_children(&mut self, key: StepKey, now: ClockTime) {
        let document = self.document.clone();
        for child in self.children[key.program as usize].clone() {
            match document.programs()[child as usize].origin {
                ProgramOrigin::Child {
                    after_turn,
                    is_blocking,
                    ..
                } if after_turn == key.turn => {
                    self.states[key.program as usize].open_children += usize::from(is_blocking);
                    self.schedule_call(child, StepKind::Model, now);
                }
                _ => {}
            }
        }
    }

    /// Schedules the next turn if neither the tool nor a blocking sub-agent is still running.
    fn try_next_turn(&mut self, program: u32, now: ClockTime) {
        let state = &mut self.states[program as usize];
        let can_continue =
            state.phase == ProgramPhase::BetweenTurns && !state.has_open_tool && state.open_children == 0;
        if can_continue {
            state.turn += 1;
            state.attempts = 0;
            self.schedule_call(program, StepKind::Model, now);
        }
    }

    fn finish(&mut self, program: u32, end: ProgramEnd, now: ClockTime) -> ProgramOutcome {
        let state = &mut self.states[program as usize];
        state.phase = ProgramPhase::Ended;
        let wall = now.since(state.first_call.unwrap_or(now));
        if let ProgramOrigin::Child {
            parent,
            is_blocking: true,
            ..
        } = self.program(program).origin
        {
            self.states[parent as usize].open_children -= 1;
            self.try_next_turn(parent, now);
        }
        ProgramOutcome {
            program,
            end,
            latency: self.scale.to_trace(wall),
        }
    }

    /// Marks the scheduled call of a program as sent and returns it.
    fn send(&mut self, program: u32, now: ClockTime) -> Option<DueStep> {
        let state = &mut self.states[program as usize];
        let ProgramPhase::Scheduled(kind) = state.phase else {
            return None;
        };
        state.phase = ProgramPhase::InFlight(kind);
        state.first_call.get_or_insert(now);
        let earlier_attempts = state.attempts;
        state.attempts += 1;
        self.in_flight += 1;
        let key = StepKey {
            program,
            turn: state.turn as u16,
            kind,
        };
        match kind {
            StepKind::Model => Some(DueStep::Model(self.model_step(key, earlier_attempts))),
            StepKind::Tool => self.tool_step(key, earlier_attempts).map(DueStep::Tool),
        }
    }

    fn model_step(&self, key: StepKey, earlier_attempts: u8) -> ModelStep {
        let program = self.program(key.program);
        let index = usize::from(key.turn);
        let turn = &program.turns[index];
        ModelStep {
            key,
            earlier_attempts,
            caller: program.caller.clone(),
            model: program.model.clone(),
            parent: match program.origin {
                ProgramOrigin::Arrival { .. } => None,
                ProgramOrigin::Child { parent, .. } => Some(parent),
            },
            shared_tokens: if index == 0 { program.shared_tokens } else { 0 },
            new_tokens: turn.new_tokens,
            output_tokens: turn.output_tokens,
            is_last: index + 1 == program.turns.len(),
        }
    }

    fn tool_step(&self, key: StepKey, earlier_attempts: u8) -> Option<ToolStep> {
        let program = self.program(key.program);
        let call = self.call(key)?;
        Some(ToolStep {
            key,
            earlier_attempts,
            caller: program.caller.clone(),
            service: call.service.clone(),
            method: call.method,
            runs_once: call.runs_once,
            run_time: self.wall_ms(program.turns[usize::from(key.turn)].pause_ms),
            timeout: self.wall_ms(call.deadline_ms),
        })
    }

    fn program(&self, program: u32) -> &TraceProgram {
        &self.document.programs()[program as usize]
    }

    fn call(&self, key: StepKey) -> Option<&ToolCall> {
        self.program(key.program).turns[usize::from(key.turn)]
            .call
            .as_ref()
    }

    fn is_repeatable(&self, key: StepKey) -> bool {
        key.kind == StepKind::Model || self.call(key).is_some_and(|call| !call.runs_once)
    }

    fn wall_ms(&self, trace_ms: u32) -> Duration {
        self.scale.to_wall(Duration::from_millis(u64::from(trace_ms)))
    }

    fn schedule_call(&mut self, program: u32, kind: StepKind, due: ClockTime) {
        self.states[program as usize].phase = ProgramPhase::Scheduled(kind);
        self.schedule(due, PlannedAction::Call(program));
    }

    fn schedule_retry(&mut self, key: StepKey, due: ClockTime) {
        self.schedule_call(key.program, key.kind, due);
    }

    fn schedule(&mut self, due: ClockTime, action: PlannedAction) {
        self.queue.push(Reverse((due, action)));
    }
}

/// Returns the delay before the call is retried, or `None` if a retry is unsafe or would not help.
fn retry_delay(end: StepEnd, is_repeatable: bool) -> Option<Duration> {
    match end {
        StepEnd::Answered | StepEnd::Corrupt => None,
        StepEnd::Disconnected => Some(DEFAULT_RETRY_DELAY),
        StepEnd::Problem {
            code,
            run,
            retry_after,
        } => {
            let is_safe = is_repeatable || run == RunVerdict::NotRun;
            let is_timed_out = code == ProblemCode::DeadlineExceeded && run != RunVerdict::NotRun;
            let helps = retry_after.is_some() || code.status() >= MIN_SERVER_ERROR_STATUS;
            (is_safe && helps && !is_timed_out).then(|| retry_after.unwrap_or(DEFAULT_RETRY_DELAY))
        }
    }
}
