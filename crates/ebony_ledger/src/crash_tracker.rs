//! Which requests were running when a target crashed.
//!
//! Every request that ran at a crash is a suspect. A suspect that later completes is cleared of the crashes known by
//! then. A request with as many crashes as the [`CrashPolicy`] says is refused, unless a request with more crashes ran at
//! so many of them that the rest is below the limit. It is due for a trial after a hold that grows with each crash.
//!
//! Counts are shared between processes as [`CrashReport`]s. The merge is commutative, associative and idempotent, as
//! long as no table is full: crash sites only accumulate, a clearance only turns on, and the earlier expiry counts.

use std::collections::BTreeMap;
use std::time::Duration;

use ebony_types::{ClockTime, RequestDigest};
pub use ebony_wire::{CrashReport, CrashSite, SiteReport};

/// The time for which a crash counts.
pub const CRASH_LIFETIME: Duration = Duration::from_secs(24 * 3_600);

/// How much longer the hold gets with each crash behind the one that led to it.
const HOLD_GROWTH: u32 = 8;

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
    /// The request ran at a crash; it runs in quarantine.
    Suspect,
    /// The request ran at too many crashes; it is refused.
    Refused,
    /// The request was refused for its whole hold. It may run once, at one target.
    DueForTrial,
}

/// What crashes mean for the requests that ran at them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashPolicy {
    /// Crashes after which a request is refused.
    pub most_crashes: usize,
    /// How long a request is refused after the last of these crashes.
    pub first_hold: Duration,
}

impl Default for CrashPolicy {
    /// Refuses a request with two crashes for as long as they count. Suits side processes, which run suspects alone, so that
    /// the second crash shows the request at fault.
    fn default() -> Self {
        Self {
            most_crashes: 2,
            first_hold: CRASH_LIFETIME,
        }
    }
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
    policy: CrashPolicy,
    /// Whether any request has a crash that it was not cleared of.
    has_suspects: bool,
}

impl CrashTracker {
    /// Creates a tracker for at most `limit` requests.
    ///
    /// At the limit, a request with the fewest crashes, and of these one whose crashes expire first, makes room.
    pub fn open(limit: usize) -> Self {
        Self::with_policy(limit, CrashPolicy::default())
    }

    /// Creates a tracker for at most `limit` requests with a policy of its own.
    ///
    /// ```
    /// use std::time::Duration;
    /// use ebony_ledger::{CrashPolicy, CrashSite, CrashStanding, CrashTracker};
    /// use ebony_types::{ClockTime, ProcessIncarnation, RequestDigest, TargetName};
    ///
    /// let policy = CrashPolicy { most_crashes: 1, first_hold: Duration::from_secs(30) };
    /// let mut tracker = CrashTracker::with_policy(16, policy);
    /// let digest = RequestDigest([1; 32]);
    /// let incarnation = ProcessIncarnation::from_bytes([1; 16]);
    /// let site = CrashSite { target: TargetName::parse("engine-1")?, incarnation };
    /// let now = ClockTime::default();
    /// tracker.record_crash(digest, site, now);
    /// assert_eq!(tracker.standing(digest, now), CrashStanding::Refused);
    /// assert_eq!(tracker.hold_left(digest, now), policy.first_hold);
    /// assert_eq!(tracker.standing(digest, now + policy.first_hold), CrashStanding::DueForTrial);
    /// # Ok::<(), ebony_types::name::NameError>(())
    /// ```
    pub fn with_policy(limit: usize, policy: CrashPolicy) -> Self {
        Self {
            requests: BTreeMap::new(),
            limit,
            policy,
            has_suspects: false,
        }
    }

    /// Returns whether any request is a suspect, so that digests of further ones matter.
    pub fn has_suspects(&self) -> bool {
        self.has_suspects
    }

    /// Returns how a request is to be treated.
    pub fn standing(&self, digest: RequestDigest, now: ClockTime) -> CrashStanding {
        let Some(sites) = self.requests.get(&digest) else {
            return CrashStanding::Clear;
        };
        let crashes = count_crashes(sites, now);
        match () {
            () if crashes == 0 => CrashStanding::Clear,
            () if crashes < self.policy.most_crashes => CrashStanding::Suspect,
            () if self.count_unexplained(sites, now) < self.policy.most_crashes => CrashStanding::Suspect,
            () if self.hold_end(sites, now) <= now + CRASH_LIFETIME => CrashStanding::DueForTrial,
            () => CrashStanding::Refused,
        }
    }

