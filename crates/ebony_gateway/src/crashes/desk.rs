//! What this gateway knows of requests under which targets ended, and what it tells others of them.
//!
//! Which requests are refused follows from [`CrashTracker`], the same at every gateway. What one notices goes to the others
//! over links at once, and into the store for those that are not linked or start later.

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

use super::RequestMark;
use super::rows::{self, CrashRow, decode_row};
use crate::decision_log::{DecisionLog, LineKind};
use crate::fleet::FleetView;
use crate::gateway::GatewayClock;
use crate::links::PeerLinks;
use crate::metrics::GatewayMetrics;
use crate::refusal::{CallRefusal, Result};

/// Requests that are tracked. An end of a target adds as many as ran there; those with the fewest crashes make room.
const MOST_REQUESTS: usize = 1_024;

/// Gateways do not see what others have running on a target, so that suspects cannot run alone. A request is refused after
/// three crashes, which one that only ran beside another at fault hardly sees, and longer than callers of today try again.
const POLICY: CrashPolicy = CrashPolicy {
    most_crashes: 3,
    first_hold: Duration::from_secs(30),
};

/// How long after the start of a trial no other one starts: the longest call of today's deployments, and the time in which
/// the end of its target is noticed.
const TRIAL_TIME: Duration = Duration::from_secs(10);

/// The time after which a request may come back whose trial is under way, or falls to another gateway.
const TRIAL_PAUSE: Duration = Duration::from_secs(1);

/// The pause before the store is asked again after a failure.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Reports in one frame. With eight crashes each they take 60 KB.
const FRAME_REPORTS: usize = 64;

/// How a call may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CrashPermit {
    /// As any other.
    Free,
    /// At one target, to find out whether it ends as well.
    Trial,
}

/// Where crashes were heard of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CrashSource {
    /// This gateway noticed them.
    Own,
    /// Another gateway told of them.
    Peer,
    /// They stood in the store.
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

