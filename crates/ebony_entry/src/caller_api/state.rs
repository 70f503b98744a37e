//! State shared by the HTTP handlers.

use std::sync::Mutex;
use std::sync::PoisonError;

use actix::Recipient;
use actix_web::HttpResponse;
use ebony_settings::LimitSettings;
use ebony_telemetry::MetricsRegistry;
use ebony_types::{CallId, ProblemReport, ProgramId, ShardKey};
use prometheus::{HistogramVec, IntCounterVec, IntGauge};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use super::problem::problem_response;
use crate::burn::BurnCounters;
use crate::config::ConfigView;
use crate::peers::{ForwardCall, ForwardOperation, OperateProgram, ShardRouter, StartCall};

/// The result of registering metrics.
type Result<T, E = prometheus::Error> = std::result::Result<T, E>;

/// Metrics of the caller API.
#[derive(Clone)]
pub struct CallerMetrics {
    /// Ended calls by kind and outcome code.
    pub calls: IntCounterVec,
    /// Seconds from receipt to the first part of an answer, by kind.
    pub first_part: HistogramVec,
    /// Seconds from receipt to the end of an answer, by kind.
    pub duration: HistogramVec,
    /// Calls in progress.
    pub in_progress: IntGauge,
}

impl CallerMetrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if the metrics are already registered.
    pub fn register(registry: &MetricsRegistry) -> Result<Self> {
        Ok(Self {
            calls: registry.counter_family(
                "calls_total",
                "Calls by kind and outcome.",
                &["kind", "outcome"],
            )?,
            first_part: registry.latency_histogram_family(
                "first_part_seconds",
                "Time from receipt to the first part of the answer.",
                &["kind"],
            )?,
            duration: registry.latency_histogram_family(
                "call_seconds",
                "Time from receipt to the end of the answer.",
                &["kind"],
            )?,
            in_progress: registry.gauge(
                "calls_under_way",
                "Calls that have been received and have not ended.",
            )?,
        })
    }
}

/// State shared by the HTTP handlers.
pub struct CallerState {
    /// Starts a call that this process owns.
    pub start: Recipient<StartCall>,
    /// Runs an operation on a program that this process owns.
    pub operate: Recipient<OperateProgram>,
    /// Forwards a call to its owner.
    pub forward: Recipient<ForwardCall>,
    /// Forwards an operation to a program's owner.
    pub forward_operation: Recipient<ForwardOperation>,
    /// Routes from shards to the entries that own them.
    pub router: ShardRouter,
    /// The configuration in force.
    pub config: ConfigView,
    /// Limits on requests and connections of callers.
    pub limits: LimitSettings,
    /// Metrics.
    pub metrics: CallerMetrics,
    /// Service-level objectives.
    pub burn: BurnCounters,
    rng: Mutex<StdRng>,
}

impl CallerState {
    /// Creates the state.
    #[expect(clippy::too_many_arguments, reason = "each is a separate collaborator")]
    pub fn new(
        start: Recipient<StartCall>,
        operate: Recipient<OperateProgram>,
        forward: Recipient<ForwardCall>,
        forward_operation: Recipient<ForwardOperation>,
        router: ShardRouter,
        config: ConfigView,
        limits: LimitSettings,
        metrics: CallerMetrics,
        burn: BurnCounters,
    ) -> Self {
        let rng = Mutex::new(StdRng::from_os_rng());
        Self {
            start,
            operate,
            forward,
            forward_operation,
            router,
            config,
            limits,
            metrics,
            burn,
            rng,
        }
    }

    /// Counts a call that was refused before it started, and returns the HTTP response.
    pub(super) fn refuse(&self, kind: &str, problem: &ProblemReport) -> HttpResponse {
        let code = problem.code.as_str();
        self.metrics.calls.with_label_values(&[kind, code]).inc();
        problem_response(problem)
    }

    /// Returns a new call identifier.
    pub fn new_call(&self) -> CallId {
        CallId::random(&mut *self.rng.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns a new program identifier. Its shard is that of the parent, or a random one of the shards that this
    /// process serves, or any random shard if it serves none.
    pub fn new_program(&self, parent: Option<ProgramId>) -> ProgramId {
        let local = self.router.local_shards();
        let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
        let shard = match parent {
            Some(parent) => parent.shard(),
            None => match local.choose(&mut *rng) {
                Some(shard) => *shard,
                None => ShardKey(rng.random_range(0..self.router.shards())),
            },
        };
        ProgramId::random(shard, &mut *rng)
    }
}
