//! Generates programs: chains of dependent calls with tool pauses, sub-agents, long sessions and bursts.

use ebony_policy::speed::EngineSpeed;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

/// Maximum turns of a program (docs/design.md, section 1.3).
const MAX_TURNS: u64 = 84;

/// Maximum tokens in the history of a program (docs/design.md, section 1.3).
const MAX_HISTORY: u64 = 540_000;

/// One call and the pause after it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TurnPlan {
    /// Tokens that the caller adds to the history before the call.
    pub(crate) added_tokens: u64,
    pub(crate) output_tokens: u64,
    /// Seconds until the next call.
    pub(crate) pause: f64,
}

/// A program to simulate.
#[derive(Clone, Debug)]
pub(crate) struct ProgramPlan {
    pub(crate) caller: usize,
    pub(crate) arrival: f64,
    pub(crate) model: usize,
    pub(crate) turns: Vec<TurnPlan>,
    /// The index of the turn after which sub-agents run, and the indices of their plans.
    pub(crate) fan_out: Option<(usize, Vec<usize>)>,
    pub(crate) parent: Option<usize>,
    /// Seconds that the program takes on an idle engine with its whole history cached.
    pub(crate) ideal_seconds: f64,
}

/// Relative frequencies of the kinds of programs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProgramMix {
    pub(crate) chats: f64,
    pub(crate) agents: f64,
    pub(crate) fan_outs: f64,
    pub(crate) long_sessions: f64,
}

/// A caller that sends many programs at once.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BurstPlan {
    pub(crate) every_seconds: f64,
    pub(crate) programs: usize,
    /// Minimum and maximum sub-agents of each program.
    pub(crate) children: (usize, usize),
}

/// Parameters of the generated load.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadPlan {
    pub(crate) mix: ProgramMix,
    pub(crate) seconds: f64,
    /// Engine time that the programs need with their histories cached, as a share of the time of all engines.
    pub(crate) load: f64,
    pub(crate) engines: usize,
    pub(crate) slots: u32,
    pub(crate) callers: usize,
    pub(crate) burst: Option<BurstPlan>,
    /// Share of programs on the second model during the first third of the time, and afterwards.
    pub(crate) second_model: (f64, f64),
}

pub(crate) struct ProgramGenerator {
    rng: ChaCha8Rng,
    plan: LoadPlan,
    speed: EngineSpeed,
    programs: Vec<ProgramPlan>,
    work_seconds: f64,
}

/// Generates the programs of a run, parents before their sub-agents.
pub(crate) fn generate(plan: LoadPlan, speed: EngineSpeed, seed: u64) -> Vec<ProgramPlan> {
    let rng = ChaCha8Rng::seed_from_u64(seed);
    let mut generator = ProgramGenerator {
        rng,
        plan,
        speed,
        programs: Vec::new(),
        work_seconds: 0.0,
    };
    if let Some(burst) = plan.burst {
        generator.add_bursts(burst);
        // Bursts are added to the configured load.
        generator.work_seconds = 0.0;
    }
    let total = plan.load * plan.seconds * plan.engines as f64;
    while generator.work_seconds < total {
        let arrival = generator.rng.random_range(0.0..plan.seconds);
        // The first callers send several times as many programs as the last ones.
        let caller = (generator.rng.random::<f64>().powi(2) * plan.callers as f64) as usize;
        generator.add_program(arrival, caller);
    }
    generator.programs
}

impl ProgramGenerator {
    fn add_bursts(&mut self, burst: BurstPlan) {
        let mut start = burst.every_seconds / 2.0;
        while start < self.plan.seconds {
            for _ in 0..burst.programs {
                let arrival = start + self.rng.random_range(0.0..5.0);
                if burst.children.1 > 0 {
                    self.add_fan_out(arrival, self.plan.callers, 1.0, burst.children);
                } else {
                    let turns = self.agent_turns(10.0, 1.0);
                    self.push(self.plan.callers, arrival, turns, None);
                }
            }
            start += burst.every_seconds;
        }
    }

    fn add_program(&mut self, arrival: f64, caller: usize) {
        let mix = self.plan.mix;
        let draw = self.rng.random::<f64>() * (mix.chats + mix.agents + mix.fan_outs + mix.long_sessions);
        // The speed of tools depends on the caller.
        let tools = [0.5, 1.0, 1.0, 4.0][caller % 4];
        if draw < mix.chats {
            let turns = self.chat_turns();
            self.push(caller, arrival, turns, None);
        } else if draw < mix.chats + mix.agents {
            let turns = self.agent_turns(10.0, tools);
            self.push(caller, arrival, turns, None);
        } else if draw < mix.chats + mix.agents + mix.fan_outs {
            self.add_fan_out(arrival, caller, tools, (3, 8));
        } else {
            let turns = self.long_turns(tools);
            self.push(caller, arrival, turns, None);
        }
    }

