//! Tests of the stand-in engine through its adapter.

mod support;

use std::time::Duration;

use anyhow::{Result, bail};
use bytes::{Bytes, BytesMut};
use ebony_platform::{
    EngineAnswer, EngineCall, EngineOrder, EngineTarget, HttpEngine, PlatformError, RequestLimits,
};
use ebony_standins::FaultSettings;
use ebony_standins::engine::{
    self, ChatRequest, EchoAnswer, EngineControl, EngineOptions, EngineSettings, EngineStats, answer_text,
};
use ebony_types::{CallId, CallKind, CallRequest, CallerName, FencingToken, ModelName};
use futures_util::StreamExt;
use support::{EngineFixture, MODEL, call, call_id, program, prompt, read, request};

/// Maximum number of polls of a condition before a test fails.
const MAX_POLLS: u32 = 2_000;

/// Polls the statistics of the engine until they meet a condition.
async fn wait_for(fixture: &EngineFixture, condition: impl Fn(&EngineStats) -> bool) -> Result<EngineStats> {
    for _ in 0..MAX_POLLS {
        let stats = fixture.control.stats().await?;
        if condition(&stats) {
            return Ok(stats);
        }
    }
    bail!("the engine's statistics did not meet the condition after {MAX_POLLS} polls")
}

/// Reads a body up to its error. Fails if the body ends without one.
async fn read_interrupted(mut answer: EngineAnswer) -> Result<(Bytes, PlatformError)> {
    let mut body = BytesMut::new();
    while let Some(part) = answer.body.next().await {
        match part {
            Ok(bytes) => body.extend_from_slice(&bytes),
            Err(error) => return Ok((body.freeze(), error)),
        }
    }
    bail!("the body ended without an error")
}

/// Returns the digest that the system computes for a request.
fn model_digest(request: &ChatRequest) -> Result<String> {
    let call = CallRequest {
        call: call_id(9),
        program: None,
        caller: CallerName::parse("caller")?,
        kind: CallKind::Model {
            model: ModelName::parse(MODEL)?,
            is_streamed: false,
            prompt_tokens: 0,
            max_output_tokens: 0,
        },
        headers: Vec::new(),
        body: Bytes::from(serde_json::to_vec(request)?),
        idempotency_key: None,
        timeout_ms: 0,
    };
    Ok(call.digest().to_string())
}

/// Guards against answers that are incomplete or belong to another call, and against changes of their format.
#[actix_rt::test]
async fn answers_are_complete_and_have_a_stable_format() -> Result<()> {
    let fixture = EngineFixture::spawn(EngineSettings::default()).await?;
    let plain = request(&prompt("hello"), 3, false);
    let answer = fixture.engine.complete(call(1, &plain)?).await?;
    let body = read(answer).await?;
    let digest = fixture.control.recent_runs().await?[0].request.clone();
    assert_eq!(digest, model_digest(&plain)?);
    insta::assert_snapshot!("plain_answer", std::str::from_utf8(&body)?);
    let streamed = request(&prompt("hello"), 2, true);
    let answer = fixture.engine.complete(call(2, &streamed)?).await?;
    let body = read(answer).await?;
    insta::assert_snapshot!("streamed_answer", std::str::from_utf8(&body)?);
    fixture.run(3, &request(&prompt("long"), 5_000, true)).await?;
    fixture.run(3, &request(&prompt("long"), 5_000, false)).await?;
    let counts = fixture.control.run_counts(2).await?;
    assert_eq!(counts.calls.get(&call_id(3).to_string()), Some(&2));
    assert_eq!(counts.calls.len(), 1);
    Ok(())
}

/// Guards against serving a model before it is loaded, and against a refusal that does not say that nothing ran.
#[actix_rt::test]
async fn calls_for_models_that_are_not_loaded_do_not_run() -> Result<()> {
    let fixture = EngineFixture::spawn(EngineSettings::default()).await?;
    let mut unknown = request(&prompt("hello"), 1, false);
    unknown.model = "other".to_owned();
    let refused = fixture
        .engine
        .complete(call(1, &unknown)?)
        .await
        .map(|answer| answer.status);
    assert!(matches!(refused, Err(PlatformError::Refused(_))), "{refused:?}");
    let model = ModelName::parse("other")?;
    fixture
        .engine
        .order(EngineOrder::Load(model.clone()), FencingToken(1))
        .await?;
    fixture.run(2, &unknown).await?;
    assert!(fixture.engine.load().await?.models.contains(&model));
    assert_eq!(fixture.control.runs_of(call_id(1)).await?, 0);
    Ok(())
}

