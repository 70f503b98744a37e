//! Guards against requests that crash one target after another, and against innocent requests that are never cleared.

mod common;

use std::time::Duration;

use arbitrary::Unstructured;
use common::{call, incarnation, order, target};
use ebony_ledger::crash_tracker::CRASH_LIFETIME;
use ebony_ledger::{
    CallLedger, CrashReport, CrashSite, CrashStanding, CrashTracker, LedgerDecision, LedgerLimits,
    SiteReport, StartDecision,
};
use ebony_types::{CallUsage, ClockTime, ProblemCode, RequestDigest};

fn any_reports(input: &mut Unstructured<'_>) -> ebony_testkit::Result<Vec<CrashReport>> {
    let mut reports = Vec::new();
    for _ in 0..input.int_in_range(0..=6)? {
        let site = CrashSite {
            target: target(input.int_in_range(1..=2)?),
            incarnation: incarnation(input.int_in_range(1..=2)?),
        };
        let remaining = Duration::from_secs(input.int_in_range(0..=86_400)?);
        let site = SiteReport {
            site,
            remaining_micros: remaining.as_micros() as u64,
            is_cleared: input.arbitrary()?,
        };
        let digest = RequestDigest([input.int_in_range(1..=3)?; 32]);
        reports.push(CrashReport {
            digest,
            sites: vec![site],
        });
    }
    Ok(reports)
}

#[test]
fn merge_is_commutative_associative_and_idempotent() {
    let now = ClockTime::from_millis(5);
    let merged = |parts: &[&[CrashReport]]| {
        let mut tracker = CrashTracker::open(16);
        parts.iter().for_each(|part| tracker.merge(part, now));
        tracker
    };
    ebony_testkit::check_seeds(200, 512, |input| {
        let (a, b, c) = (any_reports(input)?, any_reports(input)?, any_reports(input)?);
        assert_eq!(merged(&[&a, &b]), merged(&[&b, &a]));
        assert_eq!(merged(&[&a, &b]), merged(&[&a, &b, &a, &b]));
        let bc = merged(&[&b, &c]).reports(now);
        let ab = merged(&[&a, &b]).reports(now);
        // Reports omit sites that are about to expire, so the comparison uses reports on both sides.
        assert_eq!(merged(&[&a, &bc]).reports(now), merged(&[&ab, &c]).reports(now));
        Ok(())
    });
}

#[test]
fn a_crash_counts_for_a_day_and_clearance_spreads() {
    let start = ClockTime::default();
    let digest = RequestDigest([1; 32]);
    let site = |number| CrashSite {
        target: target(number),
        incarnation: incarnation(1),
    };
    let mut here = CrashTracker::open(4);
    let mut there = CrashTracker::open(4);
    here.record_crash(digest, site(1), start);
    there.record_crash(digest, site(2), start);
    here.merge(&there.reports(start), start);
    assert_eq!(here.standing(digest, start), CrashStanding::Refused);
    assert_eq!(
        here.standing(digest, start + CRASH_LIFETIME),
        CrashStanding::Clear
    );
    there.record_completion(digest);
    here.merge(&there.reports(start), start);
    assert_eq!(here.standing(digest, start), CrashStanding::Suspect);
    here.expire(start + CRASH_LIFETIME);
    assert!(here.is_empty());
}

/// Guards against evicting a request at fault when many requests with a single crash fill the table.
#[test]
fn suspects_are_evicted_before_refused_requests() {
    let start = ClockTime::default();
    let mut tracker = CrashTracker::open(4);
    for number in 1..=2 {
        let site = CrashSite {
            target: target(number),
            incarnation: incarnation(1),
        };
        tracker.record_crash(RequestDigest([0; 32]), site, start);
    }
    for number in 1..=100 {
        let site = CrashSite {
            target: target(1),
            incarnation: incarnation(number),
        };
        tracker.record_crash(RequestDigest([number; 32]), site, start + Duration::from_secs(1));
    }
    assert_eq!(tracker.len(), 4);
    assert_eq!(
        tracker.standing(RequestDigest([0; 32]), start),
        CrashStanding::Refused
    );
}

fn admit_and_start(ledger: &mut CallLedger, number: u8, body: &'static str) -> StartDecision {
    let now = ClockTime::default();
    assert_eq!(ledger.admit(&order(number, None, body), now), LedgerDecision::Run);
    ledger.start(call(number), now).expect("the call is queued")
}

