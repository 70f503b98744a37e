//! Tracking of the requests that were running when a target crashed.
//!
//! Every request that was running at a crash is a suspect. A suspect that completes later is cleared of the crashes
//! known by then. A request is refused once it has [`CrashPolicy::max_crashes`] crashes, not counting those that are
//! attributed to another request: one that was running too, has reached the limit, and has more crashes. A refused
//! request is due for a trial after a hold that grows with each crash.
//!
//! Processes share crashes as [`CrashReport`]s. Unless a table is full, merging is commutative, associative and
//! idempotent: crash sites only accumulate, a clearance is never revoked, and the earlier expiry wins.

use std::collections::BTreeMap;
use std::time::Duration;

use ebony_types::{ClockTime, RequestDigest};
pub use ebony_wire::{CrashReport, CrashSite, SiteReport};

/// How long a crash counts.
pub const CRASH_LIFETIME: Duration = Duration::from_secs(24 * 3_600);

/// The factor by which a hold grows with each crash after the one that caused it.
const HOLD_GROWTH_FACTOR: u32 = 8;

/// The default limit of tracked requests. A crash of an engine with 64 running calls adds 64.
pub const MAX_TRACKED_REQUESTS: usize = 4_096;

/// The most crash sites that are kept for one request, including cleared ones.
const MAX_SITES_PER_REQUEST: usize = 8;

/// Sites with less time left are not reported. Otherwise two processes that learned of a site at slightly different
/// times could report it to each other again and again.
const MIN_REPORTED_LIFETIME: Duration = Duration::from_secs(60);

/// How a request is to be treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashStanding {
    /// No crash counts against the request; it runs normally.
    Clear,
    /// The request was running at a crash. It runs in quarantine.
    Suspect,
    /// The request was running at too many crashes. It is refused.
    Refused,
    /// The hold of the request has passed. It may run once, on one target.
    DueForTrial,
}

/// When requests are refused because of crashes, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashPolicy {
    /// The number of crashes at which a request is refused.
    pub max_crashes: usize,
    /// How long a request is refused after the last of these crashes. Each further crash extends the hold.
    pub first_hold: Duration,
}

