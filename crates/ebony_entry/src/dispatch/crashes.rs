//! Crashes of targets by request, as this entry knows and spreads them.
//!
//! Counts live in the memory of side processes and entries, and the entry that hears of a crash from a side process
//! writes it to the table service in the background. An entry that is replaced learns the counts again from the side
//! processes and entries that it is linked to and from the table.

use std::collections::BTreeSet;

use ebony_ledger::crash_tracker::MAX_TRACKED_REQUESTS;
use ebony_ledger::{CrashStanding, CrashTracker};
use ebony_types::{ClockTime, ProblemCode, ProblemReport, RequestDigest};
use ebony_wire::{CrashReport, CrashSite, SiteReport};

use super::call::DispatchedCall;
use super::side_table::SideKey;

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

    pub(super) fn known(&self, digests: &BTreeSet<RequestDigest>, now: ClockTime) -> BTreeSet<KnownSite> {
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
