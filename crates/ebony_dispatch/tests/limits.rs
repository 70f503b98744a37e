//! Placement and admission beside targets that limit their rate.

use std::time::Duration;

use ebony_dispatch::load::LoadNotice;
use ebony_dispatch::{
    DispatchOptions, PermitBar, PlacementRequest, TargetBoard, TargetChange, TargetKey, TargetPhase,
    TargetRecord, VersionRule, place, service_load,
};
use ebony_limit::{LimitChange, LimitObservation, PermitBucket, PermitDecision, RequestRate};
use ebony_types::{ClockTime, DomainName, ServiceName, SoftwareVersion, TargetName};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const NOW: ClockTime = ClockTime::from_millis(1_000);
const SLOTS: u32 = 8;

fn record(number: usize, born: u64) -> TargetRecord {
    TargetRecord {
        name: TargetName::parse(&format!("engine-{number}")).expect("a valid name"),
        service: ServiceName::parse("models").expect("a valid name"),
        address: "10.0.0.1:80".parse().expect("an address"),
        domain: DomainName::parse("a").expect("a valid name"),
        version: SoftwareVersion::parse("v1").expect("a version"),
        slots: SLOTS,
        phase: TargetPhase::Ready,
        born,
    }
}

fn board(targets: usize) -> (TargetBoard, Vec<TargetKey>) {
    let mut board = TargetBoard::default();
    let keys = (0..targets).map(|number| match board.apply(record(number, 1)) {
        TargetChange::Added(key) => key,
        change => panic!("{change:?}"),
    });
    let keys = keys.collect();
    (board, keys)
}

fn observation(rate: Option<f64>, at: ClockTime) -> LimitObservation {
    LimitObservation {
        rate: rate.map(|rate| RequestRate::per_second(rate).expect("a rate")),
        sent_at: at,
        received_at: at + Duration::from_millis(1),
    }
}

/// Records a limit that an incarnation of a target names.
fn limit(board: &mut TargetBoard, number: usize, born: u64, rate: f64) -> LimitChange {
    let record = record(number, born);
    board.observe_limit(&record.name, record.incarnation(), observation(Some(rate), NOW))
}

fn place_within(board: &TargetBoard, max_permit_wait: Option<Duration>) -> Option<TargetKey> {
    let request = PlacementRequest {
        service: &ServiceName::parse("models").expect("a valid name"),
        domain: &DomainName::parse("a").expect("a valid name"),
        affinity: "program-1",
        is_sticky: false,
        prompt: &[],
        tried: &[],
        max_connections: 100,
        max_permit_wait,
        versions: VersionRule::Any,
    };
    place(board, &request, &DispatchOptions::default(), NOW)
}

#[test]
fn a_call_waits_for_a_permit_only_as_long_as_it_may() {
    let (mut board, keys) = board(2);
    limit(&mut board, 0, 1, 5.0);
    limit(&mut board, 1, 1, 5.0);
    board.record_next_permit(keys[0], NOW + Duration::from_millis(40));
    board.record_next_permit(keys[1], NOW + Duration::from_millis(90));
    let waits = [None, Some(20), Some(40), Some(200)];
    let chosen = waits.map(|wait| place_within(&board, wait.map(Duration::from_millis)));
    assert_eq!(chosen, [None, None, Some(keys[0]), Some(keys[0])]);
    let service = ServiceName::parse("models").expect("a valid name");
    assert_eq!(board.permit_wait(&service, NOW), Some(Duration::from_millis(40)));
}

