//! Permits for calls to limited targets.
//!
//! One gateway issues the permits of a target to all others; see [`ebony_limit::division_role`]. A call asks it over a
//! link, which costs two short messages, however many gateways there are. A gateway that gets no answer keeps to an even
//! share of the limit.

use std::rc::Rc;
use std::time::Duration;

use ebony_dispatch::TargetRecord;
use ebony_limit::{DivisionRole, LimitPart, LimitedTarget, PermitDecision};
use ebony_types::TargetName;
use slog::info;

use super::report::{LimitReport, PermitReply};
use crate::decision_log::LineKind;
use crate::gateway::Gateway;

/// The number of gateways that are asked for one permit: the coordinator, and the one that acts for it if it does not
/// answer.
const MAX_ASKED_GATEWAYS: usize = 2;

/// The permit of one call that has not been sent. It is returned to its issuer if it is dropped.
pub(crate) struct CallPermit {
    /// `None` once the permit is used.
    grant: Option<PermitGrant>,
}

/// The permit of a call that may have reached its target.
pub(crate) struct UsedPermit {
    grant: PermitGrant,
}

struct PermitGrant {
    gateway: Rc<Gateway>,
    target: TargetName,
    born: u64,
    /// The gateway that issued it; `None` for this one.
    issuer: Option<String>,
}

impl CallPermit {
    /// Records that the call is sent now.
    pub(crate) fn mark_used(mut self) -> Option<UsedPermit> {
        self.grant.take().map(|grant| UsedPermit { grant })
    }
}

impl Drop for CallPermit {
    fn drop(&mut self) {
        if let Some(grant) = self.grant.take() {
            grant.put_back();
        }
    }
}

impl UsedPermit {
    /// Returns the permit to its issuer after nothing of the call was sent.
    pub(crate) fn put_back(self) {
        self.grant.put_back();
    }
}

impl PermitGrant {
    fn put_back(self) {
        match &self.issuer {
            None => put_back(&self.gateway, &self.target, self.born),
            Some(issuer) => self.gateway.links.return_permit(issuer, &self.target, self.born),
        }
    }
}

/// The result of asking for a permit.
pub(crate) enum PermitOutcome {
    /// The call may be sent after a wait.
    Granted(CallPermit, Duration),
    /// The next permit is due after this time.
    Denied(Duration),
}

/// Asks for a permit for a call that waits `max_wait` at most. Returns `None` if the target has no limit.
pub(crate) async fn take(
    gateway: &Rc<Gateway>,
    record: &TargetRecord,
    max_wait: Duration,
) -> Option<PermitOutcome> {
    for _ in 0..MAX_ASKED_GATEWAYS {
        // The limit may end while the gateway waits for an answer.
        let report = known_limit(gateway, record)?;
        let issuer = match gateway.links.division_role(&record.name) {
            RoleOf::Issuer(part) => {
                return Some(issue(gateway, &report, part, max_wait));
            }
            RoleOf::Asker(issuer) => issuer,
        };
        match gateway.links.take_permit(&issuer, report, max_wait, false).await {
            Some(PermitReply::Granted { wait_us }) => {
                count(gateway, "granted_by_peer");
                let permit = permit(gateway, &record.name, record.born, Some(issuer));
                return Some(PermitOutcome::Granted(permit, Duration::from_micros(wait_us)));
            }
            Some(PermitReply::Denied { wait_us }) => {
                count(gateway, "denied_by_peer");
                return Some(PermitOutcome::Denied(Duration::from_micros(wait_us)));
            }
            Some(PermitReply::Unavailable) | None => count(gateway, "unanswered"),
        }
    }
    let report = known_limit(gateway, record)?;
    let part = LimitPart::Share(gateway.links.gateways());
    Some(issue(gateway, &report, part, max_wait))
}

fn known_limit(gateway: &Gateway, record: &TargetRecord) -> Option<LimitReport> {
    let incarnation = record.incarnation();
    let board = gateway.board.borrow();
    let observation = board.latest_limit(&record.name, incarnation)?;
    observation.rate?;
    let now = gateway.clock.now();
    Some(LimitReport::of(&record.name, incarnation, observation, now))
}

