//! Tests of idempotency keys. Dispatching a call with the same key twice would repeat an irreversible operation.

use std::time::Duration;

use ebony_owner::{OwnerAction, OwnerEvent, OwnerSettings, TurnBody, one_call_program};
use ebony_types::{CallRequest, ProblemCode, ProblemReport, ProgramBudget, TargetName};

use crate::harness::fixture::{OwnerFixture, answers, dispatched};
use crate::harness::platform::{FakePlatform, Fault};
use crate::harness::{arrived, call, caller, finished, key, order, program, session};

const SHORT_WAIT: Duration = Duration::from_millis(100);

fn settings(max_keys: usize) -> OwnerSettings {
    OwnerSettings {
        shard_count: 2,
        max_keys,
        ..OwnerSettings::default()
    }
}

/// Sends a call and waits until its intent is durable.
fn send_order(fixture: &mut OwnerFixture, request: CallRequest) -> Vec<OwnerAction> {
    let mut actions = fixture.send(arrived(request));
    actions.extend(fixture.advance(SHORT_WAIT));
    actions
}

/// Returns the text of the stored answer that a repeated call gets.
fn replayed(fixture: &OwnerFixture, actions: &[OwnerAction]) -> String {
    let place = actions.iter().find_map(|action| match action {
        OwnerAction::Replay { place, .. } => Some(*place),
        _ => None,
    });
    let place = place.expect("a stored answer");
    let object = &fixture.platform.bodies[&(place.session, place.sequence)];
    let body = TurnBody::from_object(object, place).expect("a turn's body");
    String::from_utf8(body.answer.to_vec()).expect("an answer in text")
}

#[test]
fn repeat_gets_the_stored_answer_for_a_day() {
    let mut fixture = OwnerFixture::open(session(1), settings(64));
    let first = send_order(&mut fixture, order(1, None, "pay"));
    assert_eq!(dispatched(&first), [call(1)]);
    let during = send_order(&mut fixture, order(2, None, "pay"));
    fixture.platform.is_down = true;
    fixture.send(finished(call(1), "paid"));
    let undurable = fixture.send(arrived(order(3, None, "pay")));
    fixture.platform.is_down = false;
    fixture.complete_pending(Fault::Refused);
    fixture.advance(SHORT_WAIT);
    let after = send_order(&mut fixture, order(4, None, "pay"));
    assert_eq!(replayed(&fixture, &after), "paid");
    let mut other = order(5, None, "pay");
    other.body = "another order".into();
    let reused = send_order(&mut fixture, other);
    fixture.advance(Duration::from_secs(86_000));
    let retired = send_order(&mut fixture, order(6, None, "pay"));
    assert_eq!(replayed(&fixture, &retired), "paid");
    assert_eq!(fixture.core.report().programs_ended, 0);
    let lines: Vec<String> = [during, undurable, after, reused, retired]
        .iter()
        .flat_map(|actions| answers(actions))
        .collect();
    insta::assert_debug_snapshot!(lines);
    fixture.advance(Duration::from_secs(500));
    assert_eq!(
        fixture.core.report().intent_keys,
        0,
        "the key is removed after its retention"
    );
    assert!(
        fixture.platform.bodies.is_empty(),
        "the answer is deleted with its key"
    );
}

#[test]
fn only_a_call_that_did_not_run_may_run_again() {
    let mut fixture = OwnerFixture::open(session(1), settings(64));
    let id = program(1, 1);
    fixture
        .open_program(id, None, ProgramBudget::default())
        .expect("room for a program");
    for scope in [None, Some(id)] {
        let mut lines = Vec::new();
        for number in 1..=4 {
            let mut actions = send_order(&mut fixture, order(number, scope, "pay"));
            if dispatched(&actions) == [call(number)] {
                let problem = match number {
                    1 => ProblemReport::not_run(ProblemCode::NoTarget, "no target"),
                    _ => ProblemReport::may_have_run(ProblemCode::TargetFailed, "lost"),
                };
                let call = call(number);
                actions.extend(fixture.send(OwnerEvent::CallFailed { call, problem }));
                lines.push(format!("{call} ran"));
            }
            lines.extend(answers(&actions));
        }
        insta::assert_debug_snapshot!(lines);
    }
}

/// A successor must not dispatch a call that the lost owner may have sent to a target.
#[test]
fn successor_never_runs_an_intended_call() {
    let mut fixture = OwnerFixture::open(session(1), settings(64));
    let id = program(1, 1);
    fixture
        .open_program(id, None, ProgramBudget::default())
        .expect("room for a program");
    send_order(&mut fixture, order(1, Some(id), "pay"));
    let target = TargetName::parse("workshop-1").expect("a valid name");
    fixture.send(OwnerEvent::CallPlaced {
        call: call(1),
        target,
    });
    send_order(&mut fixture, order(2, None, "ship"));
    fixture.advance(SHORT_WAIT);
    let platform: FakePlatform = std::mem::take(&mut fixture.platform);
    let mut successor = OwnerFixture::on_platform(session(2), settings(64), platform);
    successor.advance(SHORT_WAIT);
    let mut actions = send_order(&mut successor, order(3, Some(id), "pay"));
    actions.extend(send_order(&mut successor, order(4, None, "ship")));
    assert_eq!(dispatched(&actions), []);
    insta::assert_debug_snapshot!(answers(&actions));
}

/// The key of an evicted one-call program is stored only in checkpoints, and must survive the loss of its owner.
#[test]
fn retired_key_survives_its_owner() {
    let settings = OwnerSettings {
        checkpoint_rows: 1,
        ..settings(64)
    };
    let mut fixture = OwnerFixture::open(session(1), settings.clone());
    send_order(&mut fixture, order(1, None, "pay"));
    fixture.send(finished(call(1), "paid"));
    fixture.advance(Duration::from_secs(700));
    assert_eq!(fixture.core.report().programs_ended, 0);
    for (number, name) in [(2, "a"), (3, "b"), (4, "c")] {
        send_order(&mut fixture, order(number, None, name));
        fixture.send(finished(call(number), "done"));
        fixture.advance(SHORT_WAIT);
    }
    let platform: FakePlatform = std::mem::take(&mut fixture.platform);
    let mut successor = OwnerFixture::on_platform(session(2), settings, platform);
    let repeat = send_order(&mut successor, order(5, None, "pay"));
    assert_eq!(replayed(&successor, &repeat), "paid");
}

/// A full key table must refuse new keys: evicting a key could run its request twice.
#[test]
fn full_table_refuses_further_keys() {
    let mut fixture = OwnerFixture::open(session(1), settings(2));
    let mut lines = Vec::new();
    for (number, name) in ["a", "b", "c", "a"].iter().enumerate() {
        let number = number as u64 + 1;
        let mut actions = send_order(&mut fixture, order(number, None, name));
        actions.extend(fixture.send(finished(call(number), "done")));
        actions.extend(fixture.advance(SHORT_WAIT));
        lines.extend(answers(&actions));
    }
    insta::assert_debug_snapshot!(lines);
}

/// All entries must compute the same owner for a key.
#[test]
fn owner_of_a_key_is_stable() {
    let program = one_call_program(&caller("shop-fiji"), &key("order-17"), 64);
    insta::assert_snapshot!(program.to_string());
    assert_ne!(
        program,
        one_call_program(&caller("shop-tonga"), &key("order-17"), 64)
    );
}
