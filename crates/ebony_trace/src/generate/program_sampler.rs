//! Draws random programs with their sub-agents.

use ebony_types::{CallerName, ModelName, ServiceName};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::format::limits::MAX_CHILDREN;
use crate::format::{EngineProfile, ProgramOrigin, ProgramTurn, ToolCall, ToolMethod, TraceProgram};
use crate::generate::quantile::draw_chance;
use crate::generate::shape::{FINAL_ANSWER, FanOutShape, ProgramShape};

/// Deadline of a tool that a service runs. It exceeds every drawn duration, so that only hung tools time out.
const TOOL_DEADLINE_MS: u32 = 65_000;

/// Deadline of a tool that hangs.
const HUNG_DEADLINE_MS: u32 = 5_000;
/// Duration of a tool that hangs.
const HUNG_PAUSE_MS: u32 = 120_000;

/// Properties that a program receives from its caller or its parent.
#[derive(Clone, Debug)]
pub(super) struct ProgramContext {
    pub(super) caller: CallerName,
    pub(super) model: ModelName,
    pub(super) origin: ProgramOrigin,
    /// Milliseconds of critical path after which no further turn is drawn, which bounds the duration of a replay.
    pub(super) budget_ms: u64,
}

/// Draws programs and assigns their ids.
#[derive(Debug)]
pub(super) struct ProgramSampler {
    pub(super) rng: ChaCha8Rng,
    pub(super) engine: EngineProfile,
    pub(super) service: ServiceName,
    pub(super) programs: Vec<TraceProgram>,
}

impl ProgramSampler {
    /// Adds a program and, after it, its sub-agents.
    pub(super) fn add(&mut self, context: &ProgramContext, shape: &ProgramShape) {
        let id = self.programs.len() as u32;
        let turns = self.draw_turns(context, shape);
        let last_turn = turns.len() - 1;
        self.programs.push(TraceProgram {
            id,
            caller: context.caller.clone(),
            model: context.model.clone(),
            origin: context.origin,
            shared_tokens: shape.shared_tokens,
            turns,
        });
        if let Some(fan_out) = &shape.fan_out {
            self.add_children(context, id, last_turn, fan_out);
        }
    }

    fn add_children(
        &mut self,
        context: &ProgramContext,
        parent: u32,
        last_turn: usize,
        fan_out: &FanOutShape,
    ) {
        let mut total = 0;
        for after_turn in 0..last_turn as u16 {
            if !draw_chance(fan_out.chance_per_mille, &mut self.rng) {
                continue;
            }
            let drawn = fan_out.children.draw(&mut self.rng) as usize;
            let children = drawn.min(MAX_CHILDREN - total);
            total += children;
            for _ in 0..children {
                let is_blocking = draw_chance(fan_out.blocking_per_mille, &mut self.rng);
                let origin = ProgramOrigin::Child {
                    parent,
                    after_turn,
                    is_blocking,
                };
                let context = ProgramContext {
                    origin,
                    // Sub-agents of different turns run one after another. A quarter of the budget leaves time for
                    // several of them.
                    budget_ms: context.budget_ms / 4,
                    ..context.clone()
                };
                self.add(&context, fan_out.child);
            }
        }
    }

    /// Draws turns until the drawn count is reached or the budget is spent. The last turn has no tool.
    fn draw_turns(&mut self, context: &ProgramContext, shape: &ProgramShape) -> Vec<ProgramTurn> {
        let count = shape.turns.draw(&mut self.rng).max(1);
        let mut turns = Vec::new();
        let mut spent_ms = 0;
        for _ in 1..count {
            let turn = self.draw_tool_turn(shape);
            let call = self.engine.call_time(turn.new_tokens, turn.output_tokens);
            spent_ms += (call + turn.tool_wait()).as_millis() as u64;
            if spent_ms > context.budget_ms {
                break;
            }
            turns.push(turn);
        }
        turns.push(ProgramTurn {
            new_tokens: shape.new_tokens.draw(&mut self.rng),
            output_tokens: FINAL_ANSWER.draw(&mut self.rng),
            pause_ms: 0,
            call: None,
        });
        turns
    }

    fn draw_tool_turn(&mut self, shape: &ProgramShape) -> ProgramTurn {
        let new_tokens = shape.new_tokens.draw(&mut self.rng);
        let output_tokens = shape.output_tokens.draw(&mut self.rng);
        let pause_ms = shape.pause_ms.draw(&mut self.rng);
        if !draw_chance(shape.routed_per_mille, &mut self.rng) {
            return ProgramTurn {
                new_tokens,
                output_tokens,
                pause_ms,
                call: None,
            };
        }
        let is_hung = draw_chance(shape.hung_per_mille, &mut self.rng);
        ProgramTurn {
            new_tokens,
            output_tokens,
            pause_ms: if is_hung { HUNG_PAUSE_MS } else { pause_ms },
            call: Some(self.draw_call(shape, is_hung)),
        }
    }

    fn draw_call(&mut self, shape: &ProgramShape, is_hung: bool) -> ToolCall {
        let runs_once = draw_chance(shape.runs_once_per_mille, &mut self.rng);
        let method = match runs_once {
            true => [ToolMethod::Post, ToolMethod::Patch][self.rng.random_range(0..2_u32) as usize],
            false => ToolMethod::Get,
        };
        ToolCall {
            service: self.service.clone(),
            method,
            runs_once,
            deadline_ms: if is_hung {
                HUNG_DEADLINE_MS
            } else {
                TOOL_DEADLINE_MS
            },
        }
    }
}
