//! Fixture for the engine tests: an engine with its control client and adapter.

use anyhow::{Result, ensure};
use bytes::{Bytes, BytesMut};
use ebony_platform::{EngineAnswer, EngineCall, EngineTarget, HttpEngine, RequestLimits};
use ebony_standins::StandinHandle;
use ebony_standins::engine::{
    self, ChatMessage, ChatRequest, EchoAnswer, EngineControl, EngineOptions, EngineSettings, answer_text,
};
use ebony_types::{CallId, ModelName, ProgramId, ShardKey};
use futures_util::StreamExt;

pub(crate) const MODEL: &str = "kalo-70b";

pub(crate) struct EngineFixture {
    pub(crate) control: EngineControl,
    pub(crate) engine: HttpEngine,
    _handle: StandinHandle,
}

impl EngineFixture {
    pub(crate) async fn spawn(settings: EngineSettings) -> Result<Self> {
        let options = EngineOptions {
            models: vec![ModelName::parse(MODEL)?],
            settings,
            ..EngineOptions::default()
        };
        let handle = engine::spawn(options).await?;
        Ok(Self {
            control: EngineControl::open(handle.address().control),
            engine: HttpEngine::open(&handle.url(), RequestLimits::for_targets())?,
            _handle: handle,
        })
    }

    /// Runs a call to completion and returns the verified text of its answer.
    pub(crate) async fn run(&self, number: u8, request: &ChatRequest) -> Result<String> {
        let answer = self.engine.complete(call(number, request)?).await?;
        let text = answer_text(&read(answer).await?, request.stream)?;
        let echo = EchoAnswer::check(&text, request)?;
        ensure!(echo.call == call_id(number) && echo.program == Some(program(1)));
        Ok(text)
    }
}

pub(crate) fn call_id(number: u8) -> CallId {
    CallId::from_bytes([number; 16])
}

pub(crate) fn program(number: u8) -> ProgramId {
    ProgramId::from_parts(ShardKey(7), [number; 14])
}

pub(crate) fn request(messages: &[ChatMessage], words: u32, stream: bool) -> ChatRequest {
    ChatRequest {
        model: MODEL.to_owned(),
        messages: messages.to_vec(),
        max_tokens: Some(words),
        stream,
    }
}

pub(crate) fn prompt(text: &str) -> Vec<ChatMessage> {
    vec![ChatMessage::text("user", text)]
}

pub(crate) fn call(number: u8, request: &ChatRequest) -> Result<EngineCall> {
    Ok(EngineCall {
        call: call_id(number),
        program: program(1),
        priority: 0,
        body: Bytes::from(serde_json::to_vec(request)?),
    })
}

pub(crate) async fn read(mut answer: EngineAnswer) -> Result<Bytes> {
    ensure!(answer.status == 200, "status {}", answer.status);
    let mut body = BytesMut::new();
    while let Some(part) = answer.body.next().await {
        body.extend_from_slice(&part?);
    }
    Ok(body.freeze())
}
