//! The requests that were running when targets crashed, as far as this gateway knows, and their exchange with others.
//!
//! [`CrashTracker`] decides which requests are refused, by the same rules at every gateway. A gateway sends the crashes
//! that it detects to the others over links at once, and stores them for gateways that are not linked or start later.

use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;

use ebony_ledger::{CrashPolicy, CrashSite, CrashStanding, CrashTracker};
use ebony_platform::{FeedRow, PlatformError, TableService, WriteNonce};
use ebony_types::{ClockTime, ProblemCode, ProcessIncarnation, RequestDigest, TargetName};
use ebony_wire::CrashReport;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use slog::{info, warn};
use tokio::sync::Notify;
use tokio::time::sleep;

use super::RequestFingerprint;
use super::rows::{self, CrashRow, decode_row};
use crate::decision_log::{DecisionLog, LineKind};
use crate::fleet::FleetView;
use crate::gateway::GatewayClock;
use crate::links::PeerLinks;
use crate::metrics::GatewayMetrics;
use crate::refusal::{CallRefusal, Result};

/// The maximum number of tracked requests. A crash adds all requests that ran on the target; those with the fewest
/// crashes are evicted.
const MAX_TRACKED_REQUESTS: usize = 1_024;

/// A gateway does not know which requests of others run on a target, so it cannot run a suspect alone. A request is
/// refused after three crashes, which hardly ever happen to one that only ran beside the request at fault. The first
/// hold is longer than callers keep retrying.
const CRASH_POLICY: CrashPolicy = CrashPolicy {
    max_crashes: 3,
    first_hold: Duration::from_secs(30),
};

/// How long after the start of a trial no other trial of the request starts: the longest call of the deployments, plus
/// the time to detect the crash of its target.
const TRIAL_DURATION: Duration = Duration::from_secs(10);

/// The `Retry-After` of a request whose trial is running, or is the duty of another gateway.
const TRIAL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The delay before the next write to the store after a failed one.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// The maximum number of reports in one frame. With eight crashes each they take 60 KB.
const MAX_FRAME_REPORTS: usize = 64;

/// How a call may run, given the crashes of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CrashPermit {
    /// Like any other call.
    Unrestricted,
    /// On one target only, to find out whether that target crashes as well.
    Trial,
}

/// Where the gateway learned of crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CrashSource {
    /// This gateway detected them.
    Own,
    /// Another gateway reported them over a link.
    Peer,
    /// A row of the store.
    Store,
}

impl CrashSource {
    fn as_str(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Peer => "peer",
            Self::Store => "store",
        }
    }
}

/// The crashes that this gateway knows of, and the requests that it refuses for them.
pub(crate) struct CrashRegistry {
    tracker: RefCell<CrashTracker>,
    /// Requests whose crashes this gateway detected or cleared, and records in its row. Bounded by the tracker.
    own_requests: RefCell<BTreeSet<RequestDigest>>,
    /// Running trials, and when each counts as over. Bounded by the requests that are refused.
    trials: RefCell<HashMap<RequestDigest, ClockTime>>,
    row: CrashRow,
    /// Notified when the row has to be written.
    row_due: Notify,
    fleet: Rc<FleetView>,
    links: Rc<PeerLinks>,
    clock: GatewayClock,
    random: RefCell<StdRng>,
    decisions: Rc<DecisionLog>,
    metrics: Rc<GatewayMetrics>,
}

impl CrashRegistry {
    pub(crate) fn open(
        store: Rc<dyn TableService>,
        fleet: Rc<FleetView>,
        links: Rc<PeerLinks>,
        clock: GatewayClock,
        decisions: Rc<DecisionLog>,
        metrics: Rc<GatewayMetrics>,
    ) -> Rc<Self> {
        Rc::new(Self {
            tracker: RefCell::new(CrashTracker::with_policy(MAX_TRACKED_REQUESTS, CRASH_POLICY)),
            own_requests: RefCell::default(),
            trials: RefCell::default(),
            row: CrashRow::open(store, fleet.process()),
            row_due: Notify::new(),
            fleet,
            links,
            clock,
            random: RefCell::new(StdRng::from_os_rng()),
            decisions,
            metrics,
        })
    }

