//! Tests of side processes that join, drain and restart.

use ebony_entry::dispatch::{DrainOutcome, DrainTarget, ReadTargets};
use ebony_policy::PolicyOptions;
use ebony_types::{ProblemCode, RunVerdict, TargetName};
use ebony_wire::SideFrame;

use super::fakes::{DispatchRig, FakeLink, FakeSide, TestCall, within};

/// Places calls, all of which must arrive at the given link.
async fn place_all_at(rig: &mut DispatchRig, link: &mut FakeLink) {
    for _ in 0..6 {
        rig.place(TestCall::model());
        rig.barrier().await;
    }
    for _ in 0..6 {
        let call = link.dispatched().await.request.call;
        link.answer(call, b"done");
        assert!(rig.ended().await.outcome.is_ok());
    }
}

/// Guards against new work for a draining target, whether the host list, the side process or an operator announces it.
#[actix_rt::test]
async fn a_leaving_target_gets_nothing_new() {
    for announced_by in ["host list", "announcement", "operator"] {
        let mut rig = DispatchRig::start(PolicyOptions::default());
        let mut leaving = FakeSide::start("side-1", 1).await;
        let mut staying = FakeSide::start("side-2", 2).await;
        let mut left = rig.join(&mut leaving).await;
        rig.place(TestCall::model());
        let open = left.dispatched().await.request.call;
        let mut link = rig.join(&mut staying).await;
        match announced_by {
            "host list" => {
                rig.hosts.mark_leaving(&leaving);
                rig.sync_hosts().await;
            }
            "announcement" => {
                left.send(SideFrame::Draining);
                rig.sync(&left).await;
            }
            _ => {
                let target = leaving.engine();
                let outcome = within(rig.dispatch.send(DrainTarget { target })).await;
                assert_eq!(outcome.expect("runs"), DrainOutcome::Ordered);
            }
        }
        place_all_at(&mut rig, &mut link).await;
        // The call in progress is not interrupted.
        left.answer(open, b"done");
        assert!(rig.ended().await.outcome.is_ok(), "{announced_by}");
        assert!(left.arrived().is_empty(), "{announced_by}");
        rig.assert_no_further_end().await;
    }
}

/// Guards against drain orders that are not shown to operators, and against accepting them for unknown targets.
#[actix_rt::test]
async fn targets_are_listed_with_their_phase() {
    let mut rig = DispatchRig::start(PolicyOptions::default());
    let mut first = FakeSide::start("side-1", 1).await;
    let mut second = FakeSide::start("side-2", 2).await;
    let _first = rig.join(&mut first).await;
    let _second = rig.join(&mut second).await;
    let target = TargetName::parse("unknown").expect("a name");
    let outcome = within(rig.dispatch.send(DrainTarget { target })).await;
    assert_eq!(outcome.expect("runs"), DrainOutcome::UnknownTarget);
    let target = first.engine();
    let outcome = within(rig.dispatch.send(DrainTarget { target })).await;
    assert_eq!(outcome.expect("runs"), DrainOutcome::Ordered);
    let targets = within(rig.dispatch.send(ReadTargets)).await.expect("runs");
    insta::assert_json_snapshot!(targets);
}

/// Guards against calls on an earlier incarnation of a side process that are assumed to be running, or retried although
/// they may have run and have an idempotency key.
#[actix_rt::test]
async fn a_restart_loses_keyed_calls_and_repeats_others_elsewhere() {
    let mut rig = DispatchRig::start(PolicyOptions::default());
    let mut side = FakeSide::start("side-1", 1).await;
    let mut link = rig.join(&mut side).await;
    rig.place(TestCall::service());
    let keyed = link.dispatched().await.request.call;
    rig.place(TestCall::model());
    let repeated = link.dispatched().await.request.call;
    let mut other = FakeSide::start("side-2", 2).await;
    let mut other_link = rig.join(&mut other).await;

    drop(side);
    link.cut();
    let mut side = FakeSide::start("side-1", 3).await;
    rig.hosts.list(&side);
    let mut link = side.accept().await;
    let ended = rig.ended().await;
    assert_eq!(ended.call, keyed);
    let problem = ended.outcome.expect_err("lost");
    assert_eq!(
        (problem.code, problem.run),
        (ProblemCode::TargetFailed, RunVerdict::MayHaveRun)
    );
    assert_eq!(other_link.dispatched().await.request.call, repeated);
    other_link.answer(repeated, b"done");
    assert!(rig.ended().await.outcome.is_ok());
    // An answer of the earlier incarnation is ignored.
    link.answer(keyed, b"late");
    rig.sync(&link).await;
    assert!(link.arrived().is_empty());
    rig.assert_no_further_end().await;
}

/// Guards against refusals during a rolling restart, while there is briefly no target.
#[actix_rt::test]
async fn a_call_waits_for_a_target_that_comes() {
    let mut rig = DispatchRig::start(PolicyOptions::default());
    rig.place(TestCall::model());
    rig.barrier().await;
    let mut side = FakeSide::start("side-1", 1).await;
    let mut link = rig.join(&mut side).await;
    let call = link.dispatched().await.request.call;
    // The side process starts to drain; its successor receives the call.
    let problem = ebony_types::ProblemReport::not_run(ProblemCode::Draining, "leaving");
    link.fail(call, problem);
    link.send(SideFrame::Draining);
    rig.sync(&link).await;
    let mut successor = FakeSide::start("side-2", 2).await;
    let mut link = rig.join(&mut successor).await;
    let call = link.dispatched().await.request.call;
    link.answer(call, b"done");
    assert!(rig.ended().await.outcome.is_ok());
    rig.assert_no_further_end().await;
}

/// Guards against calls that wait for a target forever.
#[actix_rt::test]
async fn a_call_without_a_target_is_refused_as_not_run() {
    let mut rig = DispatchRig::start(PolicyOptions::default());
    rig.place(TestCall::model());
    let ended = rig.ended().await;
    assert!(!ended.was_placed);
    let problem = ended.outcome.expect_err("no target");
    assert_eq!(
        (problem.code, problem.run),
        (ProblemCode::NoTarget, RunVerdict::NotRun)
    );
    assert!(problem.retry_after_seconds.is_some());
    rig.assert_no_further_end().await;
}