    /// Returns the crashes that count against a request.
    pub fn crashes(&self, digest: RequestDigest, now: ClockTime) -> usize {
        let sites = self.requests.get(&digest);
        sites.map_or(0, |sites| count_crashes(sites, now))
    }

    /// Returns how much longer a request is refused.
    pub fn hold_left(&self, digest: RequestDigest, now: ClockTime) -> Duration {
        match self.standing(digest, now) {
            CrashStanding::Refused => {
                let end = self.requests.get(&digest).map(|sites| self.hold_end(sites, now));
                end.unwrap_or_default().since(now + CRASH_LIFETIME)
            }
            CrashStanding::Clear | CrashStanding::Suspect | CrashStanding::DueForTrial => Duration::ZERO,
        }
    }

    /// Returns the end of a hold, later by [`CRASH_LIFETIME`]: crashes are kept by their expiry, and one that another process
    /// told of may lie before the start of this clock.
    fn hold_end(&self, sites: &SiteMarks, now: ClockTime) -> ClockTime {
        let counting = sites.values().filter(|mark| mark.counts(now));
        let last = counting.map(|mark| mark.expires_at).max().unwrap_or_default();
        let further = count_crashes(sites, now).saturating_sub(self.policy.most_crashes);
        let growth = HOLD_GROWTH.saturating_pow(u32::try_from(further).unwrap_or(u32::MAX));
        last + self.policy.first_hold.saturating_mul(growth).min(CRASH_LIFETIME)
    }

    /// Counts the crashes of a request at which no request with more crashes ran that is refused for them.
    fn count_unexplained(&self, sites: &SiteMarks, now: ClockTime) -> usize {
        let crashes = count_crashes(sites, now);
        let is_at_fault = |others: &&SiteMarks| {
            let others_crashes = count_crashes(others, now);
            others_crashes >= self.policy.most_crashes && others_crashes > crashes
        };
        let at_fault: Vec<&SiteMarks> = self.requests.values().filter(is_at_fault).collect();
        let is_explained = |site: &CrashSite| {
            let mut marks = at_fault.iter().filter_map(|others| others.get(site));
            marks.any(|mark| mark.counts(now))
        };
        let counting = sites.iter().filter(|(_, mark)| mark.counts(now));
        counting.filter(|(site, _)| !is_explained(site)).count()
    }

    fn update_suspects(&mut self) {
        let mut marks = self.requests.values().flat_map(BTreeMap::values);
        self.has_suspects = marks.any(|mark| !mark.is_cleared);
    }

    /// Counts a crash against a request that was running.
    pub fn record_crash(&mut self, digest: RequestDigest, site: CrashSite, now: ClockTime) {
        let mark = SiteMark {
            expires_at: now + CRASH_LIFETIME,
            is_cleared: false,
        };
        self.add(digest, site, mark, now);
        self.update_suspects();
    }

    /// Clears a request of the crashes known so far, because it completed. Returns of how many.
    pub fn record_completion(&mut self, digest: RequestDigest) -> usize {
        let Some(sites) = self.requests.get_mut(&digest) else {
            return 0;
        };
        let mut cleared = 0;
        for mark in sites.values_mut().filter(|mark| !mark.is_cleared) {
            mark.is_cleared = true;
            cleared += 1;
        }
        self.update_suspects();
        cleared
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
        self.update_suspects();
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
        self.update_suspects();
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
    fn counts(&self, now: ClockTime) -> bool {
        self.expires_at > now && !self.is_cleared
    }

    fn join(&mut self, other: Self) {
        self.expires_at = self.expires_at.min(other.expires_at);
        self.is_cleared |= other.is_cleared;
    }
}

fn count_crashes(sites: &SiteMarks, now: ClockTime) -> usize {
    sites.values().filter(|mark| mark.counts(now)).count()
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
