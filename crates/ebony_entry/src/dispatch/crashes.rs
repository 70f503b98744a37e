//! Target crashes attributed to requests, as known to this entry.
//!
//! Side processes and entries keep the counts in memory, and the entry that receives a crash report from a side process
//! also writes it to the table service in the background. A restarted entry recovers the counts from the side processes
//! and entries that it is linked to, and from the table.

use std::collections::BTreeSet;

use ebony_ledger::crash_tracker::MAX_TRACKED_REQUESTS;
use ebony_ledger::{CrashStanding, CrashTracker};
use ebony_types::{ClockTime, ProblemCode, ProblemReport, RequestDigest};
use ebony_wire::{CrashReport, CrashSite, SiteReport};

use super::call::DispatchedCall;
use super::side_table::SideKey;

/// The sender of crash reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CrashSource {
    /// A side process.
    Side(SideKey),
    /// Another entry, or the table service.
    Entry,
}

type KnownSite = (RequestDigest, CrashSite, bool);

/// The unexpired crashes.
pub(super) struct CrashRegistry {
    tracker: CrashTracker,
}

impl CrashRegistry {
    pub(super) fn open() -> Self {
        Self {
            tracker: CrashTracker::open(MAX_TRACKED_REQUESTS),
        }
    }

    /// Returns the refusal if the request crashed too many targets.
    pub(super) fn refusal(&self, call: &DispatchedCall, now: ClockTime) -> Option<ProblemReport> {
        // Skips the digest if nothing is tracked: it hashes the entire body, which may be megabytes long.
        let is_refused =
            !self.tracker.is_empty() && self.tracker.standing(call.digest(), now) == CrashStanding::Refused;
        is_refused.then(|| {
            let detail = "the request crashed two targets and will not run again";
            ProblemReport::not_run(ProblemCode::CrashingRequest, detail)
        })
    }

    /// Merges reports and returns those that contain new information.
    ///
    /// A changed remaining time is not new information: it differs slightly in each process, and two processes would
    /// send it back and forth forever.
    pub(super) fn merge(&mut self, reports: &[CrashReport], now: ClockTime) -> Vec<CrashReport> {
        let digests: BTreeSet<RequestDigest> = reports.iter().map(|report| report.digest).collect();
        let before = self.known_sites(&digests, now);
        self.tracker.merge(reports, now);
        let is_new = |report: &CrashReport, site: &SiteReport| {
            !before.contains(&(report.digest, site.site.clone(), site.is_cleared))
        };
        let mut updates = self.tracker.reports(now);
        updates.retain(|report| {
            digests.contains(&report.digest) && report.sites.iter().any(|site| is_new(report, site))
        });
        updates
    }

    /// Returns reports of all unexpired crashes.
    pub(super) fn reports(&self, now: ClockTime) -> Vec<CrashReport> {
        self.tracker.reports(now)
    }

    /// Removes expired crashes.
    pub(super) fn expire(&mut self, now: ClockTime) {
        self.tracker.expire(now);
    }

    pub(super) fn known_sites(
        &self,
        digests: &BTreeSet<RequestDigest>,
        now: ClockTime,
    ) -> BTreeSet<KnownSite> {
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