/// The crashes that this gateway knows of.
pub(crate) struct CrashDesk {
    tracker: RefCell<CrashTracker>,
    /// Requests whose crashes this gateway noticed or cleared. Its row tells of them. Bounded by the tracker.
    own: RefCell<BTreeSet<RequestDigest>>,
    /// Trials under way, and when each counts as over. Bounded by the requests that are refused.
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

impl CrashDesk {
    pub(crate) fn open(
        store: Rc<dyn TableService>,
        fleet: Rc<FleetView>,
        links: Rc<PeerLinks>,
        clock: GatewayClock,
        decisions: Rc<DecisionLog>,
        metrics: Rc<GatewayMetrics>,
    ) -> Rc<Self> {
        Rc::new(Self {
            tracker: RefCell::new(CrashTracker::with_policy(MOST_REQUESTS, POLICY)),
            own: RefCell::default(),
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
    /// Of all gateways one tries a request that is due for a trial, so that one target is at stake.
    ///
    /// # Errors
    ///
    /// Refuses a request under which too many targets ended.
    pub(crate) fn admit(&self, mark: &RequestMark) -> Result<CrashPermit> {
        let now = self.clock.now();
        let tracker = self.tracker.borrow();
        if !tracker.has_suspects() {
            return Ok(CrashPermit::Free);
        }
        let digest = mark.digest();
        match tracker.standing(digest, now) {
            CrashStanding::Clear | CrashStanding::Suspect => Ok(CrashPermit::Free),
            CrashStanding::Refused => Err(refusal(tracker.hold_left(digest, now))),
            CrashStanding::DueForTrial if self.begin_trial(digest, now) => Ok(CrashPermit::Trial),
            CrashStanding::DueForTrial => Err(refusal(TRIAL_PAUSE)),
        }
    }

    /// Returns whether a request that was admitted may be sent to a target still.
    pub(crate) fn may_send(&self, mark: &RequestMark, permit: CrashPermit) -> bool {
        let tracker = self.tracker.borrow();
        if !tracker.has_suspects() {
            return true;
        }
        match tracker.standing(mark.digest(), self.clock.now()) {
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
        trials.insert(digest, now + TRIAL_TIME);
        if self.decisions.admits(LineKind::Belief) {
            info!(self.decisions.logger, "request is tried again"; "request" => digest.short());
        }
        true
    }

    /// Notes that a target ended while requests ran there.
    pub(crate) fn record_end(&self, target: &TargetName, born: u64, suspects: &BTreeSet<RequestDigest>) {
        let now = self.clock.now();
        let mut incarnation = [0; 16];
        incarnation[8..].copy_from_slice(&born.to_be_bytes());
        let site = CrashSite {
            target: target.clone(),
            incarnation: ProcessIncarnation::from_bytes(incarnation),
        };
        let before = self.held(suspects.iter().copied());
        for digest in suspects {
            let mut tracker = self.tracker.borrow_mut();
            tracker.record_crash(*digest, site.clone(), now);
        }
        self.log_held(&before, suspects.iter().copied(), CrashSource::Own);
        self.row_due.notify_one();
        self.tell(suspects);
    }

    /// Notes that a request ran to its end and its target went on.
    pub(crate) fn record_whole(&self, mark: &RequestMark) {
        if !self.tracker.borrow().has_suspects() {
            return;
        }
        let digest = mark.digest();
        let cleared = self.tracker.borrow_mut().record_completion(digest);
        if cleared == 0 {
            return;
        }
        if self.decisions.admits(LineKind::Belief) {
            info!(self.decisions.logger, "request is cleared";
                "request" => digest.short(), "crashes" => cleared);
        }
        // Who reads an older row takes a request that was never refused for a suspect, which changes nothing for it.
        if cleared >= POLICY.most_crashes {
            self.row_due.notify_one();
        }
        self.tell(&BTreeSet::from([digest]));
    }

    /// Takes over what another gateway tells or has written.
    pub(crate) fn hear(&self, reports: &[CrashReport], source: CrashSource) {
        let digests = || reports.iter().map(|report| report.digest);
        let before = self.held(digests());
        self.tracker.borrow_mut().merge(reports, self.clock.now());
        self.log_held(&before, digests(), source);
        self.update_gauge();
    }

    /// Takes over rows of the table that gateways share.
    pub(crate) fn apply_rows(&self, feed: &[FeedRow]) {
        for row in feed {
            let Some(writer) = rows::writer_of(&row.key) else {
                continue;
            };
            let is_own = writer == self.fleet.process();
            let Some(value) = &row.value else {
                if is_own {
                    self.renew_row();
                }
                continue;
            };
            match decode_row(value) {
                Ok(reports) => {
                    if is_own {
                        // An earlier life of this gateway may have written it.
                        let digests = reports.iter().map(|report| report.digest);
                        self.own.borrow_mut().extend(digests);
                    }
                    self.hear(&reports, CrashSource::Store);
                }
                Err(error) => warn!(self.decisions.logger, "the crashes of a gateway cannot be read";
                    "gateway" => writer, "error" => %error),
            }
        }
    }

    /// Tells gateways that were just linked what this one knows.
    pub(crate) fn greet(&self, peers: &[String]) {
        let reports = self.tracker.borrow().reports(self.clock.now());
        for part in reports.chunks(FRAME_REPORTS) {
            for peer in peers {
                self.links.tell_crashes(peer, part);
            }
        }
    }

    /// Drops crashes that no longer count.
    pub(crate) fn expire(&self) {
        let mut tracker = self.tracker.borrow_mut();
        if !tracker.is_empty() {
            tracker.expire(self.clock.now());
            drop(tracker);
            self.update_gauge();
        }
    }

    /// Writes the row of this gateway whenever it has news, and tries until the store takes it.
    pub(crate) async fn keep_row(self: Rc<Self>) {
        loop {
            self.row_due.notified().await;
            let mut is_lost = false;
            while let Err(error) = self.write_row().await {
                if !std::mem::replace(&mut is_lost, true) {
                    warn!(self.decisions.logger, "crashes are not recorded"; "error" => %error);
                }
                sleep(RETRY_PAUSE).await;
            }
            if is_lost {
                info!(self.decisions.logger, "crashes are recorded again");
            }
        }
    }

    async fn write_row(&self) -> Result<(), PlatformError> {
        let earlier = self.row.read_unknown().await?;
        let digests = earlier.iter().map(|report| report.digest);
        self.own.borrow_mut().extend(digests);
        self.hear(&earlier, CrashSource::Store);
        let nonce = WriteNonce(self.random.borrow_mut().random());
        self.row.write(self.own_reports(), nonce).await
    }

    fn own_reports(&self) -> Vec<CrashReport> {
        let mut reports = self.tracker.borrow().reports(self.clock.now());
        let mut own = self.own.borrow_mut();
        reports.retain(|report| own.contains(&report.digest) && concerns_others(report));
        // Requests that were cleared, or made room for others, are gone.
        *own = reports.iter().map(|report| report.digest).collect();
        reports
    }

    /// Writes the row again that was removed because nothing had changed it for long.
    fn renew_row(&self) {
        self.row.forget();
        if !self.own_reports().is_empty() {
            self.row_due.notify_one();
        }
    }

    /// Tells linked gateways of requests that this one learned something of.
    fn tell(&self, digests: &BTreeSet<RequestDigest>) {
        self.own.borrow_mut().extend(digests);
        let mut reports = self.tracker.borrow().reports(self.clock.now());
        reports.retain(|report| digests.contains(&report.digest));
        for part in reports.chunks(FRAME_REPORTS) {
            self.links.tell_all_crashes(part);
        }
        self.update_gauge();
    }

    /// Returns which of these requests are refused.
    fn held(&self, digests: impl Iterator<Item = RequestDigest>) -> BTreeSet<RequestDigest> {
        let (tracker, now) = (self.tracker.borrow(), self.clock.now());
        let is_held = |digest: &RequestDigest| tracker.standing(*digest, now) == CrashStanding::Refused;
        digests.filter(is_held).collect()
    }

    /// Writes a line on each request that is refused from now on.
    fn log_held(
        &self,
        before: &BTreeSet<RequestDigest>,
        digests: impl Iterator<Item = RequestDigest>,
        source: CrashSource,
    ) {
        let now = self.clock.now();
        for digest in self.held(digests).difference(before) {
            if self.decisions.admits(LineKind::Belief) {
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

/// Returns whether gateways that read of a request would treat it otherwise than an unknown one: it is a suspect, or was
/// cleared after others may have refused it.
fn concerns_others(report: &CrashReport) -> bool {
    report.sites.len() >= POLICY.most_crashes || report.sites.iter().any(|site| !site.is_cleared)
}

/// Returns the refusal of a request, with the time after which it may be tried again.
fn refusal(hold: Duration) -> CallRefusal {
    CallRefusal::not_run(ProblemCode::RequestHeld, HELD_DETAIL).come_back(hold)
}

/// Tells callers why a request is refused.
pub(crate) const HELD_DETAIL: &str = "several targets ended while they ran this request";
