//! Even load over targets whose reports are old, with many gateways that choose.
//!
//! The example `even_load_options` plays the same model with further ways to choose.

mod model;

use ebony_dispatch::{DispatchOptions, EvenLoad};

use crate::model::{Outcome, SCENE, Scene, play, product};

/// Plays a scene with two seeds, and returns the sums of the figures.
fn played(scene: Scene, even_load: EvenLoad) -> Outcome {
    let options = DispatchOptions {
        even_load,
        ..DispatchOptions::default()
    };
    let outcomes = [1, 2].map(|seed| play(Scene { seed, ..scene }, &options, product));
    let [first, second] = outcomes;
    Outcome {
        calls: first.calls + second.calls,
        spread: first.spread + second.spread,
        busiest: first.busiest + second.busiest,
        turned_away: first.turned_away + second.turned_away,
        failed: first.failed + second.failed,
        mean_ms: first.mean_ms + second.mean_ms,
        p99_ms: first.p99_ms + second.p99_ms,
        new_pairs: first.new_pairs + second.new_pairs,
    }
}

/// Guards against a model that does not show what even load is for: gateways that choose the target with the least
/// estimated delay choose the same one, the more of them there are and the older their reports.
#[test]
fn many_choosers_with_old_reports_choose_the_same_targets() {
    let scene = Scene { seconds: 4, ..SCENE };
    let one = played(
        Scene {
            choosers: 1,
            staleness_ms: 0,
            ..scene
        },
        EvenLoad::Never,
    );
    let many = played(scene, EvenLoad::Never);
    let old = played(
        Scene {
            staleness_ms: 300,
            ..scene
        },
        EvenLoad::Never,
    );
    assert!(one.turned_away < 1.0, "{one:?}");
    assert!(many.turned_away > 100.0, "{many:?}");
    assert!(old.turned_away > many.turned_away * 1.5, "{old:?} {many:?}");
    assert!(
        old.spread > many.spread && many.spread > one.spread * 1.5,
        "{old:?} {many:?} {one:?}"
    );
}

/// Guards against calls that are turned away while other targets have room.
#[test]
fn even_load_turns_fewer_calls_away() {
    for (choosers, staleness_ms, targets, load) in
        [(34, 100, 27, 0.85), (34, 300, 27, 0.85), (120, 100, 18, 0.85)]
    {
        let scene = Scene {
            choosers,
            staleness_ms,
            targets,
            load,
            seconds: 3,
            ..SCENE
        };
        let before = played(scene, EvenLoad::Never);
        let after = played(scene, EvenLoad::Always);
        let context = format!("{scene:?}\nbefore {before:?}\nafter {after:?}");
        assert!(after.turned_away < before.turned_away * 0.6, "{context}");
        assert!(after.spread < before.spread, "{context}");
        assert!(after.failed <= before.failed, "{context}");
        assert!(after.mean_ms < before.mean_ms, "{context}");
        assert!(after.p99_ms < before.p99_ms, "{context}");
        assert!(after.new_pairs < before.new_pairs * 0.8, "{context}");
    }
}

/// Guards against even load that costs a lone gateway its full view, and against one that needs targets of different
/// speeds.
#[test]
fn even_load_also_holds_for_one_gateway_and_for_equal_targets() {
    let lone = Scene {
        choosers: 1,
        seconds: 4,
        ..SCENE
    };
    let before = played(lone, EvenLoad::Never);
    let after = played(lone, EvenLoad::Always);
    assert!(
        after.failed <= before.failed && after.turned_away < 40.0,
        "{after:?} {before:?}"
    );
    assert!(after.mean_ms < before.mean_ms * 1.25, "{after:?} {before:?}");
    assert!(after.p99_ms < before.p99_ms, "{after:?} {before:?}");
    let equal = Scene {
        speeds_differ: false,
        seconds: 4,
        ..SCENE
    };
    let before = played(equal, EvenLoad::Never);
    let after = played(equal, EvenLoad::Always);
    assert!(
        after.turned_away < before.turned_away * 0.6,
        "{after:?} {before:?}"
    );
    assert!(after.mean_ms < before.mean_ms, "{after:?} {before:?}");
}