/// Guards against a batch that exceeds its slots, or that does not run calls in priority order.
#[actix_rt::test]
async fn waiting_calls_run_by_priority() -> Result<()> {
    let settings = EngineSettings {
        slots: 1,
        max_waiting: 3,
        is_hung: true,
        ..EngineSettings::default()
    };
    let fixture = EngineFixture::spawn(settings).await?;
    let request = request(&prompt("hello"), 2, true);
    let mut answers = Vec::new();
    for (number, priority) in [(1, 5), (2, 9), (3, 1), (4, 5)] {
        let call = EngineCall {
            priority,
            ..call(number, &request)?
        };
        answers.push(fixture.engine.complete(call).await?);
        // Waits for the arrival of each call, because calls of equal priority run in arrival order.
        wait_for(&fixture, |stats| {
            stats.running + stats.waiting == u32::from(number)
        })
        .await?;
    }
    let full = fixture
        .engine
        .complete(call(5, &request)?)
        .await
        .map(|answer| answer.status);
    assert!(matches!(full, Err(PlatformError::Refused(_))), "{full:?}");
    fixture
        .control
        .change(|settings| settings.is_hung = false)
        .await?;
    for answer in answers {
        read(answer).await?;
    }
    let order: Vec<CallId> = fixture
        .control
        .recent_runs()
        .await?
        .iter()
        .map(|run| run.call)
        .collect();
    assert_eq!(order, [1, 3, 4, 2].map(call_id));
    assert_eq!(fixture.control.stats().await?.peak_running, 1);
    Ok(())
}

/// Guards against a cut stream that looks complete, and against a resumed one with missing or repeated bytes.
#[actix_rt::test]
async fn cut_streams_are_errors_and_resume_from_their_offset() -> Result<()> {
    let fixture = EngineFixture::spawn(EngineSettings::default()).await?;
    let cut = |settings: &mut EngineSettings| {
        settings.cut_answers = 2;
        settings.cut_after_bytes = 700;
        settings.is_hung = true;
    };
    fixture.control.change(cut).await?;
    let request = request(&prompt("hello"), 40, true);
    let answer = fixture.engine.complete(call(1, &request)?).await?;
    fixture
        .control
        .change(|settings| settings.is_hung = false)
        .await?;
    let (first, error) = read_interrupted(answer).await?;
    assert!(matches!(error, PlatformError::Unknown(_)), "{error:?}");
    let answer = fixture.engine.resume(call_id(1), first.len() as u64).await?;
    let (second, _) = read_interrupted(answer).await?;
    let mut complete = BytesMut::from(&first[..]);
    complete.extend_from_slice(&second);
    let rest = read(fixture.engine.resume(call_id(1), complete.len() as u64).await?).await?;
    complete.extend_from_slice(&rest);
    EchoAnswer::check(&answer_text(&complete, true)?, &request)?;

    let again = read(fixture.engine.resume(call_id(1), 0).await?).await?;
    assert_eq!(again, complete);
    let beyond = fixture
        .engine
        .resume(call_id(1), 1 << 30)
        .await
        .map(|answer| answer.status);
    assert!(matches!(beyond, Err(PlatformError::Refused(_))), "{beyond:?}");
    assert_eq!(fixture.control.runs_of(call_id(1)).await?, 1);
    fixture.control.change(|settings| settings.keep_ms = 0).await?;
    let expired = fixture
        .engine
        .resume(call_id(1), 0)
        .await
        .map(|answer| answer.status);
    assert!(matches!(expired, Err(PlatformError::Refused(_))), "{expired:?}");
    Ok(())
}

/// Guards against a lost reply that stops the call, or that is reported as if the call had not run.
#[actix_rt::test]
async fn a_call_whose_reply_was_lost_has_run_and_can_be_resumed() -> Result<()> {
    let fixture = EngineFixture::spawn(EngineSettings::default()).await?;
    let lose = FaultSettings {
        lose_replies: 1,
        ..FaultSettings::default()
    };
    fixture.control.set_faults(lose).await?;
    let request = request(&prompt("hello"), 8, true);
    let lost = fixture
        .engine
        .complete(call(1, &request)?)
        .await
        .map(|answer| answer.status);
    assert!(matches!(lost, Err(PlatformError::Unknown(_))), "{lost:?}");
    let body = read(fixture.engine.resume(call_id(1), 0).await?).await?;
    EchoAnswer::check(&answer_text(&body, true)?, &request)?;
    assert_eq!(fixture.control.runs_of(call_id(1)).await?, 1);
    Ok(())
}

/// Guards against a cancelled call that keeps its slot, or whose answer looks complete.
#[actix_rt::test]
async fn cancelled_calls_free_their_slot() -> Result<()> {
    let settings = EngineSettings {
        slots: 1,
        is_hung: true,
        ..EngineSettings::default()
    };
    let fixture = EngineFixture::spawn(settings).await?;
    let request = request(&prompt("hello"), 8, true);
    let running = fixture.engine.complete(call(1, &request)?).await?;
    let waiting = fixture.engine.complete(call(2, &request)?).await?;
    wait_for(&fixture, |stats| stats.running == 1 && stats.waiting == 1).await?;
    fixture.engine.cancel(call_id(2)).await?;
    fixture.engine.cancel(call_id(1)).await?;
    fixture.engine.cancel(call_id(9)).await?;
    read_interrupted(running).await?;
    read_interrupted(waiting).await?;
    fixture
        .control
        .change(|settings| settings.is_hung = false)
        .await?;
    fixture.run(3, &request).await?;
    let stats = wait_for(&fixture, |stats| stats.running == 0).await?;
    assert_eq!(
        (stats.waiting, stats.counts.cancelled, stats.counts.ended),
        (0, 2, 1)
    );
    Ok(())
}