/// Issues a permit for a call of this gateway.
fn issue(gateway: &Rc<Gateway>, report: &LimitReport, part: LimitPart, max_wait: Duration) -> PermitOutcome {
    match decide(gateway, report, part, max_wait) {
        PermitDecision::Granted { wait } => {
            count(gateway, "granted");
            let permit = permit(gateway, &report.target, report.born, None);
            PermitOutcome::Granted(permit, wait)
        }
        PermitDecision::Denied { wait } => {
            count(gateway, "denied");
            PermitOutcome::Denied(wait)
        }
    }
}

fn permit(gateway: &Rc<Gateway>, target: &TargetName, born: u64, issuer: Option<String>) -> CallPermit {
    let grant = PermitGrant {
        gateway: Rc::clone(gateway),
        target: target.clone(),
        born,
        issuer,
    };
    CallPermit { grant: Some(grant) }
}

/// Decides on a permit from a part of the limit that this gateway issues.
fn decide(gateway: &Gateway, report: &LimitReport, part: LimitPart, max_wait: Duration) -> PermitDecision {
    let Some(rate) = report.rate else {
        return PermitDecision::Granted { wait: Duration::ZERO };
    };
    let target = LimitedTarget {
        name: report.target.clone(),
        born: report.born,
        rate,
    };
    let mut desk = gateway.permits.borrow_mut();
    let taken = desk.take(&target, part, gateway.clock.now(), max_wait);
    if taken.has_new_part && gateway.decisions.admits(LineKind::State) {
        info!(gateway.logger, "permits of a limited target";
            "target" => target.name.as_str(), "life" => target.born, "limit" => rate.as_per_second(),
            "part" => part.as_str(), "rate" => part.of(rate).as_per_second());
    }
    taken.decision
}

/// Answers another gateway's request for a permit. A gateway that does not coordinate the target asks the coordinator,
/// which the other one may not know yet.
pub(crate) async fn take_for_peer(
    gateway: &Rc<Gateway>,
    report: &LimitReport,
    max_wait: Duration,
    is_relayed: bool,
) -> PermitReply {
    super::observe_report(gateway, report);
    let incarnation = report.incarnation();
    // This gateway may have learned of a change since.
    let latest = gateway.board.borrow().latest_limit(&report.target, incarnation);
    let now = gateway.clock.now();
    let report = match latest {
        Some(latest) => LimitReport::of(&report.target, incarnation, latest, now),
        None => report.clone(),
    };
    for _ in 0..MAX_ASKED_GATEWAYS {
        let coordinator = match gateway.links.division_role(&report.target) {
            // An even share is for the gateway's own calls only.
            RoleOf::Issuer(LimitPart::Share(_)) => return PermitReply::Unavailable,
            RoleOf::Issuer(part) => {
                return match decide(gateway, &report, part, max_wait) {
                    PermitDecision::Granted { wait } => PermitReply::granted(wait),
                    PermitDecision::Denied { wait } => PermitReply::denied(wait),
                };
            }
            RoleOf::Asker(coordinator) => coordinator,
        };
        if is_relayed {
            return PermitReply::Unavailable;
        }
        let relayed = gateway
            .links
            .take_permit(&coordinator, report.clone(), max_wait, true);
        if let Some(reply) = relayed.await {
            return reply;
        }
    }
    PermitReply::Unavailable
}

/// Takes back a permit whose call was not sent.
pub(crate) fn put_back(gateway: &Gateway, target: &TargetName, born: u64) {
    count(gateway, "returned");
    gateway.permits.borrow_mut().put_back(target, born);
}

fn count(gateway: &Gateway, outcome: &str) {
    gateway.metrics.permits.with_label_values(&[outcome]).inc();
}

/// The role of this gateway for one target.
pub(crate) enum RoleOf {
    /// It issues this part of the limit.
    Issuer(LimitPart),
    /// It asks another gateway.
    Asker(String),
}

impl From<DivisionRole<'_>> for RoleOf {
    fn from(role: DivisionRole<'_>) -> Self {
        match role {
            DivisionRole::Issues(part) => Self::Issuer(part),
            DivisionRole::Asks(peer) => Self::Asker(peer.to_owned()),
        }
    }
}
