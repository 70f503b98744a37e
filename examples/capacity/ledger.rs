//! Measures the call ledger of a side process: time of calls, and memory of idempotency keys.

use std::time::Duration;

use bytes::Bytes;
use ebony_ledger::{CallLedger, LedgerDecision, LedgerLimits, StartDecision};
use ebony_types::{
    CallId, CallUsage, ClockTime, FencingToken, IdempotencyKey, ProcessIncarnation, SessionId, TargetName,
};
use ebony_wire::{AnswerHead, DispatchOrder, QueueRank};

use crate::owner_bench::{ANSWER_BYTES, chat_body, chat_request, program_id};
use crate::report::CapacityReport;
use crate::sample::{cpu_micros, repeat_measurement, resident_bytes, single_sample};

/// Calls of each point. A completed call leaves the ledger as soon as it is settled.
const CALL_COUNTS: [usize; 4] = [1_000, 4_000, 8_000, 16_000];

/// Idempotency keys held in memory. The default limit of the ledger is 65,536.
const KEY_COUNTS: [usize; 4] = [4_000, 16_000, 32_000, 64_000];

fn target() -> TargetName {
    TargetName::parse("kalo-1").expect("the name is visible")
}

fn open_ledger() -> CallLedger {
    let mut ledger = CallLedger::open(LedgerLimits::default(), ClockTime::from_millis(0));
    ledger.add_target(&target(), ProcessIncarnation::from_bytes([1; 16]), true);
    ledger
}

fn order(number: usize, body: &Bytes, is_keyed: bool) -> DispatchOrder {
    let mut bytes = [0; 16];
    bytes[8..].copy_from_slice(&(number as u64).to_be_bytes());
    let mut request = chat_request(CallId::from_bytes(bytes), body.clone());
    request.program = Some(program_id(number));
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

/// Runs one call from dispatch order to settlement.
fn run_call(ledger: &mut CallLedger, order: &DispatchOrder, answer: &Bytes, now: ClockTime) {
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

/// Measures the memory of idempotency keys. The caller must keep the returned ledger until all memory is measured,
/// since freed memory would be reused and hide growth.
pub(crate) fn measure_memory(report: &mut CapacityReport) -> CallLedger {
    let mut ledger = open_ledger();
    let body = Bytes::from(chat_body(1));
    let answer = Bytes::from(vec![b'a'; ANSWER_BYTES]);
    let (mut points, mut count) = (Vec::new(), 0);
    for size in KEY_COUNTS {
        while count < size {
            let now = ClockTime::from_millis(count as u64);
            run_call(&mut ledger, &order(count, &body, true), &answer, now);
            count += 1;
        }
        assert_eq!(ledger.known_keys(), size, "every key is kept");
        points.push(single_sample(size, resident_bytes()));
    }
    report.add("ledger: resident memory of keys", ("key", "bytes"), points);
    ledger
}

/// Measures the time of calls with and without an idempotency key.
pub(crate) fn measure_time(report: &mut CapacityReport) {
    let body = Bytes::from(chat_body(1));
    let answer = Bytes::from(vec![b'a'; ANSWER_BYTES]);
    for (name, is_keyed) in [
        ("ledger: a call from order to settlement", false),
        ("ledger: a call with a key", true),
    ] {
        let points = CALL_COUNTS.map(|size| {
            let orders: Vec<_> = (0..size).map(|number| order(number, &body, is_keyed)).collect();
            repeat_measurement(size, || {
                let mut ledger = open_ledger();
                let now = ClockTime::from_millis(0) + Duration::from_secs(1);
                cpu_micros(|| {
                    for order in &orders {
                        run_call(&mut ledger, order, &answer, now);
                    }
                })
            })
        });
        report.add(name, ("call", "µs"), points.to_vec());
    }
}
