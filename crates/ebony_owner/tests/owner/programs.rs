//! Tests of one session: the order of calls, history, budgets, and the answers to callers.

use std::time::Duration;

use crate::harness::fixture::{OwnerFixture, answers, dispatched};
use crate::harness::platform::Fault;
use crate::harness::{arrived, call, caller, chat, finished, order, program, session};
use ebony_owner::{OwnerAction, OwnerEvent, OwnerSettings};
use ebony_types::{BudgetUse, ProblemCode, ProblemReport, ProgramBudget, RunVerdict};
use ebony_wire::ProgramOperation;

fn fixture() -> OwnerFixture {
    let settings = OwnerSettings {
        shard_count: 1,
        ..OwnerSettings::default()
    };
    OwnerFixture::open(session(1), settings)
}

const SHORT_WAIT: Duration = Duration::from_millis(100);

/// A wrong delta, digest or place would show another history.
#[test]
fn history_has_new_messages_and_answers_of_each_turn() {
    let mut fixture = fixture();
    let id = program(0, 1);
    fixture
        .open_program(id, None, ProgramBudget::default())
        .expect("room for a program");
    for (number, messages) in [
        (1, vec!["plan a trip"]),
        (2, vec!["plan a trip", "to Suva", "by boat"]),
        (3, vec!["edited", "by boat"]),
    ] {
        fixture.send(arrived(chat(number, Some(id), &messages)));
        fixture.send(finished(call(number), &format!("{{\"answer\":{number}}}")));
        fixture.advance(SHORT_WAIT);
    }
    fixture.send(arrived(order(4, Some(id), "pay")));
    fixture.advance(SHORT_WAIT);
    fixture.send(finished(call(4), "paid"));
    fixture.advance(SHORT_WAIT);
    insta::assert_json_snapshot!(fixture.history(id));
    insta::assert_debug_snapshot!(fixture.show(id));
}

/// Calls run in order, the queue is bounded, and a waiting call is answered at its deadline.
#[test]
fn calls_wait_in_order_and_no_longer_than_their_deadline() {
    let mut fixture = fixture();
    let id = program(0, 1);
    fixture
        .open_program(id, None, ProgramBudget::default())
        .expect("room for a program");
    let mut actions = Vec::new();
    for number in 1..=10 {
        let mut request = chat(number, Some(id), &["hi"]);
        request.timeout_ms = if number == 3 { 500 } else { 60_000 };
        actions.extend(fixture.send(arrived(request)));
    }
    assert_eq!(dispatched(&actions), [call(1)]);
    actions.extend(fixture.advance(Duration::from_secs(1)));
    for number in [1, 2] {
        actions.extend(fixture.send(finished(call(number), "ok")));
    }
    actions.extend(fixture.advance(SHORT_WAIT));
    assert_eq!(dispatched(&actions), [call(1), call(2), call(4)]);
    insta::assert_debug_snapshot!(answers(&actions));
}

/// A cancelled call that still runs must not overlap with the program's next call.
#[test]
fn next_call_waits_for_the_end_of_a_cancelled_one() {
    let mut fixture = fixture();
    let id = program(0, 1);
    fixture
        .open_program(id, None, ProgramBudget::default())
        .expect("room for a program");
    fixture.send(arrived(chat(1, Some(id), &["hi"])));
    fixture.send(arrived(chat(2, Some(id), &["hi"])));
    let cancelled = fixture.send(OwnerEvent::CallCancelled { call: call(1) });
    insta::assert_debug_snapshot!(cancelled);
    assert_eq!(dispatched(&fixture.advance(Duration::from_secs(9))), []);
    let failed = OwnerEvent::CallFailed {
        call: call(1),
        problem: ProblemReport::may_have_run(ProblemCode::Cancelled, "ended early"),
    };
    assert_eq!(dispatched(&fixture.send(failed)), [call(2)]);
    let used = fixture.show(id).used;
    assert_eq!(
        used,
        BudgetUse { tokens: 20, calls: 1 },
        "the whole reservation is spent"
    );
}

