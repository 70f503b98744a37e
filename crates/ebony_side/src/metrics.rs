//! Metrics of a side process. Label values are outcomes and the target names in the settings, so their number is
//! bounded.

use ebony_telemetry::MetricsRegistry;
use ebony_types::RunVerdict;
use prometheus::{IntCounter, IntCounterVec, IntGauge, IntGaugeVec};

/// The result of registering the metrics.
pub(crate) type Result<T, E = prometheus::Error> = std::result::Result<T, E>;

#[derive(Clone, Debug)]
pub(crate) struct SideMetrics {
    calls: IntCounterVec,
    pub(crate) queued: IntGaugeVec,
    pub(crate) running: IntGaugeVec,
    pub(crate) kv_bytes: IntGaugeVec,
    pub(crate) crashes: IntCounterVec,
    pub(crate) fenced: IntCounter,
    pub(crate) config_version: IntGauge,
}

impl SideMetrics {
    pub(crate) fn register(registry: &MetricsRegistry) -> Result<Self> {
        let target = &["target"];
        Ok(Self {
            calls: registry.counter_family("side_calls_total", "Calls by outcome.", &["outcome"])?,
            queued: registry.gauge_family("side_queued_calls", "Calls that wait.", target)?,
            running: registry.gauge_family("side_running_calls", "Calls that run.", target)?,
            kv_bytes: registry.gauge_family("side_kv_bytes_held", "Bytes of KV cache held.", target)?,
            crashes: registry.counter_family("side_target_crashes_total", "Crashes of targets.", target)?,
            fenced: registry.counter(
                "side_fenced_orders_total",
                "Orders that were refused because of an old fencing token.",
            )?,
            config_version: registry.gauge("side_config_version", "The configuration in force.")?,
        })
    }

    pub(crate) fn count_answered(&self) {
        self.calls.with_label_values(&["answered"]).inc();
    }

    pub(crate) fn count_failed(&self, run: RunVerdict) {
        self.calls.with_label_values(&[run.as_str()]).inc();
    }
}
