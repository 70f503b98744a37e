//! Learned speeds of targets, and the weight of reported slow-downs.

use std::time::Duration;

use ebony_dispatch::load::LoadNotice;
use ebony_dispatch::slowdown::{ReportedSlowdown, SlowdownFactor};
use ebony_dispatch::{DispatchOptions, TargetBoard, TargetChange, TargetKey, TargetPhase, TargetRecord};
use ebony_types::{ClockTime, DomainName, ServiceName, SoftwareVersion, TargetName};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn record(number: usize, born: u64) -> TargetRecord {
    TargetRecord {
        name: TargetName::parse(&format!("tool-{number}")).expect("a valid name"),
        service: ServiceName::parse("tools").expect("a valid name"),
        address: ([10, 0, 0, number as u8], 80).into(),
        domain: DomainName::parse("a").expect("a valid name"),
        version: SoftwareVersion::parse("v1").expect("a version"),
        slots: 6,
        phase: TargetPhase::Ready,
        born,
    }
}

/// Plain calls, one after another, at targets with given time factors.
struct Caller {
    board: TargetBoard,
    keys: Vec<TargetKey>,
    now: ClockTime,
    rng: ChaCha8Rng,
}

impl Caller {
    fn open(targets: usize) -> Self {
        let mut board = TargetBoard::default();
        let keys = (0..targets).map(|number| match board.apply(record(number, 1)) {
            TargetChange::Added(key) => key,
            change => panic!("{change:?}"),
        });
        Self {
            keys: keys.collect(),
            board,
            now: ClockTime::from_millis(1_000),
            rng: ChaCha8Rng::seed_from_u64(5),
        }
    }

    /// Runs a call whose time varies by up to a factor of 2 in each direction.
    fn call(&mut self, at: usize, factor: f64) {
        let domain = DomainName::parse("a").expect("a valid name");
        let options = DispatchOptions::default();
        let run = self.board.begin(self.keys[at], &[], None);
        self.board.start_timing(run, &domain, &options, self.now);
        let variation = 2.0_f64.powf(self.rng.random_range(-1.0..1.0));
        self.now = self.now + Duration::from_secs_f64(0.02 * factor * variation);
        self.board.record_finish(run, self.now);
        self.board.end(run);
    }

    fn factor(&self, at: usize) -> f64 {
        let target = self.board.target(self.keys[at]).expect("the target is listed");
        target.speed.time_factor(self.now)
    }
}

/// Guards against speeds that are not learned, or taken from the variation of single calls.
#[test]
fn speeds_of_targets_are_learned_from_own_calls() {
    let mut caller = Caller::open(6);
    for _ in 0..30 {
        (0..6).for_each(|at| caller.call(at, if at % 3 == 2 { 1.7 } else { 0.7 }));
    }
    let factors: Vec<f64> = (0..6).map(|at| caller.factor(at)).collect();
    let ratio = (factors[2] + factors[5]) / (factors[0] + factors[1] + factors[3] + factors[4]) * 2.0;
    assert!((1.7..3.0).contains(&ratio), "{factors:?}");
    caller.now = caller.now + Duration::from_secs(60);
    let forgotten = caller.factor(2);
    assert!((0.95..1.05).contains(&forgotten), "{forgotten}");
}

/// Guards against estimates that need a long time to notice a target that turned slow, or that recovered.
#[test]
fn a_target_that_turns_slow_is_noticed_within_a_few_calls() {
    let mut caller = Caller::open(6);
    for _ in 0..20 {
        (0..6).for_each(|at| caller.call(at, 1.0));
    }
    assert!((0.6..1.6).contains(&caller.factor(3)), "{}", caller.factor(3));
    (0..4).for_each(|_| caller.call(3, 5.0));
    assert!(caller.factor(3) > 2.0, "{}", caller.factor(3));
    (0..6).for_each(|_| caller.call(3, 1.0));
    assert!(caller.factor(3) < 1.6, "{}", caller.factor(3));
}

