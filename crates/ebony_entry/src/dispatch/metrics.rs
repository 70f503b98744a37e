//! Metrics of the dispatcher.

use ebony_telemetry::MetricsRegistry;
use ebony_telemetry::metrics::Result;
use prometheus::{Histogram, IntCounter, IntCounterVec, IntGauge, IntGaugeVec};

/// Metrics of the dispatcher. All label values come from fixed sets.
#[derive(Clone, Debug)]
pub struct DispatchMetrics {
    /// Attempts by kind: `first` or `retry`.
    pub attempts: IntCounterVec,
    /// Calls that ended by outcome: `finished` or a problem code.
    pub ends: IntCounterVec,
    /// Attempts that failed because the side process ended, or its link was lost for longer than calls can resume.
    pub lost: IntCounter,
    /// Retries that the budget did not allow.
    pub retries_refused: IntCounter,
    /// Open links to side processes.
    pub links: IntGauge,
    /// Known targets by state: `serving`, `draining`, `suspected` or `joining`.
    pub targets: IntGaugeVec,
    /// Calls in progress.
    pub calls: IntGauge,
    /// Admitted programs in progress.
    pub programs: IntGauge,
    /// Seconds from a call's arrival to its first dispatch.
    pub placement: Histogram,
}

impl DispatchMetrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if the metrics are already registered.
    pub fn register(registry: &MetricsRegistry) -> Result<Self> {
        Ok(Self {
            attempts: registry.counter_family("attempts_total", "Attempts of calls by kind.", &["kind"])?,
            ends: registry.counter_family(
                "dispatch_ends_total",
                "Calls that the dispatcher ended, by outcome.",
                &["outcome"],
            )?,
            lost: registry.counter("lost_attempts_total", "Attempts whose side process was lost.")?,
            retries_refused: registry.counter(
                "retries_refused_total",
                "Retries that the retry budget did not allow.",
            )?,
            links: registry.gauge("side_links", "Open links to side processes.")?,
            targets: registry.gauge_family("targets", "Known targets by state.", &["state"])?,
            calls: registry.gauge("dispatch_calls", "Calls at the dispatcher.")?,
            programs: registry.gauge("admitted_programs", "Programs in progress.")?,
            placement: registry.latency_histogram(
                "placement_seconds",
                "Time from a call's arrival at the dispatcher to its first dispatch.",
            )?,
        })
    }
}
