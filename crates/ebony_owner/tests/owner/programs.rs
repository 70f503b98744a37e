//! Guards one session: order, history, budget, and what a caller sees of them.

use std::time::Duration;

use crate::harness::bench::{SoloBench, answers, dispatched};
use crate::harness::platform::Fault;
use crate::harness::{arrived, call, caller, chat, finished, order, program, session};
use ebony_owner::{OwnerAction, OwnerEvent, OwnerSettings};
use ebony_types::{BudgetUse, ProblemCode, ProblemReport, ProgramBudget, RunVerdict};
use ebony_wire::ProgramOperation;

fn bench() -> SoloBench {
    let settings = OwnerSettings {
        shard_count: 1,
        ..OwnerSettings::default()
    };
    SoloBench::open(session(1), settings)
}

const SOON: Duration = Duration::from_millis(100);

/// Guards the whole path: a wrong delta, digest or place would show another history.
#[test]
fn history_has_new_messages_and_answers_of_each_turn() {
    let mut bench = bench();
    let id = program(0, 1);
    bench
        .open_program(id, None, ProgramBudget::default())
        .expect("room for a program");
    for (number, messages) in [
        (1, vec!["plan a trip"]),
        (2, vec!["plan a trip", "to Suva", "by boat"]),
        (3, vec!["edited", "by boat"]),
    ] {
        bench.send(arrived(chat(number, Some(id), &messages)));
        bench.send(finished(call(number), &format!("{{\"answer\":{number}}}")));
        bench.pass(SOON);
    }
    bench.send(arrived(order(4, Some(id), "pay")));
    bench.pass(SOON);
    bench.send(finished(call(4), "paid"));
    bench.pass(SOON);
    insta::assert_json_snapshot!(bench.history(id));
    insta::assert_debug_snapshot!(bench.show(id));
}

/// Guards order, the bound of the line, and that a call that waits is answered at its deadline.
#[test]
fn calls_wait_in_order_and_no_longer_than_their_deadline() {
    let mut bench = bench();
    let id = program(0, 1);
    bench
        .open_program(id, None, ProgramBudget::default())
        .expect("room for a program");
    let mut actions = Vec::new();
    for number in 1..=10 {
        let mut request = chat(number, Some(id), &["hi"]);
        request.timeout_ms = if number == 3 { 500 } else { 60_000 };
        actions.extend(bench.send(arrived(request)));
    }
    assert_eq!(dispatched(&actions), [call(1)]);
    actions.extend(bench.pass(Duration::from_secs(1)));
    for number in [1, 2] {
        actions.extend(bench.send(finished(call(number), "ok")));
    }
    actions.extend(bench.pass(SOON));
    assert_eq!(dispatched(&actions), [call(1), call(2), call(4)]);
    insta::assert_debug_snapshot!(answers(&actions));
}

/// Guards against a call that was cancelled and still runs beside the program's next call.
#[test]
fn next_call_waits_for_the_end_of_a_cancelled_one() {
    let mut bench = bench();
    let id = program(0, 1);
    bench
        .open_program(id, None, ProgramBudget::default())
        .expect("room for a program");
    bench.send(arrived(chat(1, Some(id), &["hi"])));
    bench.send(arrived(chat(2, Some(id), &["hi"])));
    let cancelled = bench.send(OwnerEvent::CallCancelled { call: call(1) });
    insta::assert_debug_snapshot!(cancelled);
    assert_eq!(dispatched(&bench.pass(Duration::from_secs(9))), []);
    let failed = OwnerEvent::CallFailed {
        call: call(1),
        problem: ProblemReport::may_have_run(ProblemCode::Cancelled, "ended early"),
    };
    assert_eq!(dispatched(&bench.send(failed)), [call(2)]);
    let used = bench.show(id).used;
    assert_eq!(
        used,
        BudgetUse { tokens: 20, calls: 1 },
        "the whole reservation is spent"
    );
}

/// Guards the callers from each other.
#[test]
fn other_callers_get_no_access() {
    let mut bench = bench();
    let id = program(0, 1);
    bench
        .open_program(id, None, ProgramBudget::default())
        .expect("room for a program");
    let mut foreign = chat(1, Some(id), &["hi"]);
    foreign.caller = caller("shop-tonga");
    let mut actions = bench.send(arrived(foreign));
    actions.extend(bench.send(arrived(chat(2, Some(program(0, 9)), &["hi"]))));
    actions.extend(bench.send(arrived(order(3, Some(program(0, 9)), "pay"))));
    actions.extend(bench.finish(id, caller("shop-tonga")));
    insta::assert_debug_snapshot!(actions);
}