/// Guards against a speed of an earlier incarnation, and against unbounded estimates.
#[test]
fn speeds_are_bounded_and_start_anew_with_each_incarnation() {
    let mut caller = Caller::open(6);
    for _ in 0..20 {
        (0..5).for_each(|at| caller.call(at, 1.0));
        caller.call(5, 50.0);
    }
    assert!(
        caller.factor(5) > 3.0 && caller.factor(5) <= 5.0,
        "{}",
        caller.factor(5)
    );
    let TargetChange::Added(key) = caller.board.apply(record(5, 2)) else {
        panic!("a restarted target counts as new")
    };
    caller.keys[5] = key;
    assert_eq!(caller.factor(5), 1.0);
}

/// Guards against a slow spell of a host that is taken for the speed of its target.
#[test]
fn reported_slowdowns_do_not_count_as_speed() {
    let mut caller = Caller::open(6);
    for _ in 0..20 {
        (0..5).for_each(|at| caller.call(at, 1.0));
        let notice = LoadNotice {
            running: 1,
            waiting: 0,
            slots: 6,
            slowdown: Some(SlowdownFactor::from_percent(400)),
        };
        caller.board.record_notice(caller.keys[5], notice, caller.now);
        caller.call(5, 4.0);
    }
    let target = caller.board.target(caller.keys[5]).expect("the target is listed");
    let speed = target.speed.time_factor(caller.now);
    assert!((0.6..1.7).contains(&speed), "{speed}");
    assert!(target.time_factor(caller.now) > 2.0);
}

/// Returns the mean squared error of the logarithm of the expected slow-down, over hosts with slow spells of about
/// 600 ms that take 15 in 100 of the time and reports of random age up to 1 s.
fn slowdown_error(half_life: Option<Duration>) -> f64 {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let start = ClockTime::from_millis(1_000);
    let mut sum = 0.0;
    const SAMPLES: u32 = 40_000;
    for _ in 0..SAMPLES {
        let age_ms = rng.random_range(0.0..1_000.0);
        let was_slow = rng.random_bool(0.15);
        let mut is_slow = was_slow;
        // Spells of exponential length, with a mean of 600 ms and pauses of 3,400 ms between them.
        let mut left_ms = age_ms;
        loop {
            let mean = if is_slow { 600.0 } else { 3_400.0 };
            left_ms -= -mean * rng.random_range(f64::MIN_POSITIVE..1.0_f64).ln();
            if left_ms <= 0.0 {
                break;
            }
            is_slow = !is_slow;
        }
        let mut noise = || rng.random_range(0.9..1.1);
        let factor = |is_slow: bool, noise: f64| if is_slow { 2.5 * noise } else { noise };
        let (reported, actual) = (factor(was_slow, noise()), factor(is_slow, noise()));
        let expected = half_life.map_or(1.0, |half_life| {
            let mut slowdown = ReportedSlowdown::default();
            slowdown.record(SlowdownFactor::from_percent((reported * 100.0) as u16), start);
            slowdown.factor_with(half_life, start + Duration::from_secs_f64(age_ms / 1_000.0))
        });
        let error: f64 = expected.ln() - f64::ln(actual);
        sum += error * error;
    }
    sum / f64::from(SAMPLES)
}

/// Guards against a half-life that trusts reports for longer or shorter than spells of 600 ms allow.
#[test]
fn half_life_of_slowdowns() {
    let millis = [25, 50, 100, 200, 300, 400, 600, 1_200, 5_000];
    let errors = millis.map(|millis| slowdown_error(Some(Duration::from_millis(millis))));
    println!("no report {:.4}", slowdown_error(None));
    millis
        .iter()
        .zip(errors)
        .for_each(|(millis, error)| println!("{millis} ms {error:.4}"));
    let chosen = errors[4];
    let best = errors.iter().copied().fold(f64::INFINITY, f64::min);
    assert!(chosen <= best * 1.05, "{chosen} against {best}");
    assert!(chosen < slowdown_error(None) * 0.9);
    assert!(
        chosen < errors[0] * 0.95 && chosen < errors[8] * 0.95,
        "{errors:?}"
    );
}
