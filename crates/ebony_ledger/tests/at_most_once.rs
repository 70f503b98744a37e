//! Guards against idempotency keys that run twice, and against refusals that wrongly report "not run".

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use arbitrary::Unstructured;
use bytes::Bytes;
use common::{call, incarnation, order, target};
use ebony_ledger::{
    CallLedger, CallState, CancelDecision, LedgerDecision, LedgerLimits, ResumeDecision, StartDecision,
};
use ebony_types::{CallId, CallUsage, ClockTime, FencingToken, ProblemCode, ProblemReport, RunVerdict};

const CALLS: u8 = 14;

/// How long an entry may ask about a call: the longest timeout plus a minute.
const MAX_CALL_AGE: Duration = Duration::from_secs(660);

/// Limits that a test case reaches within a few steps.
fn small_limits() -> LedgerLimits {
    LedgerLimits {
        open_calls: 8,
        ended_calls: 4,
        known_keys: 5,
        answer_bytes: 4_096,
        tracked_requests: 4,
        ..LedgerLimits::default()
    }
}

/// Returns the key of a call. The call number determines key and body: two thirds of the calls share four keys, and one
/// call has a different body.
fn key_of(number: u8) -> Option<u8> {
    (!number.is_multiple_of(3)).then_some(number % 4)
}

fn body_of(number: u8) -> &'static str {
    if number.is_multiple_of(11) {
        "other"
    } else {
        "body"
    }
}

/// The ledger, and the runs that really happened on the target.
struct TrackedLedger {
    ledger: CallLedger,
    now: ClockTime,
    /// Calls that reached the target, with the times of their runs. Removed once their entry no longer asks about them,
    /// because it settled them or they are older than [`MAX_CALL_AGE`].
    started: BTreeMap<CallId, Vec<ClockTime>>,
    ever_started: BTreeSet<CallId>,
    /// The number of runs of each key that reached the target.
    key_runs: BTreeMap<u8, u32>,
    incarnations: u8,
}

impl TrackedLedger {
    fn open() -> Self {
        let mut ledger = CallLedger::open(small_limits(), ClockTime::default());
        ledger.add_target(&target(1), incarnation(1), false);
        Self {
            ledger,
            now: ClockTime::default(),
            started: BTreeMap::new(),
            ever_started: BTreeSet::new(),
            key_runs: BTreeMap::new(),
            incarnations: 1,
        }
    }

    fn check_refusal(&self, number: u8, problem: &ProblemReport) {
        if problem.run == RunVerdict::NotRun {
            assert!(
                !self.started.contains_key(&call(number)),
                "call {number}: {problem}"
            );
        }
    }

    fn admit(&mut self, number: u8, token: u64) {
        let mut order = order(number, key_of(number), body_of(number));
        order.token = FencingToken(token);
        // The ledger may have dropped an earlier attempt of a call without a key, whose verdict the entry keeps. It
        // never forgets a key.
        let is_known = key_of(number).is_some() || self.ledger.state(call(number)).is_some();
        match self.ledger.admit(&order, self.now) {
            LedgerDecision::Run => {
                assert_eq!(self.ledger.state(call(number)), Some(CallState::Queued));
                if !is_known {
                    self.started.remove(&call(number));
                }
            }
            LedgerDecision::Attach { .. } | LedgerDecision::Replay { .. } => self.record_attached(number),
            LedgerDecision::Refuse(problem) | LedgerDecision::Fenced { problem, .. } if is_known => {
                self.check_refusal(number, &problem);
            }
            LedgerDecision::Refuse(_) | LedgerDecision::Fenced { .. } => {}
        }
    }

    /// Records that a call was attached to another one, and shares its run if that was dispatched.
    fn record_attached(&mut self, number: u8) {
        let is_queued = self.ledger.state(call(number)) == Some(CallState::Queued);
        if !is_queued && !self.started.contains_key(&call(number)) {
            self.record_run(&[call(number)]);
        }
    }

    fn record_run(&mut self, calls: &[CallId]) {
        self.ever_started.extend(calls);
        for call in calls {
            self.started.entry(*call).or_default().push(self.now);
        }
    }

    fn start(&mut self, number: u8) {
        match self.ledger.start(call(number), self.now) {
            Ok(StartDecision::Start) => {
                let attached = self.ledger.attached(call(number)).to_vec();
                self.record_run(&attached);
                if let Some(key) = key_of(number) {
                    *self.key_runs.entry(key).or_default() += 1;
                }
            }
            Ok(StartDecision::Refuse(problem)) => self.check_refusal(number, &problem),
            Ok(StartDecision::Hold) | Err(_) => {}
        }
        assert!(self.key_runs.values().all(|runs| *runs <= 1), "a key ran twice");
    }

    fn break_connection(&mut self, number: u8) {
        let attached = self.ledger.attached(call(number)).to_vec();
        let problem = ProblemReport::may_have_run(ProblemCode::TargetFailed, "reset");
        if let Ok(problem) = self.ledger.fail(call(number), problem, self.now) {
            self.check_refusal(number, &problem);
            let has_run = attached.iter().any(|call| self.ever_started.contains(call));
            assert!(has_run || problem.run == RunVerdict::NotRun);
        }
    }

