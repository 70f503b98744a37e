//! Compares ways to spread calls over targets, for the note `docs/design/even-load.md`:
//! `cargo run --release -p ebony_dispatch --example even_load_options`.

#[path = "../../tests/even_load/model.rs"]
mod model;
mod rules;

use ebony_dispatch::{DispatchOptions, EvenLoad};

use crate::model::{Outcome, SCENE, Scene, play, product};
use crate::rules::{Estimate, OptionRule, Pick};

/// Choosers, age of reports in milliseconds, load and targets.
const SCENES: [(usize, u64, f64, usize); 8] = [
    (1, 0, 0.85, 27),
    (8, 100, 0.85, 27),
    (34, 0, 0.85, 27),
    (34, 100, 0.85, 27),
    (34, 300, 0.85, 27),
    (34, 100, 0.6, 59),
    (34, 100, 0.95, 27),
    (390, 100, 0.85, 59),
];

const SEEDS: u64 = 3;

const OPTIONS: [(Estimate, Pick); 15] = [
    (Estimate::Decay, Pick::Least),
    (Estimate::Hold, Pick::Least),
    (Estimate::Mean, Pick::Least),
    (Estimate::Links, Pick::Least),
    (Estimate::Decay, Pick::Sample(2)),
    (Estimate::Hold, Pick::Sample(2)),
    (Estimate::Mean, Pick::Sample(2)),
    (Estimate::Links, Pick::Sample(2)),
    (Estimate::Mean, Pick::Sample(3)),
    (Estimate::Mean, Pick::Sample(5)),
    (Estimate::Mean, Pick::Soft(0.2)),
    (Estimate::Mean, Pick::Room),
    (Estimate::Mean, Pick::Subset(6, 2)),
    (Estimate::Mean, Pick::Subset(10, 2)),
    (Estimate::Mean, Pick::Subset(10, 10)),
];

fn main() {
    let never = DispatchOptions {
        even_load: EvenLoad::Never,
        ..DispatchOptions::default()
    };
    let always = DispatchOptions {
        even_load: EvenLoad::Always,
        ..DispatchOptions::default()
    };
    for (choosers, staleness_ms, load, targets) in SCENES {
        println!("{choosers} choosers, reports {staleness_ms} ms old, load {load}, {targets} targets");
        let scene = Scene {
            choosers,
            staleness_ms,
            load,
            targets,
            ..SCENE
        };
        show("product, never", |scene| play(scene, &never, product), scene);
        show("product, always", |scene| play(scene, &always, product), scene);
        for (estimate, pick) in OPTIONS {
            let outcome = |scene| {
                let mut rule = OptionRule::open(estimate, pick);
                play(scene, &never, |choice| rule.choose(choice))
            };
            show(&format!("{estimate:?} {pick:?}"), outcome, scene);
        }
    }
}

fn show(name: &str, outcome: impl Fn(Scene) -> Outcome, scene: Scene) {
    let outcomes: Vec<Outcome> = (1..=SEEDS).map(|seed| outcome(Scene { seed, ..scene })).collect();
    let mean = |figure: fn(&Outcome) -> f64| outcomes.iter().map(figure).sum::<f64>() / SEEDS as f64;
    println!(
        "  {name:22} spread {:5.2} busiest {:4.2} turned {:5.0} failed {:5.1} mean {:4.0} ms p99 {:4.0} ms new {:5.0} ({} calls)",
        mean(|outcome| outcome.spread),
        mean(|outcome| outcome.busiest),
        mean(|outcome| outcome.turned_away),
        mean(|outcome| outcome.failed),
        mean(|outcome| outcome.mean_ms),
        mean(|outcome| outcome.p99_ms),
        mean(|outcome| outcome.new_pairs),
        outcomes.iter().map(|outcome| outcome.calls).sum::<u64>(),
    );
}
