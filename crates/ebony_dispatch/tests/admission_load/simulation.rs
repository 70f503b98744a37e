//! Runs programs through gateways and engines.

use ebony_dispatch::RunKey;
use ebony_dispatch::load::LoadNotice;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::engines::{Arrival, ENGINES, Engine, EngineCall, ToolService};
use crate::events::{Event, EventQueue, Micros};
use crate::gateways::{AdmissionRule, Gateway};
use crate::programs::{Ending, Program, ROUTES, THINK, TurnPlan};

/// One-way latency between callers, gateways and targets.
const HOP: Micros = 1_500;
/// How long a gateway looks for an engine with room, how often, and the `Retry-After` afterwards, as in `ebony_gateway`.
const PLACE_LIMIT: Micros = 200_000;
const PLACE_DELAY: Micros = 25_000;
const RETRY_AFTER: Micros = 500_000;
/// How often a caller repeats a failed turn.
const REPEATS: u32 = 2;
const TOOL_TARGETS: usize = 27;

/// The traffic of one run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Traffic {
    pub(crate) rule: AdmissionRule,
    pub(crate) gateways: usize,
    /// Programs a second of all routes at the usual traffic.
    pub(crate) usual_rate: f64,
    pub(crate) multiple: f64,
    /// A further factor on a route from a time to another.
    pub(crate) burst: Option<(usize, f64, Micros, Micros)>,
    /// A customer that sends this many times its usual programs.
    pub(crate) heavy: Option<(usize, usize)>,
    /// The urgency of each route.
    pub(crate) urgency: [u8; 2],
    /// Whether the calls of a program go to different gateways.
    pub(crate) spreads: bool,
    pub(crate) length: Micros,
    pub(crate) seed: u64,
}

struct TurnRun {
    program: usize,
    agent: Option<(usize, usize)>,
    index: usize,
    repeats: u32,
    gateway: usize,
    engine: usize,
    run: RunKey,
    tried: Vec<usize>,
    placed_since: Micros,
    sent_at: Micros,
    notice: LoadNotice,
}

pub(crate) struct Simulation {
    traffic: Traffic,
    rng: ChaCha8Rng,
    events: EventQueue,
    gateways: Vec<Gateway>,
    engines: Vec<Engine>,
    tools: ToolService,
    pub(crate) programs: Vec<Program>,
    agents_left: Vec<usize>,
    turns: Vec<TurnRun>,
    pub(crate) turned_away: usize,
    pub(crate) arrivals: usize,
}

impl Simulation {
    pub(crate) fn run(traffic: Traffic) -> Self {
        let mut simulation = Self {
            traffic,
            rng: ChaCha8Rng::seed_from_u64(traffic.seed),
            events: EventQueue::default(),
            gateways: (0..traffic.gateways)
                .map(|_| Gateway::open(traffic.rule, traffic.gateways))
                .collect(),
            engines: (0..ENGINES).map(Engine::open).collect(),
            tools: ToolService::open(TOOL_TARGETS),
            programs: Vec::new(),
            agents_left: Vec::new(),
            turns: Vec::new(),
            turned_away: 0,
            arrivals: 0,
        };
        for route in 0..ROUTES.len() {
            simulation.events.push(0, Event::Arrival { route });
        }
        while let Some((now, event)) = simulation.events.pop() {
            simulation.handle(event, now);
        }
        simulation
    }

    fn handle(&mut self, event: Event, now: Micros) {
        match event {
            Event::Arrival { route } => self.arrive(route, now),
            Event::Send { turn } => self.send(turn, now),
            Event::Place { turn } => self.place(turn, now),
            Event::Reach { turn } => self.reach(turn, now),
            Event::End { turn } => self.end(turn, now),
            Event::Answer { turn } => self.answer(turn, now),
        }
    }

    fn arrive(&mut self, route: usize, now: Micros) {
        let traffic = self.traffic;
        if now >= traffic.length {
            return;
        }
        let factor = match traffic.burst {
            Some((bursting, factor, from, to)) if bursting == route && (from..to).contains(&now) => factor,
            _ => 1.0,
        };
        let rate = traffic.usual_rate * traffic.multiple * factor * ROUTES[route].share;
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate;
        self.events
            .push(now + (gap * 1e6) as Micros, Event::Arrival { route });
        let program = Program::random(route, now, traffic.gateways, &mut self.rng);
        if let Some((customer, times)) = traffic.heavy
            && customer == program.customer
        {
            for _ in 1..times {
                let mut further = Program::random(route, now, traffic.gateways, &mut self.rng);
                further.customer = customer;
                self.begin_program(further, now);
            }
        }
        self.begin_program(program, now);
    }

    fn begin_program(&mut self, program: Program, now: Micros) {
        self.programs.push(program);
        self.agents_left.push(0);
        self.begin_turn(self.programs.len() - 1, None, 0, now);
    }

    fn begin_turn(&mut self, program: usize, agent: Option<(usize, usize)>, index: usize, at: Micros) {
        self.turns.push(TurnRun {
            program,
            agent,
            index,
            repeats: 0,
            gateway: 0,
            engine: 0,
            run: RunKey::default(),
            tried: Vec::new(),
            placed_since: 0,
            sent_at: 0,
            notice: LoadNotice::default(),
        });
        self.events.push(
            at,
            Event::Send {
                turn: self.turns.len() - 1,
            },
        );
    }

