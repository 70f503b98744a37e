//! Tests the order and the times of the steps of a replay.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use arbitrary::Unstructured;
use ebony_testkit::{Result, check_seeds};
use ebony_trace::plan::MAX_ATTEMPTS;
use ebony_trace::{
    DeploymentKind, DueStep, EngineProfile, PlanError, ProgramEnd, ProgramOutcome, ReplayPlan, ReplaySummary,
    StepEnd, StepKey, TimeScale, TraceDocument, TraceGenerator, TraceScenario, TraceTimeline,
};
use ebony_types::{ClockTime, ProblemCode, RunVerdict};
use support::small_document;

const START: ClockTime = ClockTime::from_millis(5_000);

/// Returns the step's key and how long an unloaded engine or service takes for it, or `None` for a marker.
fn ideal_time(step: &DueStep, engine: &EngineProfile, scale: TimeScale) -> Option<(StepKey, Duration)> {
    match step {
        DueStep::Model(step) => {
            let time = engine.call_time(step.new_tokens + step.shared_tokens, step.output_tokens);
            Some((step.key, scale.to_wall(time)))
        }
        DueStep::Tool(step) => Some((step.key, step.run_time.min(step.timeout))),
        DueStep::Marker(_) => None,
    }
}

/// Replays on engines of unlimited capacity. Returns the log of events and the outcomes of the programs.
fn replay_ideally(document: &Arc<TraceDocument>) -> (Vec<String>, Vec<ProgramOutcome>) {
    let header = document.header();
    let mut plan = ReplayPlan::open(document.clone(), START);
    let mut open: BTreeSet<(ClockTime, StepKey)> = BTreeSet::new();
    let (mut log, mut outcomes) = (Vec::new(), Vec::new());
    while !plan.is_finished() {
        let next_end = open.first().map(|(end, _)| *end);
        let now = [plan.next_due(), next_end]
            .into_iter()
            .flatten()
            .min()
            .expect("an unfinished plan has a due step or a call in flight");
        let at = now.since(START).as_millis();
        while let Some(step) = plan.take_due(now) {
            match ideal_time(&step, &header.engine, header.time_scale) {
                Some((key, time)) => {
                    log.push(format!("{at} ms: send {key}"));
                    open.insert((now + time, key));
                }
                None => log.push(format!("{at} ms: {step:?}")),
            }
        }
        while let Some((_, key)) = open.first().copied().filter(|(end, _)| *end <= now) {
            open.pop_first();
            log.push(format!("{at} ms: end {key}"));
            let completion = plan
                .complete(key, StepEnd::Answered, now)
                .expect("the call is in flight");
            outcomes.extend(completion.outcome);
        }
    }
    assert_eq!(plan.unstarted_programs(), 0);
    (log, outcomes)
}

/// Pins the order and times of a small replay with pauses, a deadline, a blocking and a non-blocking sub-agent, and a
/// marker.
#[test]
fn small_replay_is_stable() {
    let (log, outcomes) = replay_ideally(&Arc::new(small_document()));
    insta::assert_snapshot!(format!("{}\n{outcomes:#?}", log.join("\n")));
}

/// Guards against a plan and a timeline that disagree about the critical path, which would make every slowdown wrong.
#[test]
fn latency_on_ideal_engines_is_the_critical_path() {
    for scenario in TraceScenario::ALL {
        let generator = TraceGenerator::open(DeploymentKind::Fanghi);
        let document = Arc::new(generator.generate(scenario).unwrap());
        let timeline = TraceTimeline::of(&document);
        let (_, outcomes) = replay_ideally(&document);
        assert_eq!(outcomes.len(), document.programs().len());
        let mut summary = ReplaySummary::open("ideal", document.clone()).unwrap();
        for outcome in &outcomes {
            let path = timeline.paths[outcome.program as usize];
            // Each step of a replay is rounded to a microsecond, which is 10 us of trace time.
            let difference = outcome.latency.abs_diff(path);
            assert!(
                difference < Duration::from_millis(10),
                "{scenario}: {outcome:?}, path {path:?}"
            );
            summary.record_program(outcome).unwrap();
        }
        let report = summary.report();
        assert!((99..=101).contains(&report.slowdown.p99), "{:?}", report.slowdown);
        assert!(report.fairness > 0.999);
    }
}

