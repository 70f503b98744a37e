//! Guards against refusals of admitted programs, callers that starve others, and wrong retry times.

use std::collections::BTreeMap;
use std::time::Duration;

use ebony_policy::admission::{
    AdmissionController, AdmissionDecision, AdmissionOptions, FirstTokenSample, ProgramArrival,
};
use ebony_testkit::check_seeds;
use ebony_types::{CallerName, ClockTime, ProgramId, ShardKey};

fn arrival(number: u32, caller: &str, deadline: ClockTime) -> ProgramArrival {
    let mut bytes = [0; 14];
    bytes[..4].copy_from_slice(&number.to_be_bytes());
    ProgramArrival {
        program: ProgramId::from_parts(ShardKey(0), bytes),
        caller: CallerName::parse(caller).expect("a name"),
        deadline,
        prompt_tokens: 8_000,
        is_admitted: false,
    }
}

fn seconds(number: u64) -> ClockTime {
    ClockTime::from_millis(number * 1_000)
}

fn fixed(limit: u32) -> AdmissionOptions {
    AdmissionOptions {
        adaptive: false,
        initial_limit: limit,
        min_limit: 1,
        ..AdmissionOptions::default()
    }
}

/// With programs that arrive, end and are cancelled in any order, the programs in progress stay within the limit, every
/// waiting program gets one outcome, and an ended program frees its place.
#[test]
fn the_limit_holds_and_every_program_gets_an_outcome() {
    check_seeds(48, 4_096, |input| {
        let limit = input.int_in_range(1..=12_u32)?;
        let mut controller = AdmissionController::open(fixed(limit), 0.5);
        let (mut running, mut waiting) = (Vec::new(), BTreeMap::new());
        let mut now = 0;
        for number in 0..300 {
            now += input.int_in_range(0..=4)?;
            if input.ratio(3, 5)? {
                let caller = format!("caller-{}", input.int_in_range(0..=3)?);
                let arrival = arrival(number, &caller, seconds(now + 60));
                match controller.arrive(&arrival, seconds(now)) {
                    AdmissionDecision::Admitted => running.push(arrival.program),
                    AdmissionDecision::Waiting => {
                        waiting.insert(arrival.program, arrival.caller);
                    }
                    AdmissionDecision::Refused { retry_after_seconds } => {
                        assert!((1..=60).contains(&retry_after_seconds));
                    }
                }
            } else if input.ratio(1, 5)?
                && let Some((program, caller)) = waiting.pop_first()
            {
                assert!(controller.withdraw(&caller, program));
            } else if !running.is_empty() {
                let index = input.choose_index(running.len())?;
                controller.finish(running.swap_remove(index), seconds(now));
            }
            for outcome in controller.poll(seconds(now)) {
                assert!(
                    waiting.remove(&outcome.program).is_some(),
                    "one outcome for each waiting program"
                );
                if outcome.decision == AdmissionDecision::Admitted {
                    running.push(outcome.program);
                }
            }
            assert!(running.len() <= limit as usize);
            assert_eq!(
                (controller.in_progress(), controller.waiting()),
                (running.len(), waiting.len())
            );
        }
        let outcomes = controller.poll(seconds(now + 1_000));
        assert_eq!(outcomes.len(), waiting.len());
        Ok(())
    });
}

/// A caller that sends many programs at once gets no more admissions than one that sends one at a time.
#[test]
fn admissions_are_shared_between_callers() {
    let mut controller = AdmissionController::open(fixed(20), 0.5);
    let mut admitted: BTreeMap<char, u32> = BTreeMap::new();
    let mut running = Vec::new();
    let mut callers = BTreeMap::new();
    for step in 0..400_u32 {
        let now = seconds(u64::from(step));
        for (offset, caller) in ["flood", "flood", "flood", "steady"].into_iter().enumerate() {
            let arrival = arrival(step * 4 + offset as u32, caller, now + Duration::from_secs(60));
            callers.insert(arrival.program, caller);
            if controller.arrive(&arrival, now) == AdmissionDecision::Admitted {
                running.push(arrival.program);
            }
        }
        if running.len() == 20 {
            controller.finish(running.remove(0), now);
        }
        for outcome in controller.poll(now) {
            if outcome.decision == AdmissionDecision::Admitted {
                running.push(outcome.program);
                let caller = callers[&outcome.program];
                *admitted.entry(caller.chars().next().unwrap()).or_default() += 1;
            }
        }
    }
    let (flood, steady) = (admitted[&'f'], admitted[&'s']);
    assert!(flood.abs_diff(steady) <= 20, "flood {flood}, steady {steady}");
}

