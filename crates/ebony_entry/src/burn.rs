//! Service-level objectives as this entry measures them.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use ebony_burn::{BurnEvent, BurnLedger, BurnReport, BurnSnapshot, LabelName, SloCatalog};
use ebony_types::ClockTime;

/// The counters of this entry. Clones share them.
#[derive(Clone)]
pub struct BurnCell {
    state: Arc<Mutex<BurnState>>,
}

struct BurnState {
    ledger: BurnLedger,
    catalog: SloCatalog,
    started: Instant,
}

/// The result of opening the counters.
pub type Result<T, E = anyhow::Error> = std::result::Result<T, E>;

impl BurnCell {
    /// Opens the counters of a deployment.
    ///
    /// # Errors
    ///
    /// Fails if the deployment's name can't be a label.
    pub fn open(deployment: &str) -> Result<Self> {
        let catalog = SloCatalog::default();
        let ledger = BurnLedger::open(LabelName::parse(deployment)?, catalog.clone())?;
        let state = BurnState {
            ledger,
            catalog,
            started: Instant::now(),
        };
        Ok(Self {
            state: Arc::new(Mutex::new(state)),
        })
    }

    /// Counts an event of a caller group.
    pub fn record(&self, group: &str, event: BurnEvent) {
        let group = LabelName::parse(group).unwrap_or_else(|_| LabelName::other());
        let mut state = self.lock();
        let now = state.now();
        state.ledger.record(&group, event, now);
    }

    /// Returns the counts, for merging with those of other entries.
    pub fn snapshot(&self) -> BurnSnapshot {
        let state = self.lock();
        state.ledger.snapshot(state.now())
    }

    /// Returns the report on merged counts.
    pub fn report(&self, snapshot: &BurnSnapshot) -> BurnReport {
        BurnReport::of(snapshot, &self.lock().catalog)
    }

    fn lock(&self) -> MutexGuard<'_, BurnState> {
        // A panic while the lock is held loses at most one count.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl BurnState {
    fn now(&self) -> ClockTime {
        ClockTime::from_micros(u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX))
    }
}
