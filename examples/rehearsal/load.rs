//! Generates the load: callers that run programs while faults are injected.

use std::time::{Duration, Instant};

use ebony_fleet::{EntryDirectory, OTHER_CALLER_KEY, PlanEnding, ProgramLog, ProgramPlan, ProgramRunner};
use futures_util::future::join_all;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Number of callers, each of which runs one program after the other.
const CALLER_COUNT: u64 = 16;

/// The time for which a caller retries a step. It is longer than all overlapping faults of a run.
const STEP_TIMEOUT: Duration = Duration::from_secs(90);

/// Starts programs until `length` has elapsed, and returns when all have ended.
pub(crate) async fn run_load(directory: EntryDirectory, seed: u64, length: Duration) -> Vec<ProgramLog> {
    let stop = Instant::now() + length;
    let callers = (0..CALLER_COUNT).map(|caller| {
        let directory = directory.clone();
        actix_web::rt::spawn(run_caller(directory, seed, caller, stop))
    });
    let callers: Vec<_> = callers.collect();
    let logs = join_all(callers).await;
    // The programs of a caller that panicked are missing from the audit; the panic itself is printed.
    logs.into_iter().flatten().flatten().collect()
}

async fn run_caller(directory: EntryDirectory, seed: u64, caller: u64, stop: Instant) -> Vec<ProgramLog> {
    let mut rng = StdRng::seed_from_u64(seed.wrapping_mul(1_000).wrapping_add(caller));
    let mut logs = Vec::new();
    while Instant::now() < stop {
        let label = format!("c{caller}-{}", logs.len());
        let plan = draw_plan(&mut rng, label);
        let runner = ProgramRunner::new(plan, directory.clone(), rng.random());
        logs.push(runner.run().await);
    }
    logs
}

fn draw_plan(rng: &mut StdRng, label: String) -> ProgramPlan {
    let turns = rng.random_range(2..8);
    let mut plan = ProgramPlan::mixed(label, turns);
    plan.order_every = rng.random_range(0..3);
    plan.has_child = rng.random_bool(0.4);
    plan.max_tokens = rng.random_range(10..60);
    plan.pause = Duration::from_millis(rng.random_range(0..300));
    plan.step_timeout = STEP_TIMEOUT;
    if rng.random_bool(0.3) {
        plan.caller_key = OTHER_CALLER_KEY.to_owned();
    }
    match rng.random_range(0..10) {
        0..6 => plan.ending = PlanEnding::Finish,
        6..8 => plan.ending = PlanEnding::Cancel,
        _ => {
            plan.ending = PlanEnding::Exhaust;
            plan.budget_calls = rng.random_range(1..turns);
            plan.order_every = 0;
            plan.has_child = false;
        }
    }
    plan
}
