//! Tests that the committed traces match the generator and are suitable for replays.

use std::path::Path;
use std::time::Duration;

use ebony_testkit::check_seeds;
use ebony_trace::{
    DeploymentKind, ProgramOrigin, TraceDocument, TraceGenerator, TraceLoad, TraceProgram, TraceScenario,
    read_trace, write_trace,
};

const MAX_FILE_BYTES: usize = 200_000;

fn generated(deployment: DeploymentKind, scenario: TraceScenario) -> TraceDocument {
    let generator = TraceGenerator::open(deployment);
    generator
        .generate(scenario)
        .expect("the generated trace is valid")
}

fn all_traces() -> impl Iterator<Item = (DeploymentKind, TraceScenario)> {
    let scenarios = |deployment| TraceScenario::ALL.map(|scenario| (deployment, scenario));
    DeploymentKind::ALL.into_iter().flat_map(scenarios)
}

/// Figures of replays are compared across runs on the committed files. If the generator changed its output, earlier
/// figures would no longer be comparable.
#[test]
fn committed_files_are_what_the_generator_writes() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../traces");
    for (deployment, scenario) in all_traces() {
        let name = TraceGenerator::open(deployment).file_name(scenario);
        let committed = std::fs::read(folder.join(&name)).expect(&name);
        let mut bytes = Vec::new();
        write_trace(&generated(deployment, scenario), &mut bytes).expect("writing to memory succeeds");
        assert!(
            committed == bytes,
            "{name}: run `cargo run -p ebony_trace --example generate`"
        );
        assert!(bytes.len() < MAX_FILE_BYTES, "{name} has {} bytes", bytes.len());
        let read = read_trace(committed.as_slice()).expect(&name);
        assert_eq!(read, generated(deployment, scenario));
    }
}

/// Guards against unnoticed changes of the load. An unloaded replay takes between 20 and 40 s.
#[test]
fn loads_are_stable() {
    let mut lines = Vec::new();
    for (deployment, scenario) in all_traces() {
        let document = generated(deployment, scenario);
        let load = TraceLoad::of(&document);
        let replay = document.header().time_scale.to_wall(load.end);
        let range = Duration::from_secs(20)..Duration::from_secs(40);
        assert!(range.contains(&replay), "{deployment} {scenario}: {replay:?}");
        assert_eq!(
            load.peak_slot_share > 1.0,
            scenario == TraceScenario::Burst,
            "{deployment} {scenario}"
        );
        lines.push(format!("{deployment} {scenario}: {load:#?}"));
        lines.push(format!("{:?}", document.header().outcomes));
    }
    insta::assert_snapshot!(lines.join("\n"));
}

fn depth(document: &TraceDocument, program: &TraceProgram) -> usize {
    match program.origin {
        ProgramOrigin::Arrival { .. } => 0,
        ProgramOrigin::Child { parent, .. } => 1 + depth(document, &document.programs()[parent as usize]),
    }
}

/// Each scenario must contain the load pattern or fault that it is named after.
#[test]
fn scenarios_contain_their_load_patterns_and_faults() {
    for deployment in DeploymentKind::ALL {
        let long = generated(deployment, TraceScenario::LongBesideShort);
        let turns = || long.programs().iter().map(|program| program.turns.len());
        assert!(turns().max() > Some(75) && turns().max() <= Some(84));
        assert!(turns().filter(|turns| *turns <= 3).count() > 200);

        let pauses = generated(deployment, TraceScenario::ToolPauses);
        let turns = pauses.programs().iter().flat_map(|program| &program.turns);
        let is_hung = |pause_ms, deadline_ms| pause_ms > deadline_ms && deadline_ms < 10_000;
        let hung = turns.filter(|turn| {
            turn.call
                .as_ref()
                .is_some_and(|call| is_hung(turn.pause_ms, call.deadline_ms))
        });
        assert!(hung.count() >= 10);

        let agents = generated(deployment, TraceScenario::SubAgents);
        let depths = agents.programs().iter().map(|program| depth(&agents, program));
        assert_eq!(depths.max(), Some(2));
        let non_blocking = |program: &&TraceProgram| {
            matches!(
                program.origin,
                ProgramOrigin::Child {
                    is_blocking: false,
                    ..
                }
            )
        };
        assert!(agents.programs().iter().filter(non_blocking).count() >= 10);

        assert_eq!(
            generated(deployment, TraceScenario::LostDomain).markers().len(),
            2
        );

        let shift = generated(deployment, TraceScenario::ModelShift);
        let larger = &shift.header().models[0].model;
        let half = shift.programs().len() / 2;
        let count = |programs: &[TraceProgram]| programs.iter().filter(|p| p.model == *larger).count();
        let (before, after) = shift.programs().split_at(half);
        assert!(count(before) > 2 * count(after));
    }
}

/// Every seed must give a trace that the reader accepts.
#[test]
fn every_seed_generates_a_valid_trace() {
    check_seeds(40, 16, |input| {
        let deployment = *input.choose(&DeploymentKind::ALL)?;
        let scenario = *input.choose(&TraceScenario::ALL)?;
        let generator = TraceGenerator::open(deployment).with_seed(input.arbitrary()?);
        let document = generator
            .generate(scenario)
            .expect("the generated trace is valid");
        let mut bytes = Vec::new();
        write_trace(&document, &mut bytes).expect("writing to memory succeeds");
        assert_eq!(
            read_trace(bytes.as_slice()).expect("a written trace is valid"),
            document
        );
        Ok(())
    });
}
