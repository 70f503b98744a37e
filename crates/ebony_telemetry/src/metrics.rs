//! The process's metrics.

use prometheus::{
    Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
    TextEncoder,
};

/// The result of registering a metric or of writing them out.
pub type Result<T, E = prometheus::Error> = std::result::Result<T, E>;

/// The prefix of all metrics.
const NAMESPACE: &str = "ebonyswitch";

/// Buckets of latency histograms in seconds, from 1 ms to 60 s. The bounds 0.041 and 0.93 are the targets for the
/// time between tokens and to the first token.
const LATENCY_BUCKETS: &[f64] = &[
    0.001, 0.003, 0.01, 0.02, 0.041, 0.1, 0.25, 0.5, 0.93, 2.0, 5.0, 10.0, 30.0, 60.0,
];

/// The registry of a process. Clones share it. Label values must come from a bounded set: never a caller or program.
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
    /// Fails if the name is taken or malformed.
    pub fn counter(&self, name: &str, help: &str) -> Result<IntCounter> {
        let counter = IntCounter::with_opts(Opts::new(name, help).namespace(NAMESPACE))?;
        self.registry.register(Box::new(counter.clone()))?;
        Ok(counter)
    }

    /// Registers a family of counters.
    ///
    /// # Errors
    ///
    /// Fails if the name is taken or malformed.
    pub fn counter_family(&self, name: &str, help: &str, labels: &[&str]) -> Result<IntCounterVec> {
        let family = IntCounterVec::new(Opts::new(name, help).namespace(NAMESPACE), labels)?;
        self.registry.register(Box::new(family.clone()))?;
        Ok(family)
    }

    /// Registers a gauge.
    ///
    /// # Errors
    ///
    /// Fails if the name is taken or malformed.
    pub fn gauge(&self, name: &str, help: &str) -> Result<IntGauge> {
        let gauge = IntGauge::with_opts(Opts::new(name, help).namespace(NAMESPACE))?;
        self.registry.register(Box::new(gauge.clone()))?;
        Ok(gauge)
    }

    /// Registers a family of gauges.
    ///
    /// # Errors
    ///
    /// Fails if the name is taken or malformed.
    pub fn gauge_family(&self, name: &str, help: &str, labels: &[&str]) -> Result<IntGaugeVec> {
        let family = IntGaugeVec::new(Opts::new(name, help).namespace(NAMESPACE), labels)?;
        self.registry.register(Box::new(family.clone()))?;
        Ok(family)
    }

    /// Registers a histogram of seconds.
    ///
    /// # Errors
    ///
    /// Fails if the name is taken or malformed.
    pub fn latency(&self, name: &str, help: &str) -> Result<Histogram> {
        let options = HistogramOpts::new(name, help)
            .namespace(NAMESPACE)
            .buckets(LATENCY_BUCKETS.to_vec());
        let histogram = Histogram::with_opts(options)?;
        self.registry.register(Box::new(histogram.clone()))?;
        Ok(histogram)
    }

    /// Registers a family of histograms of seconds.
    ///
    /// # Errors
    ///
    /// Fails if the name is taken or malformed.
    pub fn latency_family(&self, name: &str, help: &str, labels: &[&str]) -> Result<HistogramVec> {
        let options = HistogramOpts::new(name, help)
            .namespace(NAMESPACE)
            .buckets(LATENCY_BUCKETS.to_vec());
        let family = HistogramVec::new(options, labels)?;
        self.registry.register(Box::new(family.clone()))?;
        Ok(family)
    }

    /// Writes all metrics in the text format.
    ///
    /// # Errors
    ///
    /// Fails if a metric can't be encoded.
    pub fn to_text(&self) -> Result<String> {
        TextEncoder::new().encode_to_string(&self.registry.gather())
    }
}