/// Programs are admitted only while the KV cache that they need fits. Small programs may use a reserve beyond that, and
/// a single program is always admitted.
#[test]
fn memory_limits_admission() {
    let mut controller = AdmissionController::open(AdmissionOptions::default(), 0.5);
    controller.set_capacity(100_000, 32);
    let mut large = arrival(1, "shop", seconds(60));
    large.prompt_tokens = 200_000;
    assert_eq!(controller.arrive(&large, seconds(0)), AdmissionDecision::Admitted);
    let mut small = arrival(2, "shop", seconds(60));
    small.prompt_tokens = 1_000;
    assert_eq!(controller.arrive(&small, seconds(0)), AdmissionDecision::Waiting);
    assert!(controller.poll(seconds(0)).is_empty());
    let next_large = arrival(3, "shop", seconds(60));
    assert_eq!(
        controller.arrive(&next_large, seconds(0)),
        AdmissionDecision::Waiting
    );
    // 100,000 tokens are beyond the limit of 90,000 and within the reserve of small programs.
    controller.record_history(large.program, 100_000);
    let admitted: Vec<ProgramId> = controller
        .poll(seconds(0))
        .iter()
        .map(|outcome| outcome.program)
        .collect();
    assert_eq!(admitted, [small.program]);
    controller.finish(large.program, seconds(1));
    let admitted: Vec<ProgramId> = controller
        .poll(seconds(1))
        .iter()
        .map(|outcome| outcome.program)
        .collect();
    assert_eq!(admitted, [next_large.program]);
}

/// However many small programs arrive, a large one is admitted while large programs use less than their share.
#[test]
fn small_programs_do_not_starve_large_ones() {
    let mut controller = AdmissionController::open(AdmissionOptions::default(), 0.5);
    controller.set_capacity(100_000, 32);
    let mut small = Vec::new();
    for number in 0..60 {
        let mut arrival = arrival(number, "chat", seconds(600));
        arrival.prompt_tokens = 5_000;
        if controller.arrive(&arrival, seconds(0)) == AdmissionDecision::Admitted {
            small.push(arrival.program);
        }
    }
    assert_eq!(small.len(), 23, "90,000 tokens plus the reserve of a quarter");
    let mut large = arrival(100, "agent", seconds(600));
    large.prompt_tokens = 50_000;
    assert_eq!(controller.arrive(&large, seconds(0)), AdmissionDecision::Admitted);
}

/// A child of an admitted program is admitted at any load.
#[test]
fn children_of_admitted_programs_are_always_admitted() {
    let mut controller = AdmissionController::open(fixed(1), 0.5);
    let deadline = seconds(60);
    controller.arrive(&arrival(1, "shop", deadline), seconds(0));
    let mut child = arrival(2, "shop", deadline);
    assert_eq!(controller.arrive(&child, seconds(0)), AdmissionDecision::Waiting);
    child = arrival(3, "shop", deadline);
    child.is_admitted = true;
    assert_eq!(controller.arrive(&child, seconds(0)), AdmissionDecision::Admitted);
}

/// The retry time is the time after which a place is free at the measured rate.
#[test]
fn retry_times_follow_the_drain_rate() {
    let options = AdmissionOptions {
        max_wait_ms: 10_000,
        ..fixed(10)
    };
    let mut controller = AdmissionController::open(options, 0.5);
    let mut number = 0;
    let mut refused = Vec::new();
    // One program ends every two seconds, and two arrive each second.
    for second in 0..200 {
        let now = seconds(second);
        for _ in 0..2 {
            number += 1;
            let decision = controller.arrive(&arrival(number, "shop", seconds(second + 600)), now);
            if let AdmissionDecision::Refused { retry_after_seconds } = decision {
                refused.push(retry_after_seconds);
            }
        }
        if second % 2 == 0 && second > 10 {
            let oldest = (1..=number).map(|number| arrival(number, "shop", now).program);
            let before = controller.in_progress();
            oldest
                .take_while(|program| {
                    controller.finish(*program, now);
                    controller.in_progress() == before
                })
                .for_each(drop);
        }
        controller.poll(now);
    }
    // Programs may wait for ten seconds; a refused one would get a place in 11 to 14 seconds.
    let last = &refused[refused.len() - 20..];
    assert!(last.iter().all(|retry| (10..=15).contains(retry)), "{last:?}");
}

/// The limit falls while first tokens are late, but not below the slots of the targets, and rises again afterwards.
#[test]
fn the_limit_follows_latency() {
    let options = AdmissionOptions {
        initial_limit: 100,
        ..AdmissionOptions::default()
    };
    let mut controller = AdmissionController::open(options.clone(), 0.5);
    controller.set_capacity(1_000_000_000, 32);
    for number in 0..100 {
        controller.arrive(&arrival(number, "shop", seconds(60)), seconds(0));
    }
    let mut limits = Vec::new();
    for second in 0..600 {
        let measured = if second < 200 { 3_000 } else { 300 };
        let sample = FirstTokenSample {
            measured: Duration::from_millis(measured),
            own_prefill: Duration::from_millis(100),
        };
        (0..10).for_each(|_| controller.observe_first_token(sample, seconds(second)));
        limits.push(controller.limit());
    }
    assert!(limits.iter().all(|limit| *limit >= 32));
    assert!(limits[199] <= 90, "{}", limits[199]);
    assert!(limits[599] > limits[199]);
}
