//! Guards against truncated, duplicated or mixed-up answers, and against requests that run twice.

use anyhow::{Result, ensure};
use ebony_standins::engine::EngineSettings;
use ebony_types::limits::ANSWER_WINDOW_BYTES;
use ebony_types::{ProblemCode, RunVerdict};
use ebony_wire::EntryFrame;

use crate::fixture::{SideFixture, SidePlan, call_id, chat, model_order, service_order, wait_for};
use crate::link_end::ReadAnswer;

/// The number of words of an answer that is several times as large as the credit window.
const LONG_ANSWER_WORDS: u32 = 6_000;

/// Fails if an answer loses or repeats bytes when its link is lost midway, or if its call runs again.
#[actix_rt::test]
async fn an_answer_continues_over_a_new_link() -> Result<()> {
    let side = SideFixture::spawn(SidePlan::default()).await?;
    let request = chat("tell me everything", LONG_ANSWER_WORDS);
    let order = model_order(1, &request);
    let mut answer = ReadAnswer::default();
    let mut old = side.link("entry-1").await?;
    old.dispatch(&order)?;
    old.read_on(call_id(1), &mut answer, ANSWER_WINDOW_BYTES as usize * 3 / 2)
        .await?;
    drop(old);
    let mut new = side.link("entry-1").await?;
    let offset = answer.body.len() as u64;
    new.send(EntryFrame::Resume {
        call: call_id(1),
        offset,
    })?;
    new.read_on(call_id(1), &mut answer, usize::MAX).await?;
    answer.check_stream(&request)?;
    ensure!(side.engine().runs_of(call_id(1)).await? == 1);
    Ok(())
}

/// Fails if frames of a replaced link are still handled: a late order on it could run after its call was reported
/// as not run.
#[actix_rt::test]
async fn a_newer_link_replaces_the_older_one_of_its_entry_only() -> Result<()> {
    let side = SideFixture::spawn(SidePlan::default()).await?;
    let mut other = side.link("entry-2").await?;
    let old = side.link("entry-1").await?;
    let mut new = side.link("entry-1").await?;
    new.sync().await?;
    // Returns an error if the sender already knows that the link is closed.
    let _ = old.dispatch(&service_order(1, "key-1", "late"));
    new.dispatch(&service_order(2, "key-2", "first"))?;
    ensure!(new.read(call_id(2)).await?.problem.is_none());
    other.dispatch(&service_order(3, "key-3", "second"))?;
    ensure!(other.read(call_id(3)).await?.problem.is_none());
    ensure!(side.service.runs_of("key-1").await? == 0);
    Ok(())
}

/// Fails if an engine's answer whose connection breaks midway is not resumed from the engine.
#[actix_rt::test]
async fn a_cut_engine_stream_is_continued() -> Result<()> {
    let settings = EngineSettings {
        cut_answers: 3,
        cut_after_bytes: 1_000,
        ..EngineSettings::default()
    };
    let side = SideFixture::spawn(SidePlan {
        engines: vec![settings],
        ..SidePlan::default()
    })
    .await?;
    let mut link = side.link("entry-1").await?;
    let request = chat("cut me", 200);
    link.dispatch(&model_order(1, &request))?;
    link.read(call_id(1)).await?.check_stream(&request)?;
    let counts = side.engine().stats().await?.counts;
    ensure!(
        (counts.cut, counts.resumed, counts.runs) == (3, 3, 1),
        "{counts:?}"
    );
    Ok(())
}

/// Fails if a call with a repeated idempotency key runs again or does not get the stored answer.
#[actix_rt::test]
async fn a_repeated_key_gets_the_stored_answer() -> Result<()> {
    let side = SideFixture::spawn(SidePlan::default()).await?;
    let mut link = side.link("entry-1").await?;
    link.dispatch(&service_order(1, "key-1", "drum"))?;
    let first = link.read(call_id(1)).await?;
    link.dispatch(&service_order(2, "key-1", "drum"))?;
    let second = link.read(call_id(2)).await?;
    ensure!(first.problem.is_none() && first.body == second.body, "{second:?}");
    link.dispatch(&service_order(3, "key-1", "another drum"))?;
    let problem = link.read(call_id(3)).await?.problem()?;
    ensure!(
        (problem.code, problem.run) == (ProblemCode::KeyReused, RunVerdict::NotRun),
        "{problem:?}"
    );
    ensure!(side.service.runs_of("key-1").await? == 1);
    Ok(())
}

/// Fails if a call past its deadline keeps waiting for its target, gets a wrong verdict, or keeps running on the
/// engine.
#[actix_rt::test]
async fn a_call_past_its_deadline_is_answered_and_cancelled() -> Result<()> {
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
    side.service.change(|settings| settings.is_hung = true).await?;
    let mut link = side.link("entry-1").await?;
    let mut running = model_order(1, &chat("hangs", 10));
    running.request.timeout_ms = 2_000;
    let mut waiting = model_order(2, &chat("waits", 10));
    waiting.request.timeout_ms = 1_000;
    let mut service = service_order(3, "key-1", "hangs");
    service.request.timeout_ms = 2_000;
    for order in [&running, &waiting, &service] {
        link.dispatch(order)?;
    }
    for (number, run) in [
        (1, RunVerdict::MayHaveRun),
        (2, RunVerdict::NotRun),
        (3, RunVerdict::MayHaveRun),
    ] {
        let problem = link.read(call_id(number)).await?.problem()?;
        ensure!(
            (problem.code, problem.run) == (ProblemCode::DeadlineExceeded, run),
            "{number}: {problem:?}"
        );
    }
    wait_for(side.engine(), "the cancellation", |stats| {
        stats.counts.cancelled == 1
    })
    .await?;
    // The slot is free again.
    side.engine().change(|settings| settings.is_hung = false).await?;
    let request = chat("goes on", 10);
    link.dispatch(&model_order(4, &request))?;
    link.read(call_id(4)).await?.check_stream(&request)?;
    Ok(())
}

/// Fails if answers are lost, mixed up or truncated when an entry reads so late that the send queue of its link is full
/// and its credit is used up.
#[actix_rt::test]
async fn a_slow_entry_gets_every_answer_whole() -> Result<()> {
    const CALLS: u8 = 24;
    let settings = EngineSettings {
        slots: CALLS.into(),
        ..EngineSettings::default()
    };
    let side = SideFixture::spawn(SidePlan {
        engines: vec![settings],
        slots: CALLS.into(),
        ..SidePlan::default()
    })
    .await?;
    let mut link = side.link("entry-1").await?;
    let request = |number: u8| chat(&format!("call {number}"), 3_000);
    for number in 1..=CALLS {
        link.dispatch(&model_order(number, &request(number)))?;
    }
    wait_for(side.engine(), "all runs", |stats| {
        stats.counts.ended == u64::from(CALLS)
    })
    .await?;
    for number in (1..=CALLS).rev() {
        link.read(call_id(number)).await?.check_stream(&request(number))?;
    }
    Ok(())
}
