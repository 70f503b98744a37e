//! The metrics of a gateway. Label values come from fixed sets.

use ebony_telemetry::MetricsRegistry;
use ebony_telemetry::metrics::Result;
use prometheus::{Histogram, IntCounter, IntCounterVec, IntGauge};

use crate::customers::CustomerCalls;

/// The metrics of a gateway.
pub(crate) struct GatewayMetrics {
    /// Calls that ended, by outcome and verdict.
    pub(crate) calls: IntCounterVec,
    /// Calls that the gateway refused, by code.
    pub(crate) refusals: IntCounterVec,
    /// First turns of programs, by the decision on them.
    pub(crate) admissions: IntCounterVec,
    /// Connections and bodies of callers that were refused or closed to keep the port's limits, by reason.
    pub(crate) caller_limits: IntCounterVec,
    /// The memory that is charged for connections and bodies of callers, in bytes.
    pub(crate) caller_memory: IntGauge,
    /// Calls that were refused for lack of a known key, by what their credential was.
    pub(crate) unauthorized: IntCounterVec,
    /// Calls that ended, by customer.
    pub(crate) customer_calls: CustomerCalls,
    /// Parts of the list of customers that could not be used as they were written, by kind.
    pub(crate) customer_faults: IntCounterVec,
    /// Attempts at targets, by outcome.
    pub(crate) attempts: IntCounterVec,
    /// Seconds from the call to its first target.
    pub(crate) queue_time: Histogram,
    /// Seconds from the call to the first bytes of its answer.
    pub(crate) first_bytes: Histogram,
    /// Requests to the store, by duty and outcome.
    pub(crate) store_calls: IntCounterVec,
    /// Requests for cover of a program's turns, by outcome.
    pub(crate) covers: IntCounterVec,
    /// Lookups and writes of turns of kept conversations, by outcome.
    pub(crate) turns: IntCounterVec,
    /// Bytes of kept conversations in memory.
    pub(crate) conversation_bytes: IntGauge,
    /// Changes of the recorded health of targets, by kind.
    pub(crate) target_health: IntCounterVec,
    /// Notices of targets that are leaving, by source.
    pub(crate) leaving: IntCounterVec,
    /// Changes of the limits that targets name, by kind.
    pub(crate) limits: IntCounterVec,
    /// How load and speeds differ between the targets of a service, in percent.
    pub(crate) target_spread: prometheus::IntGaugeVec,
    /// Load reports of targets with figures that were ignored or bounded, by kind.
    pub(crate) load_faults: IntCounterVec,
    /// Requests for permits to call limited targets, by outcome.
    pub(crate) permits: IntCounterVec,
    /// Tokens of customers' quotas, by customer and event.
    pub(crate) quota_tokens: IntCounterVec,
    /// Requests for tokens of customers, by outcome.
    pub(crate) quota_asks: IntCounterVec,
    /// Changes of this gateway's role for the quota of a customer, by the new role.
    pub(crate) quota_roles: IntCounterVec,
    /// Listed targets that limit their rate.
    pub(crate) limited_targets: IntGauge,
    /// Targets that broke off a call, by the result of their probe.
    pub(crate) target_fates: IntCounterVec,
    /// Calls that resume a stream, by how its version is known or why they were refused.
    pub(crate) resumptions: IntCounterVec,
    /// Streams whose version is known.
    pub(crate) streams: IntGauge,
    /// Streams of this gateway that have to be recorded and are not.
    pub(crate) unrecorded_streams: IntGauge,
    /// Requests that were running when targets crashed.
    pub(crate) crash_requests: IntGauge,
    /// The resident memory of the process, in bytes.
    pub(crate) memory: IntGauge,
    /// Connections opened to targets.
    pub(crate) connections: IntCounter,
    /// Running calls.
    pub(crate) open_calls: IntGauge,
    /// Accounts of programs.
    pub(crate) accounts: IntGauge,
    /// Open links to other gateways.
    pub(crate) links: IntGauge,
    /// Targets on the board.
    pub(crate) targets: IntGauge,
    /// The version of the configuration in force.
    pub(crate) routing_version: IntGauge,
    /// Milliseconds since the store last answered, by duty.
    pub(crate) feed_age: prometheus::IntGaugeVec,
    /// Log lines that were dropped.
    pub(crate) dropped_lines: IntCounter,
}

