//! Targets that announce in their answers that they are leaving.
//!
//! Such a notice takes precedence over the platform's list, which may be late or unavailable, and applies to one
//! incarnation of the target, that is, one run of its process. A notice is ignored in an answer to another call, which
//! may be a late one from an earlier connection, and in an answer with status 421, because another target than the
//! intended one sent it.

use std::rc::Rc;

use ebony_dialect::{AnswerHead, LeavingNotice};
use ebony_dispatch::{TargetIncarnation, TargetRecord};
use ebony_types::TargetName;
use http::StatusCode;
use slog::{info, warn};

use crate::decision_log::LineKind;
use crate::gateway::Gateway;

/// Where the gateway learned that a target is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LeavingSource {
    /// An answer of the target.
    Answer,
    /// Another gateway.
    Peer,
    /// The platform's list.
    Store,
}

impl LeavingSource {
    fn as_str(self) -> &'static str {
        match self {
            Self::Answer => "answer",
            Self::Peer => "peer",
            Self::Store => "store",
        }
    }
}

/// Applies a notice of leaving in the answer to a call, and forwards a new one to the other gateways.
pub(crate) fn apply_answer_notice(
    gateway: &Rc<Gateway>,
    record: &TargetRecord,
    call: Option<&str>,
    status: StatusCode,
    head: &AnswerHead,
) {
    let Some(notice) = head.leaving else { return };
    if head.call.as_deref() != call || status == StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    match notice {
        LeavingNotice::Leaves => {
            let is_new = record_leaving(gateway, &record.name, record.incarnation(), LeavingSource::Answer);
            if is_new {
                gateway
                    .links
                    .broadcast_leaving(&record.name, record.incarnation());
            }
        }
        LeavingNotice::Unreadable => {
            gateway.metrics.leaving.with_label_values(&["unreadable"]).inc();
            if gateway.decisions.admits(LineKind::State) {
                warn!(gateway.logger, "a target's notice of leaving cannot be read";
                    "target" => record.name.as_str(), "call" => call);
            }
        }
    }
}

/// Records that an incarnation of a target is leaving. Returns whether that is new.
pub(crate) fn record_leaving(
    gateway: &Gateway,
    name: &TargetName,
    incarnation: TargetIncarnation,
    source: LeavingSource,
) -> bool {
    let is_new = gateway.board.borrow_mut().record_leaving(name, incarnation);
    if is_new {
        log_and_count(gateway, name, incarnation, source);
    }
    is_new
}

/// Logs and counts a target that is leaving.
pub(crate) fn log_and_count(
    gateway: &Gateway,
    name: &TargetName,
    incarnation: TargetIncarnation,
    source: LeavingSource,
) {
    gateway
        .metrics
        .leaving
        .with_label_values(&[source.as_str()])
        .inc();
    if gateway.decisions.admits(LineKind::State) {
        info!(gateway.logger, "target is leaving";
            "target" => name.as_str(), "life" => incarnation.born, "source" => source.as_str());
    }
}