    fn add_fan_out(&mut self, arrival: f64, caller: usize, tools: f64, children: (usize, usize)) {
        let mut turns = self.agent_turns(5.0, tools);
        turns.truncate(12);
        let after = turns.len() / 2;
        let parent = self.push(caller, arrival, turns, None);
        let (min, max) = children;
        let count = self.rng.random_range(min..=max);
        let mut children = Vec::new();
        for _ in 0..count {
            let mut turns = self.agent_turns(4.0, tools);
            turns.truncate(16);
            children.push(self.push(caller, arrival, turns, Some(parent)));
        }
        let longest = children.iter().map(|child| self.programs[*child].ideal_seconds);
        let longest = longest.fold(0.0, f64::max);
        let program = &mut self.programs[parent];
        program.ideal_seconds += longest;
        let model = program.model;
        program.fan_out = Some((after, children.clone()));
        for child in children {
            self.programs[child].model = model;
        }
    }

    fn push(&mut self, caller: usize, arrival: f64, turns: Vec<TurnPlan>, parent: Option<usize>) -> usize {
        let (before, after) = self.plan.second_model;
        let share = if arrival < self.plan.seconds / 3.0 {
            before
        } else {
            after
        };
        let model = usize::from(self.rng.random::<f64>() < share);
        let mut ideal_seconds = 0.0;
        for turn in &turns {
            let prefill = self.speed.prefill_seconds(turn.added_tokens);
            let slots = self.plan.slots;
            let decode = self.speed.decode_seconds(turn.output_tokens, slots) / f64::from(slots);
            self.work_seconds += prefill + decode;
            ideal_seconds += prefill + self.speed.decode_seconds(turn.output_tokens, 1);
        }
        ideal_seconds += turns[..turns.len() - 1]
            .iter()
            .map(|turn| turn.pause)
            .sum::<f64>();
        self.programs.push(ProgramPlan {
            caller,
            arrival,
            model,
            turns,
            fan_out: None,
            parent,
            ideal_seconds,
        });
        self.programs.len() - 1
    }

    fn chat_turns(&mut self) -> Vec<TurnPlan> {
        let count = self.rng.random_range(1..=6);
        let mut turns = Vec::new();
        for index in 0..count {
            let median = if index == 0 { 900.0 } else { 150.0 };
            turns.push(TurnPlan {
                added_tokens: self.log_normal(median, 0.8, 8_000.0) as u64 + 20,
                output_tokens: self.log_normal(220.0, 0.7, 2_000.0) as u64 + 10,
                pause: self.log_normal(15.0, 0.8, 180.0),
            });
        }
        turns
    }

    fn agent_turns(&mut self, median_turns: f64, tools: f64) -> Vec<TurnPlan> {
        let count = (self.log_normal(median_turns, 0.9, MAX_TURNS as f64) as u64).clamp(1, MAX_TURNS);
        let first = self.log_normal(6_000.0, 0.6, 40_000.0);
        self.chain(count, first, 600.0, tools)
    }

    fn long_turns(&mut self, tools: f64) -> Vec<TurnPlan> {
        let count = (self.log_normal(16.0, 0.7, MAX_TURNS as f64) as u64).clamp(4, MAX_TURNS);
        let first = self.log_normal(45_000.0, 0.6, 300_000.0);
        self.chain(count, first, 1_200.0, tools * 3.0)
    }

    fn chain(&mut self, count: u64, first: f64, added: f64, tools: f64) -> Vec<TurnPlan> {
        let mut turns = Vec::new();
        let mut history = 0;
        for index in 0..count {
            let mut added_tokens = self.log_normal(added, 1.0, 20_000.0) as u64 + 50;
            if index == 0 {
                added_tokens = first as u64;
            }
            let output_tokens = self.log_normal(200.0, 0.8, 4_000.0) as u64 + 10;
            history += added_tokens + output_tokens;
            if history > MAX_HISTORY {
                break;
            }
            let is_slow = self.rng.random::<f64>() < 0.05;
            let pause = if is_slow {
                self.log_normal(40.0, 0.6, 180.0)
            } else {
                self.log_normal(1.5 * tools, 0.8, 60.0)
            };
            turns.push(TurnPlan {
                added_tokens,
                output_tokens,
                pause,
            });
        }
        turns
    }

    fn log_normal(&mut self, median: f64, sigma: f64, max: f64) -> f64 {
        let (first, second) = (self.rng.random::<f64>(), self.rng.random::<f64>());
        let normal = (-2.0 * (1.0 - first).ln()).sqrt() * (std::f64::consts::TAU * second).cos();
        (median * (sigma * normal).exp()).min(max)
    }
}