/// A caller must not use the programs of another caller.
#[test]
fn other_callers_get_no_access() {
    let mut fixture = fixture();
    let id = program(0, 1);
    fixture
        .open_program(id, None, ProgramBudget::default())
        .expect("room for a program");
    let mut foreign = chat(1, Some(id), &["hi"]);
    foreign.caller = caller("shop-tonga");
    let mut actions = fixture.send(arrived(foreign));
    actions.extend(fixture.send(arrived(chat(2, Some(program(0, 9)), &["hi"]))));
    actions.extend(fixture.send(arrived(order(3, Some(program(0, 9)), "pay"))));
    actions.extend(fixture.finish(id, caller("shop-tonga")));
    insta::assert_debug_snapshot!(actions);
}

/// Children draw on the budget of their parent, and unused blocks of a sibling are returned before a call is refused.
#[test]
fn children_share_the_budget_of_their_parent() {
    let mut fixture = fixture();
    let (parent, left, right) = (program(0, 1), program(0, 2), program(0, 3));
    let budget = ProgramBudget {
        tokens: 80,
        calls: 40,
        ..ProgramBudget::default()
    };
    fixture
        .open_program(parent, None, budget)
        .expect("room for a program");
    fixture
        .open_program(left, Some(parent), budget)
        .expect("room for a child");
    fixture
        .open_program(right, Some(parent), budget)
        .expect("room for a child");
    let mut lines = Vec::new();
    for number in 1..=6 {
        let child = if number % 2 == 0 { left } else { right };
        let mut actions = fixture.send(arrived(chat(number, Some(child), &["hi"])));
        actions.extend(fixture.advance(SHORT_WAIT));
        actions.extend(fixture.send(finished(call(number), "ok")));
        actions.extend(fixture.advance(SHORT_WAIT));
        lines.extend(answers(&actions));
    }
    insta::assert_debug_snapshot!(lines);
    let views = [fixture.show(parent), fixture.show(left)];
    assert_eq!(views[0].used, BudgetUse { tokens: 75, calls: 5 });
    assert_eq!(views[1].used, BudgetUse { tokens: 30, calls: 2 });
    fixture.operate(ProgramOperation::Cancel {
        program: parent,
        caller: None,
    });
    assert_eq!(fixture.show(right).state, "cancelled");
}

/// Opens a program for four calls with two children. Each of the three reserves one call ahead.
fn fixture_with_children() -> OwnerFixture {
    let mut fixture = fixture();
    let budget = ProgramBudget {
        tokens: 640,
        calls: 4,
        ..ProgramBudget::default()
    };
    for (number, parent) in [(1, None), (2, Some(program(0, 1))), (3, Some(program(0, 1)))] {
        fixture
            .open_program(program(0, number), parent, budget)
            .expect("room for a program");
    }
    fixture
}

fn run(fixture: &mut OwnerFixture, number: u64, child: u8) {
    let actions = fixture.send(arrived(chat(number, Some(program(0, child)), &["hi"])));
    assert_eq!(dispatched(&actions), [call(number)]);
    fixture.send(finished(call(number), "ok"));
}

/// A block that was returned for a sibling must be reserved again before it is spent, because a successor no longer
/// counts it.
#[test]
fn returned_block_is_reserved_again_before_it_is_spent() {
    let mut fixture = fixture_with_children();
    for number in 1..=2 {
        run(&mut fixture, number, 3);
        fixture.advance(SHORT_WAIT);
    }
    fixture.platform.is_down = true;
    let mut actions = fixture.send(arrived(chat(3, Some(program(0, 3)), &["hi"])));
    actions.extend(fixture.send(arrived(chat(4, Some(program(0, 2)), &["hi"]))));
    assert_eq!(
        dispatched(&actions),
        [],
        "the block of one child is being returned for the other"
    );
    fixture.platform.is_down = false;
    fixture.complete_pending(Fault::Refused);
    assert_eq!(dispatched(&fixture.advance(SHORT_WAIT)), [call(3), call(4)]);
}

