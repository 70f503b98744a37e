//! Rules that choose targets, to be compared with the product's.

use std::collections::HashMap;

use ebony_dispatch::TargetKey;
use ebony_dispatch::board::TargetEntry;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::model::Choice;

/// An estimate of the calls of other gateways at a target.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Estimate {
    /// The last report, which decays to nothing.
    Decay,
    /// The last report, plus the own calls since.
    Hold,
    /// The last report, which decays to the mean of the service.
    Mean,
    /// What the targets had 100 ms ago, as if gateways told each other.
    Links,
}

/// A choice among estimates.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Pick {
    /// The least expected time of all.
    Least,
    /// The least of some random ones.
    Sample(usize),
    /// At random, with a weight that falls exponentially with the expected time, by this scale in runs of a call.
    Soft(f64),
    /// At random, by free room.
    Room,
    /// The least of some random ones of a subset of this size.
    Subset(usize, usize),
}

/// A rule of an estimate and a choice.
pub(crate) struct OptionRule {
    pub(crate) estimate: Estimate,
    pub(crate) pick: Pick,
    rng: ChaCha8Rng,
    subsets: HashMap<usize, Vec<usize>>,
}

impl OptionRule {
    pub(crate) fn open(estimate: Estimate, pick: Pick) -> Self {
        Self {
            estimate,
            pick,
            rng: ChaCha8Rng::seed_from_u64(11),
            subsets: HashMap::new(),
        }
    }

    pub(crate) fn choose(&mut self, choice: &Choice<'_>) -> Option<TargetKey> {
        let keys = &choice.chooser.keys;
        let target = |at: usize| choice.chooser.board.target(keys[at]).expect("listed");
        let all: Vec<usize> = (0..keys.len())
            .filter(|at| !choice.tried.contains(&keys[*at]))
            .collect();
        let open: Vec<usize> = all
            .iter()
            .copied()
            .filter(|at| !target(*at).fault.is_full(choice.now))
            .collect();
        let candidates = if open.is_empty() { all } else { open };
        let mean = mean_of(choice);
        let estimate = self.estimate;
        let cost = |at: usize| expected(estimate, target(at), at, mean, choice);
        let least = |found: &mut dyn Iterator<Item = usize>| {
            found
                .map(|at| (cost(at), at))
                .min_by(|left, right| left.0.total_cmp(&right.0))
                .map(|(_, at)| at)
        };
        let mut rng = self.rng.clone();
        let chosen = match self.pick {
            Pick::Least => least(&mut candidates.iter().copied()),
            Pick::Sample(count) => least(&mut sample(&candidates, count, &mut rng)),
            Pick::Soft(scale) => {
                let costs: Vec<f64> = candidates.iter().map(|at| cost(*at)).collect();
                let lowest = costs.iter().copied().fold(f64::INFINITY, f64::min);
                let weights: Vec<f64> = costs.iter().map(|cost| ((lowest - cost) / scale).exp()).collect();
                weighted(&candidates, &weights, &mut rng)
            }
            Pick::Room => {
                let weights: Vec<f64> = candidates
                    .iter()
                    .map(|at| {
                        let found = target(*at);
                        let room =
                            f64::from(found.record.slots) - calls_of(estimate, found, *at, mean, choice);
                        room.max(0.05) / found.time_factor(choice.now)
                    })
                    .collect();
                weighted(&candidates, &weights, &mut rng)
            }
            Pick::Subset(size, count) => {
                let number = choice.chooser.number;
                let subset = self.subsets.entry(number).or_insert_with(|| {
                    let mut rng = ChaCha8Rng::seed_from_u64(number as u64);
                    sample(&(0..keys.len()).collect::<Vec<_>>(), size, &mut rng).collect()
                });
                let near: Vec<usize> = subset
                    .iter()
                    .copied()
                    .filter(|at| candidates.contains(at))
                    .collect();
                let from = if near.is_empty() { &candidates } else { &near };
                least(&mut sample(from, count, &mut rng))
            }
        };
        self.rng = rng;
        chosen.map(|at| keys[at])
    }
}

fn expected(estimate: Estimate, target: &TargetEntry, at: usize, mean: f64, choice: &Choice<'_>) -> f64 {
    let calls = calls_of(estimate, target, at, mean, choice);
    let slots = f64::from(target.record.slots);
    let rounds = (calls + 1.0 - slots).max(0.0) / slots;
    target.time_factor(choice.now) * (1.0 + rounds + calls / slots * 0.05)
}

fn mean_of(choice: &Choice<'_>) -> f64 {
    let targets = choice.chooser.board.targets();
    let sums = targets.fold((0.0, 0.0), |(calls, slots), (_, target)| {
        let weight = target.load.report_weight(choice.options, choice.now);
        let others = f64::from(target.load.other_calls());
        (
            calls + weight * others,
            slots + weight * f64::from(target.record.slots),
        )
    });
    if sums.1 > 0.0 { sums.0 / sums.1 } else { 0.0 }
}

fn calls_of(estimate: Estimate, target: &TargetEntry, at: usize, mean: f64, choice: &Choice<'_>) -> f64 {
    let own = f64::from(target.load.own_calls());
    let others = f64::from(target.load.other_calls());
    match estimate {
        Estimate::Decay => target.load.calls(choice.options, choice.now),
        Estimate::Hold => own + others,
        Estimate::Mean => {
            let weight = target.load.report_weight(choice.options, choice.now);
            own + weight * others + (1.0 - weight) * mean * f64::from(target.record.slots)
        }
        Estimate::Links => {
            let shared = choice.shared_calls.get(at).copied().unwrap_or_default();
            own.max(f64::from(shared))
        }
    }
}

fn sample<'a>(
    from: &'a [usize],
    count: usize,
    rng: &mut ChaCha8Rng,
) -> impl Iterator<Item = usize> + use<'a> {
    let mut picked: Vec<usize> = Vec::new();
    while picked.len() < count.min(from.len()) {
        let at = from[rng.random_range(0..from.len())];
        if !picked.contains(&at) {
            picked.push(at);
        }
    }
    picked.into_iter()
}

fn weighted(from: &[usize], weights: &[f64], rng: &mut ChaCha8Rng) -> Option<usize> {
    let total: f64 = weights.iter().sum();
    let mut left = rng.random_range(0.0..total);
    for (at, weight) in from.iter().zip(weights) {
        left -= weight;
        if left <= 0.0 {
            return Some(*at);
        }
    }
    from.last().copied()
}