    /// Decides whether a request may run.
    ///
    /// Only one gateway tries a request that is due for a trial, so that the trial puts only one target at risk.
    ///
    /// # Errors
    ///
    /// Refuses a request that was running on too many targets when they crashed.
    pub(crate) fn admit(&self, fingerprint: &RequestFingerprint) -> Result<CrashPermit> {
        let now = self.clock.now();
        let tracker = self.tracker.borrow();
        if !tracker.has_suspects() {
            return Ok(CrashPermit::Unrestricted);
        }
        let digest = fingerprint.digest();
        match tracker.standing(digest, now) {
            CrashStanding::Clear | CrashStanding::Suspect => Ok(CrashPermit::Unrestricted),
            CrashStanding::Refused => Err(refusal(tracker.hold_left(digest, now))),
            CrashStanding::DueForTrial if self.begin_trial(digest, now) => Ok(CrashPermit::Trial),
            CrashStanding::DueForTrial => Err(refusal(TRIAL_RETRY_AFTER)),
        }
    }

    /// Returns whether a request that was admitted may still be sent to a target.
    pub(crate) fn may_send(&self, fingerprint: &RequestFingerprint, permit: CrashPermit) -> bool {
        let tracker = self.tracker.borrow();
        if !tracker.has_suspects() {
            return true;
        }
        match tracker.standing(fingerprint.digest(), self.clock.now()) {
            CrashStanding::Clear | CrashStanding::Suspect => true,
            CrashStanding::Refused => false,
            CrashStanding::DueForTrial => permit == CrashPermit::Trial,
        }
    }

    fn begin_trial(&self, digest: RequestDigest, now: ClockTime) -> bool {
        let mut trials = self.trials.borrow_mut();
        trials.retain(|_, end| *end > now);
        if trials.contains_key(&digest) || !self.fleet.owns(&digest.to_string()) {
            return false;
        }
        trials.insert(digest, now + TRIAL_DURATION);
        if self.decisions.admits(LineKind::State) {
            info!(self.decisions.logger, "request is tried again"; "request" => digest.short());
        }
        true
    }

    /// Records that a target crashed while requests ran there.
    pub(crate) fn record_target_crash(
        &self,
        target: &TargetName,
        born: u64,
        suspects: &BTreeSet<RequestDigest>,
    ) {
        let now = self.clock.now();
        let mut incarnation = [0; 16];
        incarnation[8..].copy_from_slice(&born.to_be_bytes());
        let site = CrashSite {
            target: target.clone(),
            incarnation: ProcessIncarnation::from_bytes(incarnation),
        };
        let before = self.refused(suspects.iter().copied());
        for digest in suspects {
            let mut tracker = self.tracker.borrow_mut();
            tracker.record_crash(*digest, site.clone(), now);
        }
        self.log_newly_refused(&before, suspects.iter().copied(), CrashSource::Own);
        self.row_due.notify_one();
        self.publish(suspects);
    }

    /// Records that a request was completed and its target did not crash.
    pub(crate) fn record_completion(&self, fingerprint: &RequestFingerprint) {
        if !self.tracker.borrow().has_suspects() {
            return;
        }
        let digest = fingerprint.digest();
        let cleared = self.tracker.borrow_mut().record_completion(digest);
        if cleared == 0 {
            return;
        }
        if self.decisions.admits(LineKind::State) {
            info!(self.decisions.logger, "request is cleared";
                "request" => digest.short(), "crashes" => cleared);
        }
        // Below the limit of crashes, an outdated row only marks the request as a suspect, which runs like any other.
        if cleared >= CRASH_POLICY.max_crashes {
            self.row_due.notify_one();
        }
        self.publish(&BTreeSet::from([digest]));
    }

    /// Merges reports of another gateway or of the store.
    pub(crate) fn merge_reports(&self, reports: &[CrashReport], source: CrashSource) {
        let digests = || reports.iter().map(|report| report.digest);
        let before = self.refused(digests());
        self.tracker.borrow_mut().merge(reports, self.clock.now());
        self.log_newly_refused(&before, digests(), source);
        self.update_gauge();
    }

    /// Merges the crash rows among rows of the table that gateways share.
    pub(crate) fn apply_rows(&self, feed: &[FeedRow]) {
        for row in feed {
            let Some(owner) = rows::row_owner(&row.key) else {
                continue;
            };
            let is_own = owner == self.fleet.process();
            let Some(value) = &row.value else {
                if is_own {
                    self.renew_row();
                }
                continue;
            };
            match decode_row(value) {
                Ok(reports) => {
                    if is_own {
                        // An earlier process of this gateway may have written the row.
                        let digests = reports.iter().map(|report| report.digest);
                        self.own_requests.borrow_mut().extend(digests);
                    }
                    self.merge_reports(&reports, CrashSource::Store);
                }
                Err(error) => warn!(self.decisions.logger, "the crashes of a gateway cannot be read";
                    "gateway" => owner, "error" => %error),
            }
        }
    }

