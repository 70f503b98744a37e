//! Choices of targets without even load.

use std::time::Duration;

use ebony_dispatch::load::LoadNotice;
use ebony_dispatch::{
    DispatchOptions, PlacementRequest, PlacementRule, PromptPart, RunKey, TargetBoard, TargetChange,
    TargetKey, TargetPhase, TargetRecord, VersionRule, place,
};
use ebony_types::{ClockTime, DomainName, ServiceName, SoftwareVersion, TargetName};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const TARGETS: usize = 9;

fn record(number: usize) -> TargetRecord {
    TargetRecord {
        name: TargetName::parse(&format!("engine-{number}")).expect("a valid name"),
        service: ServiceName::parse("models").expect("a valid name"),
        address: ([10, 0, 0, number as u8], 80).into(),
        domain: DomainName::parse(if number.is_multiple_of(3) { "a" } else { "b" }).expect("a valid name"),
        version: SoftwareVersion::parse("v1").expect("a version"),
        slots: 4 + number as u32 % 3 * 2,
        phase: TargetPhase::Ready,
        born: 1,
    }
}

/// Returns the choices for a sequence of calls, reports, failures and ends, one digit each.
fn choices(rule: PlacementRule, options: DispatchOptions, seed: u64) -> String {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let options = DispatchOptions { rule, ..options };
    let mut board = TargetBoard::default();
    let keys: Vec<TargetKey> = (0..TARGETS)
        .map(|number| match board.apply(record(number)) {
            TargetChange::Added(key) => key,
            change => panic!("{change:?}"),
        })
        .collect();
    let service = ServiceName::parse("models").expect("a valid name");
    let domain = DomainName::parse("a").expect("a valid name");
    let mut now = ClockTime::from_millis(1_000);
    let mut runs: Vec<RunKey> = Vec::new();
    let mut chosen = String::new();
    for _ in 0..400 {
        now = now + Duration::from_millis(rng.random_range(0..20));
        let program = rng.random_range(0..12_u64);
        let turns = rng.random_range(0..5_u64);
        let part = |turn| PromptPart {
            part: if turn == 0 { 1 } else { 100 + program * 10 + turn },
            tokens: 300,
        };
        let prompt: Vec<PromptPart> = (0..turns).map(part).collect();
        let tried: Vec<TargetKey> = (0..rng.random_range(0..3)).map(|at| keys[at]).collect();
        let request = PlacementRequest {
            service: &service,
            domain: &domain,
            affinity: &format!("program-{program}"),
            is_sticky: false,
            prompt: &prompt,
            tried: &tried,
            max_connections: 12,
            max_permit_wait: None,
            versions: VersionRule::Any,
        };
        let key = place(&board, &request, &options, now).expect("a target is ready");
        let at = keys.iter().position(|found| *found == key).expect("a known key");
        chosen.push(char::from_digit(at as u32, 10).expect("a digit"));
        let run = board.begin(key, &prompt, Some(6_000));
        runs.push(run);
        let at = keys[rng.random_range(0..TARGETS)];
        match rng.random_range(0..24) {
            0 => board.record_full(at, &options, now),
            1 => drop(board.record_failure(at, &options, now)),
            2..4 => drop(board.record_success(at)),
            4..18 => {
                let notice = LoadNotice {
                    running: rng.random_range(0..8),
                    waiting: rng.random_range(0..6),
                    slots: 8,
                    ..LoadNotice::default()
                };
                board.record_notice(at, notice, now);
            }
            _ => {}
        }
        if runs.len() > 40 {
            let run = runs.swap_remove(rng.random_range(0..runs.len()));
            board.end(run);
        }
    }
    chosen
}

/// Guards against a change of the choice of targets in deployments that did not ask for even load. The snapshot was
/// made with the code before even load.
#[test]
fn choices_without_even_load_are_those_of_earlier_versions() {
    let rules = [
        PlacementRule::EstimatedDelay,
        PlacementRule::HomeTarget,
        PlacementRule::LeastOwnLoad,
    ];
    let lines = rules.map(|rule| {
        let seeds = [1, 2, 3].map(|seed| choices(rule, DispatchOptions::default(), seed));
        format!("{rule:?}\n{}", seeds.join("\n"))
    });
    insta::assert_snapshot!(lines.join("\n"));
}