/// Two requests are running at a crash, and each runs alone afterwards. The innocent one completes and is cleared; the
/// faulty one crashes the target again and is refused.
#[test]
fn quarantine_finds_the_request_at_fault() {
    let now = ClockTime::default();
    let mut ledger = CallLedger::open(LedgerLimits::default(), now);
    ledger.add_target(&target(1), incarnation(1), false);
    assert_eq!(admit_and_start(&mut ledger, 1, "innocent"), StartDecision::Start);
    assert_eq!(admit_and_start(&mut ledger, 2, "faulty"), StartDecision::Start);
    let outcome = ledger.target_crashed(&target(1), incarnation(2), now).unwrap();
    assert_eq!(outcome.failed, [call(1), call(2)]);
    assert_eq!(ledger.target_crashed(&target(1), incarnation(2), now), None);

    assert_eq!(admit_and_start(&mut ledger, 3, "bystander"), StartDecision::Start);
    assert_eq!(admit_and_start(&mut ledger, 4, "innocent"), StartDecision::Hold);
    assert_eq!(
        admit_and_start(&mut ledger, 5, "late bystander"),
        StartDecision::Hold
    );
    ledger.complete(call(3), CallUsage::default(), now).unwrap();
    assert_eq!(admit_and_start(&mut ledger, 6, "faulty"), StartDecision::Hold);
    assert_eq!(ledger.start(call(4), now), Ok(StartDecision::Start));
    assert_eq!(ledger.start(call(5), now), Ok(StartDecision::Hold));
    ledger.complete(call(4), CallUsage::default(), now).unwrap();

    assert_eq!(ledger.start(call(6), now), Ok(StartDecision::Start));
    assert_eq!(admit_and_start(&mut ledger, 7, "innocent"), StartDecision::Hold);
    let outcome = ledger.target_crashed(&target(1), incarnation(3), now).unwrap();
    assert_eq!(outcome.failed, [call(6)]);
    assert_eq!(
        ledger.start(call(7), now),
        Ok(StartDecision::Start),
        "cleared, and never dispatched before"
    );
    let LedgerDecision::Refuse(problem) = ledger.admit(&order(8, None, "faulty"), now) else {
        panic!()
    };
    assert_eq!(problem.code, ProblemCode::CrashingRequest);
}

/// Guards against a suspect that blocks its target after it was removed from the queue, and against a request that is
/// not suspected because its connection broke before the crash was noticed.
#[test]
fn a_cancelled_suspect_does_not_block_its_target() {
    let now = ClockTime::default();
    let mut ledger = CallLedger::open(LedgerLimits::default(), now);
    ledger.add_target(&target(1), incarnation(1), false);
    admit_and_start(&mut ledger, 1, "faulty");
    let reset = ebony_types::ProblemReport::may_have_run(ProblemCode::TargetFailed, "reset");
    ledger.fail(call(1), reset, now).unwrap();
    let outcome = ledger.target_crashed(&target(1), incarnation(2), now).unwrap();
    assert_eq!((outcome.failed.len(), outcome.suspects.len()), (0, 1));

    admit_and_start(&mut ledger, 2, "bystander");
    assert_eq!(admit_and_start(&mut ledger, 3, "faulty"), StartDecision::Hold);
    assert_eq!(
        admit_and_start(&mut ledger, 4, "late bystander"),
        StartDecision::Hold
    );
    ledger.cancel(call(3), ProblemCode::Cancelled, now);
    assert_eq!(ledger.start(call(4), now), Ok(StartDecision::Start));
}

/// Guards against failing a call that the restarted target answers together with the calls of the crashed one, and
/// against not suspecting it when the restarted target crashes too.
#[test]
fn a_call_answered_after_a_restart_survives_the_crash_before_it() {
    let now = ClockTime::from_millis(1);
    let mut ledger = CallLedger::open(LedgerLimits::default(), now);
    ledger.add_target(&target(1), incarnation(1), true);
    for (number, body) in [(1, "first"), (2, "second")] {
        assert_eq!(ledger.admit(&order(number, None, body), now), LedgerDecision::Run);
        assert_eq!(ledger.start(call(number), now), Ok(StartDecision::Start));
    }
    let outcome = ledger
        .target_restarted(&target(1), incarnation(2), call(2), now)
        .unwrap();
    assert_eq!(outcome.failed, [call(1)]);
    assert_eq!(ledger.running_on(&target(1)), 1);
    assert_eq!(
        ledger.target_restarted(&target(1), incarnation(2), call(2), now),
        None
    );
    let outcome = ledger.target_crashed(&target(1), incarnation(3), now).unwrap();
    assert_eq!(outcome.failed, [call(2)]);
}
