//! Plays the load of a deployment with many gateways against the admission of programs: old reports, engines of uneven
//! speed, programs of two routes with tool calls and sub-agents, and callers that come back. It compares what callers
//! get; the figures do not say how a deployment will behave.

mod engines;
mod events;
mod gateways;
mod programs;
mod simulation;

use events::Micros;
use gateways::AdmissionRule::{self, ByLoad, ByWork};
use programs::{Ending, Program, ROUTES};
use simulation::{Simulation, Traffic};

const SECOND: Micros = 1_000_000;
/// Programs that arrive earlier do not count, because the gateways know nothing at first.
const WARM_UP: Micros = 4 * SECOND;
/// The route that bursts, a factor on its traffic, and when the burst begins and ends.
const BURST: (usize, f64, Micros, Micros) = (0, 2.4, 5 * SECOND, 12 * SECOND);

fn traffic(rule: AdmissionRule, multiple: f64) -> Traffic {
    Traffic {
        rule,
        gateways: 34,
        // The engines complete about twice as many.
        usual_rate: 170.0,
        multiple,
        burst: None,
        heavy: None,
        urgency: [1, 1],
        spreads: true,
        length: 14 * SECOND,
        seed: 1,
    }
}

/// What the callers of some programs got.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    programs: usize,
    worth: f64,
    in_time: usize,
    late: usize,
    refused: usize,
    failed: usize,
}

impl Outcome {
    fn of(run: &Simulation, counts: impl Fn(&Program) -> bool) -> Self {
        let mut outcome = Self::default();
        for program in run.programs.iter().filter(|program| counts(program)) {
            outcome.programs += 1;
            outcome.worth += program.worth();
            match program.ending {
                Some(Ending::Done(_)) if program.worth() < 1.0 => outcome.late += 1,
                Some(Ending::Done(_)) => outcome.in_time += 1,
                Some(Ending::Refused) => outcome.refused += 1,
                Some(Ending::Failed) | None => outcome.failed += 1,
            }
        }
        outcome
    }

    fn of_all(run: &Simulation) -> Self {
        Self::of(run, |program| program.arrived >= WARM_UP)
    }

    fn worth_share(&self) -> f64 {
        self.worth / self.programs.max(1) as f64
    }

    fn in_time_share(&self) -> f64 {
        self.in_time as f64 / self.programs.max(1) as f64
    }
}

/// Guards against a collapse under overload, in which admitted programs delay each other until most are late.
#[test]
fn goodput_holds_at_several_times_the_traffic() {
    let run = |rule, multiple| {
        let outcome = Outcome::of_all(&Simulation::run(traffic(rule, multiple)));
        println!("{rule:?} {multiple}: {outcome:?}");
        outcome
    };
    let by_work = [1.0, 2.0, 3.0, 4.0].map(|multiple| run(ByWork, multiple));
    let highest = by_work
        .iter()
        .map(|outcome| outcome.in_time)
        .max()
        .unwrap_or_default();
    for outcome in &by_work[1..] {
        assert!(outcome.in_time * 10 >= highest * 9, "{by_work:?}");
    }
    assert!(by_work[0].in_time_share() > 0.9, "{by_work:?}");
    // Shows that the load is high enough to matter: admission by the reported load loses a third.
    assert!(run(ByLoad, 4.0).in_time * 10 < highest * 8);
}

/// Guards against admission that lets a burst in, so that programs are late for long after it.
#[test]
fn a_burst_costs_little_and_is_over_when_it_ends() {
    let (_, _, begin, end) = BURST;
    let [by_work, by_load] = [ByWork, ByLoad].map(|rule| {
        Simulation::run(Traffic {
            burst: Some(BURST),
            length: 17 * SECOND,
            ..traffic(rule, 2.0)
        })
    });
    let share = |run, from, to| {
        let outcome = Outcome::of(run, |program| (from..to).contains(&program.arrived));
        println!("from {from} to {to}: {outcome:?}");
        outcome.worth_share()
    };
    assert!(share(&by_work, begin, end) > share(&by_load, begin, end));
    assert!(share(&by_work, end + 2 * SECOND, 17 * SECOND) > 0.9);
}

/// Guards against one customer that takes the room of all others.
#[test]
fn a_customer_that_sends_much_costs_others_little() {
    let run = |rule| {
        let run = Simulation::run(Traffic {
            heavy: Some((2, 8)),
            ..traffic(rule, 2.0)
        });
        let heavy = Outcome::of(&run, |program| {
            program.arrived >= WARM_UP && program.customer == 2
        });
        let others = Outcome::of(&run, |program| program.arrived >= WARM_UP && program.customer > 2);
        println!("{rule:?}: heavy {heavy:?}, others {others:?}");
        (heavy, others)
    };
    let (heavy, others) = run(ByWork);
    assert!(others.worth_share() > 0.9, "{others:?}");
    assert!(heavy.worth_share() > 0.4, "{heavy:?}");
    assert!(run(ByLoad).1.worth_share() < 0.9);
}

/// Guards against less urgent programs being admitted ahead of more urgent ones, and against starving them.
#[test]
fn less_urgent_programs_yield_first() {
    for urgency in [[1, 0], [0, 1]] {
        let run = Simulation::run(Traffic {
            urgency,
            ..traffic(ByWork, 3.0)
        });
        let shares = [0, 1].map(|route| {
            let outcome = Outcome::of(&run, |program| {
                program.arrived >= WARM_UP && program.route == route
            });
            println!(
                "urgency {} on {}: {outcome:?}",
                urgency[route], ROUTES[route].name
            );
            outcome.worth_share()
        });
        let (urgent, other) = match urgency {
            [0, _] => (shares[0], shares[1]),
            _ => (shares[1], shares[0]),
        };
        assert!(urgent > other + 0.2, "{urgency:?}: {shares:?}");
        assert!(other > 0.1, "{urgency:?}: {shares:?}");
    }
}

/// Guards against admission that serves only short programs or only large customers.
#[test]
fn programs_of_all_sizes_and_customers_are_served() {
    let run = Simulation::run(traffic(ByWork, 4.0));
    let outcomes = [
        Outcome::of(&run, |program| program.route == 0),
        Outcome::of(&run, |program| program.route == 1),
        Outcome::of(&run, |program| program.customer < 3),
        Outcome::of(&run, |program| program.customer > 20),
    ];
    for outcome in outcomes {
        println!("{outcome:?}");
        assert!(outcome.worth_share() > 0.2, "{outcomes:?}");
    }
}

/// Guards against a design that depends on one number of gateways, or on programs that stay at one gateway.
#[test]
fn goodput_holds_with_other_numbers_of_gateways() {
    for (gateways, spreads) in [(34, false), (100, true)] {
        let share = |rule| {
            let traffic = Traffic {
                gateways,
                spreads,
                ..traffic(rule, 3.0)
            };
            let outcome = Outcome::of_all(&Simulation::run(traffic));
            println!("{rule:?}, {gateways} gateways, calls spread: {spreads}: {outcome:?}");
            outcome.in_time
        };
        assert!(share(ByWork) * 10 > share(ByLoad) * 11);
    }
}