/// The record of a block may become durable only after the block was returned. It must not make the block available
/// again.
#[test]
fn late_record_of_a_returned_block_does_not_revive_it() {
    let mut fixture = fixture_with_children();
    fixture.platform.is_down = true;
    run(&mut fixture, 1, 2);
    run(&mut fixture, 2, 3);
    let waiting = fixture.send(arrived(chat(3, Some(program(0, 3)), &["hi"])));
    fixture.platform.is_down = false;
    let first_row = fixture.complete_pending(Fault::None);
    assert_eq!(answers(&first_row), [format!("{} finish", call(1))]);
    fixture.platform.is_down = true;
    let late = fixture.send(arrived(chat(4, Some(program(0, 2)), &["hi"])));
    assert_eq!((dispatched(&waiting), dispatched(&late)), (vec![], vec![]));
    fixture.platform.is_down = false;
    assert_eq!(dispatched(&fixture.advance(SHORT_WAIT)), [call(3), call(4)]);
}

/// Programs end by themselves at their limits of time and turns, and a child is refused at the depth limit.
#[test]
fn time_turns_and_depth_are_limited() {
    let settings = OwnerSettings {
        shard_count: 1,
        max_turns: 1,
        ..OwnerSettings::default()
    };
    let mut fixture = OwnerFixture::open(session(1), settings);
    let (looping, slow) = (program(0, 1), program(0, 2));
    let budget = ProgramBudget {
        seconds: 2,
        depth: 0,
        ..ProgramBudget::default()
    };
    fixture
        .open_program(looping, None, budget)
        .expect("room for a program");
    fixture
        .open_program(slow, None, budget)
        .expect("room for a program");
    let child = fixture.open_program(program(0, 3), Some(slow), budget);
    assert_eq!(
        child.map_err(|problem| problem.code),
        Err(ProblemCode::BudgetExhausted)
    );
    for number in [1, 2] {
        fixture.send(arrived(chat(number, Some(looping), &["hi"])));
        fixture.send(finished(call(number), "ok"));
        fixture.advance(SHORT_WAIT);
    }
    assert_eq!(fixture.show(looping).state, "exhausted");
    fixture.send(arrived(chat(3, Some(slow), &["hi"])));
    let actions = fixture.advance(Duration::from_secs(3));
    assert_eq!(
        answers(&actions),
        [format!("{} budget_exhausted may_have_run", call(3))]
    );
    assert_eq!(fixture.show(slow).state, "exhausted");
    fixture.advance(Duration::from_secs(700));
    assert_eq!(
        fixture.core.report().programs_ended,
        0,
        "ended programs are evicted"
    );
}

/// Ended programs, which are kept only for their history, must make room for new ones.
#[test]
fn ended_programs_make_room_for_new_ones() {
    let settings = OwnerSettings {
        shard_count: 1,
        max_programs: 2,
        ..OwnerSettings::default()
    };
    let mut fixture = OwnerFixture::open(session(1), settings);
    let mut lines = Vec::new();
    for number in 1..=5 {
        let mut actions = fixture.send(arrived(chat(number, None, &["hi"])));
        actions.extend(fixture.send(finished(call(number), "ok")));
        actions.extend(fixture.advance(SHORT_WAIT));
        lines.extend(answers(&actions));
    }
    for number in 6..=8 {
        lines.extend(answers(&fixture.send(arrived(chat(number, None, &["hi"])))));
    }
    insta::assert_debug_snapshot!(lines);
    assert_eq!(
        fixture.platform.bodies.len(),
        0,
        "bodies are deleted with their programs"
    );
}