#[test]
fn a_limit_holds_for_one_incarnation_of_a_target() {
    let (mut board, keys) = board(1);
    assert!(matches!(limit(&mut board, 0, 1, 5.0), LimitChange::Begun(_)));
    assert_eq!(limit(&mut board, 0, 0, 2.0), LimitChange::Outdated);
    assert!(board.target(keys[0]).is_some_and(|target| target.limit.is_some()));
    let TargetChange::Added(restarted) = board.apply(record(0, 2)) else {
        panic!("the target was restarted");
    };
    assert!(
        board
            .target(restarted)
            .is_some_and(|target| target.limit.is_none())
    );
    // Another gateway may know a target and its limit before this one has read the list.
    assert!(matches!(limit(&mut board, 0, 3, 5.0), LimitChange::Begun(_)));
    let TargetChange::Added(listed) = board.apply(record(0, 3)) else {
        panic!("the target was restarted");
    };
    assert!(board.target(listed).is_some_and(|target| target.limit.is_some()));
}

#[test]
fn limits_of_targets_that_are_gone_are_forgotten() {
    let (mut board, _) = board(1);
    limit(&mut board, 0, 1, 5.0);
    limit(&mut board, 7, 1, 5.0);
    board.expire_limits(NOW + Duration::from_secs(59));
    assert_eq!(board.limit_observations().len(), 2);
    board.expire_limits(NOW + Duration::from_secs(61));
    assert_eq!(board.limit_observations().len(), 1);
}

#[test]
fn free_slots_of_limited_targets_do_not_hide_the_load_of_the_others() {
    let (mut board, keys) = board(4);
    let (options, service) = (
        DispatchOptions::default(),
        ServiceName::parse("models").expect("a valid name"),
    );
    let notice = |running| LoadNotice {
        running,
        waiting: running,
        slots: SLOTS,
        ..LoadNotice::default()
    };
    for (key, running) in keys.iter().zip([1, 1, 1, SLOTS]) {
        board.record_notice(*key, notice(running), NOW);
    }
    let unlimited = service_load(&board, &service, &options, NOW);
    for number in 0..3 {
        limit(&mut board, number, 1, 2.0);
    }
    let beside_limited = service_load(&board, &service, &options, NOW);
    limit(&mut board, 3, 1, 2.0);
    let all_limited = service_load(&board, &service, &options, NOW);
    insta::assert_snapshot!(format!(
        "none limited {unlimited:.2}, three limited {beside_limited:.2}, all limited {all_limited:.2}"
    ));
}

/// Plays calls of uneven length, for which there are permits for every third.
#[test]
fn the_longest_calls_use_the_permits() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut now = ClockTime::default();
    let rate = RequestRate::per_second(10.0).expect("a rate");
    let (mut bar, mut bucket) = (PermitBar::default(), PermitBucket::open(rate, now));
    let (mut with_permit, mut without) = (Vec::new(), Vec::new());
    for _ in 0..3_000 {
        now = now + Duration::from_millis(rng.random_range(0..67));
        // Few calls are long, and one estimate in a thousand is absurd.
        let spread: f64 = rng.random_range(-2.0..2.0);
        let output = 60.0 * spread.exp();
        bar.record_call(if rng.random_ratio(1, 1_000) {
            f64::MAX
        } else {
            output
        });
        let decision = bar
            .admits(output)
            .then(|| bucket.take(now, Duration::from_millis(100)));
        if let Some(decision) = decision {
            let is_free = decision == PermitDecision::Granted { wait: Duration::ZERO };
            bar.record_permit(is_free);
        }
        match decision {
            Some(PermitDecision::Granted { .. }) => with_permit.push(output),
            _ => without.push(output),
        }
    }
    let mean = |outputs: &[f64]| outputs.iter().sum::<f64>() / outputs.len() as f64;
    let used = with_permit.len() as f64 / (10.0 * now.as_micros() as f64 / 1e6);
    assert!(used > 0.9, "{used:.2} of the permits are used");
    assert!(mean(&with_permit) > 2.0 * mean(&without));
    insta::assert_snapshot!(format!(
        "{used:.2} of the permits used; {:.0} tokens a call with a permit, {:.0} without",
        mean(&with_permit),
        mean(&without)
    ));
}
