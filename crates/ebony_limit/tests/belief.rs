//! Limits derived from answers that arrive out of order.

use ebony_limit::{LimitBelief, LimitObservation, RequestRate};
use ebony_testkit::check_seeds;
use ebony_types::ClockTime;

/// An answer: the rate that it names (0 for none), when its request was sent, and when it arrived, in milliseconds.
type Answer = (f64, u64, u64);

fn observation(rate: f64, sent_ms: u64, received_ms: u64) -> LimitObservation {
    let rate = RequestRate::per_second(rate).expect("a rate");
    LimitObservation {
        rate: (rate.as_per_second() > 0.0).then_some(rate),
        sent_at: ClockTime::from_millis(sent_ms),
        received_at: ClockTime::from_millis(received_ms),
    }
}

#[test]
fn answers_out_of_order_leave_the_limit_of_the_newest_one() {
    let stories: [(&str, &[Answer]); 7] = [
        ("raised", &[(5.0, 0, 10), (8.0, 10, 20)]),
        ("raised, order unknown", &[(5.0, 0, 10), (8.0, 5, 20)]),
        ("lowered, order unknown", &[(5.0, 0, 10), (2.0, 5, 8)]),
        ("lowered long ago", &[(5.0, 50, 60), (2.0, 0, 40)]),
        (
            "ended and named again",
            &[(5.0, 0, 10), (0.0, 10, 20), (5.0, 15, 30)],
        ),
        (
            "ended, a late answer names it",
            &[(5.0, 0, 10), (0.0, 12, 20), (5.0, 1, 11)],
        ),
        (
            "confirmed since the answer without a limit was sent",
            &[(5.0, 0, 10), (5.0, 10, 40), (0.0, 20, 50)],
        ),
    ];
    let outcomes = stories.map(|(story, answers)| {
        let (mut belief, first) = LimitBelief::open(observation(answers[0].0, answers[0].1, answers[0].2));
        let mut changes = vec![format!("{first:?}")];
        for (rate, sent, received) in &answers[1..] {
            changes.push(format!(
                "{:?}",
                belief.apply(observation(*rate, *sent, *received))
            ));
        }
        let rate = belief.rate().map_or("none".to_owned(), |rate| rate.to_string());
        format!("{story}: {rate}\n  {}", changes.join("\n  "))
    });
    insta::assert_snapshot!(outcomes.join("\n"));
}

#[test]
fn a_newer_answer_always_decides() {
    check_seeds(256, 256, |u| {
        let (mut belief, _) = LimitBelief::open(observation(5.0, 0, 10));
        let mut latest_ms = 10;
        for _ in 0..u.int_in_range(0..=20)? {
            let sent = u.int_in_range(0..=200)?;
            let received = sent + u.int_in_range(0..=50)?;
            latest_ms = latest_ms.max(received);
            belief.apply(observation(f64::from(u.int_in_range(0..=9_u8)?), sent, received));
        }
        let last = observation(f64::from(u.int_in_range(0..=9_u8)?), latest_ms, latest_ms + 1);
        belief.apply(last);
        assert_eq!(belief.rate(), last.rate);
        Ok(())
    });
}
