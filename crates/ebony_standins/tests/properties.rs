//! Property tests of the engine's answers and of its prefix cache.

use arbitrary::Unstructured;
use bytes::Bytes;
use ebony_platform::{EngineCall, EngineOrder, EngineTarget, HttpEngine, RequestLimits};
use ebony_standins::engine::{
    self, ChatMessage, ChatRequest, EchoAnswer, EngineControl, EngineOptions, EngineSettings,
};
use ebony_types::{CallId, FencingToken, ModelName, ProgramId, ShardKey};
use futures_util::StreamExt;

const MODEL: &str = "kalo-70b";

fn program(number: u8) -> ProgramId {
    ProgramId::from_parts(ShardKey(0), [number; 14])
}

fn arbitrary_request(input: &mut Unstructured<'_>) -> arbitrary::Result<ChatRequest> {
    let roles = ["user", "assistant"];
    let mut messages = Vec::new();
    for _ in 0..input.int_in_range(1..=4)? {
        let role = input.choose(&roles)?;
        // Few distinct texts, so that prompts of different calls share prefixes.
        let text = "x".repeat(input.int_in_range(0..=3)? * 20);
        messages.push(ChatMessage::text(role, &text));
    }
    Ok(ChatRequest {
        model: MODEL.to_owned(),
        messages,
        max_tokens: Some(input.int_in_range(0..=20)?),
        stream: false,
    })
}

/// Guards against a check that accepts a truncated or extended answer, or the answer to another request.
#[test]
fn only_the_complete_answer_to_a_request_passes() {
    ebony_testkit::check_seeds(200, 256, |input| {
        let request = arbitrary_request(input)?;
        let other = arbitrary_request(input)?;
        let call = CallId::from_bytes(input.arbitrary()?);
        let answer = EchoAnswer::for_request(&request, Some(program(input.arbitrary()?)), call);
        let text = answer.text();
        assert_eq!(EchoAnswer::check(&text, &request), Ok(answer));
        let length = input.choose_index(text.len())?;
        assert!(EchoAnswer::check(&text[..length], &request).is_err());
        assert!(EchoAnswer::check(&format!("{text} "), &request).is_err());
        if other.messages != request.messages {
            assert!(EchoAnswer::check(&text, &other).is_err());
        }
        Ok(())
    });
}

async fn run_step(engine: &HttpEngine, input: &mut Unstructured<'_>) -> arbitrary::Result<()> {
    let target = program(input.int_in_range(0..=4)?);
    let token = FencingToken(0);
    match input.int_in_range(0..=7)? {
        0 => drop(engine.order(EngineOrder::Pin(target), token).await),
        1 => drop(engine.order(EngineOrder::Unpin(target), token).await),
        2 => drop(engine.order(EngineOrder::Release(target), token).await),
        3 => {
            let from = program(input.int_in_range(0..=4)?);
            if let Ok(kv) = engine.export_kv(from).await {
                drop(engine.import_kv(target, kv).await);
            }
        }
        _ => {
            let request = arbitrary_request(input)?;
            let call = EngineCall {
                call: CallId::from_bytes(input.arbitrary()?),
                program: target,
                priority: 0,
                body: Bytes::from(serde_json::to_vec(&request).unwrap_or_default()),
            };
            if let Ok(mut answer) = engine.complete(call).await {
                while answer.body.next().await.is_some() {}
            }
        }
    }
    Ok(())
}

/// Guards against tokens that are removed from the cache without being counted, and a cache that exceeds its capacity.
#[test]
fn every_token_of_the_cache_is_accounted_for() {
    ebony_testkit::check_seeds(12, 512, |input| {
        actix_rt::System::new().block_on(async {
            let options = EngineOptions {
                models: vec![ModelName::parse(MODEL).unwrap()],
                settings: EngineSettings {
                    cache_tokens: 200,
                    ..EngineSettings::default()
                },
                ..EngineOptions::default()
            };
            let handle = engine::spawn(options).await.unwrap();
            let control = EngineControl::open(handle.address().control);
            let engine = HttpEngine::open(&handle.url(), RequestLimits::for_targets()).unwrap();
            for _ in 0..30 {
                run_step(&engine, input).await?;
            }
            let stats = control.stats().await.unwrap();
            let cache = stats.cache;
            assert!(stats.held_tokens <= 200 && cache.filled > 0, "{stats:?}");
            assert!(cache.evicted_unused <= cache.evicted && cache.released_unused <= cache.released);
            let gone = cache.evicted + cache.released + cache.lost;
            assert_eq!(
                cache.filled + cache.imported,
                stats.held_tokens + gone,
                "{stats:?}"
            );
            let held: u64 = engine.held().await.unwrap().iter().map(|held| held.bytes).sum();
            assert_eq!(held, stats.held_tokens * 1_024);
            Ok(())
        })
    });
}