fn arbitrary_end(input: &mut Unstructured<'_>) -> Result<StepEnd> {
    Ok(match input.arbitrary::<u8>()? % 8 {
        0 => StepEnd::Disconnected,
        1 => StepEnd::Corrupt,
        2 => StepEnd::Problem {
            code: *input.choose(ProblemCode::ALL)?,
            run: *input.choose(&[RunVerdict::NotRun, RunVerdict::MayHaveRun, RunVerdict::Ran])?,
            retry_after: input.arbitrary::<bool>()?.then_some(Duration::from_secs(1)),
        },
        _ => StepEnd::Answered,
    })
}

/// For any results of calls, a plan must finish, send each program's calls in order and one at a time, send a call at
/// most [`MAX_ATTEMPTS`] times, and never retry a call that may have run and must run at most once.
#[test]
fn call_order_and_retry_rules_hold_under_faults() {
    let generator = TraceGenerator::open(DeploymentKind::Calabash);
    let documents = [
        Arc::new(small_document()),
        Arc::new(generator.generate(TraceScenario::SubAgents).unwrap()),
        Arc::new(generator.generate(TraceScenario::ToolPauses).unwrap()),
    ];
    check_seeds(120, 8_192, |input| {
        let document = input.choose(&documents)?.clone();
        let mut plan = ReplayPlan::open(document.clone(), START);
        let mut in_flight = Vec::new();
        let mut last_sent: BTreeMap<u32, StepKey> = BTreeMap::new();
        let mut attempts: BTreeMap<StepKey, u8> = BTreeMap::new();
        let mut ended = BTreeSet::new();
        let mut now = START;
        while !plan.is_finished() {
            now = plan
                .next_due()
                .filter(|_| in_flight.len() < 50)
                .unwrap_or(now)
                .max(now);
            while let Some(step) = plan.take_due(now) {
                let Some((key, _)) =
                    ideal_time(&step, &document.header().engine, document.header().time_scale)
                else {
                    continue;
                };
                assert!(
                    last_sent
                        .insert(key.program, key)
                        .is_none_or(|before| before <= key)
                );
                assert!(
                    in_flight
                        .iter()
                        .all(|other: &StepKey| other.program != key.program)
                );
                assert!(!ended.contains(&key.program));
                let count = attempts.entry(key).or_default();
                *count += 1;
                assert!(*count <= MAX_ATTEMPTS);
                in_flight.push(key);
            }
            if in_flight.is_empty() {
                continue;
            }
            let key = in_flight.swap_remove(input.choose_index(in_flight.len())?);
            let end = if input.is_empty() {
                StepEnd::Answered
            } else {
                arbitrary_end(input)?
            };
            let completion = plan.complete(key, end, now).expect("the call is in flight");
            assert_eq!(plan.complete(key, end, now), Err(PlanError::NotInFlight(key)));
            let turn = &document.programs()[key.program as usize].turns[usize::from(key.turn)];
            let runs_once = turn.call.as_ref().is_some_and(|call| call.runs_once);
            if let StepEnd::Problem { run, .. } = end {
                let is_model = key.kind == ebony_trace::StepKind::Model;
                assert!(is_model || !runs_once || run == RunVerdict::NotRun || !completion.will_retry);
            }
            if let Some(outcome) = completion.outcome {
                assert!(ended.insert(outcome.program));
                assert_eq!(outcome.end == ProgramEnd::Finished, end == StepEnd::Answered);
            }
        }
        assert_eq!(ended.len() + plan.unstarted_programs(), document.programs().len());
        Ok(())
    });
}
