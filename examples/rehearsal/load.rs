//! The programs that run beside the faults.

use std::time::{Duration, Instant};

use ebony_fleet::{EntryDirectory, OTHER_CALLER_KEY, PlanEnding, ProgramLog, ProgramPlan, ProgramRunner};
use futures_util::future::join_all;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Callers that each run one program after the other.
const CALLERS: u64 = 16;

/// The longest time that a caller tries one step. Longer than all faults of a run that overlap.
const PATIENCE: Duration = Duration::from_secs(90);

/// Runs programs until `length` is over, and returns when all have ended.
pub(crate) async fn run_load(directory: EntryDirectory, seed: u64, length: Duration) -> Vec<ProgramLog> {
    let stop = Instant::now() + length;
    let callers = (0..CALLERS).map(|caller| {
        let directory = directory.clone();
        actix_web::rt::spawn(run_caller(directory, seed, caller, stop))
    });
    let callers: Vec<_> = callers.collect();
    let logs = join_all(callers).await;
    // A caller that panicked is missed by the audit of its programs, and printed by the panic.
    logs.into_iter().flatten().flatten().collect()
}

async fn run_caller(directory: EntryDirectory, seed: u64, caller: u64, stop: Instant) -> Vec<ProgramLog> {
    let mut source = StdRng::seed_from_u64(seed.wrapping_mul(1_000).wrapping_add(caller));
    let mut logs = Vec::new();
    while Instant::now() < stop {
        let label = format!("c{caller}-{}", logs.len());
        let plan = draw_plan(&mut source, label);
        let runner = ProgramRunner::new(plan, directory.clone(), source.random());
        logs.push(runner.run().await);
    }
    logs
}

fn draw_plan(source: &mut StdRng, label: String) -> ProgramPlan {
    let turns = source.random_range(2..8);
    let mut plan = ProgramPlan::mixed(label, turns);
    plan.order_every = source.random_range(0..3);
    plan.has_child = source.random_bool(0.4);
    plan.max_tokens = source.random_range(10..60);
    plan.pause = Duration::from_millis(source.random_range(0..300));
    plan.patience = PATIENCE;
    if source.random_bool(0.3) {
        plan.caller_key = OTHER_CALLER_KEY.to_owned();
    }
    match source.random_range(0..10) {
        0..6 => plan.ending = PlanEnding::Finish,
        6..8 => plan.ending = PlanEnding::Cancel,
        _ => {
            plan.ending = PlanEnding::Exhaust;
            plan.budget_calls = source.random_range(1..turns);
            plan.order_every = 0;
            plan.has_child = false;
        }
    }
    plan
}
