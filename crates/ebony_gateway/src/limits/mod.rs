//! Targets that limit the rate of requests that all gateways together send them.
//!
//! A target in need names the limit in all its answers. As with notices of leaving, an answer to another call and one
//! with status 421 show nothing about the target.

use std::rc::Rc;

use ebony_dialect::{AnswerHead, LimitNotice};
use ebony_dispatch::{TargetIncarnation, TargetRecord};
use ebony_limit::{LimitChange, LimitObservation, RequestRate};
use ebony_types::{ClockTime, TargetName};
use http::StatusCode;
use slog::{info, warn};

use crate::decision_log::LineKind;
use crate::gateway::Gateway;

/// Where the gateway learned of a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LimitSource {
    /// An answer of the target.
    Answer,
}

impl LimitSource {
    fn as_str(self) -> &'static str {
        match self {
            Self::Answer => "answer",
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
    observe(
        gateway,
        &record.name,
        record.incarnation(),
        observation,
        LimitSource::Answer,
    );
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