/// Guards the budget of a tree: children draw on their parent, and blocks that a sibling set aside are returned before
/// a call is refused.
#[test]
fn children_share_the_budget_of_their_parent() {
    let mut bench = bench();
    let (parent, left, right) = (program(0, 1), program(0, 2), program(0, 3));
    let budget = ProgramBudget {
        tokens: 80,
        calls: 40,
        ..ProgramBudget::default()
    };
    bench
        .open_program(parent, None, budget)
        .expect("room for a program");
    bench
        .open_program(left, Some(parent), budget)
        .expect("room for a child");
    bench
        .open_program(right, Some(parent), budget)
        .expect("room for a child");
    let mut lines = Vec::new();
    for number in 1..=6 {
        let child = if number % 2 == 0 { left } else { right };
        let mut actions = bench.send(arrived(chat(number, Some(child), &["hi"])));
        actions.extend(bench.pass(SOON));
        actions.extend(bench.send(finished(call(number), "ok")));
        actions.extend(bench.pass(SOON));
        lines.extend(answers(&actions));
    }
    insta::assert_debug_snapshot!(lines);
    let views = [bench.show(parent), bench.show(left)];
    assert_eq!(views[0].used, BudgetUse { tokens: 75, calls: 5 });
    assert_eq!(views[1].used, BudgetUse { tokens: 30, calls: 2 });
    bench.operate(ProgramOperation::Cancel {
        program: parent,
        caller: None,
    });
    assert_eq!(bench.show(right).state, "cancelled");
}

/// Opens a program for four calls with two children. Each of the three reserves one call ahead.
fn bench_with_children() -> SoloBench {
    let mut bench = bench();
    let budget = ProgramBudget {
        tokens: 640,
        calls: 4,
        ..ProgramBudget::default()
    };
    for (number, parent) in [(1, None), (2, Some(program(0, 1))), (3, Some(program(0, 1)))] {
        bench
            .open_program(program(0, number), parent, budget)
            .expect("room for a program");
    }
    bench
}

fn run(bench: &mut SoloBench, number: u64, child: u8) {
    let actions = bench.send(arrived(chat(number, Some(program(0, child)), &["hi"])));
    assert_eq!(dispatched(&actions), [call(number)]);
    bench.send(finished(call(number), "ok"));
}

/// Guards the budget through a failover: a block that was returned for a sibling must not be spent before it is reserved
/// again, because a successor no longer counts it.
#[test]
fn returned_block_is_reserved_again_before_it_is_spent() {
    let mut bench = bench_with_children();
    for number in 1..=2 {
        run(&mut bench, number, 3);
        bench.pass(SOON);
    }
    bench.platform.is_down = true;
    let mut actions = bench.send(arrived(chat(3, Some(program(0, 3)), &["hi"])));
    actions.extend(bench.send(arrived(chat(4, Some(program(0, 2)), &["hi"]))));
    assert_eq!(
        dispatched(&actions),
        [],
        "the block of one child is on its way to the other"
    );
    bench.platform.is_down = false;
    bench.fail_waiting(Fault::Refused);
    assert_eq!(dispatched(&bench.pass(SOON)), [call(3), call(4)]);
}

/// Guards the same promise where the record of the block becomes durable only after the block was returned.
#[test]
fn late_record_of_a_returned_block_does_not_revive_it() {
    let mut bench = bench_with_children();
    bench.platform.is_down = true;
    run(&mut bench, 1, 2);
    run(&mut bench, 2, 3);
    let waiting = bench.send(arrived(chat(3, Some(program(0, 3)), &["hi"])));
    bench.platform.is_down = false;
    let first_row = bench.fail_waiting(Fault::None);
    assert_eq!(answers(&first_row), [format!("{} finish", call(1))]);
    bench.platform.is_down = true;
    let late = bench.send(arrived(chat(4, Some(program(0, 2)), &["hi"])));
    assert_eq!((dispatched(&waiting), dispatched(&late)), (vec![], vec![]));
    bench.platform.is_down = false;
    assert_eq!(dispatched(&bench.pass(SOON)), [call(3), call(4)]);
}

/// Guards the limits that end a program by themselves.
#[test]
fn time_turns_and_depth_are_limited() {
    let settings = OwnerSettings {
        shard_count: 1,
        max_turns: 1,
        ..OwnerSettings::default()
    };
    let mut bench = SoloBench::open(session(1), settings);
    let (looping, slow) = (program(0, 1), program(0, 2));
    let budget = ProgramBudget {
        seconds: 2,
        depth: 0,
        ..ProgramBudget::default()
    };
    bench
        .open_program(looping, None, budget)
        .expect("room for a program");
    bench
        .open_program(slow, None, budget)
        .expect("room for a program");
    let child = bench.open_program(program(0, 3), Some(slow), budget);
    assert_eq!(
        child.map_err(|problem| problem.code),
        Err(ProblemCode::BudgetExhausted)
    );
    for number in [1, 2] {
        bench.send(arrived(chat(number, Some(looping), &["hi"])));
        bench.send(finished(call(number), "ok"));
        bench.pass(SOON);
    }
    assert_eq!(bench.show(looping).state, "exhausted");
    bench.send(arrived(chat(3, Some(slow), &["hi"])));
    let actions = bench.pass(Duration::from_secs(3));
    assert_eq!(
        answers(&actions),
        [format!("{} budget_exhausted may_have_run", call(3))]
    );
    assert_eq!(bench.show(slow).state, "exhausted");
    bench.pass(Duration::from_secs(700));
    assert_eq!(
        bench.core.report().programs_ended,
        0,
        "ended programs are evicted"
    );
}

