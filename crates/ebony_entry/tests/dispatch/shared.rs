//! Tests of state that the dispatcher shares with side processes and other entries: crash reports, the configuration,
//! model loads and programs.

use std::rc::Rc;

use bytes::Bytes;
use ebony_config::{ConfigDocument, ConfigUpdate, OperatorRecord};
use ebony_entry::dispatch::{ConfigPublished, CrashesReported, ReleaseProgram, VouchPrograms};
use ebony_policy::{AdmissionOptions, LoadingOptions, PolicyOptions};
use ebony_types::{FencingToken, ProblemCode, ProcessIncarnation, RunVerdict, TargetName};
use ebony_wire::{ConfigPush, CrashReport, CrashSite, EntryFrame, SideFrame, SiteReport};

use super::fakes::{DispatchRig, FakeSide, FakeTable, FakeWeights, TestCall, program, within};

/// One hour.
const REMAINING_MICROS: u64 = 3_600_000_000;

fn crashes_of(call: &TestCall) -> CrashReport {
    let site = |incarnation: u8| SiteReport {
        site: CrashSite {
            target: TargetName::parse("engine-side-1").expect("a name"),
            incarnation: ProcessIncarnation::from_bytes([incarnation; 16]),
        },
        remaining_micros: REMAINING_MICROS,
        is_cleared: false,
    };
    CrashReport {
        digest: call.request.digest(),
        sites: vec![site(1), site(2)],
    }
}

/// Guards against requests that crash one target after another, and against reports that circulate forever.
#[actix_rt::test]
async fn a_crashing_request_is_refused_and_reported_once() {
    let mut rig = DispatchRig::start(PolicyOptions::default());
    let mut first = FakeSide::start("side-1", 1).await;
    let mut second = FakeSide::start("side-2", 2).await;
    let mut first_link = rig.join(&mut first).await;
    let mut second_link = rig.join(&mut second).await;
    let report = crashes_of(&TestCall::model());
    first_link.send(SideFrame::Crashes(vec![report.clone()]));
    rig.sync(&first_link).await;
    let received = second_link
        .find(|frame| match frame {
            EntryFrame::Crashes(reports) => Some(reports),
            _ => None,
        })
        .await;
    assert_eq!(received[0].digest, report.digest);
    assert_eq!(rig.crashes().await[0].digest, report.digest);
    // Reports that come back contain nothing new and are not forwarded.
    second_link.send(SideFrame::Crashes(received.clone()));
    rig.dispatch.do_send(CrashesReported(received));
    rig.sync(&second_link).await;
    assert!(rig.received.crashes.try_recv().is_err());

    rig.place(TestCall::model());
    let ended = rig.ended().await;
    assert!(!ended.was_placed);
    let problem = ended.outcome.expect_err("refused");
    assert_eq!(
        (problem.code, problem.run),
        (ProblemCode::CrashingRequest, RunVerdict::NotRun)
    );
    assert!(first_link.arrived().is_empty() && second_link.arrived().is_empty());

    // A new entry receives the counts from another entry and sends them to newly linked side processes.
    let mut rig = DispatchRig::start(PolicyOptions::default());
    rig.dispatch.do_send(CrashesReported(vec![report]));
    let mut third = FakeSide::start("side-3", 3).await;
    let mut link = rig.join(&mut third).await;
    link.find(|frame| matches!(frame, EntryFrame::Crashes(_)).then_some(()))
        .await;
    rig.place(TestCall::model());
    let problem = rig.ended().await.outcome.expect_err("refused");
    assert_eq!(problem.code, ProblemCode::CrashingRequest);
}

/// Guards against losing crash reports when every process that held them in memory is gone.
#[actix_rt::test]
async fn crashes_are_kept_in_the_table() {
    let table = FakeTable::new();
    let mut rig = DispatchRig::start_on(table.clone(), None, PolicyOptions::default());
    let mut side = FakeSide::start("side-1", 1).await;
    let link = rig.join(&mut side).await;
    // The second report adds a crash to the row that the first one wrote.
    let report = crashes_of(&TestCall::model());
    for count in 1..=2 {
        let mut report = report.clone();
        report.sites.truncate(count);
        let mut writes = table.writes.subscribe();
        let known = *writes.borrow_and_update();
        link.send(SideFrame::Crashes(vec![report]));
        within(writes.wait_for(|count| *count > known))
            .await
            .expect("open");
    }
    let mut rig = DispatchRig::start_on(table, None, PolicyOptions::default());
    rig.hosts.list(&FakeSide::start("side-2", 2).await);
    rig.sync_hosts().await;
    rig.place(TestCall::model());
    let problem = rig.ended().await.outcome.expect_err("refused");
    assert_eq!(problem.code, ProblemCode::CrashingRequest);
}

