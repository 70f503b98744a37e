//! Hooks that read runs and cache counters from stand-ins.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use async_trait::async_trait;
use ebony_standins::engine::EngineControl;
use ebony_standins::service::ServiceControl;
use ebony_trace::{CacheOutcome, MarkerAction};
use ebony_types::CallId;

use crate::hooks::{ReplayHooks, Result, TargetRun};

struct EngineMonitor {
    control: EngineControl,
    /// The recent runs at the last poll. The engine bounds their number.
    recent: Vec<CallId>,
    /// The cache outcome before the replay.
    before: CacheOutcome,
}

struct ServiceMonitor {
    control: ServiceControl,
    /// Number of runs by method and path at the last poll. The service bounds the number of paths.
    paths: BTreeMap<String, u32>,
}

/// Reads runs and cache counters from stand-ins. Markers have no effect.
///
/// A token counts as never reused if a release order removed it unused, or if the engine still holds it at the end. Held
/// tokens count even if they were reused before, because the stand-in does not distinguish them. A system that releases
/// the memory of ended programs leaves no held tokens.
#[derive(Default)]
pub struct StandinHooks {
    engines: Vec<EngineMonitor>,
    services: Vec<ServiceMonitor>,
}

impl StandinHooks {
    /// Connects to the control ports of stand-ins. Runs and cache use before this call do not count.
    ///
    /// # Errors
    ///
    /// Fails if a stand-in does not answer.
    pub async fn open(engines: &[SocketAddr], services: &[SocketAddr]) -> Result<Self> {
        let mut hooks = Self::default();
        for address in engines {
            let control = EngineControl::open(*address);
            let runs = control.recent_runs().await?;
            let before = cache_outcome(&control).await?;
            hooks.engines.push(EngineMonitor {
                control,
                recent: runs.iter().map(|run| run.call).collect(),
                before,
            });
        }
        for address in services {
            let control = ServiceControl::open(*address);
            let paths = control.runs(1).await?.paths;
            hooks.services.push(ServiceMonitor { control, paths });
        }
        Ok(hooks)
    }
}

async fn cache_outcome(control: &EngineControl) -> Result<CacheOutcome> {
    let stats = control.stats().await?;
    Ok(CacheOutcome {
        filled_tokens: stats.cache.filled,
        evicted_unused_tokens: stats.cache.evicted_unused,
        never_reused_tokens: stats.cache.released_unused + stats.held_tokens,
    })
}

/// Returns how many runs at the start of `now` are also at the end of `before`. Both are windows over the same sequence
/// of runs.
fn overlap_count(before: &[CallId], now: &[CallId]) -> usize {
    let starts = 0..=before.len();
    let mut overlaps = starts.map(|start| &before[start..]);
    let overlap = overlaps.find(|overlap| now.starts_with(overlap));
    overlap.map_or(0, <[CallId]>::len)
}

impl EngineMonitor {
    async fn take_runs(&mut self) -> Result<Vec<TargetRun>> {
        let runs = self.control.recent_runs().await?;
        let calls: Vec<CallId> = runs.iter().map(|run| run.call).collect();
        let known = overlap_count(&self.recent, &calls);
        self.recent = calls;
        let new_runs = runs.into_iter().skip(known);
        Ok(new_runs
            .map(|run| TargetRun::Model { digest: run.messages })
            .collect())
    }
}

impl ServiceMonitor {
    async fn take_runs(&mut self) -> Result<Vec<TargetRun>> {
        let paths = self.control.runs(1).await?.paths;
        let mut new_runs = Vec::new();
        for (path, count) in &paths {
            let before = self.paths.get(path).copied().unwrap_or(0);
            let run = TargetRun::Service { path: path.clone() };
            new_runs.extend((before..*count).map(|_| run.clone()));
        }
        self.paths = paths;
        Ok(new_runs)
    }
}

#[async_trait(?Send)]
impl ReplayHooks for StandinHooks {
    async fn on_marker(&mut self, _: &MarkerAction) -> Result<Option<Vec<String>>> {
        Ok(None)
    }

    async fn take_runs(&mut self) -> Result<Option<Vec<Vec<TargetRun>>>> {
        let mut runs = Vec::new();
        for engine in &mut self.engines {
            runs.push(engine.take_runs().await?);
        }
        for service in &mut self.services {
            // Each run is a list of its own, because services do not report the order of runs.
            let new_runs = service.take_runs().await?;
            runs.extend(new_runs.into_iter().map(|run| vec![run]));
        }
        Ok((!self.engines.is_empty() || !self.services.is_empty()).then_some(runs))
    }

    async fn read_cache(&mut self) -> Result<Option<CacheOutcome>> {
        let mut total = CacheOutcome::default();
        for engine in &self.engines {
            let now = cache_outcome(&engine.control).await?;
            let before = engine.before;
            total = total.plus(CacheOutcome {
                filled_tokens: now.filled_tokens.saturating_sub(before.filled_tokens),
                evicted_unused_tokens: now
                    .evicted_unused_tokens
                    .saturating_sub(before.evicted_unused_tokens),
                never_reused_tokens: now.never_reused_tokens.saturating_sub(before.never_reused_tokens),
            });
        }
        Ok((!self.engines.is_empty()).then_some(total))
    }
}
