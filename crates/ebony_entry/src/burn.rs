//! Measures service-level objectives in this entry.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use ebony_burn::objective::ALL_PPM;
use ebony_burn::{
    BurnEvent, BurnLedger, BurnReport, BurnSnapshot, GroupKey, GroupObjectives, LabelName, LatencyTarget,
    ObjectiveException, SloCatalog,
};
use ebony_config::{ConfigDocument, GroupObjective, LatencyObjective};
use ebony_telemetry::ProcessClock;
use ebony_types::ClockTime;

/// The service-level objective counters of this entry. Clones share them.
#[derive(Clone)]
pub struct BurnCounters {
    state: Arc<Mutex<BurnState>>,
}

struct BurnState {
    deployment: LabelName,
    ledger: BurnLedger,
    catalog: SloCatalog,
    clock: ProcessClock,
}

/// The result of opening the counters.
pub type Result<T, E = anyhow::Error> = std::result::Result<T, E>;

impl BurnCounters {
    /// Opens the counters of a deployment.
    ///
    /// # Errors
    ///
    /// Fails if the deployment's name is not a valid label.
    pub fn open(deployment: &str) -> Result<Self> {
        let catalog = SloCatalog::default();
        let deployment = LabelName::parse(deployment)?;
        let ledger = BurnLedger::open(deployment.clone(), catalog.clone())?;
        let state = BurnState {
            deployment,
            ledger,
            catalog,
            clock: ProcessClock::start(),
        };
        Ok(Self {
            state: Arc::new(Mutex::new(state)),
        })
    }

    /// Counts an event of a caller group. A group whose name is not a valid label is counted as `other`.
    pub fn record(&self, group: &str, event: BurnEvent) {
        let group = LabelName::parse(group).unwrap_or_else(|_| LabelName::other());
        let mut state = self.lock();
        let now = state.now();
        state.ledger.record(&group, event, now);
    }

    /// Returns a snapshot of the counters, which can be merged with those of other entries.
    pub fn snapshot(&self) -> BurnSnapshot {
        let state = self.lock();
        state.ledger.snapshot(state.now())
    }

    /// Replaces the objectives with those of a configuration. Objectives that it does not specify have their defaults.
    ///
    /// # Errors
    ///
    /// Fails if there are too many objectives. The previous ones stay in force.
    pub fn set_objectives(&self, document: &ConfigDocument) -> Result<()> {
        let mut state = self.lock();
        let mut catalog = SloCatalog::default();
        for (group, objective) in &document.objectives {
            let key = GroupKey {
                deployment: state.deployment.clone(),
                group: LabelName::parse(group.as_str())?,
            };
            let objectives = to_objectives(objective);
            catalog.exceptions.push(ObjectiveException { key, objectives });
        }
        if catalog != state.catalog {
            state.ledger.replace_catalog(catalog.clone())?;
            state.catalog = catalog;
        }
        Ok(())
    }

    /// Returns the objectives in force.
    pub fn catalog(&self) -> SloCatalog {
        self.lock().catalog.clone()
    }

    /// Returns the report on a snapshot, which may be merged from several entries.
    pub fn report(&self, snapshot: &BurnSnapshot) -> BurnReport {
        BurnReport::of(snapshot, &self.lock().catalog)
    }

    fn lock(&self) -> MutexGuard<'_, BurnState> {
        // A panic while the lock is held loses at most one event.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn to_ppm(share: f64) -> u32 {
    // A share close to a bound may round to it: 100% would leave no error budget, and 0% would be no objective.
    let ppm = (share * f64::from(ALL_PPM)).round() as u32;
    ppm.clamp(1, ALL_PPM - 1)
}

fn to_target(objective: LatencyObjective) -> LatencyTarget {
    LatencyTarget {
        bound_ms: u32::try_from(objective.millis).unwrap_or(u32::MAX),
        good_ppm: to_ppm(objective.share),
    }
}

fn to_objectives(objective: &GroupObjective) -> GroupObjectives {
    let default = GroupObjectives::default();
    GroupObjectives {
        program_latency: objective.program.map_or(default.program_latency, to_target),
        first_token: objective.first_token.map_or(default.first_token, to_target),
        token_interval: default.token_interval,
        kept_promises_ppm: to_ppm(objective.availability),
    }
}

impl BurnState {
    fn now(&self) -> ClockTime {
        self.clock.now()
    }
}