impl GatewayMetrics {
    pub(crate) fn register(registry: &MetricsRegistry) -> Result<Self> {
        Ok(Self {
            calls: registry.counter_family(
                "gateway_calls_total",
                "Calls that ended, by outcome and verdict.",
                &["outcome", "run"],
            )?,
            refusals: registry.counter_family(
                "gateway_refusals_total",
                "Calls that the gateway answered itself, by code.",
                &["code"],
            )?,
            admissions: registry.counter_family(
                "gateway_admissions_total",
                "First turns of programs, by the decision on them.",
                &["decision"],
            )?,
            caller_limits: registry.counter_family(
                "gateway_caller_limits_total",
                "Connections and bodies of callers that were refused or closed to keep limits, by reason.",
                &["reason"],
            )?,
            caller_memory: registry.gauge(
                "gateway_caller_memory_bytes",
                "Bytes of memory that are charged for connections and bodies of callers.",
            )?,
            unauthorized: registry.counter_family(
                "gateway_unauthorized_total",
                "Calls that were refused for lack of a known key, by what their credential was.",
                &["credential"],
            )?,
            customer_calls: CustomerCalls::open(registry.counter_family(
                "gateway_customer_calls_total",
                "Calls that ended, by customer and outcome.",
                &["customer", "outcome"],
            )?),
            customer_faults: registry.counter_family(
                "gateway_customer_faults_total",
                "Parts of the list of customers that could not be used as they were written, by kind.",
                &["kind"],
            )?,
            attempts: registry.counter_family(
                "gateway_attempts_total",
                "Attempts at targets, by outcome.",
                &["outcome"],
            )?,
            queue_time: registry.latency_histogram(
                "gateway_queue_seconds",
                "Seconds from a call to its first target.",
            )?,
            first_bytes: registry.latency_histogram(
                "gateway_first_bytes_seconds",
                "Seconds from a call to the first bytes of its answer.",
            )?,
            store_calls: registry.counter_family(
                "gateway_store_calls_total",
                "Requests to the store, by duty and outcome.",
                &["duty", "outcome"],
            )?,
            covers: registry.counter_family(
                "gateway_covers_total",
                "Requests for cover of a program's turns, by what became of them.",
                &["outcome"],
            )?,
            turns: registry.counter_family(
                "gateway_turns_total",
                "Turns of kept conversations that were looked for or recorded, by what became of them.",
                &["outcome"],
            )?,
            conversation_bytes: registry.gauge(
                "gateway_conversation_bytes",
                "Bytes of kept conversations in memory.",
            )?,
            target_health: registry.counter_family(
                "gateway_target_health_total",
                "Changes of what the gateway believes of a target's health, by kind.",
                &["change"],
            )?,
            leaving: registry.counter_family(
                "gateway_leaving_total",
                "News of targets that leave, by where it came from.",
                &["source"],
            )?,
            limits: registry.counter_family(
                "gateway_target_limits_total",
                "Changes of the request rates to which targets limit all gateways, by kind.",
                &["change"],
            )?,
            target_spread: registry.gauge_family(
                "gateway_target_spread_percent",
                "Calls per slot, learned times of work and slow-downs over the targets of a service, in percent.",
                &["service", "figure", "statistic"],
            )?,
            load_faults: registry.counter_family(
                "gateway_load_faults_total",
                "Load reports of targets with figures that were ignored or bounded, by kind.",
                &["fault"],
            )?,
            permits: registry.counter_family(
                "gateway_permits_total",
                "Requests for permits to call limited targets, by outcome.",
                &["outcome"],
            )?,
            quota_tokens: registry.counter_family(
                "gateway_quota_tokens_total",
                "Tokens of customers' quotas, by customer and by what became of them.",
                &["customer", "event"],
            )?,
            quota_asks: registry.counter_family(
                "gateway_quota_asks_total",
                "Requests for tokens of customers' quotas, by outcome.",
                &["outcome"],
            )?,
            quota_roles: registry.counter_family(
                "gateway_quota_roles_total",
                "Changes of the gateway's role for the quota of a customer, by the new role.",
                &["role"],
            )?,
            limited_targets: registry.gauge(
                "gateway_limited_targets",
                "Targets that limit their request rate.",
            )?,
            target_fates: registry.counter_family(
                "gateway_target_fates_total",
                "Targets that broke off a call, by what became of them.",
                &["fate"],
            )?,
            resumptions: registry.counter_family(
                "gateway_resumptions_total",
                "Calls that resume a stream, by how its software version is known or why they were refused.",
                &["origin"],
            )?,
            streams: registry.gauge(
                "gateway_streams",
                "Streams whose software version is in memory.",
            )?,
            unrecorded_streams: registry.gauge(
                "gateway_unrecorded_streams",
                "Streams whose software version has to be recorded in the store and is not yet.",
            )?,
            crash_requests: registry.gauge(
                "gateway_crash_requests",
                "Requests under which targets ended, cleared ones included.",
            )?,
            memory: registry.gauge(
                "gateway_memory_bytes",
                "Bytes of memory that the process has resident.",
            )?,
            connections: registry.counter(
                "gateway_target_connections_total",
                "Connections opened to targets.",
            )?,
            open_calls: registry.gauge("gateway_open_calls", "Calls under way.")?,
            accounts: registry.gauge("gateway_accounts", "Accounts of programs.")?,
            links: registry.gauge("gateway_links", "Open links to other gateways.")?,
            targets: registry.gauge("gateway_targets", "Targets on the board.")?,
            routing_version: registry.gauge(
                "gateway_routing_version",
                "The version of the configuration in force.",
            )?,
            feed_age: registry.gauge_family(
                "gateway_feed_age_milliseconds",
                "Milliseconds since the store last answered, by duty.",
                &["duty"],
            )?,
            dropped_lines: registry
                .counter("gateway_log_lines_dropped_total", "Log lines that were left out.")?,
        })
    }
}
