//! Fakes and builders for the tests of this crate.

pub(crate) mod fixture;
pub(crate) mod platform;

use bytes::Bytes;
use ebony_owner::{LiveSession, MessageList, OwnerEvent};
use ebony_types::{
    CallId, CallKind, CallRequest, CallUsage, CallerName, DomainName, IdempotencyKey, ModelName, ProgramId,
    ServiceName, SessionId, ShardKey,
};
use ebony_wire::AnswerHead;

pub(crate) fn session(number: u8) -> SessionId {
    SessionId::from_bytes([number; 16])
}

pub(crate) fn program(shard: u16, number: u8) -> ProgramId {
    ProgramId::from_parts(ShardKey(shard), [number; 14])
}

pub(crate) fn call(number: u64) -> CallId {
    let mut bytes = [0; 16];
    bytes[8..].copy_from_slice(&number.to_be_bytes());
    CallId::from_bytes(bytes)
}

pub(crate) fn caller(name: &str) -> CallerName {
    CallerName::parse(name).expect("a valid caller")
}

pub(crate) fn key(name: &str) -> IdempotencyKey {
    IdempotencyKey::parse(name).expect("a valid key")
}

pub(crate) fn live_session(session: SessionId, domain: &str) -> LiveSession {
    LiveSession {
        session,
        domain: DomainName::parse(domain).expect("a valid domain"),
        is_draining: false,
        shards: Vec::new(),
    }
}

/// Returns a chat call of 10 prompt tokens and up to 10 answer tokens.
pub(crate) fn chat(number: u64, program: Option<ProgramId>, messages: &[&str]) -> CallRequest {
    let messages: Vec<serde_json::Value> = messages
        .iter()
        .map(|text| serde_json::json!({"role": "user", "content": text}))
        .collect();
    let body = serde_json::json!({"model": "kalo-7b", "messages": messages}).to_string();
    CallRequest {
        call: call(number),
        program,
        caller: caller("shop-fiji"),
        kind: CallKind::Model {
            model: ModelName::parse("kalo-7b").expect("a valid model"),
            is_streamed: false,
            prompt_tokens: 10,
            max_output_tokens: 10,
        },
        headers: Vec::new(),
        body: Bytes::from(body),
        idempotency_key: None,
        timeout_ms: 60_000,
    }
}

/// Returns a call of a plain service with an idempotency key.
pub(crate) fn order(number: u64, program: Option<ProgramId>, name: &str) -> CallRequest {
    CallRequest {
        kind: CallKind::Service {
            service: ServiceName::parse("workshop").expect("a valid service"),
            method: "POST".to_owned(),
            path: "/orders".to_owned(),
        },
        body: Bytes::from(format!("order {name}")),
        idempotency_key: Some(key(name)),
        ..chat(number, program, &[])
    }
}

pub(crate) fn arrived(request: CallRequest) -> OwnerEvent {
    let messages = match &request.kind {
        CallKind::Model { .. } => MessageList::parse(&request.body).expect("a chat body"),
        CallKind::Service { .. } => MessageList::default(),
    };
    OwnerEvent::CallArrived {
        request: Box::new(request),
        messages,
    }
}

pub(crate) fn finished(call: CallId, answer: &str) -> OwnerEvent {
    OwnerEvent::CallFinished {
        call,
        head: AnswerHead {
            status: 200,
            headers: Vec::new(),
        },
        answer: Bytes::from(answer.to_owned()),
        usage: CallUsage {
            prompt_tokens: 10,
            cached_tokens: 0,
            output_tokens: 5,
        },
    }
}
