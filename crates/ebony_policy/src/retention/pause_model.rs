//! Learns the length of tool pauses for each caller and kind of program.
//!
//! Each kind has a decaying histogram of its pauses, with buckets that double in length. The shared histogram of all
//! pauses is mixed in, which matters for kinds with few observations. The table is bounded and removes the least
//! recently observed kind.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use ebony_types::CallerName;

use super::RetentionOptions;

/// Buckets of the histogram: up to 0.25 s, 0.5 s, and so on; the last one holds all pauses above 512 s.
pub(crate) const PAUSE_BUCKETS: usize = 13;

/// Upper end of the first bucket in seconds.
const FIRST_BUCKET_SECONDS: f64 = 0.25;

/// Factor by which each pause decays the weight of earlier pauses of the same kind; about the last 50 pauses count.
const DECAY_PER_PAUSE: f64 = 0.98;

/// Weight at which the shared histogram is mixed into a kind's own, in pauses.
const SHARED_WEIGHT_PAUSES: f64 = 4.0;

/// A kind of pause: the program's caller, and the kind of program or tool.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PauseKind {
    /// The caller.
    pub caller: CallerName,
    /// A digest of the kind of program or tool, chosen by the user of this crate; 0 if it is unknown.
    pub kind: u64,
}

/// The distribution of the length of pauses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PauseHistogram {
    weights: [f64; PAUSE_BUCKETS],
}

impl PauseHistogram {
    /// Returns the prior distribution: uniform over the buckets, with a total weight of one pause.
    fn prior() -> Self {
        Self {
            weights: [1.0 / PAUSE_BUCKETS as f64; PAUSE_BUCKETS],
        }
    }

    fn empty() -> Self {
        Self {
            weights: [0.0; PAUSE_BUCKETS],
        }
    }

    fn observe(&mut self, pause: Duration) {
        for weight in &mut self.weights {
            *weight *= DECAY_PER_PAUSE;
        }
        self.weights[bucket_of(pause)] += 1.0;
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

    /// Returns the upper end of each bucket in seconds with its probability.
    pub(crate) fn buckets(&self) -> impl Iterator<Item = (f64, f64)> + '_ {
        let total: f64 = self.weights.iter().sum();
        let ends = (0..PAUSE_BUCKETS).map(bucket_end_seconds);
        ends.zip(
            self.weights
                .iter()
                .map(move |weight| weight / total.max(f64::MIN_POSITIVE)),
        )
    }

    /// Returns the expected length of a pause.
    pub fn expected(&self) -> Duration {
        // A bucket spans a doubling, so its middle lies at three quarters of its upper end.
        let seconds: f64 = self.buckets().map(|(end, share)| 0.75 * end * share).sum();
        crate::speed::duration_from_secs(seconds)
    }
}

fn bucket_of(pause: Duration) -> usize {
    let doublings = (pause.as_secs_f64() / FIRST_BUCKET_SECONDS).log2().ceil();
    (doublings.max(0.0) as usize).min(PAUSE_BUCKETS - 1)
}

fn bucket_end_seconds(bucket: usize) -> f64 {
    FIRST_BUCKET_SECONDS * f64::from(1_u32 << bucket)
}

#[derive(Clone, Debug)]
struct KindEntry {
    histogram: PauseHistogram,
    use_sequence: u64,
}

/// The learned distributions of pauses by kind.
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
    max_kinds: usize,
    last_use_sequence: u64,
}

impl PauseModel {
    /// Creates a model without observations.
    pub fn open(options: &RetentionOptions) -> Self {
        let max_kinds = if options.learned_pauses {
            options.pause_kinds
        } else {
            0
        };
        Self {
            kinds: HashMap::new(),
            by_use: BTreeMap::new(),
            shared: PauseHistogram::prior(),
            max_kinds,
            last_use_sequence: 0,
        }
    }

    /// Returns the number of known kinds.
    pub fn len(&self) -> usize {
        self.kinds.len()
    }

    /// Returns `true` if no kind is known.
    pub fn is_empty(&self) -> bool {
        self.kinds.is_empty()
    }

    /// Records a pause that ended.
    pub fn observe(&mut self, kind: &PauseKind, pause: Duration) {
        self.shared.observe(pause);
        if self.max_kinds == 0 {
            return;
        }
        self.last_use_sequence += 1;
        let entry = self.kinds.entry(kind.clone()).or_insert_with(|| KindEntry {
            histogram: PauseHistogram::empty(),
            use_sequence: 0,
        });
        entry.histogram.observe(pause);
        self.by_use.remove(&entry.use_sequence);
        entry.use_sequence = self.last_use_sequence;
        self.by_use.insert(self.last_use_sequence, kind.clone());
        if self.kinds.len() > self.max_kinds
            && let Some((_, oldest)) = self.by_use.pop_first()
        {
            self.kinds.remove(&oldest);
        }
    }

    /// Returns the distribution of a kind's pauses; the shared one if the kind is unknown.
    pub fn histogram(&self, kind: &PauseKind) -> PauseHistogram {
        match self.kinds.get(kind) {
            Some(entry) => entry.histogram.blended(&self.shared, SHARED_WEIGHT_PAUSES),
            None => self.shared,
        }
    }
}
