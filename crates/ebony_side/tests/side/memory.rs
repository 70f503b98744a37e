//! Guards against engine memory that remains held for programs that no longer exist.

use anyhow::{Result, ensure};
use ebony_standins::engine::EngineSettings;
use ebony_standins::{FaultSettings, OutageMode};
use ebony_types::FencingToken;
use ebony_wire::EntryFrame;

use crate::fixture::{SideFixture, SidePlan, call_id, chat, model_order, program, wait_for};

/// Fails if a release is abandoned when its first orders are lost or rejected.
#[actix_rt::test]
async fn a_release_is_repeated_until_the_engine_holds_nothing() -> Result<()> {
    let side = SideFixture::spawn(SidePlan::default()).await?;
    let mut link = side.link("entry-1").await?;
    let request = chat("remember this", 50);
    link.dispatch(&model_order(1, &request))?;
    link.read(call_id(1)).await?.check_stream(&request)?;
    ensure!(side.engine().stats().await?.held_tokens > 0);
    let outage = FaultSettings {
        outage: OutageMode::Reject,
        ..FaultSettings::default()
    };
    side.engine().set_faults(outage).await?;
    let rejected = side.engine().faults_stats().await?.rejected;
    link.send(EntryFrame::Release {
        program: program(1),
        token: FencingToken(1),
    })?;
    while side.engine().faults_stats().await?.rejected < rejected + 2 {}
    side.engine().set_faults(FaultSettings::default()).await?;
    wait_for(side.engine(), "no held tokens", |stats| stats.held_tokens == 0).await?;
    Ok(())
}

/// Fails if memory is held after the lease of a program expired, or if it is released while an entry renews the lease.
#[actix_rt::test]
async fn memory_without_a_vouching_entry_is_released() -> Result<()> {
    let side = SideFixture::spawn(SidePlan {
        vouch_lease: "2s",
        ..SidePlan::default()
    })
    .await?;
    let mut link = side.link("entry-1").await?;
    let request = chat("remember this", 50);
    for number in 1..=2 {
        link.dispatch(&model_order(number, &request))?;
        link.read(call_id(number)).await?.check_stream(&request)?;
    }
    let both = side.engine().stats().await?.held_tokens;
    loop {
        let programs = vec![program(1)];
        link.send(EntryFrame::Vouch { programs })?;
        link.sync().await?;
        if side.engine().stats().await?.held_tokens < both {
            break;
        }
    }
    let held = side.engine().stats().await?.held_tokens;
    ensure!(held == both / 2, "{held} of {both} tokens");
    wait_for(side.engine(), "no held tokens", |stats| stats.held_tokens == 0).await?;
    Ok(())
}

/// Fails if memory that was filled before the start of the side process is never released.
#[actix_rt::test]
async fn a_new_side_process_releases_what_its_predecessor_left() -> Result<()> {
    let settings = EngineSettings::default();
    let side = SideFixture::spawn(SidePlan {
        engines: vec![settings],
        vouch_lease: "300ms",
        ..SidePlan::default()
    })
    .await?;
    // The side process does not know of this program.
    side.fill_directly(program(9)).await?;
    ensure!(side.engine().stats().await?.held_tokens > 0);
    wait_for(side.engine(), "no held tokens", |stats| stats.held_tokens == 0).await?;
    Ok(())
}

/// Fails if memory that an entry retains during a pause is not pinned, or remains pinned after the program's next call.
#[actix_rt::test]
async fn a_retained_program_is_pinned_until_its_next_call() -> Result<()> {
    let side = SideFixture::spawn(SidePlan::default()).await?;
    let mut link = side.link("entry-1").await?;
    let request = chat("pause here", 20);
    link.dispatch(&model_order(1, &request))?;
    link.read(call_id(1)).await?.check_stream(&request)?;
    link.send(EntryFrame::Retain {
        program: program(1),
        expires_ms: 600_000,
    })?;
    wait_for(side.engine(), "a pin", |stats| stats.pinned == [program(1)]).await?;
    let mut next = model_order(2, &request);
    next.request.program = Some(program(1));
    link.dispatch(&next)?;
    link.read(call_id(2)).await?.check_stream(&request)?;
    wait_for(side.engine(), "no pin", |stats| stats.pinned.is_empty()).await?;
    Ok(())
}
