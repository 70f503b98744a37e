//! Generates the trace of a scenario for a deployment.

use ebony_types::CallerName;
use ebony_types::name::NameError;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use crate::format::{
    FORMAT_VERSION, MarkerAction, ModelShare, ProgramOrigin, Result, TimeScale, TraceDocument, TraceFault,
    TraceHeader, TraceMarker,
};
use crate::generate::arrival::RateCurve;
use crate::generate::deployment::{CALLER_WEIGHTS, DeploymentKind};
use crate::generate::outcomes::stated_outcomes;
use crate::generate::program_sampler::{ProgramContext, ProgramSampler};
use crate::generate::quantile::draw_weighted;
use crate::generate::scenario::TraceScenario;
use crate::timeline::TraceLoad;

/// Seed of the committed traces.
const DEFAULT_SEED: u64 = 1;

/// Ten times the original speed. A token interval of 30 ms becomes 3 ms, which timers still resolve, and a trace of five
/// minutes replays within half a minute.
const TIME_SCALE: TimeScale = TimeScale {
    wall_ms_per_second: 100,
};

/// Time in the trace after which programs draw no further turns. Last turns and sub-agents may end later; the unloaded
/// replay still ends within 36 s.
const TURN_CUTOFF_MS: u32 = 320_000;

/// Index of the caller that sends the burst: the one with the fewest programs otherwise.
const BURST_CALLER_INDEX: usize = CALLER_WEIGHTS.len() - 1;

/// Index of the failure domain that is lost.
const LOST_DOMAIN_INDEX: usize = 1;

/// Generates the traces of one deployment.
///
/// ```
/// use ebony_trace::{DeploymentKind, TraceGenerator, TraceScenario};
///
/// let generator = TraceGenerator::open(DeploymentKind::Calabash).with_seed(7);
/// let document = generator.generate(TraceScenario::LostDomain)?;
/// assert_eq!(document.markers().len(), 2);
/// assert_eq!(document, generator.generate(TraceScenario::LostDomain)?);
/// # Ok::<(), ebony_trace::TraceError>(())
/// ```
#[derive(Clone, Copy, Debug)]
pub struct TraceGenerator {
    deployment: DeploymentKind,
    seed: u64,
}

impl TraceGenerator {
    /// Creates a generator with the seed of the committed traces.
    pub fn open(deployment: DeploymentKind) -> Self {
        Self {
            deployment,
            seed: DEFAULT_SEED,
        }
    }

    /// Sets another seed.
    #[must_use]
    pub fn with_seed(self, seed: u64) -> Self {
        Self { seed, ..self }
    }

    /// Returns the file name of a trace.
    pub fn file_name(&self, scenario: TraceScenario) -> String {
        format!("{}-{scenario}.jsonl", self.deployment)
    }

    /// Generates a trace. The same deployment, seed and scenario give the same trace.
    ///
    /// # Errors
    ///
    /// Returns [`crate::TraceError`] if the trace violates the format, which no seed is known to cause.
    pub fn generate(&self, scenario: TraceScenario) -> Result<TraceDocument> {
        let models = self.deployment.models().map_err(name_fault)?;
        let callers = self.deployment.callers().map_err(name_fault)?;
        let mut sampler = ProgramSampler {
            rng: ChaCha8Rng::seed_from_u64(self.scenario_seed(scenario)),
            engine: self.deployment.engine(),
            service: self.deployment.service().map_err(name_fault)?,
            programs: Vec::new(),
        };
        for arrival in draw_arrivals(scenario, &mut sampler.rng) {
            add_program(&mut sampler, scenario, arrival, &callers, &models);
        }
        let header = self.header(scenario, models, &sampler)?;
        let markers = self.markers(scenario, &header);
        let header = TraceHeader {
            markers: markers.len() as u32,
            ..header
        };
        let draft = TraceDocument::open(header, markers, sampler.programs)?;
        self.add_outcomes(scenario, &draft)
    }