    /// Sends all reports to gateways that were just linked.
    pub(crate) fn send_all(&self, peers: &[String]) {
        let reports = self.tracker.borrow().reports(self.clock.now());
        for part in reports.chunks(MAX_FRAME_REPORTS) {
            for peer in peers {
                self.links.send_crashes(peer, part);
            }
        }
    }

    /// Drops crashes that have expired.
    pub(crate) fn expire(&self) {
        let mut tracker = self.tracker.borrow_mut();
        if !tracker.is_empty() {
            tracker.expire(self.clock.now());
            drop(tracker);
            self.update_gauge();
        }
    }

    /// Writes the row of this gateway after each change, and repeats a failed write until it succeeds.
    pub(crate) async fn maintain_row(self: Rc<Self>) {
        loop {
            self.row_due.notified().await;
            let mut is_lost = false;
            while let Err(error) = self.write_row().await {
                if !std::mem::replace(&mut is_lost, true) {
                    warn!(self.decisions.logger, "crashes are not recorded"; "error" => %error);
                }
                sleep(RETRY_DELAY).await;
            }
            if is_lost {
                info!(self.decisions.logger, "crashes are recorded again");
            }
        }
    }

    async fn write_row(&self) -> Result<(), PlatformError> {
        let earlier = self.row.read_unknown().await?;
        let digests = earlier.iter().map(|report| report.digest);
        self.own_requests.borrow_mut().extend(digests);
        self.merge_reports(&earlier, CrashSource::Store);
        let nonce = WriteNonce(self.random.borrow_mut().random());
        self.row.write(self.own_reports(), nonce).await
    }

    fn own_reports(&self) -> Vec<CrashReport> {
        let mut reports = self.tracker.borrow().reports(self.clock.now());
        let mut own = self.own_requests.borrow_mut();
        reports.retain(|report| own.contains(&report.digest) && is_relevant_to_peers(report));
        // Drops requests that were cleared or evicted.
        *own = reports.iter().map(|report| report.digest).collect();
        reports
    }

    /// Schedules a write of the row after a sweep removed it for its age.
    fn renew_row(&self) {
        self.row.clear_version();
        if !self.own_reports().is_empty() {
            self.row_due.notify_one();
        }
    }

    /// Sends the reports of requests to the linked gateways after this one detected or cleared crashes.
    fn publish(&self, digests: &BTreeSet<RequestDigest>) {
        self.own_requests.borrow_mut().extend(digests);
        let mut reports = self.tracker.borrow().reports(self.clock.now());
        reports.retain(|report| digests.contains(&report.digest));
        for part in reports.chunks(MAX_FRAME_REPORTS) {
            self.links.broadcast_crashes(part);
        }
        self.update_gauge();
    }

    /// Returns those of the requests that are refused at present.
    fn refused(&self, digests: impl Iterator<Item = RequestDigest>) -> BTreeSet<RequestDigest> {
        let (tracker, now) = (self.tracker.borrow(), self.clock.now());
        let is_refused = |digest: &RequestDigest| tracker.standing(*digest, now) == CrashStanding::Refused;
        digests.filter(is_refused).collect()
    }

    /// Logs the requests that are refused now and were not `before`.
    fn log_newly_refused(
        &self,
        before: &BTreeSet<RequestDigest>,
        digests: impl Iterator<Item = RequestDigest>,
        source: CrashSource,
    ) {
        let now = self.clock.now();
        for digest in self.refused(digests).difference(before) {
            if self.decisions.admits(LineKind::State) {
                let tracker = self.tracker.borrow();
                warn!(self.decisions.logger, "request is held"; "request" => digest.short(),
                    "crashes" => tracker.crashes(*digest, now),
                    "hold_ms" => tracker.hold_left(*digest, now).as_millis() as u64, "source" => source.as_str());
            }
        }
    }

    fn update_gauge(&self) {
        let requests = i64::try_from(self.tracker.borrow().len()).unwrap_or(i64::MAX);
        self.metrics.crash_requests.set(requests);
    }
}

/// Returns whether other gateways need the report of a request: it is a suspect, or it was cleared after others may
/// have refused it.
fn is_relevant_to_peers(report: &CrashReport) -> bool {
    report.sites.len() >= CRASH_POLICY.max_crashes || report.sites.iter().any(|site| !site.is_cleared)
}

/// Returns the refusal of a request that may be retried after `hold`.
fn refusal(hold: Duration) -> CallRefusal {
    CallRefusal::not_run(ProblemCode::RequestHeld, REQUEST_HELD_DETAIL).retry_after(hold)
}

/// The detail that callers get when their request is refused for its crashes.
pub(crate) const REQUEST_HELD_DETAIL: &str = "several targets ended while they ran this request";