/// Guards against orders that run or are refused contrary to the setting `checks_fencing`.
#[actix_rt::test]
async fn a_setting_decides_whether_fencing_is_enforced() -> Result<()> {
    let fixture = EngineFixture::spawn(EngineSettings::default()).await?;
    let load = |name: &str| ModelName::parse(name).map(EngineOrder::Load);
    fixture.engine.order(load("a")?, FencingToken(7)).await?;
    let fenced = fixture.engine.order(load("b")?, FencingToken(6)).await;
    assert_eq!(fenced, Err(PlatformError::Fenced { highest: 7 }));
    fixture
        .control
        .change(|settings| settings.checks_fencing = false)
        .await?;
    fixture.engine.order(load("c")?, FencingToken(6)).await?;
    let models = fixture.engine.load().await?.models;
    let names: Vec<&str> = models.iter().map(ModelName::as_str).collect();
    assert_eq!(names, [MODEL, "a", "c"]);
    let counts = fixture.control.stats().await?.counts;
    assert_eq!(
        (counts.orders, counts.fenced_orders, counts.stale_orders),
        (2, 1, 1)
    );
    let orders = fixture.control.recent_orders().await?;
    assert_eq!(
        orders.iter().map(|order| order.has_run).collect::<Vec<_>>(),
        [true, false, true]
    );
    Ok(())
}

/// Guards against a crash that keeps cache, calls or fencing tokens, and against connections that are refused after it
/// but reported as unknown outcomes.
#[actix_rt::test]
async fn a_crashed_engine_refuses_calls_and_restarts_empty() -> Result<()> {
    let fixture = EngineFixture::spawn(EngineSettings::default()).await?;
    fixture.run(1, &request(&prompt("hello"), 4, true)).await?;
    fixture
        .engine
        .order(EngineOrder::Pin(program(1)), FencingToken(9))
        .await?;
    let before = fixture.control.stats().await?;
    assert!(before.held_tokens > 0 && before.pinned == [program(1)]);
    fixture
        .control
        .change(|settings| settings.crash_down_ms = 3_600_000)
        .await?;

    let fatal = EngineCall {
        program: program(2),
        ..call(2, &request(&prompt("please [[crash-engine]] now"), 4, false))?
    };
    let crashed = fixture.engine.complete(fatal).await.map(|answer| answer.status);
    assert!(matches!(crashed, Err(PlatformError::Unknown(_))), "{crashed:?}");
    let down = fixture
        .engine
        .complete(call(3, &request(&prompt("x"), 1, false))?)
        .await;
    let down = down.map(|answer| answer.status);
    assert!(matches!(down, Err(PlatformError::Refused(_))), "{down:?}");

    fixture.control.restart().await?;
    assert_eq!(fixture.engine.held().await?, []);
    assert_eq!(fixture.engine.cache_notices(0).await?, []);
    let forgotten = fixture
        .engine
        .resume(call_id(1), 0)
        .await
        .map(|answer| answer.status);
    assert!(
        matches!(forgotten, Err(PlatformError::Refused(_))),
        "{forgotten:?}"
    );
    let after = fixture.control.stats().await?;
    assert_ne!(after.incarnation, before.incarnation);
    assert_eq!(
        (after.highest_token, after.running, after.counts.crashes),
        (0, 0, 1)
    );
    assert_eq!(after.cache.lost, before.held_tokens + 7);
    fixture.run(4, &request(&prompt("hello"), 4, true)).await?;
    assert_eq!(fixture.control.runs_of(call_id(2)).await?, 1);
    Ok(())
}

/// Guards against load requests and cancellations that wait for a connection while calls use all of them.
#[actix_rt::test]
async fn calls_at_the_connection_limit_do_not_block_other_requests() -> Result<()> {
    let options = EngineOptions {
        models: vec![ModelName::parse(MODEL)?],
        settings: EngineSettings {
            is_hung: true,
            ..EngineSettings::default()
        },
        ..EngineOptions::default()
    };
    let handle = engine::spawn(options).await?;
    let control = EngineControl::open(handle.address().control);
    let limits = RequestLimits {
        max_connections: 1,
        connect_timeout: Duration::from_millis(20),
        ..RequestLimits::for_targets()
    };
    let engine = HttpEngine::open(&handle.url(), limits)?;
    let request = request(&prompt("hello"), 4, true);
    let held = engine.complete(call(1, &request)?).await?;
    let refused = engine
        .complete(call(2, &request)?)
        .await
        .map(|answer| answer.status);
    assert!(matches!(refused, Err(PlatformError::Refused(_))), "{refused:?}");
    assert_eq!(engine.load().await?.running, 1);
    engine.cancel(call_id(1)).await?;
    read_interrupted(held).await?;
    assert_eq!(control.runs_of(call_id(2)).await?, 0);
    engine.complete(call(3, &request)?).await?;
    Ok(())
}
