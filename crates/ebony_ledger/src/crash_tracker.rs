//! Which requests were running when a target crashed.
//!
//! Every request that ran at a crash is a suspect. A suspect that later completes is cleared of the crashes known by
//! then. A request with two crashes is refused until one of them lies 24 hours back.
//!
//! Counts are shared between processes as [`CrashReport`]s. The merge is commutative, associative and idempotent, as
//! long as no table is full: crash sites only accumulate, a clearance only turns on, and the earlier expiry counts.

use std::collections::BTreeMap;
use std::time::Duration;

use ebony_types::{ClockTime, RequestDigest};
pub use ebony_wire::{CrashReport, CrashSite, SiteReport};

/// The time for which a crash counts.
pub const CRASH_LIFETIME: Duration = Duration::from_secs(24 * 3_600);

/// Crashes after which a request is refused.
pub const MAX_CRASHES: usize = 2;

/// The most requests that are tracked by default. A crash of an engine with 64 running calls adds 64.
pub const MAX_TRACKED_REQUESTS: usize = 4_096;

/// The most crash sites that are kept for one request, cleared ones included.
const MAX_SITES: usize = 8;

/// Reports leave out sites that expire within this time. Without it, two processes that learned of a site at slightly
/// different times could keep passing it back and forth.
const MIN_REPORTED: Duration = Duration::from_secs(60);

/// How a request is to be treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashStanding {
    /// No crash counts against the request.
    Clear,
    /// The request ran at one crash; it runs in quarantine.
    Suspect,
    /// The request ran at two crashes; it is refused.
    Refused,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct SiteMark {
    expires_at: ClockTime,
    is_cleared: bool,
}

type SiteMarks = BTreeMap<CrashSite, SiteMark>;

/// Crash sites by request.
///
/// ```
/// use ebony_ledger::{CrashSite, CrashStanding, CrashTracker};
/// use ebony_types::{ClockTime, ProcessIncarnation, RequestDigest, TargetName};
///
/// let mut tracker = CrashTracker::open(16);
/// let digest = RequestDigest([1; 32]);
/// let target = TargetName::parse("engine-1")?;
/// for life in 1..=2 {
///     let incarnation = ProcessIncarnation::from_bytes([life; 16]);
///     tracker.record_crash(digest, CrashSite { target: target.clone(), incarnation }, ClockTime::default());
/// }
/// assert_eq!(tracker.standing(digest, ClockTime::default()), CrashStanding::Refused);
/// # Ok::<(), ebony_types::name::NameError>(())
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashTracker {
    requests: BTreeMap<RequestDigest, SiteMarks>,
    limit: usize,
}

impl CrashTracker {
    /// Creates a tracker for at most `limit` requests.
    ///
    /// At the limit, a request with the fewest crashes, and of these one whose crashes expire first, makes room.
    pub fn open(limit: usize) -> Self {
        Self {
            requests: BTreeMap::new(),
            limit,
        }
    }

    /// Returns how a request is to be treated.
    pub fn standing(&self, digest: RequestDigest, now: ClockTime) -> CrashStanding {
        let sites = self.requests.get(&digest);
        match sites.map_or(0, |sites| count_crashes(sites, now)) {
            0 => CrashStanding::Clear,
            1..MAX_CRASHES => CrashStanding::Suspect,
            _ => CrashStanding::Refused,
        }
    }

    /// Counts a crash against a request that was running.
    pub fn record_crash(&mut self, digest: RequestDigest, site: CrashSite, now: ClockTime) {
        let mark = SiteMark {
            expires_at: now + CRASH_LIFETIME,
            is_cleared: false,
        };
        self.add(digest, site, mark, now);
    }

    /// Clears a request of the crashes known so far, because it completed.
    pub fn record_completion(&mut self, digest: RequestDigest) {
        if let Some(sites) = self.requests.get_mut(&digest) {
            sites.values_mut().for_each(|mark| mark.is_cleared = true);
        }
    }

    /// Takes over what another process knows.
    pub fn merge(&mut self, reports: &[CrashReport], now: ClockTime) {
        for report in reports {
            for site in &report.sites {
                let remaining = Duration::from_micros(site.remaining_micros).min(CRASH_LIFETIME);
                let mark = SiteMark {
                    expires_at: now + remaining,
                    is_cleared: site.is_cleared,
                };
                self.add(report.digest, site.site.clone(), mark, now);
            }
        }
    }

    /// Returns what other processes should know.
    pub fn reports(&self, now: ClockTime) -> Vec<CrashReport> {
        let reports = self.requests.iter().map(|(digest, sites)| CrashReport {
            digest: *digest,
            sites: report_sites(sites, now),
        });
        reports.filter(|report| !report.sites.is_empty()).collect()
    }

    /// Removes crashes that no longer count.
    pub fn expire(&mut self, now: ClockTime) {
        self.requests.retain(|_, sites| {
            sites.retain(|_, mark| mark.expires_at > now);
            !sites.is_empty()
        });
    }

    /// Returns the number of tracked requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns `true` if no request is tracked.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    fn add(&mut self, digest: RequestDigest, site: CrashSite, mark: SiteMark, now: ClockTime) {
        if mark.expires_at <= now || self.limit == 0 {
            return;
        }
        if !self.requests.contains_key(&digest) && self.requests.len() >= self.limit {
            self.make_room(now);
        }
        let sites = self.requests.entry(digest).or_default();
        sites
            .entry(site)
            .and_modify(|known| known.join(mark))
            .or_insert(mark);
        if sites.len() > MAX_SITES {
            remove_least(sites);
        }
    }

    fn make_room(&mut self, now: ClockTime) {
        let rank = |sites: &SiteMarks| {
            let last_expiry = sites.values().map(|mark| mark.expires_at).max();
            (count_crashes(sites, now), last_expiry)
        };
        let least = self.requests.iter().min_by_key(|(_, sites)| rank(sites));
        if let Some(digest) = least.map(|(digest, _)| *digest) {
            self.requests.remove(&digest);
        }
    }
}

impl SiteMark {
    fn join(&mut self, other: Self) {
        self.expires_at = self.expires_at.min(other.expires_at);
        self.is_cleared |= other.is_cleared;
    }
}

fn count_crashes(sites: &SiteMarks, now: ClockTime) -> usize {
    let counts = |mark: &&SiteMark| mark.expires_at > now && !mark.is_cleared;
    sites.values().filter(counts).count()
}

fn report_sites(sites: &SiteMarks, now: ClockTime) -> Vec<SiteReport> {
    let reports = sites.iter().map(|(site, mark)| SiteReport {
        site: site.clone(),
        remaining_micros: mark.expires_at.since(now).as_micros() as u64,
        is_cleared: mark.is_cleared,
    });
    reports
        .filter(|report| report.remaining_micros >= MIN_REPORTED.as_micros() as u64)
        .collect()
}

/// Removes a cleared site if there is one, otherwise the one that expires first.
fn remove_least(sites: &mut SiteMarks) {
    let least = sites
        .iter()
        .min_by_key(|(_, mark)| (!mark.is_cleared, mark.expires_at));
    if let Some(site) = least.map(|(site, _)| site.clone()) {
        sites.remove(&site);
    }
}
