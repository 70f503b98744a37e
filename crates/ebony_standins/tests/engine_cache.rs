//! Tests of the stand-in engine's prefix cache, KV transfer and reports through its adapter.

mod support;

use anyhow::Result;
use ebony_platform::{EngineCall, EngineOrder, EngineTarget, PlatformError};
use ebony_standins::engine::{ChatMessage, EngineSettings};
use ebony_types::FencingToken;
use support::{EngineFixture, call, call_id, program, prompt, read, request};

/// Maximum number of polls of a condition before a test continues.
const MAX_POLLS: u32 = 2_000;

/// Guards against wrong counts of filled, reused and wasted tokens, on which the second metric is based.
#[actix_rt::test]
async fn the_prefix_cache_counts_reuse_and_waste() -> Result<()> {
    let settings = EngineSettings {
        cache_tokens: 100,
        ..EngineSettings::default()
    };
    let fixture = EngineFixture::spawn(settings).await?;
    let mut messages = prompt("a first message of this conversation");
    let answer = fixture.run(1, &request(&messages, 2, false)).await?;
    let filled = fixture.control.stats().await?.cache.filled;
    messages.push(ChatMessage::text("assistant", &answer));
    messages.push(ChatMessage::text("user", "next"));
    fixture.run(2, &request(&messages, 2, false)).await?;
    let runs = fixture.control.recent_runs().await?;
    assert_eq!((runs[0].cached_tokens, runs[1].cached_tokens), (0, filled));

    let other = EngineCall {
        program: program(2),
        ..call(3, &request(&prompt(&"x".repeat(200)), 1, false))?
    };
    read(fixture.engine.complete(other).await?).await?;
    let stats = fixture.control.stats().await?;
    insta::assert_json_snapshot!("cache_counters", stats.cache);
    assert_eq!(stats.cache.filled, stats.cache.evicted + stats.held_tokens);
    let held = fixture.engine.held().await?;
    assert_eq!(held.len(), 1);
    assert_eq!(
        (held[0].program, held[0].bytes),
        (program(2), stats.held_tokens * 1_024)
    );
    let notices = fixture.engine.cache_notices(0).await?;
    let evicted = notices.iter().find(|notice| notice.held_tokens == 0);
    assert_eq!(evicted.map(|notice| notice.program), Some(program(1)));
    Ok(())
}

/// Guards against the eviction of pinned programs, against programs that stay in the cache after a release, and against
/// an import that is not reused.
#[actix_rt::test]
async fn kv_cache_can_be_pinned_transferred_and_released() -> Result<()> {
    let settings = EngineSettings {
        cache_tokens: 60,
        ..EngineSettings::default()
    };
    let fixture = EngineFixture::spawn(settings.clone()).await?;
    let other = EngineFixture::spawn(settings).await?;
    let request = request(&prompt("hello"), 1, false);
    fixture.run(1, &request).await?;
    fixture
        .engine
        .order(EngineOrder::Pin(program(1)), FencingToken(1))
        .await?;
    let large = EngineCall {
        program: program(2),
        ..call(2, &self::request(&prompt(&"x".repeat(200)), 1, false))?
    };
    read(fixture.engine.complete(large).await?).await?;
    let stats = fixture.control.stats().await?;
    assert!(stats.cache.not_stored >= 50, "{stats:?}");
    let held = fixture.engine.held().await?;
    assert!(held.iter().any(|held| held.program == program(1)));

    let kv = fixture.engine.export_kv(program(1)).await?;
    other.engine.import_kv(program(1), kv).await?;
    fixture
        .engine
        .order(EngineOrder::Release(program(1)), FencingToken(1))
        .await?;
    assert!(
        fixture
            .engine
            .held()
            .await?
            .iter()
            .all(|held| held.program != program(1))
    );
    let absent = fixture.engine.export_kv(program(1)).await;
    assert!(matches!(absent, Err(PlatformError::Refused(_))), "{absent:?}");
    other.run(3, &request).await?;
    assert!(other.control.recent_runs().await?[0].cached_tokens > 0);
    Ok(())
}

/// Guards against load reports and notices that are more recent or more complete than those of a real engine.
#[actix_rt::test]
async fn reports_lag_and_notices_have_gaps() -> Result<()> {
    let settings = EngineSettings {
        load_lag_ms: 3_600_000,
        notice_gap_every: 2,
        notice_delay_ms: 3_600_000,
        ..EngineSettings::default()
    };
    let fixture = EngineFixture::spawn(settings).await?;
    fixture.run(1, &request(&prompt("hello"), 4, false)).await?;
    assert_eq!(fixture.engine.load().await?.kv_bytes_held, 0);
    assert_eq!(fixture.engine.cache_notices(0).await?, []);
    let now = |settings: &mut EngineSettings| {
        settings.load_lag_ms = 0;
        settings.notice_delay_ms = 0;
    };
    fixture.control.change(now).await?;
    assert!(fixture.engine.load().await?.kv_bytes_held > 0);
    let notices = fixture.engine.cache_notices(0).await?;
    assert_eq!(
        notices.iter().map(|notice| notice.sequence).collect::<Vec<_>>(),
        [1]
    );
    Ok(())
}

/// Guards against a cancelled call that permanently prevents the eviction of its program's prefix.
#[actix_rt::test]
async fn cancelled_calls_do_not_prevent_eviction() -> Result<()> {
    let settings = EngineSettings {
        cache_tokens: 60,
        is_hung: true,
        ..EngineSettings::default()
    };
    let fixture = EngineFixture::spawn(settings).await?;
    let cancelled = call(1, &request(&prompt(&"x".repeat(100)), 1, true))?;
    let answer = fixture.engine.complete(cancelled).await?;
    // Once the prompt is in the cache, the call runs.
    for _ in 0..MAX_POLLS {
        if !fixture.engine.held().await?.is_empty() {
            break;
        }
    }
    fixture.engine.cancel(call_id(1)).await?;
    assert!(read(answer).await.is_err());
    fixture
        .control
        .change(|settings| settings.is_hung = false)
        .await?;
    let large = EngineCall {
        program: program(2),
        ..call(2, &request(&prompt(&"y".repeat(160)), 1, false))?
    };
    read(fixture.engine.complete(large).await?).await?;
    let held = fixture.engine.held().await?;
    assert_eq!(
        held.iter().map(|held| held.program).collect::<Vec<_>>(),
        [program(2)]
    );
    Ok(())
}
