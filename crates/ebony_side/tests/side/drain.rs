//! Guards against a planned stop that interrupts calls or gives entries wrong verdicts.

use anyhow::{Context, Result, ensure};
use ebony_standins::engine::EngineSettings;
use ebony_types::{ProblemCode, RunVerdict};
use ebony_wire::SideFrame;

use tokio::time::timeout;

use crate::fixture::{SideFixture, SidePlan, call_id, chat, model_order, wait_for};
use crate::link_end::MAX_WAIT;

/// Fails if a drain aborts running or queued calls, accepts new ones, or does not end.
#[actix_rt::test]
async fn a_drain_ends_calls_and_refuses_new_ones() -> Result<()> {
    let settings = EngineSettings {
        is_hung: true,
        ..EngineSettings::default()
    };
    let side = SideFixture::spawn(SidePlan {
        engines: vec![settings],
        slots: 1,
        ..SidePlan::default()
    })
    .await?;
    let mut link = side.link("entry-1").await?;
    let request = chat("let me finish", 300);
    link.dispatch(&model_order(1, &request))?;
    link.dispatch(&model_order(2, &request))?;
    wait_for(side.engine(), "a running call", |stats| stats.running == 1).await?;
    link.sync().await?;
    let engine = &side.engines[0];
    let draining = actix_rt::spawn(side.process.drain());
    link.wait(|frame| (*frame == SideFrame::Draining).then_some(()))
        .await?;
    link.dispatch(&model_order(3, &request))?;
    let problem = link.read(call_id(3)).await?.problem()?;
    ensure!(
        (problem.code, problem.run) == (ProblemCode::Draining, RunVerdict::NotRun),
        "{problem:?}"
    );
    engine.change(|settings| settings.is_hung = false).await?;
    for number in 1..=2 {
        link.read(call_id(number)).await?.check_stream(&request)?;
    }
    // The side process closes the links without waiting for the entry.
    let closed = link.wait(|_| None::<()>).await;
    ensure!(closed.is_err());
    drop(link);
    timeout(MAX_WAIT, draining)
        .await
        .context("the drain did not end before the time limit")??;
    Ok(())
}
