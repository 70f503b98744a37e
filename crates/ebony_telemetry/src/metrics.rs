//! Prometheus metrics of a process.

use prometheus::{
    Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
    TextEncoder,
};

/// The result of registering or encoding metrics.
pub type Result<T, E = prometheus::Error> = std::result::Result<T, E>;

/// The prefix of all metric names.
const NAMESPACE: &str = "ebonyswitch";

/// Bucket bounds of latency histograms, from 1 ms to 60 s. The bounds 0.041 and 0.93 are the targets for the
/// time between tokens and to the first token.
const LATENCY_BUCKETS_SECONDS: &[f64] = &[
    0.001, 0.003, 0.01, 0.02, 0.041, 0.1, 0.25, 0.5, 0.93, 2.0, 5.0, 10.0, 30.0, 60.0,
];

/// The metrics registry of a process. Clones share it. Label values must come from a bounded set, so the identifier of a
/// caller or program must not be a label value.
///
/// ```
/// use ebony_telemetry::MetricsRegistry;
///
/// let registry = MetricsRegistry::default();
/// let calls = registry.counter("calls_total", "Calls received.")?;
/// calls.inc();
/// assert!(registry.to_text()?.contains("ebonyswitch_calls_total 1"));
/// # Ok::<(), prometheus::Error>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct MetricsRegistry {
    registry: Registry,
}

impl MetricsRegistry {
    /// Registers a counter.
    ///
    /// # Errors
    ///
    /// Fails if the name is already registered or invalid.
    pub fn counter(&self, name: &str, help: &str) -> Result<IntCounter> {
        let counter = IntCounter::with_opts(Opts::new(name, help).namespace(NAMESPACE))?;
        self.registry.register(Box::new(counter.clone()))?;
        Ok(counter)
    }

    /// Registers a counter family, with one counter per combination of label values.
    ///
    /// # Errors
    ///
    /// Fails if the name is already registered or invalid.
    pub fn counter_family(&self, name: &str, help: &str, labels: &[&str]) -> Result<IntCounterVec> {
        let family = IntCounterVec::new(Opts::new(name, help).namespace(NAMESPACE), labels)?;
        self.registry.register(Box::new(family.clone()))?;
        Ok(family)
    }

    /// Registers a gauge.
    ///
    /// # Errors
    ///
    /// Fails if the name is already registered or invalid.
    pub fn gauge(&self, name: &str, help: &str) -> Result<IntGauge> {
        let gauge = IntGauge::with_opts(Opts::new(name, help).namespace(NAMESPACE))?;
        self.registry.register(Box::new(gauge.clone()))?;
        Ok(gauge)
    }

    /// Registers a gauge family, with one gauge per combination of label values.
    ///
    /// # Errors
    ///
    /// Fails if the name is already registered or invalid.
    pub fn gauge_family(&self, name: &str, help: &str, labels: &[&str]) -> Result<IntGaugeVec> {
        let family = IntGaugeVec::new(Opts::new(name, help).namespace(NAMESPACE), labels)?;
        self.registry.register(Box::new(family.clone()))?;
        Ok(family)
    }

    /// Registers a latency histogram, in seconds.
    ///
    /// # Errors
    ///
    /// Fails if the name is already registered or invalid.
    pub fn latency_histogram(&self, name: &str, help: &str) -> Result<Histogram> {
        let options = HistogramOpts::new(name, help)
            .namespace(NAMESPACE)
            .buckets(LATENCY_BUCKETS_SECONDS.to_vec());
        let histogram = Histogram::with_opts(options)?;
        self.registry.register(Box::new(histogram.clone()))?;
        Ok(histogram)
    }

    /// Registers a family of latency histograms, in seconds, with one per combination of label values.
    ///
    /// # Errors
    ///
    /// Fails if the name is already registered or invalid.
    pub fn latency_histogram_family(&self, name: &str, help: &str, labels: &[&str]) -> Result<HistogramVec> {
        let options = HistogramOpts::new(name, help)
            .namespace(NAMESPACE)
            .buckets(LATENCY_BUCKETS_SECONDS.to_vec());
        let family = HistogramVec::new(options, labels)?;
        self.registry.register(Box::new(family.clone()))?;
        Ok(family)
    }

    /// Encodes all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Fails if a metric cannot be encoded.
    pub fn to_text(&self) -> Result<String> {
        TextEncoder::new().encode_to_string(&self.registry.gather())
    }
}