    fn plan(&self, turn: usize) -> &TurnPlan {
        let run = &self.turns[turn];
        let plan = &self.programs[run.program].plan;
        match run.agent {
            Some((parent, agent)) => &plan[parent].agents[agent][run.index],
            None => &plan[run.index],
        }
    }

    fn send(&mut self, turn: usize, now: Micros) {
        let number = self.turns[turn].program;
        let program = &mut self.programs[number];
        if program.ending.is_some() {
            return;
        }
        if now > program.arrived + 2 * program.objective {
            program.ending = Some(Ending::Failed);
            return;
        }
        let gateway = match self.traffic.spreads {
            true => self.rng.random_range(0..self.traffic.gateways),
            false => program.gateway,
        };
        let run = &mut self.turns[turn];
        run.gateway = gateway;
        if run.index == 0 && run.repeats == 0 {
            let admitted = self.gateways[gateway].admit(
                number,
                program,
                self.traffic.urgency[program.route],
                now + HOP,
                &mut self.rng,
            );
            if let Err(retry_after) = admitted {
                let time_left = program.arrived + 2 * program.objective - now;
                if program.was_refused || retry_after > time_left / 3 {
                    program.ending = Some(Ending::Refused);
                } else {
                    program.was_refused = true;
                    self.events
                        .push(now + 2 * HOP + retry_after, Event::Send { turn });
                }
                return;
            }
        } else {
            self.gateways[gateway].record_call(number, now + HOP);
        }
        run.placed_since = now + HOP;
        self.events.push(now + HOP, Event::Place { turn });
    }

    fn place(&mut self, turn: usize, now: Micros) {
        let run = &mut self.turns[turn];
        let gateway = &mut self.gateways[run.gateway];
        if let Some(engine) = gateway.place(&run.tried, now) {
            run.engine = engine;
            run.sent_at = now;
            run.run = gateway.begin(engine);
            self.events.push(now + HOP, Event::Reach { turn });
        } else if now < run.placed_since + PLACE_LIMIT {
            run.tried.clear();
            self.events.push(now + PLACE_DELAY, Event::Place { turn });
        } else if run.repeats < REPEATS {
            run.repeats += 1;
            run.tried.clear();
            self.events.push(now + RETRY_AFTER, Event::Send { turn });
        } else {
            self.programs[run.program].ending = Some(Ending::Failed);
        }
    }

    fn reach(&mut self, turn: usize, now: Micros) {
        let call = EngineCall {
            call: turn,
            work: self.plan(turn).work,
        };
        let run = &mut self.turns[turn];
        let engine = &mut self.engines[run.engine];
        self.arrivals += 1;
        let arrival = engine.arrive(call, now, &mut self.rng);
        run.notice = engine.notice();
        match arrival {
            Arrival::Runs(time) => self.events.push(now + time, Event::End { turn }),
            Arrival::Queued => {}
            Arrival::TurnedAway => {
                self.turned_away += 1;
                run.tried.push(run.engine);
                self.gateways[run.gateway].record_full(run.engine, run.run, run.notice, now + HOP);
                self.events.push(now + HOP, Event::Place { turn });
            }
        }
    }

    fn end(&mut self, turn: usize, now: Micros) {
        let engine = &mut self.engines[self.turns[turn].engine];
        if let Some((next, time)) = engine.end(now, &mut self.rng) {
            // The load is reported with the head of the answer, when the turn starts.
            self.turns[next].notice = engine.notice();
            self.events.push(now + time, Event::End { turn: next });
        }
        self.events.push(now + HOP, Event::Answer { turn });
    }

    fn answer(&mut self, turn: usize, now: Micros) {
        let (tools, agents) = {
            let plan = self.plan(turn);
            (plan.tools.clone(), plan.agents.len())
        };
        let run = &self.turns[turn];
        let (number, agent, index) = (run.program, run.agent, run.index);
        let gateway = &mut self.gateways[run.gateway];
        gateway.record_answer(
            self.programs[number].route,
            run.run,
            now - run.sent_at,
            run.notice,
            now,
        );
        gateway.record_notice(run.engine, run.notice, now);
        let ended = tools
            .iter()
            .map(|work| self.tools.call(*work, now, &mut self.rng))
            .max();
        let next_at = ended.unwrap_or(now) + HOP + THINK;
        if agents > 0 {
            self.agents_left[number] = agents;
            for agent in 0..agents {
                self.begin_turn(number, Some((index, agent)), 0, next_at);
            }
            return;
        }
        let program = &self.programs[number];
        let turns = agent.map_or(program.plan.len(), |(parent, agent)| {
            program.plan[parent].agents[agent].len()
        });
        match agent {
            _ if index + 1 < turns => self.begin_turn(number, agent, index + 1, next_at),
            Some((parent, _)) => {
                self.agents_left[number] -= 1;
                if self.agents_left[number] > 0 {
                    return;
                }
                if parent + 1 < program.plan.len() {
                    self.begin_turn(number, None, parent + 1, next_at);
                } else {
                    self.programs[number].ending.get_or_insert(Ending::Done(now));
                }
            }
            None => {
                self.programs[number].ending.get_or_insert(Ending::Done(now));
            }
        }
    }
}
