//! Targets that say in their answers that they leave.
//!
//! The notice of a target goes before the platform's list, which may be late or out of reach, and holds for one life of the
//! target. It is believed in an answer to the call that was sent: an answer of another call may have come late from an earlier
//! connection, and one that says that the call met another target is not from the one that was meant.

use std::rc::Rc;

use ebony_dialect::{AnswerHead, LeavingNotice};
use ebony_dispatch::{TargetLife, TargetRecord};
use ebony_types::TargetName;
use http::StatusCode;
use slog::{info, warn};

use crate::decision_log::LineKind;
use crate::gateway::Gateway;

/// Where the news that a target leaves came from.
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

/// Heeds what the answer to a call says of its target.
pub(crate) fn heed_answer(
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
            let is_news = note(gateway, &record.name, record.life(), LeavingSource::Answer);
            if is_news {
                gateway.links.tell_all_leaving(&record.name, record.life());
            }
        }
        LeavingNotice::Unreadable => {
            gateway.metrics.leaving.with_label_values(&["unreadable"]).inc();
            if gateway.decisions.admits(LineKind::Belief) {
                warn!(gateway.logger, "a target's notice of leaving is not understood";
                    "target" => record.name.as_str(), "call" => call);
            }
        }
    }
}

/// Notes that a life of a target leaves. Returns whether that was not known.
pub(crate) fn note(gateway: &Gateway, name: &TargetName, life: TargetLife, source: LeavingSource) -> bool {
    let is_news = gateway.board.borrow_mut().leave(name, life);
    if is_news {
        log(gateway, name, life, source);
    }
    is_news
}

/// Writes a line on a target that leaves, and counts it.
pub(crate) fn log(gateway: &Gateway, name: &TargetName, life: TargetLife, source: LeavingSource) {
    gateway
        .metrics
        .leaving
        .with_label_values(&[source.as_str()])
        .inc();
    if gateway.decisions.admits(LineKind::Belief) {
        info!(gateway.logger, "target is leaving";
            "target" => name.as_str(), "life" => life.born, "source" => source.as_str());
    }
}