    /// The target rejects the call, for instance by refusing the connection, so that its last run did not happen.
    fn reject(&mut self, number: u8) {
        let is_running = self.ledger.state(call(number)) == Some(CallState::Dispatched);
        let problem = ProblemReport::not_run(ProblemCode::TargetFailed, "refused");
        if !is_running || self.ledger.fail(call(number), problem, self.now).is_err() {
            return;
        }
        let Some(key) = key_of(number) else {
            self.started.entry(call(number)).or_default().pop();
            self.started.retain(|_, runs| !runs.is_empty());
            return;
        };
        // Calls that were detached from this run did not run either.
        self.key_runs.remove(&key);
        let shares_key = |other: u8| key_of(other) == Some(key) && body_of(other) == body_of(number);
        for other in (1..=CALLS).filter(|other| shares_key(*other)) {
            self.started.remove(&call(other));
        }
    }

    fn cancel(&mut self, number: u8) {
        match self.ledger.cancel(call(number), ProblemCode::Cancelled, self.now) {
            CancelDecision::Dequeue(problem) | CancelDecision::Unknown(problem) => {
                self.check_refusal(number, &problem);
            }
            CancelDecision::Interrupt { problem, .. } | CancelDecision::Detach(problem) => {
                assert_eq!(problem.run, RunVerdict::MayHaveRun);
            }
            CancelDecision::Ended => {}
        }
    }

    fn settle(&mut self, number: u8) {
        let is_open = self.ledger.state(call(number)).is_some_and(CallState::is_open);
        if !is_open {
            self.ledger.settled(call(number));
            self.started.remove(&call(number));
        }
    }

    fn pass_time(&mut self, seconds: u64) {
        self.now = self.now + Duration::from_secs(seconds);
        self.ledger.tick(self.now);
        let now = self.now;
        self.started.retain(|_, runs| {
            runs.retain(|since| now.since(*since) < MAX_CALL_AGE);
            !runs.is_empty()
        });
    }

    fn crash(&mut self) {
        self.incarnations += 1;
        let outcome = self
            .ledger
            .target_crashed(&target(1), incarnation(self.incarnations), self.now)
            .expect("a new incarnation");
        assert_eq!(outcome.problem.run, RunVerdict::MayHaveRun);
        assert_eq!(self.ledger.running_on(&target(1)), 0);
    }

    fn step(&mut self, input: &mut Unstructured<'_>) -> ebony_testkit::Result<()> {
        let number = input.int_in_range(1..=CALLS)?;
        match input.int_in_range(0..=13)? {
            0..=2 => self.admit(number, input.int_in_range(1..=3)?),
            3 | 4 => self.start(number),
            5 => drop(
                self.ledger
                    .record_chunk(call(number), &Bytes::from(vec![0; 1_500])),
            ),
            6 => drop(self.ledger.complete(call(number), CallUsage::default(), self.now)),
            7 => self.break_connection(number),
            8 => self.reject(number),
            9 => self.cancel(number),
            10 => self.settle(number),
            11 => self.crash(),
            12 => self.ledger.record_run_stopped(&target(1), call(number)),
            _ => {
                if let ResumeDecision::Fail(problem) = self.ledger.resume(call(number), self.now) {
                    self.check_refusal(number, &problem);
                }
                // Less than a day in total, so that answers expire within a test case, but keys do not.
                self.pass_time(input.int_in_range(0..=400)?);
            }
        }
        Ok(())
    }

    fn check_bounds(&self) {
        let limits = small_limits();
        assert!(self.ledger.open_calls() <= limits.open_calls);
        assert!(self.ledger.known_keys() <= limits.known_keys);
        let unconfirmed = ebony_ledger::answer_buffer::MAX_UNCONFIRMED_BYTES as usize;
        assert!(self.ledger.answer_bytes() <= limits.answer_bytes + limits.open_calls * unconfirmed);
    }

    /// Guards against bytes and calls that are never removed from the counts.
    fn check_all_is_released(&mut self) {
        for number in 1..=CALLS {
            self.cancel(number);
        }
        self.pass_time(3_600);
        assert_eq!((self.ledger.open_calls(), self.ledger.answer_bytes()), (0, 0));
    }
}

#[test]
fn no_key_runs_twice_and_not_run_verdicts_are_correct() {
    ebony_testkit::check_seeds(3_000, 1_200, |input| {
        let mut tracked = TrackedLedger::open();
        for _ in 0..200 {
            tracked.step(input)?;
            tracked.check_bounds();
        }
        tracked.check_all_is_released();
        Ok(())
    });
}

fn complete(ledger: &mut CallLedger, number: u8) {
    assert_eq!(
        ledger.start(call(number), ClockTime::default()),
        Ok(StartDecision::Start)
    );
    ledger
        .record_chunk(call(number), &Bytes::from_static(b"answer"))
        .expect("the call runs");
    ledger
        .complete(call(number), CallUsage::default(), ClockTime::default())
        .expect("the call runs");
}

