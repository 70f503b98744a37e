//! Guards against orders with stale fencing tokens and against unacknowledged configurations.

use anyhow::{Result, ensure};
use bytes::Bytes;
use ebony_config::{ConfigDelta, ConfigDocument, ConfigPatch, ConfigUpdate};
use ebony_platform::EngineOrder;
use ebony_standins::engine::EngineSettings;
use ebony_types::{FencingToken, ModelName, RunVerdict};
use ebony_wire::{ConfigPush, EntryFrame, LoadOrder, SideFrame, TargetKind};

use crate::fixture::{MODEL, SideFixture, SidePlan, call_id, program, service_order, target};

fn load(model: &str, token: u64) -> Result<EntryFrame> {
    Ok(EntryFrame::Load(LoadOrder {
        target: target(1),
        model: ModelName::parse(model)?,
        is_load: true,
        token: FencingToken(token),
    }))
}

fn fenced(frame: &SideFrame) -> Option<FencingToken> {
    match frame {
        SideFrame::Fenced { highest, .. } => Some(*highest),
        _ => None,
    }
}

/// Fails if a stale token is accepted because the target itself ignores tokens.
#[actix_rt::test]
async fn a_stale_token_is_refused_for_a_target_that_ignores_tokens() -> Result<()> {
    let settings = EngineSettings {
        checks_fencing: false,
        ..EngineSettings::default()
    };
    let side = SideFixture::spawn(SidePlan {
        engines: vec![settings],
        checks_fencing: false,
        ..SidePlan::default()
    })
    .await?;
    let mut link = side.link("entry-1").await?;
    link.send(load("yaqona", 5)?)?;
    link.send(load("stale", 4)?)?;
    ensure!(link.wait(fenced).await? == FencingToken(5));
    let models = [MODEL, "yaqona"].map(ModelName::parse);
    let models = models.into_iter().collect::<Result<Vec<_>, _>>()?;
    // The changed models are sent to entries, and the stale order never reaches the engine.
    link.wait(|frame| match frame {
        SideFrame::Welcome { targets, .. } => {
            let is_loaded =
                |kind: &TargetKind| matches!(kind, TargetKind::Engine { models: found } if *found == models);
            targets.iter().any(|target| is_loaded(&target.kind)).then_some(())
        }
        _ => None,
    })
    .await?;
    let orders = side.engine().recent_orders().await?;
    let ordered: Vec<&EngineOrder> = orders.iter().map(|seen| &seen.order).collect();
    ensure!(
        ordered == [&EngineOrder::Load(ModelName::parse("yaqona")?)],
        "{orders:?}"
    );
    Ok(())
}

/// Fails if a former owner's call or release is executed, or its call is refused with a wrong verdict.
#[actix_rt::test]
async fn orders_of_a_former_owner_are_fenced() -> Result<()> {
    let side = SideFixture::spawn(SidePlan::default()).await?;
    let mut link = side.link("entry-1").await?;
    let mut present = service_order(1, "key-1", "present");
    present.token = FencingToken(7);
    link.dispatch(&present)?;
    ensure!(link.read(call_id(1)).await?.problem.is_none());
    link.dispatch(&service_order(2, "key-2", "former"))?;
    ensure!(link.wait(fenced).await? == FencingToken(7));
    let problem = link.read(call_id(2)).await?.problem()?;
    ensure!(problem.run == RunVerdict::NotRun, "{problem:?}");
    link.send(EntryFrame::Release {
        program: program(1),
        token: FencingToken(6),
    })?;
    ensure!(link.wait(fenced).await? == FencingToken(7));
    ensure!(side.service.runs_of("key-2").await? == 0);
    Ok(())
}

fn in_force(frame: &SideFrame) -> Option<u64> {
    match frame {
        SideFrame::ConfigInForce(status) => Some(status.version),
        _ => None,
    }
}

/// Fails if a version is not acknowledged, if an older version replaces a newer one, or if a gap is not reported.
#[actix_rt::test]
async fn the_configuration_in_force_is_acknowledged() -> Result<()> {
    let side = SideFixture::spawn(SidePlan::default()).await?;
    let mut link = side.link("entry-1").await?;
    let push = |version: u64, update: ConfigUpdate| {
        let document = Bytes::from(update.encode());
        EntryFrame::Config(ConfigPush { version, document })
    };
    let full = |version| {
        let document = ConfigDocument {
            version,
            ..ConfigDocument::default()
        };
        push(version, ConfigUpdate::Full(Box::new(document)))
    };
    let delta = |version| {
        let patch = ConfigPatch::default();
        push(
            version,
            ConfigUpdate::Delta(Box::new(ConfigDelta { version, patch })),
        )
    };
    ensure!(link.wait(in_force).await? == 0);
    link.send(full(3))?;
    ensure!(link.wait(in_force).await? == 3);
    link.send(full(2))?;
    link.send(delta(6))?;
    let known = link.wait(|frame| match frame {
        SideFrame::ConfigWanted { known } => Some(*known),
        _ => None,
    });
    ensure!(known.await? == 3);
    link.send(delta(4))?;
    ensure!(link.wait(in_force).await? == 4);
    let mut other = side.link("entry-2").await?;
    ensure!(other.wait(in_force).await? == 4);
    Ok(())
}
