//! Time and memory of a side process's ledger.

use std::time::Duration;

use bytes::Bytes;
use ebony_ledger::{CallLedger, LedgerDecision, LedgerLimits, StartDecision};
use ebony_types::{
    CallId, CallUsage, ClockTime, FencingToken, IdempotencyKey, ProcessIncarnation, SessionId, TargetName,
};
use ebony_wire::{AnswerHead, DispatchOrder, QueueRank};

use crate::owner_bench::{ANSWER_BYTES, chat_body, program, request};
use crate::report::CapacityReport;
use crate::sample::{cpu_micros, once, repeat, resident_bytes};

/// Calls of one series. An ended call leaves the ledger as soon as it is settled.
const CALLS: [usize; 4] = [1_000, 4_000, 8_000, 16_000];

/// Idempotency keys in memory. The default bound is 65,536.
const KEYS: [usize; 4] = [4_000, 16_000, 32_000, 64_000];

fn target() -> TargetName {
    TargetName::parse("kalo-1").expect("the name is visible")
}

fn open() -> CallLedger {
    let mut ledger = CallLedger::open(LedgerLimits::default(), ClockTime::from_millis(0));
    ledger.add_target(&target(), ProcessIncarnation::from_bytes([1; 16]), true);
    ledger
}

fn order(number: usize, body: &Bytes, is_keyed: bool) -> DispatchOrder {
    let mut bytes = [0; 16];
    bytes[8..].copy_from_slice(&(number as u64).to_be_bytes());
    let mut request = request(CallId::from_bytes(bytes), body.clone());
    request.program = Some(program(number));
    if is_keyed {
        let key = format!("order-{number:026}");
        request.idempotency_key = Some(IdempotencyKey::parse(&key).expect("the key is visible"));
    }
    DispatchOrder {
        request,
        target: target(),
        session: SessionId::from_bytes([1; 16]),
        token: FencingToken(1),
        rank: QueueRank::default(),
    }
}

/// Runs one call from its order to its settlement.
fn run(ledger: &mut CallLedger, order: &DispatchOrder, answer: &Bytes, now: ClockTime) {
    let call = order.request.call;
    assert_eq!(ledger.admit(order, now), LedgerDecision::Run);
    assert_eq!(ledger.start(call, now), Ok(StartDecision::Start));
    let head = AnswerHead {
        status: 200,
        headers: Vec::new(),
    };
    ledger.record_head(call, head).expect("the call runs");
    ledger.record_chunk(call, answer).expect("the call runs");
    ledger
        .complete(call, CallUsage::default(), now)
        .expect("the call runs");
    ledger.settled(call);
}

/// Measures the memory of keys. The caller keeps the ledger until other memory is measured.
pub(crate) fn measure_memory(report: &mut CapacityReport) -> CallLedger {
    let mut ledger = open();
    let body = Bytes::from(chat_body(1));
    let answer = Bytes::from(vec![b'a'; ANSWER_BYTES]);
    let (mut points, mut count) = (Vec::new(), 0);
    for size in KEYS {
        while count < size {
            let now = ClockTime::from_millis(count as u64);
            run(&mut ledger, &order(count, &body, true), &answer, now);
            count += 1;
        }
        assert_eq!(ledger.known_keys(), size, "every key is kept");
        points.push(once(size, resident_bytes()));
    }
    report.add("ledger: resident memory of keys", ("key", "bytes"), points);
    ledger
}

/// Measures the time of calls without and with a key.
pub(crate) fn measure_time(report: &mut CapacityReport) {
    let body = Bytes::from(chat_body(1));
    let answer = Bytes::from(vec![b'a'; ANSWER_BYTES]);
    for (name, is_keyed) in [
        ("ledger: a call from order to settlement", false),
        ("ledger: a call with a key", true),
    ] {
        let points = CALLS.map(|size| {
            let orders: Vec<_> = (0..size).map(|number| order(number, &body, is_keyed)).collect();
            repeat(size, || {
                let mut ledger = open();
                let now = ClockTime::from_millis(0) + Duration::from_secs(1);
                cpu_micros(|| {
                    for order in &orders {
                        run(&mut ledger, order, &answer, now);
                    }
                })
            })
        });
        report.add(name, ("call", "µs"), points.to_vec());
    }
}
