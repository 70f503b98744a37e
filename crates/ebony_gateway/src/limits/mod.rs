//! Targets that limit the rate of requests that all gateways together send them.
//!
//! A target in need names the limit in all its answers. As with notices of leaving, an answer to another call and one
//! with status 421 show nothing about the target. A gateway that learns of a change from an answer tells all others,
//! and [`permits`] divides the limit among them.

mod patience;
pub(crate) mod permits;
pub(crate) mod report;

use std::rc::Rc;
use std::time::Duration;

use ebony_dialect::{AnswerHead, LimitNotice};
use ebony_dispatch::{TargetIncarnation, TargetRecord};
use ebony_limit::{LimitChange, LimitObservation, RequestRate};
use ebony_types::{ClockTime, ServiceName, TargetName};
use http::StatusCode;
use slog::{info, warn};

use permits::RoleOf;
use report::LimitReport;

use crate::decision_log::LineKind;
use crate::gateway::Gateway;

/// The maximum number of reports in one frame. They take about 10 KB.
const MAX_FRAME_REPORTS: usize = 64;

/// How long the permits of a target are remembered after the last request for one. An even share of a low limit among
/// hundreds of gateways is one request in some minutes.
const UNUSED_PERMITS_RETENTION: Duration = Duration::from_secs(10 * 60);

/// The minimum `Retry-After` of a call without a permit: a round trip of the caller.
const MIN_RETURN_DELAY: Duration = Duration::from_millis(20);

/// The mean `Retry-After` while more callers are expected back than permits are due.
const CROWDED_RETURN_DELAY: Duration = Duration::from_secs(1);

/// Where the gateway learned of a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LimitSource {
    /// An answer of the target.
    Answer,
    /// Another gateway.
    Peer,
}

impl LimitSource {
    fn as_str(self) -> &'static str {
        match self {
            Self::Answer => "answer",
            Self::Peer => "peer",
        }
    }
}

/// Applies what the answer to a call shows of its target's limit. `sent_at` is when the call was sent.
pub(crate) fn apply_answer_limit(
    gateway: &Rc<Gateway>,
    record: &TargetRecord,
    call: Option<&str>,
    status: StatusCode,
    head: &AnswerHead,
    sent_at: ClockTime,
) {
    if head.call.as_deref() != call || status == StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    let rate = match head.limit {
        Some(LimitNotice::Limited(rate)) => Some(rate),
        Some(LimitNotice::Unreadable) => {
            gateway.metrics.limits.with_label_values(&["unreadable"]).inc();
            if gateway.decisions.admits(LineKind::State) {
                warn!(gateway.logger, "a target's limit cannot be read; the last one stays in force";
                    "target" => record.name.as_str(), "call" => call);
            }
            return;
        }
        // Without its marks, the answer may not be the target's own.
        None if head.has_server_stamp || head.is_not_run => None,
        None => return,
    };
    let observation = LimitObservation {
        rate,
        sent_at,
        received_at: gateway.clock.now(),
    };
    let incarnation = record.incarnation();
    if observe(
        gateway,
        &record.name,
        incarnation,
        observation,
        LimitSource::Answer,
    ) {
        let now = gateway.clock.now();
        let report = LimitReport::of(&record.name, incarnation, observation, now);
        gateway.links.broadcast_limit(report);
    }
}

/// Applies another gateway's report.
pub(crate) fn observe_report(gateway: &Gateway, report: &LimitReport) {
    let observation = report.observation(gateway.clock.now());
    observe(
        gateway,
        &report.target,
        report.incarnation(),
        observation,
        LimitSource::Peer,
    );
}

/// Tells newly linked gateways the limits of the targets whose permits this gateway issued before they were linked.
pub(crate) fn send_all(gateway: &Gateway, peers: &[String]) {
    let now = gateway.clock.now();
    let known = gateway.board.borrow().limit_observations();
    let issued = known
        .into_iter()
        .filter(|(name, ..)| is_issuer(gateway, name, peers));
    let reports: Vec<LimitReport> = issued
        .map(|(name, incarnation, observation)| LimitReport::of(&name, incarnation, observation, now))
        .collect();
    for part in reports.chunks(MAX_FRAME_REPORTS) {
        for peer in peers {
            gateway.links.send_limits(peer, part);
        }
    }
}

fn is_issuer(gateway: &Gateway, target: &TargetName, newly_linked: &[String]) -> bool {
    let role = gateway.links.division_role_without(target, newly_linked);
    matches!(role, RoleOf::Issuer(_))
}

/// Returns the `Retry-After` of a call for which no target of the service has a permit in time. `wait` is the time until
/// one may be due.
pub(crate) fn return_delay(gateway: &Gateway, service: &ServiceName, wait: Duration) -> Duration {
    let rate = gateway.board.borrow().limited_rate(service);
    let spacing = rate.share_of(gateway.links.gateways()).interval();
    let now = gateway.clock.now();
    let mut returns = gateway.returns.borrow_mut();
    let schedule = returns.entry(service.clone()).or_default();
    let delay = schedule.delay(now, wait.max(MIN_RETURN_DELAY), spacing);
    delay.unwrap_or_else(|| gateway.jittered(CROWDED_RETURN_DELAY))
}

/// Drops what is known of the limits and permits of targets that are gone.
pub(crate) fn expire(gateway: &Gateway) {
    let now = gateway.clock.now();
    gateway.board.borrow_mut().expire_limits(now);
    gateway.permits.borrow_mut().expire(now, UNUSED_PERMITS_RETENTION);
}

/// Records an observation. Returns whether the limit in force changed.
fn observe(
    gateway: &Gateway,
    name: &TargetName,
    incarnation: TargetIncarnation,
    observation: LimitObservation,
    source: LimitSource,
) -> bool {
    let change = gateway
        .board
        .borrow_mut()
        .observe_limit(name, incarnation, observation);
    let (kind, before, rate) = match change {
        LimitChange::Confirmed | LimitChange::Outdated => return false,
        LimitChange::Begun(rate) => ("begun", None, Some(rate)),
        LimitChange::Changed { before, rate } => ("changed", Some(before), Some(rate)),
        LimitChange::Ended { before } => ("ended", Some(before), None),
    };
    gateway.metrics.limits.with_label_values(&[kind]).inc();
    if gateway.decisions.admits(LineKind::State) {
        let age = gateway.clock.now().since(observation.received_at);
        info!(gateway.logger, "limit of a target changed";
            "target" => name.as_str(), "life" => incarnation.born, "change" => kind,
            "rate" => rate.map(RequestRate::as_per_second), "before" => before.map(RequestRate::as_per_second),
            "source" => source.as_str(), "age_ms" => age.as_millis() as u64);
    }
    true
}