    /// Returns a seed that depends on the generator's seed, the scenario and the deployment.
    fn scenario_seed(&self, scenario: TraceScenario) -> u64 {
        let part = (scenario as u64) << 8 | self.deployment as u64;
        self.seed.wrapping_mul(1 << 16).wrapping_add(part)
    }

    fn header(
        &self,
        scenario: TraceScenario,
        models: Vec<ModelShare>,
        sampler: &ProgramSampler,
    ) -> Result<TraceHeader> {
        Ok(TraceHeader {
            version: FORMAT_VERSION,
            name: scenario.to_string(),
            deployment: self.deployment.to_string(),
            seed: self.seed,
            description: scenario.description().to_owned(),
            time_scale: TIME_SCALE,
            engine: sampler.engine,
            models,
            services: vec![sampler.service.clone()],
            domains: self.deployment.domains().map_err(name_fault)?,
            outcomes: Vec::new(),
            markers: 0,
            programs: sampler.programs.len() as u32,
        })
    }

    fn markers(&self, scenario: TraceScenario, header: &TraceHeader) -> Vec<TraceMarker> {
        let Some(span) = scenario.outage() else {
            return Vec::new();
        };
        let domain = header.domains[LOST_DOMAIN_INDEX].clone();
        let lost = TraceMarker {
            at_ms: span.lost_ms,
            action: MarkerAction::LoseDomain {
                domain: domain.clone(),
            },
        };
        let restored = TraceMarker {
            at_ms: span.restored_ms,
            action: MarkerAction::RestoreDomain { domain },
        };
        vec![lost, restored]
    }

    /// Adds the stated outcomes, which depend on the critical paths of the programs.
    fn add_outcomes(&self, scenario: TraceScenario, draft: &TraceDocument) -> Result<TraceDocument> {
        let load = TraceLoad::of(draft);
        let header = TraceHeader {
            outcomes: stated_outcomes(self.deployment, scenario, &load),
            ..draft.header().clone()
        };
        TraceDocument::open(header, draft.markers().to_vec(), draft.programs().to_vec())
    }
}

fn name_fault(_: NameError) -> crate::TraceError {
    TraceFault::Header("a name is invalid").at(1)
}

/// Arrival of a program without a parent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct DrawnArrival {
    at_ms: u32,
    caller: usize,
}

fn draw_arrivals(scenario: TraceScenario, rng: &mut ChaCha8Rng) -> Vec<DrawnArrival> {
    let total = scenario.arrivals();
    let burst = scenario.burst();
    let burst_count = burst.map_or(0, |burst| total * burst.share_per_mille / 1_000);
    let steady = scenario.curve().draw(total - burst_count, rng);
    let mut arrivals: Vec<DrawnArrival> = steady
        .into_iter()
        .map(|at_ms| DrawnArrival {
            at_ms,
            caller: draw_weighted(CALLER_WEIGHTS, rng),
        })
        .collect();
    if let Some(burst) = burst {
        let curve = RateCurve {
            window_ms: burst.window_ms,
            weights: &[1],
        };
        let times = curve.draw(burst_count, rng).into_iter();
        arrivals.extend(times.map(|at_ms| DrawnArrival {
            at_ms: burst.start_ms + at_ms,
            caller: BURST_CALLER_INDEX,
        }));
    }
    arrivals.sort_unstable();
    arrivals
}

fn add_program(
    sampler: &mut ProgramSampler,
    scenario: TraceScenario,
    arrival: DrawnArrival,
    callers: &[CallerName],
    models: &[ModelShare],
) {
    let weights = scenario.model_weights(arrival.at_ms);
    let model = draw_weighted(&weights, &mut sampler.rng);
    let shapes = scenario.shapes();
    let context = ProgramContext {
        caller: callers[arrival.caller].clone(),
        model: models[model].model.clone(),
        origin: ProgramOrigin::Arrival { at_ms: arrival.at_ms },
        budget_ms: u64::from(TURN_CUTOFF_MS.saturating_sub(arrival.at_ms)),
    };
    sampler.add(&context, &shapes[arrival.caller.min(shapes.len() - 1)]);
}
