//! Guards against false verdicts after a crash, and against requests that crash target after target.

use std::time::Duration;

use anyhow::{Result, ensure};
use ebony_standins::engine::EngineSettings;
use ebony_types::{ProblemCode, RunVerdict};
use ebony_wire::SideFrame;

use crate::fixture::{SideFixture, SidePlan, call_id, chat, model_order, target, wait_for};

/// Fails if a crash leaves a call without an answer, or gives it another verdict than the true one.
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
    wait_for(side.engine(), "two running calls", |seen| seen.running == 2).await?;
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
    let counts = side.engine().seen().await?.counts;
    ensure!(counts.runs == 2, "{counts:?}");
    Ok(())
}

/// Fails if a request that crashed two targets runs a third time, or if entries are not told of the crashes.
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
        ensure!(engine.seen().await?.counts.runs == 1);
    }
    Ok(())
}
