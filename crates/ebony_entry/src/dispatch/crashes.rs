//! Crashes of targets by request, as this entry knows and spreads them.
//!
//! Counts live in the memory of side processes and entries, and the entry that hears of a crash from a side process
//! writes it to the table service in the background. An entry that is replaced learns the counts again from the side
//! processes and entries that it is linked to and from the table.

use std::collections::BTreeSet;

use ebony_ledger::crash_tracker::MAX_TRACKED_REQUESTS;
use ebony_ledger::{CrashStanding, CrashTracker};
use ebony_types::{ClockTime, ProblemCode, ProblemReport, RequestDigest};
use ebony_wire::{CrashReport, CrashSite, EntryFrame, SiteReport};

use super::actor::DispatchActor;
use super::call::DispatchedCall;
use super::messages::CrashesHeard;
use super::side_table::SideKey;

/// The most reports in one frame. With eight sites a report has about a kilobyte.
const REPORTS_PER_FRAME: usize = 512;

/// Where crash reports came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CrashSource {
    /// A side process.
    Side(SideKey),
    /// Another entry, or the table service.
    Entry,
}

type KnownSite = (RequestDigest, CrashSite, bool);

/// The crashes that count.
pub(super) struct CrashBook {
    tracker: CrashTracker,
}

impl CrashBook {
    pub(super) fn open() -> Self {
        Self {
            tracker: CrashTracker::open(MAX_TRACKED_REQUESTS),
        }
    }

    /// Returns the refusal of a request that crashed too many targets.
    pub(super) fn refusal(&self, call: &DispatchedCall, now: ClockTime) -> Option<ProblemReport> {
        // The digest covers the whole body, which may have megabytes.
        let is_refused =
            !self.tracker.is_empty() && self.tracker.standing(call.digest(), now) == CrashStanding::Refused;
        is_refused.then(|| {
            let detail = "the request crashed two targets and will not run again";
            ProblemReport::not_run(ProblemCode::CrashingRequest, detail)
        })
    }

    /// Merges reports and returns those with something that was not known.
    ///
    /// Remaining times do not count as news: they differ a little in each process, and two processes would pass them
    /// back and forth.
    pub(super) fn merge(&mut self, reports: &[CrashReport], now: ClockTime) -> Vec<CrashReport> {
        let digests: BTreeSet<RequestDigest> = reports.iter().map(|report| report.digest).collect();
        let before = self.known(&digests, now);
        self.tracker.merge(reports, now);
        let is_news = |report: &CrashReport, site: &SiteReport| {
            !before.contains(&(report.digest, site.site.clone(), site.is_cleared))
        };
        let mut news = self.tracker.reports(now);
        news.retain(|report| {
            digests.contains(&report.digest) && report.sites.iter().any(|site| is_news(report, site))
        });
        news
    }

    /// Returns what others should know.
    pub(super) fn reports(&self, now: ClockTime) -> Vec<CrashReport> {
        self.tracker.reports(now)
    }

    /// Removes crashes that no longer count.
    pub(super) fn expire(&mut self, now: ClockTime) {
        self.tracker.expire(now);
    }

    fn known(&self, digests: &BTreeSet<RequestDigest>, now: ClockTime) -> BTreeSet<KnownSite> {
        let reports = self.tracker.reports(now).into_iter();
        let concerned = reports.filter(|report| digests.contains(&report.digest));
        concerned
            .flat_map(|report| {
                let digest = report.digest;
                let sites = report.sites.into_iter();
                sites.map(move |site| (digest, site.site, site.is_cleared))
            })
            .collect()
    }
}

impl DispatchActor {
    /// Takes crash reports over and spreads what was not known.
    pub(super) fn hear_crashes(&mut self, reports: &[CrashReport], source: CrashSource) {
        let now = self.now();
        let news = self.crashes.merge(reports, now);
        if news.is_empty() {
            return;
        }
        slog::warn!(self.options.logger, "requests crashed targets"; "requests" => news.len());
        let except = match source {
            CrashSource::Side(key) => Some(key),
            CrashSource::Entry => None,
        };
        for part in news.chunks(REPORTS_PER_FRAME) {
            self.sides.broadcast(&EntryFrame::Crashes(part.to_vec()), except);
        }
        if matches!(source, CrashSource::Side(_)) {
            self.crash_rows.queue(&news);
        }
        // Entries are linked to each other, so that what one has told needs no forwarding.
        if let (CrashSource::Side(_), Some(recipient)) = (source, &self.peers) {
            recipient.do_send(CrashesHeard(news));
        }
    }

    /// Tells a side process that has just been linked all crashes that count.
    pub(super) fn greet_with_crashes(&self, key: SideKey) {
        for part in self.crashes.reports(self.now()).chunks(REPORTS_PER_FRAME) {
            self.sides.send(key, &EntryFrame::Crashes(part.to_vec()));
        }
    }
}
