//! The programs that callers run, and what callers get.

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::events::Micros;

pub(crate) const THINK: Micros = 20_000;
/// Turns of the programs of each route, the share of programs of each route.
pub(crate) const ROUTES: [RouteLoad; 2] = [
    RouteLoad {
        name: "short",
        turns: 3,
        share: 0.7,
    },
    RouteLoad {
        name: "long",
        turns: 11,
        share: 0.3,
    },
];
/// The share of the turns of long programs after which sub-agents run, and these.
const AGENT_SHARE: f64 = 0.02;
const AGENTS: usize = 5;
const AGENT_TURNS: u32 = 2;
const CUSTOMERS: usize = 80;

pub(crate) struct RouteLoad {
    pub(crate) name: &'static str,
    turns: u32,
    pub(crate) share: f64,
}

/// One turn with the tool calls after it.
#[derive(Clone, Debug)]
pub(crate) struct TurnPlan {
    pub(crate) work: Micros,
    pub(crate) tools: Vec<Micros>,
    /// The sub-agents that run after the turn.
    pub(crate) agents: Vec<Vec<TurnPlan>>,
}

impl TurnPlan {
    fn random(has_agents: bool, rng: &mut ChaCha8Rng) -> Self {
        let tools = 2 + usize::from(rng.random_bool(0.7));
        let agents = if has_agents { AGENTS } else { 0 };
        Self {
            work: rng.random_range(60_000..150_000),
            tools: (0..tools).map(|_| rng.random_range(10_000..40_000)).collect(),
            agents: (0..agents)
                .map(|_| (0..AGENT_TURNS).map(|_| Self::random(false, rng)).collect())
                .collect(),
        }
    }

    fn idle_time(&self) -> Micros {
        let tools = self.tools.iter().max().copied().unwrap_or_default();
        let agents = self
            .agents
            .iter()
            .map(|turns| turns.iter().map(Self::idle_time).sum());
        self.work + tools + THINK + agents.max().unwrap_or(0)
    }
}

/// How a program ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ending {
    Done(Micros),
    Refused,
    Failed,
}

#[derive(Clone, Debug)]
pub(crate) struct Program {
    pub(crate) route: usize,
    pub(crate) customer: usize,
    pub(crate) arrived: Micros,
    pub(crate) objective: Micros,
    pub(crate) plan: Vec<TurnPlan>,
    pub(crate) gateway: usize,
    pub(crate) was_refused: bool,
    pub(crate) ending: Option<Ending>,
}

impl Program {
    pub(crate) fn random(route: usize, now: Micros, gateways: usize, rng: &mut ChaCha8Rng) -> Self {
        let usual = ROUTES[route].turns;
        let turns = rng.random_range(usual - usual / 3..=usual + usual / 3);
        let plan = (0..turns).map(|_| TurnPlan::random(route == 1 && rng.random_bool(AGENT_SHARE), rng));
        let plan: Vec<TurnPlan> = plan.collect();
        let idle: Micros = plan.iter().map(TurnPlan::idle_time).sum();
        Self {
            route,
            customer: random_customer(rng),
            arrived: now,
            objective: idle * 3 / 2 + 200_000,
            plan,
            gateway: rng.random_range(0..gateways),
            was_refused: false,
            ending: None,
        }
    }

    /// Returns what the program is worth.
    pub(crate) fn worth(&self) -> f64 {
        let Some(Ending::Done(at)) = self.ending else {
            return 0.0;
        };
        let late = (at - self.arrived) as f64 / self.objective as f64 - 1.0;
        1.0 - late.clamp(0.0, 1.0)
    }
}

/// Returns a customer by rank, whose share falls with the rank.
fn random_customer(rng: &mut ChaCha8Rng) -> usize {
    let shares: Vec<f64> = (1..=CUSTOMERS).map(|rank| (rank as f64).powf(-1.2)).collect();
    let mut point = rng.random_range(0.0..shares.iter().sum());
    shares
        .iter()
        .position(|share| {
            point -= share;
            point < 0.0
        })
        .unwrap_or_default()
}