/// During an outage, model calls still run, no call finishes, calls with a key are refused, and the buffer is
/// bounded. Afterwards, all calls finish.
#[test]
fn outage_holds_finishes_back_and_refuses_what_needs_a_record() {
    let settings = OwnerSettings {
        shard_count: 1,
        max_undurable_turns: 2,
        ..OwnerSettings::default()
    };
    let mut fixture = OwnerFixture::open(session(1), settings);
    let id = program(0, 1);
    fixture
        .open_program(id, None, ProgramBudget::default())
        .expect("room for a program");
    fixture.platform.is_down = true;
    let mut actions = fixture.send(arrived(order(1, Some(id), "pay")));
    for _ in 0..3 {
        actions.extend(fixture.complete_pending(Fault::Refused));
        actions.extend(fixture.advance(Duration::from_secs(1)));
    }
    actions.extend(fixture.send(arrived(order(2, Some(id), "pay"))));
    for number in 3..=5 {
        actions.extend(fixture.send(arrived(chat(number, Some(id), &["hi"]))));
        actions.extend(fixture.send(finished(call(number), "ok")));
    }
    assert_eq!(dispatched(&actions), [call(3), call(4)]);
    insta::assert_debug_snapshot!("outage_during", answers(&actions));
    fixture.platform.is_down = false;
    fixture.complete_pending(Fault::Refused);
    insta::assert_debug_snapshot!("outage_after", answers(&fixture.advance(Duration::from_secs(5))));
    assert_eq!(fixture.show(id).turns, 2);
}

/// An owner that finds its journal sealed must answer with correct verdicts.
#[test]
fn sealed_owner_answers_with_true_verdicts() {
    let mut fixture = fixture();
    let id = program(0, 1);
    fixture
        .open_program(id, None, ProgramBudget::default())
        .expect("room for a program");
    fixture.platform.is_down = true;
    fixture.send(arrived(chat(1, Some(id), &["hi"])));
    fixture.send(finished(call(1), "never recorded"));
    fixture.send(arrived(chat(2, Some(id), &["hi"])));
    fixture.send(arrived(chat(3, Some(id), &["hi"])));
    fixture.send(OwnerEvent::Operation {
        request: 7,
        operation: ProgramOperation::Show {
            program: id,
            caller: None,
            with_history: false,
        },
    });
    fixture.advance(SHORT_WAIT);
    let sequence = fixture.core.report().durable_row + 1;
    let sealed = OwnerEvent::AppendDone {
        sequence,
        outcome: ebony_owner::AppendOutcome::Sealed,
    };
    let mut actions = fixture.send(sealed);
    actions.extend(fixture.send(arrived(chat(4, Some(id), &["hi"]))));
    insta::assert_debug_snapshot!(actions);
    assert!(fixture.core.is_lost());
}

/// A failed call is refunded only with the verdict `NotRun`. The shell may report `Ran` without an answer, if the
/// target ran a call whose answer nobody received.
#[test]
fn failed_call_is_refunded_only_if_it_did_not_run() {
    let mut fixture = fixture();
    let id = program(0, 1);
    fixture
        .open_program(id, None, ProgramBudget::default())
        .expect("room for a program");
    for (number, run) in [
        (1, RunVerdict::NotRun),
        (2, RunVerdict::MayHaveRun),
        (3, RunVerdict::Ran),
    ] {
        fixture.send(arrived(chat(number, Some(id), &["hi"])));
        let problem = ProblemReport::new(ProblemCode::TargetFailed, run, "the connection broke");
        let call = call(number);
        let actions = fixture.send(OwnerEvent::CallFailed { call, problem });
        let problems = actions
            .iter()
            .filter(|action| matches!(action, OwnerAction::Refuse { .. }));
        assert_eq!(problems.count(), 1);
    }
    assert_eq!(fixture.show(id).used, BudgetUse { tokens: 40, calls: 2 });
}