fn open_ledger(limits: LedgerLimits) -> CallLedger {
    let mut ledger = CallLedger::open(limits, ClockTime::default());
    ledger.add_target(&target(1), incarnation(1), false);
    ledger
}

/// The decisions on orders with one key, from its first use until its answer is dropped.
#[test]
fn repeats_of_a_key_are_decided_by_its_state() {
    let start = ClockTime::default();
    let mut ledger = open_ledger(LedgerLimits::default());
    let mut seen = vec![
        ("first use", ledger.admit(&order(1, Some(1), "a"), start)),
        (
            "repeat while queued",
            ledger.admit(&order(2, Some(1), "a"), start),
        ),
        ("another body", ledger.admit(&order(3, Some(1), "b"), start)),
    ];
    complete(&mut ledger, 1);
    seen.push((
        "repeat after the answer",
        ledger.admit(&order(4, Some(1), "a"), start),
    ));
    for number in [1, 2, 4] {
        ledger.settled(call(number));
    }
    seen.push((
        "repeat after settling",
        ledger.admit(&order(5, Some(1), "a"), start),
    ));
    let mut stale = order(6, Some(1), "a");
    stale.token = FencingToken(0);
    seen.push(("repeat by a former owner", ledger.admit(&stale, start)));
    ledger.admit(&order(7, Some(2), "a"), start);
    ledger.start(call(7), start).unwrap();
    ledger.admit(&order(8, Some(3), "b"), start);
    ledger.target_crashed(&target(1), incarnation(2), start);
    seen.push((
        "repeat after a crash",
        ledger.admit(&order(9, Some(2), "a"), start),
    ));
    seen.push((
        "repeat of a call that was queued at the crash",
        ledger.admit(&order(10, Some(3), "b"), start),
    ));
    insta::assert_debug_snapshot!(seen);
}

/// Guards against dropping keys under load. A full table must refuse calls with new keys, and only these.
#[test]
fn a_full_table_of_keys_refuses_new_keys() {
    let mut ledger = open_ledger(LedgerLimits {
        known_keys: 2,
        ..LedgerLimits::default()
    });
    let start = ClockTime::default();
    for number in 1..=2 {
        assert_eq!(
            ledger.admit(&order(number, Some(number), "a"), start),
            LedgerDecision::Run
        );
        complete(&mut ledger, number);
        assert!(ledger.settled(call(number)));
    }
    let LedgerDecision::Refuse(problem) = ledger.admit(&order(3, Some(3), "a"), start) else {
        panic!()
    };
    assert_eq!(
        (problem.code, problem.run),
        (ProblemCode::Overloaded, RunVerdict::NotRun)
    );
    assert_eq!(ledger.admit(&order(4, None, "a"), start), LedgerDecision::Run);

    let day = start + LedgerLimits::default().key_lifetime;
    ledger.confirm_programs(&[common::program()], day);
    ledger.tick(day);
    assert_eq!(ledger.known_keys(), 2, "keys of an open program are kept");
    ledger
        .release_program(common::program(), FencingToken(1))
        .unwrap();
    let later = day + Duration::from_secs(3_600);
    ledger.tick(later);
    assert_eq!(ledger.known_keys(), 0);
}

/// Guards against running a late order of an unknown call that was reported as not run, and against such a report
/// shortly after a restart, when the previous incarnation may have run the call.
#[test]
fn late_orders_of_unknown_calls_are_refused() {
    let mut ledger = open_ledger(LedgerLimits::default());
    let ResumeDecision::Fail(problem) = ledger.resume(call(1), ClockTime::default()) else {
        panic!()
    };
    assert_eq!(problem.run, RunVerdict::MayHaveRun);

    let later = ClockTime::default() + Duration::from_secs(3_600);
    let ResumeDecision::Fail(problem) = ledger.resume(call(1), later) else {
        panic!()
    };
    assert_eq!(problem.run, RunVerdict::NotRun);
    let LedgerDecision::Refuse(late) = ledger.admit(&order(1, None, "a"), later) else {
        panic!()
    };
    assert_eq!(late.run, RunVerdict::NotRun);
}

/// Guards against dispatching a call of a previous owner that was queued before the first order of the new owner.
#[test]
fn a_queued_call_of_a_former_owner_is_fenced() {
    let start = ClockTime::default();
    let mut ledger = open_ledger(LedgerLimits::default());
    ledger.admit(&order(1, None, "a"), start);
    let mut newer = order(2, None, "b");
    newer.token = FencingToken(2);
    ledger.admit(&newer, start);
    let Ok(StartDecision::Refuse(problem)) = ledger.start(call(1), start) else {
        panic!()
    };
    assert_eq!(
        (problem.code, problem.run),
        (ProblemCode::OwnerUnavailable, RunVerdict::NotRun)
    );
    assert_eq!(ledger.start(call(2), start), Ok(StartDecision::Start));
}
