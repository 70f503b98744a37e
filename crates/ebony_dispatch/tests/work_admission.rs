//! Tests of single rules of the admission by work. `admission_load` tests them under load.

use std::time::Duration;

use ebony_dispatch::load::LoadNotice;
use ebony_dispatch::{ProgramRequest, SharedSlots, WorkAdmission, WorkDecision, WorkRefusal};
use ebony_types::{ClockTime, ProgramName};

const SLOTS: SharedSlots = SharedSlots {
    slots: 60,
    gateways: 10,
};

fn program(name: &str) -> ProgramName {
    ProgramName::parse(name).expect("a valid name")
}

fn notice(running: u32, waiting: u32, slots: u32) -> LoadNotice {
    let mut notice = LoadNotice::default();
    (notice.running, notice.waiting, notice.slots) = (running, waiting, slots);
    notice
}

fn admit(admission: &mut WorkAdmission, name: &str, time_left: Duration, now: ClockTime) -> WorkDecision {
    let request = ProgramRequest {
        program: &program(name),
        route: "chat",
        customer: "",
        urgency: 1,
        time_left,
    };
    admission.admit(&request, SLOTS, 0.5, now)
}

fn reason(decision: WorkDecision) -> Option<WorkRefusal> {
    match decision {
        WorkDecision::Admitted => None,
        WorkDecision::Refused { reason, .. } => Some(reason),
    }
}

/// Admits programs until the budget is spent.
fn exhaust(admission: &mut WorkAdmission, now: ClockTime) {
    for number in 0..1_000 {
        admit(
            admission,
            &format!("filler-{number}"),
            Duration::from_secs(4),
            now,
        );
    }
}

/// Guards against refusing sub-agents and repeated turns of programs that have begun.
#[test]
fn programs_under_way_are_admitted() {
    let now = ClockTime::from_millis(10_000);
    let left = Duration::from_secs(4);
    let mut admission = WorkAdmission::open(now);
    assert_eq!(reason(admit(&mut admission, "own", left, now)), None);
    admission.record_call(&program("other"), now);
    exhaust(&mut admission, now);
    assert_eq!(
        reason(admit(&mut admission, "new", left, now)),
        Some(WorkRefusal::NoRoom)
    );
    assert_eq!(reason(admit(&mut admission, "own", left, now)), None);
    assert_eq!(reason(admit(&mut admission, "other", left, now)), None);
    // They are forgotten.
    let later = now + Duration::from_secs(5);
    exhaust(&mut admission, later);
    assert!(reason(admit(&mut admission, "other", left, later)).is_some());
}

/// Guards against work that is taken for first turns that another rule refuses, such as a quota.
#[test]
fn withdrawn_programs_give_their_work_back() {
    let now = ClockTime::from_millis(10_000);
    let left = Duration::from_secs(4);
    let count = |withdraws: bool| {
        let mut admission = WorkAdmission::open(now);
        let mut admitted = 0;
        for number in 0..100 {
            let name = format!("p{number}");
            if admit(&mut admission, &name, left, now) == WorkDecision::Admitted {
                admitted += 1;
                if withdraws {
                    admission.withdraw(&program(&name), now);
                } else {
                    // A program that has had another call is not withdrawn.
                    admission.record_call(&program(&name), now);
                    admission.withdraw(&program(&name), now);
                }
            }
        }
        admitted
    };
    let (kept, withdrawn) = (count(false), count(true));
    assert!(withdrawn >= 2 * kept, "{withdrawn} and {kept}");
}

/// Guards against refusing programs that began at another gateway, and short programs for the length of others.
#[test]
fn programs_with_less_time_than_a_turn_began_elsewhere() {
    let now = ClockTime::from_millis(10_000);
    let mut admission = WorkAdmission::open(now);
    for _ in 0..10 {
        admission.record_turn("chat", Duration::from_millis(400), None, now);
    }
    let short = admit(&mut admission, "short", Duration::from_millis(450), now);
    assert_eq!(reason(short), None);
    exhaust(&mut admission, now);
    let begun = admit(&mut admission, "begun", Duration::from_millis(150), now);
    assert_eq!(reason(begun), None);
    let new = admit(&mut admission, "new", Duration::from_millis(450), now);
    assert_eq!(reason(new), Some(WorkRefusal::NoRoom));
    // What was learned is forgotten.
    let later = now + Duration::from_secs(300);
    exhaust(&mut admission, later);
    let unknown = admit(&mut admission, "unknown", Duration::from_millis(150), later);
    assert_eq!(reason(unknown), Some(WorkRefusal::NoRoom));
}

/// Guards against times to come back that no caller keeps.
#[test]
fn callers_are_asked_back_within_the_time_that_they_keep() {
    let now = ClockTime::from_millis(10_000);
    for millis in [200, 1_000, 3_000, 60_000] {
        let mut admission = WorkAdmission::open(now);
        exhaust(&mut admission, now);
        let left = Duration::from_millis(millis);
        let WorkDecision::Refused { retry_after, .. } = admit(&mut admission, "p", left, now) else {
            panic!("the budget is spent");
        };
        // Single callers get up to 1.5 times the mean.
        assert!(
            retry_after.mul_f64(1.5) <= left.div_f64(2.5),
            "{left:?}: {retry_after:?}"
        );
        assert!(
            retry_after >= Duration::from_millis(40),
            "{left:?}: {retry_after:?}"
        );
    }
}

/// Guards against overloaded tools that make all programs late while engines have room.
#[test]
fn overloaded_tools_keep_programs_out() {
    let mut now = ClockTime::from_millis(10_000);
    let mut admitted = [0, 0];
    for (tool_load, admitted) in [1, 30].into_iter().zip(&mut admitted) {
        let mut admission = WorkAdmission::open(now);
        for number in 0..400 {
            now = now + Duration::from_millis(20);
            admission.record_engine_load(notice(2, 0, 6), now);
            admission.record_tool_load(notice(tool_load, 0, 6), now);
            let decision = admit(&mut admission, &format!("p{number}"), Duration::from_secs(4), now);
            *admitted += usize::from(decision == WorkDecision::Admitted);
        }
    }
    assert!(admitted[1] * 4 < admitted[0], "{admitted:?}");
}

/// Guards against reports and times that are absurd, and against tables that grow without bound.
#[test]
fn absurd_input_neither_panics_nor_stops_admission() {
    let mut now = ClockTime::from_millis(10_000);
    let mut admission = WorkAdmission::open(now);
    for number in 0..20_000 {
        let route = format!("route-{number}");
        let name = program(&format!("p{number}"));
        admission.record_engine_load(notice(u32::MAX, u32::MAX, 0), now);
        admission.record_turn(&route, Duration::MAX, Some(notice(0, u32::MAX, 0)), now);
        admission.record_call(&name, now);
        let request = ProgramRequest {
            program: &name,
            route: &route,
            customer: &route,
            urgency: u8::MAX,
            time_left: Duration::MAX,
        };
        let slots = SharedSlots {
            slots: 0,
            gateways: 0,
        };
        admission.admit(&request, slots, 1.0, now);
    }
    for number in 0..200 {
        now = now + Duration::from_millis(500);
        admission.record_engine_load(notice(1, 0, 6), now);
        admit(
            &mut admission,
            &format!("later-{number}"),
            Duration::from_secs(4),
            now,
        );
    }
    now = now + Duration::from_millis(500);
    assert_eq!(
        reason(admit(&mut admission, "last", Duration::from_secs(4), now)),
        None
    );
}
