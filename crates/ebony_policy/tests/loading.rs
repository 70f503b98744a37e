//! Guards against models that move back and forth or lose their last copy, and against overload of the weight store.

use std::collections::BTreeMap;

use ebony_policy::loading::{LoadPlanner, LoadingOptions};
use ebony_policy::placement::TargetKey;
use ebony_testkit::check_seeds;
use ebony_types::{ClockTime, DomainName, ModelName};
use slotmap::SlotMap;

fn domain(number: usize) -> DomainName {
    DomainName::parse(&format!("domain-{number}")).expect("a name")
}

fn model(number: usize) -> ModelName {
    ModelName::parse(&format!("model-{number}")).expect("a name")
}

/// Under any demand, no failure domain loses its last copy of a model, loads stay within the rate limit, and no engine
/// changes twice within its dwell time.
#[test]
fn copies_rates_and_dwell_times_hold() {
    check_seeds(32, 8_192, |input| {
        let options = LoadingOptions::default();
        let mut planner = LoadPlanner::open(options.clone());
        let mut keys: SlotMap<TargetKey, ()> = SlotMap::with_key();
        let mut engines = BTreeMap::new();
        for number in 0..12 {
            let key = keys.insert(());
            engines.insert(key, (number % 2, number / 2 % 3));
            planner.set_engine(key, domain(number % 2), vec![model(number / 2 % 3)]);
        }
        let (mut changed, mut begun) = (BTreeMap::new(), Vec::new());
        for second in 0..900_u64 {
            let now = ClockTime::from_millis(second * 1_000);
            if second % 10 == 0 {
                for index in 0..6 {
                    let engines = f64::from(input.int_in_range(0..=40_u32)?);
                    planner.record_demand(&domain(index % 2), &model(index / 2), engines, now);
                }
            }
            for decision in planner.plan(now) {
                let (home, loaded) = engines[&decision.target];
                assert_eq!(decision.unload, Some(model(loaded)));
                let copies = engines
                    .values()
                    .filter(|engine| **engine == (home, loaded))
                    .count();
                assert!(copies > 1, "the last copy of a model was unloaded");
                let last = changed.insert(decision.target, second);
                assert!(last.is_none_or(|last| second - last >= 120));
                begun.push(second);
                let new = (0..3).find(|number| model(*number) == decision.load).unwrap();
                if input.ratio(1, 8)? {
                    planner.load_failed(decision.target, now);
                    planner.set_engine(decision.target, domain(home), vec![model(loaded)]);
                } else {
                    planner.set_engine(decision.target, domain(home), vec![model(new)]);
                    engines.insert(decision.target, (home, new));
                }
            }
            let recent = begun.iter().filter(|begun| second - **begun < 60).count();
            assert!(recent <= options.transfers as usize);
        }
        Ok(())
    });
}

/// A burst shorter than `sustain_ms` moves no model; a lasting shift moves engines until both models have enough.
#[test]
fn only_a_lasting_shift_moves_models() {
    let run = |busy_seconds: u64| {
        let mut planner = LoadPlanner::open(LoadingOptions::default());
        let mut keys: SlotMap<TargetKey, ()> = SlotMap::with_key();
        for number in 0..4 {
            planner.set_engine(keys.insert(()), domain(0), vec![model(usize::from(number == 0))]);
        }
        let mut lines = Vec::new();
        for second in 0..600 {
            let now = ClockTime::from_millis(second * 1_000);
            let demand = if second < busy_seconds { 2.2 } else { 0.2 };
            planner.record_demand(&domain(0), &model(1), demand, now);
            planner.record_demand(&domain(0), &model(0), 0.3, now);
            for decision in planner.plan(now) {
                lines.push(format!(
                    "{second} s: load {} for {:?}",
                    decision.load, decision.unload
                ));
                planner.set_engine(decision.target, domain(0), vec![decision.load]);
            }
        }
        lines.join("\n")
    };
    assert_eq!(run(10), "");
    insta::assert_snapshot!(run(600));
}