/// Guards against programs that have ended and are only kept to be shown, but keep new ones out.
#[test]
fn only_programs_in_progress_take_the_room_of_others() {
    let settings = OwnerSettings {
        shard_count: 1,
        max_programs: 2,
        ..OwnerSettings::default()
    };
    let mut bench = SoloBench::open(session(1), settings);
    let mut lines = Vec::new();
    for number in 1..=5 {
        let mut actions = bench.send(arrived(chat(number, None, &["hi"])));
        actions.extend(bench.send(finished(call(number), "ok")));
        actions.extend(bench.pass(SOON));
        lines.extend(answers(&actions));
    }
    for number in 6..=8 {
        lines.extend(answers(&bench.send(arrived(chat(number, None, &["hi"])))));
    }
    insta::assert_debug_snapshot!(lines);
    assert_eq!(bench.platform.bodies.len(), 0, "bodies go with their programs");
}

/// Guards the promise of the journal during an outage: model calls run on, nothing is finished or run with a key, the
/// buffer is bounded, and everything is finished afterwards.
#[test]
fn outage_holds_finishes_back_and_refuses_what_needs_a_record() {
    let settings = OwnerSettings {
        shard_count: 1,
        max_undurable_turns: 2,
        ..OwnerSettings::default()
    };
    let mut bench = SoloBench::open(session(1), settings);
    let id = program(0, 1);
    bench
        .open_program(id, None, ProgramBudget::default())
        .expect("room for a program");
    bench.platform.is_down = true;
    let mut actions = bench.send(arrived(order(1, Some(id), "pay")));
    for _ in 0..3 {
        actions.extend(bench.fail_waiting(Fault::Refused));
        actions.extend(bench.pass(Duration::from_secs(1)));
    }
    actions.extend(bench.send(arrived(order(2, Some(id), "pay"))));
    for number in 3..=5 {
        actions.extend(bench.send(arrived(chat(number, Some(id), &["hi"]))));
        actions.extend(bench.send(finished(call(number), "ok")));
    }
    assert_eq!(dispatched(&actions), [call(3), call(4)]);
    insta::assert_debug_snapshot!("outage_during", answers(&actions));
    bench.platform.is_down = false;
    bench.fail_waiting(Fault::Refused);
    insta::assert_debug_snapshot!("outage_after", answers(&bench.pass(Duration::from_secs(5))));
    assert_eq!(bench.show(id).turns, 2);
}

/// Guards the verdicts of an owner that finds its journal sealed.
#[test]
fn sealed_owner_answers_with_true_verdicts() {
    let mut bench = bench();
    let id = program(0, 1);
    bench
        .open_program(id, None, ProgramBudget::default())
        .expect("room for a program");
    bench.platform.is_down = true;
    bench.send(arrived(chat(1, Some(id), &["hi"])));
    bench.send(finished(call(1), "recorded nowhere"));
    bench.send(arrived(chat(2, Some(id), &["hi"])));
    bench.send(arrived(chat(3, Some(id), &["hi"])));
    bench.send(OwnerEvent::Operation {
        request: 7,
        operation: ProgramOperation::Show {
            program: id,
            caller: None,
            with_history: false,
        },
    });
    bench.pass(SOON);
    let sequence = bench.core.report().durable_row + 1;
    let sealed = OwnerEvent::AppendDone {
        sequence,
        outcome: ebony_owner::AppendOutcome::Sealed,
    };
    let mut actions = bench.send(sealed);
    actions.extend(bench.send(arrived(chat(4, Some(id), &["hi"]))));
    insta::assert_debug_snapshot!(actions);
    assert!(bench.core.is_lost());
}

/// Guards a run that the target finished for nobody: the shell may report `Ran` without an answer.
#[test]
fn failed_call_with_a_refused_verdict_is_refunded() {
    let mut bench = bench();
    let id = program(0, 1);
    bench
        .open_program(id, None, ProgramBudget::default())
        .expect("room for a program");
    for (number, run) in [
        (1, RunVerdict::NotRun),
        (2, RunVerdict::MayHaveRun),
        (3, RunVerdict::Ran),
    ] {
        bench.send(arrived(chat(number, Some(id), &["hi"])));
        let problem = ProblemReport::new(ProblemCode::TargetFailed, run, "the connection broke");
        let call = call(number);
        let actions = bench.send(OwnerEvent::CallFailed { call, problem });
        let problems = actions
            .iter()
            .filter(|action| matches!(action, OwnerAction::Refuse { .. }));
        assert_eq!(problems.count(), 1);
    }
    assert_eq!(bench.show(id).used, BudgetUse { tokens: 40, calls: 2 });
}
