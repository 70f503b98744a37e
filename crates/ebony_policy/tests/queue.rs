//! Guards against starvation, unfair shares, lost calls, calls run after their deadline, and unintended changes of the
//! order.

use ebony_policy::queue::{CallQueue, QueueOptions, QueueOrder, QueueRefusal, QueuedCall};
use ebony_testkit::check_seeds;
use ebony_types::{CallId, CallerName, ClockTime, ProblemReport, ProgramId, RunVerdict, ShardKey};
use ebony_wire::QueueRank;

fn call(number: u64, caller: &str, attained_tokens: u64, cost_tokens: u64) -> QueuedCall {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&number.to_be_bytes());
    QueuedCall {
        call: CallId::from_bytes(bytes),
        program: ProgramId::from_parts(ShardKey(0), bytes[..14].try_into().expect("14 bytes")),
        caller: CallerName::parse(caller).expect("a name"),
        rank: QueueRank {
            attained_tokens,
            ..QueueRank::default()
        },
        cost_tokens,
        deadline: ClockTime::from_millis(u64::MAX / 2_000),
    }
}

fn seconds(number: u64) -> ClockTime {
    ClockTime::from_millis(number * 1_000)
}

/// The wait of a call of a long program is bounded by the maximum delay, the slack of the other callers and one call of
/// each, even if better ranked calls keep arriving.
#[test]
fn no_call_starves() {
    check_seeds(32, 1_024, |input| {
        let options = QueueOptions::default();
        let callers = input.int_in_range(1..=6_u64)?;
        let cost = input.int_in_range(500..=8_000_u64)?;
        let mut queue = CallQueue::open(options.clone());
        let victim = call(0, "victim", u64::MAX, cost);
        queue.push(victim.clone(), seconds(0)).unwrap();
        let calls_in_delay = u64::from(options.max_delay_ms) / 1_000;
        let calls_in_slack = callers * (options.fair_slack_tokens / cost + 1);
        let bound = calls_in_delay + calls_in_slack + callers + 1;
        for step in 1..=bound {
            for caller in 0..callers {
                let rival = call(step * callers + caller, &format!("rival-{caller}"), 0, cost);
                // The queue is bounded, so a rival may be refused.
                let _ = queue.push(rival, seconds(step));
            }
            if queue.pop(seconds(step)).unwrap().call == victim.call {
                return Ok(());
            }
        }
        panic!("the call did not run within {bound} steps");
    });
}

/// Two backlogged callers receive service in proportion to their weights, within the slack plus two calls.
#[test]
fn callers_get_their_weighted_share() {
    check_seeds(32, 4_096, |input| {
        let options = QueueOptions {
            fair_slack_tokens: input.int_in_range(0..=100_000)?,
            ..QueueOptions::default()
        };
        let weight = input.int_in_range(1..=5_u64)?;
        let mut queue = CallQueue::open(options.clone());
        assert!(queue.set_weight(
            &CallerName::parse("heavy").unwrap(),
            100 * u32::try_from(weight).unwrap()
        ));
        let mut served = [0_u64; 2];
        for number in 0..600 {
            for (index, caller) in ["heavy", "light"].into_iter().enumerate() {
                let attained = input.int_in_range(0..=200_000_u64)?;
                let cost = input.int_in_range(100..=5_000_u64)?;
                // Both keep a backlog, so that shares rather than demand determine the service.
                if number < 20 || served[index] > 0 {
                    let _ = queue.push(
                        call(number * 2 + index as u64, caller, attained, cost),
                        seconds(number),
                    );
                }
            }
            let popped = queue.pop(seconds(number)).unwrap();
            served[usize::from(popped.caller.as_str() == "light")] += popped.cost_tokens;
        }
        let [heavy, light] = served.map(|tokens| i64::try_from(tokens).unwrap());
        let weight = i64::try_from(weight).unwrap();
        let bound = i64::try_from(options.fair_slack_tokens).unwrap() + 2 * 5_000;
        assert!(
            (heavy / weight - light).abs() <= bound,
            "{heavy}/{weight} against {light}, bound {bound}"
        );
        Ok(())
    });
}

/// Every queued call leaves exactly once: it runs before its deadline, expires after it, or is removed.
#[test]
fn every_queued_call_leaves_exactly_once() {
    check_seeds(64, 4_096, |input| {
        let mut queue = CallQueue::open(QueueOptions {
            capacity: 24,
            ..QueueOptions::default()
        });
        let (mut taken, mut left, mut keys) = (0, 0, Vec::new());
        let mut now = 0;
        for number in 0..200 {
            now += input.int_in_range(0..=2_000_u64)?;
            let time = ClockTime::from_millis(now);
            match input.int_in_range(0..=9)? {
                0..=4 => {
                    let caller = format!("caller-{}", input.int_in_range(0..=3)?);
                    let mut queued = call(number, &caller, input.int_in_range(0..=300_000)?, 1_000);
                    queued.deadline = ClockTime::from_millis(now + input.int_in_range(0..=30_000)?);
                    queued.rank.blocks_parent = input.arbitrary()?;
                    if let Ok(key) = queue.push(queued, time) {
                        taken += 1;
                        keys.push(key);
                    }
                }
                5..=7 => {
                    if let Some(popped) = queue.pop(time) {
                        assert!(popped.deadline > time, "a call past its deadline must not run");
                        left += 1;
                    }
                }
                8 => left += keys.pop().and_then(|key| queue.remove(key, time)).iter().count(),
                _ => left += queue.take_expired(time).len(),
            }
            assert!(queue.len() <= 24);
        }
        left += queue.take_expired(seconds(1_000_000)).len();
        assert_eq!(taken, left);
        assert!(queue.is_empty());
        assert_eq!((queue.backlog_tokens(), queue.next_deadline()), (0, None));
        Ok(())
    });
}

