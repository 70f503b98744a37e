//! Guards against wrong verdicts after a crash, and against requests that crash one target after another.

use std::time::Duration;

use anyhow::{Result, ensure};
use ebony_standins::engine::EngineSettings;
use ebony_types::{ProblemCode, RunVerdict};
use ebony_wire::SideFrame;

use crate::fixture::{SideFixture, SidePlan, call_id, chat, model_order, service_order, target, wait_for};

/// Fails if a call gets no answer after a crash, or gets a wrong verdict.
#[actix_rt::test]
async fn running_calls_may_have_run_and_queued_calls_have_not() -> Result<()> {
    let settings = EngineSettings {
        is_hung: true,
        ..EngineSettings::default()
    };
    let side = SideFixture::spawn(SidePlan {
        engines: vec![settings],
        slots: 2,
        ..SidePlan::default()
    })
    .await?;
    let mut link = side.link("entry-1").await?;
    for number in 1..=4 {
        link.dispatch(&model_order(number, &chat(&format!("call {number}"), 10)))?;
    }
    wait_for(side.engine(), "two running calls", |stats| stats.running == 2).await?;
    side.engine().crash(Duration::from_secs(600)).await?;
    let mut verdicts = Vec::new();
    for number in 1..=4 {
        let problem = link.read(call_id(number)).await?.problem()?;
        ensure!(problem.code == ProblemCode::TargetFailed, "{problem:?}");
        verdicts.push(problem.run);
    }
    verdicts.sort_by_key(|run| run.as_str());
    let (may, not) = (RunVerdict::MayHaveRun, RunVerdict::NotRun);
    ensure!(verdicts == [may, may, not, not], "{verdicts:?}");
    let counts = side.engine().stats().await?.counts;
    ensure!(counts.runs == 2, "{counts:?}");
    Ok(())
}

/// Fails if a request that crashed two targets runs a third time, or if entries are not informed of the crashes.
#[actix_rt::test]
async fn a_request_that_crashed_two_targets_is_refused() -> Result<()> {
    let side = SideFixture::spawn(SidePlan {
        engines: vec![EngineSettings::default(); 2],
        ..SidePlan::default()
    })
    .await?;
    let mut link = side.link("entry-1").await?;
    let request = chat("[[crash-engine]]", 10);
    for number in 1..=2 {
        let mut order = model_order(number, &request);
        order.target = target(number.into());
        link.dispatch(&order)?;
        let problem = link.read(call_id(number)).await?.problem()?;
        ensure!(problem.run == RunVerdict::MayHaveRun, "{problem:?}");
        let digest = order.request.digest();
        let sites = link.wait(|frame| match frame {
            SideFrame::Crashes(reports) => reports
                .iter()
                .find(|report| report.digest == digest)
                .map(|report| report.sites.len()),
            _ => None,
        });
        ensure!(sites.await? == usize::from(number));
    }
    link.dispatch(&model_order(3, &request))?;
    let problem = link.read(call_id(3)).await?.problem()?;
    let found = (problem.code, problem.run);
    ensure!(
        found == (ProblemCode::CrashingRequest, RunVerdict::NotRun),
        "{problem:?}"
    );
    for engine in &side.engines {
        ensure!(engine.stats().await?.counts.runs == 1);
    }
    Ok(())
}

/// Fails if a call whose run was interrupted by a crash runs again under its idempotency key, or is reported as not
/// run.
#[actix_rt::test]
async fn a_key_does_not_run_again_after_a_crash() -> Result<()> {
    let side = SideFixture::spawn(SidePlan::default()).await?;
    let mut link = side.link("entry-1").await?;
    for number in 1..=2 {
        link.dispatch(&service_order(number, "key-1", "[[crash-service]]"))?;
        let problem = link.read(call_id(number)).await?.problem()?;
        ensure!(problem.run == RunVerdict::MayHaveRun, "{problem:?}");
    }
    ensure!(side.service.runs_of("key-1").await? == 1);
    Ok(())
}

/// Fails if a crash is missed because the target restarts immediately, or is counted twice.
#[actix_rt::test]
async fn a_quick_restart_counts_as_one_crash() -> Result<()> {
    let settings = EngineSettings {
        is_hung: true,
        ..EngineSettings::default()
    };
    let side = SideFixture::spawn(SidePlan {
        engines: vec![settings],
        ..SidePlan::default()
    })
    .await?;
    let mut link = side.link("entry-1").await?;
    let order = model_order(1, &chat("hangs", 10));
    link.dispatch(&order)?;
    wait_for(side.engine(), "a running call", |stats| stats.running == 1).await?;
    side.engine().crash(Duration::ZERO).await?;
    side.engine().restart().await?;
    let problem = link.read(call_id(1)).await?.problem()?;
    ensure!(problem.run == RunVerdict::MayHaveRun, "{problem:?}");
    side.engine().change(|settings| settings.is_hung = false).await?;
    let request = chat("goes on", 10);
    for number in 2..=u8::MAX {
        // These requests take enough time for a target that was found down to be probed again.
        for _ in 0..50 {
            side.engine().stats().await?;
        }
        link.dispatch(&model_order(number, &request))?;
        let answer = link.read(call_id(number)).await?;
        if answer.problem.is_none() {
            answer.check_stream(&request)?;
            break;
        }
        ensure!(number < u8::MAX, "{answer:?}");
    }
    let sites = link.wait(|frame| match frame {
        SideFrame::Crashes(reports) => {
            let report = reports
                .iter()
                .find(|report| report.digest == order.request.digest());
            report.map(|report| report.sites.len())
        }
        _ => None,
    });
    ensure!(sites.await? == 1);
    Ok(())
}
