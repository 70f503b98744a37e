//! How long tool pauses take, learned per caller and kind of program.
//!
//! A kind has a decaying histogram of its pauses, in classes that double in length. A kind that was seen too seldom
//! borrows from the histogram of all pauses. The table is bounded and forgets the least recently used kind.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use ebony_types::CallerName;

use super::RetentionOptions;

/// Classes of pauses: up to 0.25 s, 0.5 s, and so on; the last one holds all pauses above 512 s.
pub(crate) const PAUSE_CLASSES: usize = 13;

/// The upper end of the first class in seconds.
const FIRST_CLASS_SECONDS: f64 = 0.25;

/// The factor by which a further pause of the same kind ages the earlier ones; about 50 pauses count.
const DECAY: f64 = 0.98;

/// The weight of the shared histogram within a kind's own, in pauses.
const SHARED_WEIGHT: f64 = 4.0;

/// A kind of pause: whose program it is and what it waits for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PauseKind {
    /// The caller.
    pub caller: CallerName,
    /// A digest of the kind of program or tool, chosen by the shell; 0 if it cannot tell.
    pub kind: u64,
}

/// The distribution of the length of pauses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PauseHistogram {
    weights: [f64; PAUSE_CLASSES],
}

impl PauseHistogram {
    /// Creates the distribution that is assumed before any pause was seen: one pause in each class.
    fn prior() -> Self {
        Self {
            weights: [1.0 / PAUSE_CLASSES as f64; PAUSE_CLASSES],
        }
    }

    fn empty() -> Self {
        Self {
            weights: [0.0; PAUSE_CLASSES],
        }
    }

    fn observe(&mut self, pause: Duration) {
        for weight in &mut self.weights {
            *weight *= DECAY;
        }
        self.weights[class_of(pause)] += 1.0;
    }

    /// Returns this distribution with `other` mixed in at the given weight, in pauses.
    fn blended(&self, other: &Self, weight: f64) -> Self {
        let total: f64 = other.weights.iter().sum();
        let mut blended = *self;
        for (own, shared) in blended.weights.iter_mut().zip(other.weights) {
            *own += shared / total.max(f64::MIN_POSITIVE) * weight;
        }
        blended
    }

    /// Returns the upper end of each class in seconds with its probability.
    pub(crate) fn classes(&self) -> impl Iterator<Item = (f64, f64)> + '_ {
        let total: f64 = self.weights.iter().sum();
        let ends = (0..PAUSE_CLASSES).map(class_end_seconds);
        ends.zip(
            self.weights
                .iter()
                .map(move |weight| weight / total.max(f64::MIN_POSITIVE)),
        )
    }

    /// Returns the expected length of a pause.
    pub fn expected(&self) -> Duration {
        // The middle of a class that spans a doubling lies at three quarters of its end.
        let seconds: f64 = self.classes().map(|(end, share)| 0.75 * end * share).sum();
        crate::speed::duration_of(seconds)
    }
}

fn class_of(pause: Duration) -> usize {
    let doublings = (pause.as_secs_f64() / FIRST_CLASS_SECONDS).log2().ceil();
    (doublings.max(0.0) as usize).min(PAUSE_CLASSES - 1)
}

fn class_end_seconds(class: usize) -> f64 {
    FIRST_CLASS_SECONDS * f64::from(1_u32 << class)
}

#[derive(Clone, Debug)]
struct KindEntry {
    histogram: PauseHistogram,
    use_number: u64,
}

/// The learned pauses.
///
/// ```
/// use std::time::Duration;
/// use ebony_policy::retention::{PauseKind, PauseModel, RetentionOptions};
/// use ebony_types::CallerName;
///
/// let mut model = PauseModel::open(&RetentionOptions::default());
/// let kind = |caller: &str| PauseKind { caller: CallerName::parse(caller).unwrap(), kind: 0 };
/// for _ in 0..100 {
///     model.observe(&kind("fast"), Duration::from_millis(800));
///     model.observe(&kind("slow"), Duration::from_secs(60));
/// }
/// assert!(model.histogram(&kind("fast")).expected() < model.histogram(&kind("slow")).expected());
/// ```
#[derive(Clone, Debug)]
pub struct PauseModel {
    kinds: HashMap<PauseKind, KindEntry>,
    by_use: BTreeMap<u64, PauseKind>,
    shared: PauseHistogram,
    bound: usize,
    next_use: u64,
}

impl PauseModel {
    /// Creates a model that has seen no pause.
    pub fn open(options: &RetentionOptions) -> Self {
        let bound = if options.learned_pauses {
            options.pause_kinds
        } else {
            0
        };
        Self {
            kinds: HashMap::new(),
            by_use: BTreeMap::new(),
            shared: PauseHistogram::prior(),
            bound,
            next_use: 0,
        }
    }

    /// Returns the number of kinds that are remembered.
    pub fn len(&self) -> usize {
        self.kinds.len()
    }

    /// Returns `true` if no kind is remembered.
    pub fn is_empty(&self) -> bool {
        self.kinds.is_empty()
    }

    /// Learns from a pause that ended.
    pub fn observe(&mut self, kind: &PauseKind, pause: Duration) {
        self.shared.observe(pause);
        if self.bound == 0 {
            return;
        }
        self.next_use += 1;
        let entry = self.kinds.entry(kind.clone()).or_insert_with(|| KindEntry {
            histogram: PauseHistogram::empty(),
            use_number: 0,
        });
        entry.histogram.observe(pause);
        self.by_use.remove(&entry.use_number);
        entry.use_number = self.next_use;
        self.by_use.insert(self.next_use, kind.clone());
        if self.kinds.len() > self.bound
            && let Some((_, oldest)) = self.by_use.pop_first()
        {
            self.kinds.remove(&oldest);
        }
    }

    /// Returns the distribution of a kind's pauses.
    pub fn histogram(&self, kind: &PauseKind) -> PauseHistogram {
        match self.kinds.get(kind) {
            Some(entry) => entry.histogram.blended(&self.shared, SHARED_WEIGHT),
            None => self.shared,
        }
    }
}
