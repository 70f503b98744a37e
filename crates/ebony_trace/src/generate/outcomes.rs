//! Outcomes that generated traces state.

use crate::format::{OutcomeBound, OutcomeMeasure};
use crate::generate::deployment::DeploymentKind;
use crate::generate::scenario::TraceScenario;
use crate::timeline::TraceLoad;

const PERCENT: f64 = 100.0;

/// Goals of a scenario in percent, for a deployment that weighs latency and wasted cache equally.
struct ScenarioGoals {
    /// Slowdown at the 95th percentile.
    slowdown: u32,
    /// Calls that are rejected without being run.
    refused: u32,
    /// Programs that do not receive their last answer.
    failed: u32,
    /// Wasted cache in addition to the waste that no scheduler can avoid.
    extra_waste: u32,
    /// Fairness between callers.
    fairness: u32,
}

/// Returns the goals of a scenario. They are estimates, because no published system states such figures. Refusals are a
/// last resort, so that scenarios without an overload allow at most 1% of them.
fn goals(scenario: TraceScenario) -> ScenarioGoals {
    let usual = ScenarioGoals {
        slowdown: 200,
        refused: 1,
        failed: 0,
        extra_waste: 20,
        fairness: 95,
    };
    match scenario {
        TraceScenario::OrdinaryDay | TraceScenario::SubAgents => usual,
        TraceScenario::Burst => ScenarioGoals {
            slowdown: 400,
            refused: 20,
            failed: 5,
            fairness: 80,
            ..usual
        },
        TraceScenario::LongBesideShort => ScenarioGoals {
            slowdown: 250,
            fairness: 90,
            ..usual
        },
        TraceScenario::ToolPauses => ScenarioGoals {
            extra_waste: 30,
            ..usual
        },
        TraceScenario::LostDomain => ScenarioGoals {
            slowdown: 350,
            refused: 5,
            failed: 2,
            extra_waste: 40,
            fairness: 85,
        },
        TraceScenario::ModelShift => ScenarioGoals {
            slowdown: 300,
            refused: 3,
            failed: 1,
            extra_waste: 30,
            fairness: 85,
        },
    }
}

/// Returns the stated outcomes. The latency weight of the deployment scales the goals: the allowed delay over the
/// unloaded time by 1.5 at weight 0 down to 0.5 at weight 100, the allowed extra waste by 0.5 up to 1.5.
pub(super) fn stated_outcomes(
    deployment: DeploymentKind,
    scenario: TraceScenario,
    load: &TraceLoad,
) -> Vec<OutcomeBound> {
    let goals = goals(scenario);
    let weight = deployment.latency_weight_percent();
    let slowdown = 100 + (goals.slowdown - 100) * (150 - weight) / 100;
    let extra_waste = goals.extra_waste * (50 + weight) / 100;
    let least_waste = (load.least_waste * PERCENT).ceil() as u32;
    let latency_ms = load.path_p95.as_millis() as u64 * u64::from(slowdown) / 100;
    vec![
        OutcomeBound::at_most(OutcomeMeasure::ProgramLatencyP95Ms, latency_ms as u32),
        OutcomeBound::at_most(OutcomeMeasure::SlowdownP95Percent, slowdown),
        OutcomeBound::at_most(OutcomeMeasure::RefusedPercent, goals.refused),
        OutcomeBound::at_most(OutcomeMeasure::FailedProgramsPercent, goals.failed),
        OutcomeBound::at_most(OutcomeMeasure::WastedCachePercent, least_waste + extra_waste),
        OutcomeBound::at_least(OutcomeMeasure::FairnessPercent, goals.fairness),
        OutcomeBound::at_most(OutcomeMeasure::LostCalls, 0),
        OutcomeBound::at_most(OutcomeMeasure::DuplicatedRuns, 0),
        OutcomeBound::at_most(OutcomeMeasure::OrderViolations, 0),
        OutcomeBound::at_most(OutcomeMeasure::FalseNotRun, 0),
    ]
}