/// Guards against model loads that the weight store did not grant, and against load orders without a fencing token.
#[actix_rt::test]
async fn a_busy_model_is_loaded_on_an_idle_engine() {
    let policy = PolicyOptions {
        loading: LoadingOptions {
            sustain_ms: 0,
            dwell_ms: 0,
            backoff_ms: 0,
            ..LoadingOptions::default()
        },
        ..PolicyOptions::default()
    };
    let weights = Rc::new(FakeWeights::default());
    let mut rig = DispatchRig::start_on(FakeTable::new(), Some(weights), policy);
    rig.hosts.list_entry();
    let mut busy = FakeSide::start("side-1", 1).await;
    let mut idle = FakeSide::start("side-2", 2).await.without_models();
    let _busy_link = rig.join(&mut busy).await;
    let mut link = rig.join(&mut idle).await;
    for _ in 0..8 {
        rig.place(TestCall::model().with_prompt(80_000));
    }
    let order = link
        .find(|frame| match frame {
            EntryFrame::Load(order) => Some(order),
            _ => None,
        })
        .await;
    assert_eq!((&order.target, order.is_load), (&idle.engine(), true));
    assert!(order.token > FencingToken(0));
}

/// Guards against sending keys of callers and operators to target hosts, and against side processes that miss a
/// configuration.
#[actix_rt::test]
async fn side_processes_get_the_configuration_without_keys() {
    let mut rig = DispatchRig::start(PolicyOptions::default());
    let mut document = ConfigDocument {
        version: 7,
        ..ConfigDocument::default()
    };
    let name = serde_json::from_value("operator".into()).expect("a name");
    document
        .operators
        .insert(name, OperatorRecord { keys: Vec::new() });
    let push = ConfigPush {
        version: 7,
        document: Bytes::from(ConfigUpdate::Full(Box::new(document)).encode()),
    };
    rig.dispatch.do_send(ConfigPublished(push));
    let mut side = FakeSide::start("side-1", 1).await;
    let mut link = rig.join(&mut side).await;
    link.send(SideFrame::ConfigWanted { known: 0 });
    for _ in 0..2 {
        let push = link
            .find(|frame| match frame {
                EntryFrame::Config(push) => Some(push),
                _ => None,
            })
            .await;
        assert_eq!(push.version, 7);
        let update = ConfigUpdate::decode(&push.document).expect("a configuration");
        let ConfigUpdate::Full(document) = update else {
            panic!("a change instead of a whole configuration");
        };
        assert!(document.operators.is_empty());
    }
}

/// Guards against programs admitted beyond the limit, against refused calls of an admitted program, and against ended
/// programs that still count against the limit.
#[actix_rt::test]
async fn whole_programs_are_admitted_or_refused() {
    let policy = PolicyOptions {
        admission: AdmissionOptions {
            initial_limit: 1,
            min_limit: 1,
            waiting_places: 0,
            ..AdmissionOptions::default()
        },
        ..PolicyOptions::default()
    };
    let mut rig = DispatchRig::start(policy);
    let mut side = FakeSide::start("side-1", 1).await;
    let mut link = rig.join(&mut side).await;
    rig.place(TestCall::model().with_program(101));
    let call = link.dispatched().await.request.call;
    rig.place(TestCall::model().with_program(102));
    let ended = rig.ended().await;
    assert!(!ended.was_placed);
    let problem = ended.outcome.expect_err("refused");
    assert_eq!(
        (problem.code, problem.run),
        (ProblemCode::Overloaded, RunVerdict::NotRun)
    );
    assert!(problem.retry_after_seconds.is_some());

    link.answer(call, b"done");
    assert!(rig.ended().await.outcome.is_ok());
    rig.place(TestCall::model().with_program(101));
    let call = link.dispatched().await.request.call;
    link.answer(call, b"done");
    assert!(rig.ended().await.outcome.is_ok());

    rig.dispatch.do_send(ReleaseProgram {
        program: program(101),
        token: FencingToken(1),
    });
    rig.place(TestCall::model().with_program(103));
    assert_eq!(link.dispatched().await.request.program, Some(program(103)));
}

/// Guards against engine memory that is never released: releases must reach all side processes that ran a program, even
/// if they were not linked at the time, and only these side processes receive confirmations.
#[actix_rt::test]
async fn programs_are_confirmed_and_released_where_they_ran() {
    let mut rig = DispatchRig::start(PolicyOptions::default());
    let mut ran = FakeSide::start("side-1", 1).await;
    let mut link = rig.join(&mut ran).await;
    rig.place(TestCall::model().with_program(101));
    let call = link.dispatched().await.request.call;
    link.answer(call, b"done");
    assert!(rig.ended().await.outcome.is_ok());
    link.find(|frame| matches!(frame, EntryFrame::Retain { .. }).then_some(()))
        .await;
    let mut idle = FakeSide::start("side-2", 2).await;
    let mut idle_link = rig.join(&mut idle).await;
    let programs = vec![program(101)];
    rig.dispatch.do_send(VouchPrograms {
        programs: programs.clone(),
    });
    let confirmation = EntryFrame::Vouch { programs };
    link.find(|frame| (frame == confirmation).then_some(())).await;

    link.cut();
    let token = FencingToken(1);
    rig.dispatch.do_send(ReleaseProgram {
        program: program(101),
        token,
    });
    let mut link = ran.accept().await;
    let release = EntryFrame::Release {
        program: program(101),
        token,
    };
    link.find(|frame| (frame == release).then_some(())).await;
    // Marks the end of the frames that the idle side process has been sent.
    rig.dispatch
        .do_send(CrashesReported(vec![crashes_of(&TestCall::model())]));
    while let Some(frame) = idle_link.next().await {
        match frame {
            EntryFrame::Crashes(_) => break,
            frame => assert!(!matches!(
                frame,
                EntryFrame::Vouch { .. } | EntryFrame::Release { .. }
            )),
        }
    }
}
