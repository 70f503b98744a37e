//! Builders of orders and names for the ledger's tests.

use bytes::Bytes;
use ebony_types::{
    CallId, CallKind, CallRequest, CallerName, FencingToken, IdempotencyKey, ProcessIncarnation, ProgramId,
    ServiceName, SessionId, ShardKey, TargetName,
};
use ebony_wire::{DispatchOrder, QueueRank};

pub(crate) fn call(number: u8) -> CallId {
    CallId::from_bytes([number; 16])
}

pub(crate) fn incarnation(number: u8) -> ProcessIncarnation {
    ProcessIncarnation::from_bytes([number; 16])
}

pub(crate) fn target(number: u8) -> TargetName {
    TargetName::parse(&format!("target-{number}")).expect("a valid name")
}

pub(crate) fn program() -> ProgramId {
    ProgramId::from_parts(ShardKey(1), [1; 14])
}

/// Returns an order for `target-1` with the given call number, key and body.
pub(crate) fn order(number: u8, key: Option<u8>, body: &'static str) -> DispatchOrder {
    DispatchOrder {
        request: CallRequest {
            call: call(number),
            program: Some(program()),
            caller: CallerName::parse("caller").expect("a valid name"),
            kind: CallKind::Service {
                service: ServiceName::parse("orders").expect("a valid name"),
                method: "POST".into(),
                path: "/".into(),
            },
            headers: Vec::new(),
            body: Bytes::from_static(body.as_bytes()),
            idempotency_key: key
                .map(|key| IdempotencyKey::parse(&format!("key-{key}")).expect("a valid name")),
            timeout_ms: 1_000,
        },
        target: target(1),
        session: SessionId::from_bytes([1; 16]),
        token: FencingToken(1),
        rank: QueueRank::default(),
    }
}