/// One caller cannot take all places of the queue, and a refusal states that the call did not run.
#[test]
fn one_caller_cannot_fill_the_queue() {
    let mut queue = CallQueue::open(QueueOptions {
        capacity: 64,
        ..QueueOptions::default()
    });
    let flood = |number| call(number, "flood", 0, 100);
    let accepted = (0..100)
        .filter(|number| queue.push(flood(*number), seconds(0)).is_ok())
        .count();
    assert_eq!(accepted, 32);
    for number in 0..8 {
        queue
            .push(call(200 + number, &format!("other-{number}"), 0, 100), seconds(0))
            .unwrap();
    }
    let refusal = queue.push(flood(300), seconds(0)).unwrap_err();
    let report = ProblemReport::from(refusal);
    assert_eq!(report.run, RunVerdict::NotRun);
    assert!(report.retry_after_seconds.is_some());
}

/// A call that would wait past its deadline is refused at once, with the time in which the backlog drains.
#[test]
fn a_call_that_would_miss_its_deadline_is_refused() {
    let mut queue = CallQueue::open(QueueOptions::default());
    for number in 0..100 {
        queue.push(call(number, "shop", 0, 1_000), seconds(0)).unwrap();
    }
    for number in 1..=20 {
        queue.pop(seconds(number)).unwrap();
    }
    let mut late = call(200, "shop", 0, 1_000);
    late.deadline = seconds(40);
    let refusal = queue.push(late, seconds(20)).unwrap_err();
    let QueueRefusal::TooLate { retry_after_seconds } = refusal else {
        panic!("{refusal}");
    };
    assert!((55..=60).contains(&retry_after_seconds), "{retry_after_seconds}");
}

/// Calls that do not fit are bypassed for a bounded time only; then no call starts before them.
#[test]
fn a_large_call_is_bypassed_for_a_bounded_time() {
    let options = QueueOptions::default();
    let max_bypass_seconds = u64::from(options.bypass_ms) / 1_000;
    let mut queue = CallQueue::open(options);
    let large = call(0, "shop", 0, 100_000);
    queue.push(large.clone(), seconds(0)).unwrap();
    for second in 1..=max_bypass_seconds + 10 {
        queue
            .push(call(second, "shop", 0, 1_000), seconds(second))
            .unwrap();
        let popped = queue.pop_fitting(seconds(second), |call, _| call.cost_tokens < 10_000);
        assert_eq!(popped.is_some(), second < max_bypass_seconds, "{second} s");
    }
    let popped = queue.pop_fitting(seconds(max_bypass_seconds + 11), |_, waited| {
        waited.as_secs() > max_bypass_seconds
    });
    assert_eq!(popped, Some(large));
}

/// The order of a small mixed backlog, by option.
#[test]
fn order_by_option() {
    let order = |options: QueueOptions| {
        let mut queue = CallQueue::open(options);
        let mut blocked = call(3, "a", 300_000, 9_000);
        blocked.rank.blocks_parent = true;
        let mut urgent = call(4, "b", 300_000, 9_000);
        urgent.deadline = seconds(22);
        let calls = [
            call(1, "a", 300_000, 9_000),
            call(2, "a", 0, 9_000),
            blocked,
            urgent,
            call(5, "b", 20_000, 9_000),
            call(6, "a", 0, 9_000),
        ];
        for (index, queued) in calls.into_iter().enumerate() {
            queue
                .push(queued, ClockTime::from_millis(index as u64 * 10))
                .unwrap();
        }
        let numbers = std::iter::from_fn(|| queue.pop(seconds(1)));
        let numbers: Vec<String> = numbers
            .map(|call| call.call.to_string()[17..18].to_owned())
            .collect();
        numbers.join(" ")
    };
    let defaults = QueueOptions::default;
    let lines = [
        ("defaults", order(defaults())),
        (
            "strict share",
            order(QueueOptions {
                fair_slack_tokens: 0,
                ..defaults()
            }),
        ),
        (
            "no fair share",
            order(QueueOptions {
                fair_share: false,
                ..defaults()
            }),
        ),
        (
            "no ageing",
            order(QueueOptions {
                ageing: false,
                ..defaults()
            }),
        ),
        (
            "no parents first",
            order(QueueOptions {
                parents_first: false,
                ..defaults()
            }),
        ),
        (
            "no deadlines",
            order(QueueOptions {
                deadlines: false,
                ..defaults()
            }),
        ),
        (
            "first come",
            order(QueueOptions {
                order: QueueOrder::FirstComeFirstServed,
                ..defaults()
            }),
        ),
    ];
    let lines: Vec<String> = lines
        .iter()
        .map(|(name, order)| format!("{name}: {order}"))
        .collect();
    insta::assert_snapshot!(lines.join("\n"));
}