impl Default for CrashPolicy {
    /// Refuses a request with two crashes for as long as they count. This suits side processes: they run a suspect
    /// alone, so that a second crash proves it at fault.
    fn default() -> Self {
        Self {
            max_crashes: 2,
            first_hold: CRASH_LIFETIME,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct SiteState {
    expires_at: ClockTime,
    is_cleared: bool,
}

type SiteStates = BTreeMap<CrashSite, SiteState>;

/// Crash sites by request.
///
/// ```
/// use ebony_ledger::{CrashSite, CrashStanding, CrashTracker};
/// use ebony_types::{ClockTime, ProcessIncarnation, RequestDigest, TargetName};
///
/// let mut tracker = CrashTracker::open(16);
/// let digest = RequestDigest([1; 32]);
/// let target = TargetName::parse("engine-1")?;
/// for number in 1..=2 {
///     let incarnation = ProcessIncarnation::from_bytes([number; 16]);
///     tracker.record_crash(digest, CrashSite { target: target.clone(), incarnation }, ClockTime::default());
/// }
/// assert_eq!(tracker.standing(digest, ClockTime::default()), CrashStanding::Refused);
/// # Ok::<(), ebony_types::name::NameError>(())
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashTracker {
    requests: BTreeMap<RequestDigest, SiteStates>,
    limit: usize,
    policy: CrashPolicy,
    /// Whether any request has a crash of which it was not cleared.
    has_suspects: bool,
}

impl CrashTracker {
    /// Creates a tracker for at most `limit` requests.
    ///
    /// At the limit, the request with the fewest crashes is evicted, and among these the one whose crashes expire
    /// first.
    pub fn open(limit: usize) -> Self {
        Self::with_policy(limit, CrashPolicy::default())
    }

    /// Creates a tracker for at most `limit` requests with the given policy.
    ///
    /// ```
    /// use std::time::Duration;
    /// use ebony_ledger::{CrashPolicy, CrashSite, CrashStanding, CrashTracker};
    /// use ebony_types::{ClockTime, ProcessIncarnation, RequestDigest, TargetName};
    ///
    /// let policy = CrashPolicy { max_crashes: 1, first_hold: Duration::from_secs(30) };
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

    /// Returns whether any request is a suspect. If there is none, callers need not compute the digests of requests.
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
            () if crashes < self.policy.max_crashes => CrashStanding::Suspect,
            () if self.count_unattributed(sites, now) < self.policy.max_crashes => CrashStanding::Suspect,
            () if self.shifted_hold_end(sites, now) <= now + CRASH_LIFETIME => CrashStanding::DueForTrial,
            () => CrashStanding::Refused,
        }
    }

    /// Returns the number of crashes that count against a request.
    pub fn crashes(&self, digest: RequestDigest, now: ClockTime) -> usize {
        let sites = self.requests.get(&digest);
        sites.map_or(0, |sites| count_crashes(sites, now))
    }

    /// Returns how much longer a request is refused; 0 if it is not refused.
    pub fn hold_left(&self, digest: RequestDigest, now: ClockTime) -> Duration {
        match self.standing(digest, now) {
            CrashStanding::Refused => {
                let end = self
                    .requests
                    .get(&digest)
                    .map(|sites| self.shifted_hold_end(sites, now));
                end.unwrap_or_default().since(now + CRASH_LIFETIME)
            }
            CrashStanding::Clear | CrashStanding::Suspect | CrashStanding::DueForTrial => Duration::ZERO,
        }
    }

    /// Returns the end of a hold plus [`CRASH_LIFETIME`]. The end itself may not be representable, because crashes are
    /// stored by their expiry and one reported by another process may be from before the start of this clock.
    fn shifted_hold_end(&self, sites: &SiteStates, now: ClockTime) -> ClockTime {
        let counting = sites.values().filter(|state| state.counts(now));
        let last = counting.map(|state| state.expires_at).max().unwrap_or_default();
        let further = count_crashes(sites, now).saturating_sub(self.policy.max_crashes);
        let growth = HOLD_GROWTH_FACTOR.saturating_pow(u32::try_from(further).unwrap_or(u32::MAX));
        last + self.policy.first_hold.saturating_mul(growth).min(CRASH_LIFETIME)
    }

    /// Counts the crashes of a request that are not attributed to another one. A crash is attributed to a request that
    /// was running at it too, has more crashes, and has reached the limit.
    fn count_unattributed(&self, sites: &SiteStates, now: ClockTime) -> usize {
        let crashes = count_crashes(sites, now);
        let is_at_fault = |others: &&SiteStates| {
            let others_crashes = count_crashes(others, now);
            others_crashes >= self.policy.max_crashes && others_crashes > crashes
        };
        let at_fault: Vec<&SiteStates> = self.requests.values().filter(is_at_fault).collect();
        let is_attributed = |site: &CrashSite| {
            let mut states = at_fault.iter().filter_map(|others| others.get(site));
            states.any(|state| state.counts(now))
        };
        let counting = sites.iter().filter(|(_, state)| state.counts(now));
        counting.filter(|(site, _)| !is_attributed(site)).count()
    }

    fn update_suspects(&mut self) {
        let mut states = self.requests.values().flat_map(BTreeMap::values);
        self.has_suspects = states.any(|state| !state.is_cleared);
    }

    /// Records a crash of a target on which the request was running.
    pub fn record_crash(&mut self, digest: RequestDigest, site: CrashSite, now: ClockTime) {
        let state = SiteState {
            expires_at: now + CRASH_LIFETIME,
            is_cleared: false,
        };
        self.add(digest, site, state, now);
        self.update_suspects();
    }

    /// Clears a request of all known crashes, because it completed. Returns their number.
    pub fn record_completion(&mut self, digest: RequestDigest) -> usize {
        let Some(sites) = self.requests.get_mut(&digest) else {
            return 0;
        };
        let mut cleared = 0;
        for state in sites.values_mut().filter(|state| !state.is_cleared) {
            state.is_cleared = true;
            cleared += 1;
        }
        self.update_suspects();
        cleared
    }

    /// Merges the reports of another process.
    pub fn merge(&mut self, reports: &[CrashReport], now: ClockTime) {
        for report in reports {
            for site in &report.sites {
                let remaining = Duration::from_micros(site.remaining_micros).min(CRASH_LIFETIME);
                let state = SiteState {
                    expires_at: now + remaining,
                    is_cleared: site.is_cleared,
                };
                self.add(report.digest, site.site.clone(), state, now);
            }
        }
        self.update_suspects();
    }

    /// Returns the reports for other processes.
    pub fn reports(&self, now: ClockTime) -> Vec<CrashReport> {
        let reports = self.requests.iter().map(|(digest, sites)| CrashReport {
            digest: *digest,
            sites: report_sites(sites, now),
        });
        reports.filter(|report| !report.sites.is_empty()).collect()
    }

    /// Removes expired crashes.
    pub fn expire(&mut self, now: ClockTime) {
        self.requests.retain(|_, sites| {
            sites.retain(|_, state| state.expires_at > now);
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

    fn add(&mut self, digest: RequestDigest, site: CrashSite, state: SiteState, now: ClockTime) {
        if state.expires_at <= now || self.limit == 0 {
            return;
        }
        if !self.requests.contains_key(&digest) && self.requests.len() >= self.limit {
            self.evict_request(now);
        }
        let sites = self.requests.entry(digest).or_default();
        sites
            .entry(site)
            .and_modify(|known| known.join(state))
            .or_insert(state);
        if sites.len() > MAX_SITES_PER_REQUEST {
            evict_site(sites);
        }
    }

    fn evict_request(&mut self, now: ClockTime) {
        let rank = |sites: &SiteStates| {
            let last_expiry = sites.values().map(|state| state.expires_at).max();
            (count_crashes(sites, now), last_expiry)
        };
        let least = self.requests.iter().min_by_key(|(_, sites)| rank(sites));
        if let Some(digest) = least.map(|(digest, _)| *digest) {
            self.requests.remove(&digest);
        }
    }
}

impl SiteState {
    fn counts(&self, now: ClockTime) -> bool {
        self.expires_at > now && !self.is_cleared
    }

    fn join(&mut self, other: Self) {
        self.expires_at = self.expires_at.min(other.expires_at);
        self.is_cleared |= other.is_cleared;
    }
}

fn count_crashes(sites: &SiteStates, now: ClockTime) -> usize {
    sites.values().filter(|state| state.counts(now)).count()
}

fn report_sites(sites: &SiteStates, now: ClockTime) -> Vec<SiteReport> {
    let reports = sites.iter().map(|(site, state)| SiteReport {
        site: site.clone(),
        remaining_micros: state.expires_at.since(now).as_micros() as u64,
        is_cleared: state.is_cleared,
    });
    reports
        .filter(|report| report.remaining_micros >= MIN_REPORTED_LIFETIME.as_micros() as u64)
        .collect()
}

/// Evicts a cleared site if there is one, and otherwise the site that expires first.
fn evict_site(sites: &mut SiteStates) {
    let least = sites
        .iter()
        .min_by_key(|(_, state)| (!state.is_cleared, state.expires_at));
    if let Some(site) = least.map(|(site, _)| site.clone()) {
        sites.remove(&site);
    }
}
