//! Calls without a complete answer, and what the list of targets shows of those that got them.
//!
//! A target crashed if a later life of it becomes known after it broke off a call or fell silent. An open port is no
//! proof of the opposite: a crashed target may be back before anything shows that it was gone. Calls are therefore kept
//! until a life is known to have ended or [`UNANSWERED_CALL_RETENTION`] has passed. A target that leaves as planned did
//! not crash.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use ebony_types::{ClockTime, RequestDigest, TargetName};

/// How long a call without a complete answer is kept. A crashed target is back after some seconds, and an outage of the
/// store, which lasts up to 12 s, may delay its new entry.
pub const UNANSWERED_CALL_RETENTION: Duration = Duration::from_secs(20);

/// The maximum number of calls that are kept for one life of a target, the latest ones.
const MAX_UNANSWERED_CALLS: usize = 16;

/// The run of a target's process from a start to its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetLife {
    /// The name of the target.
    pub target: TargetName,
    /// The start time.
    pub born: u64,
    /// The address that calls are sent to.
    pub address: SocketAddr,
}

/// What is known of a life of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifeStanding {
    /// It is listed.
    Current,
    /// A later life is known.
    Replaced,
    /// Neither it nor a later one is listed.
    Missing,
    /// It is leaving as planned.
    Leaving,
}

/// What follows from the standing of a life with unanswered calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifeVerdict {
    /// Its process ended, so that the requests are suspects.
    Ended,
    /// It was silent and is not listed any more, so that it has to be probed.
    NeedsProbe,
}

/// How a call ended without a complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallLoss {
    /// The target broke off the call.
    Broken,
    /// The target did not answer until the call was abandoned.
    Silent,
}

#[derive(Clone, Debug)]
struct LostCall {
    suspect: RequestDigest,
    since: ClockTime,
    loss: CallLoss,
}

#[derive(Clone, Debug)]
struct LostCalls {
    life: TargetLife,
    calls: VecDeque<LostCall>,
    /// Whether the target was probed since its entry was removed.
    is_probed: bool,
}

/// The calls without a complete answer at one process, by the life of the target that got them.
///
/// ```
/// use ebony_ledger::{CallLoss, LifeStanding, LifeVerdict, TargetLife, UnansweredTable};
/// use ebony_types::{ClockTime, RequestDigest, TargetName};
///
/// let mut table = UnansweredTable::open(16);
/// let life =
///     TargetLife { target: TargetName::parse("engine-1")?, born: 1, address: "10.0.0.1:80".parse()? };
/// let now = ClockTime::default();
/// table.keep(&life, RequestDigest([1; 32]), CallLoss::Broken, now);
/// assert!(table.decide(now, |_| LifeStanding::Current).is_empty());
/// let verdicts = table.decide(now, |_| LifeStanding::Replaced);
/// assert_eq!(verdicts, [(life.clone(), LifeVerdict::Ended)]);
/// assert_eq!(table.take(&life).len(), 1);
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Clone, Debug)]
pub struct UnansweredTable {
    lives: HashMap<(TargetName, u64), LostCalls>,
    limit: usize,
}

impl UnansweredTable {
    /// Creates a table for at most `limit` lives. Calls of further ones are not kept.
    pub fn open(limit: usize) -> Self {
        Self {
            lives: HashMap::new(),
            limit,
        }
    }

    /// Returns whether no call is kept.
    pub fn is_empty(&self) -> bool {
        self.lives.is_empty()
    }

    /// Keeps a call without a complete answer.
    pub fn keep(&mut self, life: &TargetLife, suspect: RequestDigest, loss: CallLoss, now: ClockTime) {
        let key = (life.target.clone(), life.born);
        if self.lives.len() >= self.limit && !self.lives.contains_key(&key) {
            return;
        }
        let lost = self.lives.entry(key).or_insert_with(|| LostCalls {
            life: life.clone(),
            calls: VecDeque::new(),
            is_probed: false,
        });
        if lost.calls.len() == MAX_UNANSWERED_CALLS {
            lost.calls.pop_front();
        }
        lost.is_probed &= loss == CallLoss::Broken;
        lost.calls.push_back(LostCall {
            suspect,
            since: now,
            loss,
        });
    }

    /// Drops the calls of a request that was completed: it is not at fault for crashes before that.
    pub fn record_completion(&mut self, digest: RequestDigest) {
        for lost in self.lives.values_mut() {
            lost.calls.retain(|call| call.suspect != digest);
        }
    }

    /// Removes the calls of a life, and returns their requests.
    pub fn take(&mut self, life: &TargetLife) -> BTreeSet<RequestDigest> {
        let lost = self.lives.remove(&(life.target.clone(), life.born));
        let calls = lost.into_iter().flat_map(|lost| lost.calls);
        calls.map(|call| call.suspect).collect()
    }

    /// Drops calls that are too old or whose targets leave as planned, and returns the lives with a verdict. The calls of
    /// an ended life remain until they are taken.
    ///
    /// A target that broke off a call after its entry was removed is not probed, because it may have left as planned.
    pub fn decide(
        &mut self,
        now: ClockTime,
        standing: impl Fn(&TargetLife) -> LifeStanding,
    ) -> Vec<(TargetLife, LifeVerdict)> {
        let mut verdicts = Vec::new();
        self.lives.retain(|_, lost| {
            lost.calls
                .retain(|call| now.since(call.since) < UNANSWERED_CALL_RETENTION);
            let is_silent = lost.calls.iter().any(|call| call.loss == CallLoss::Silent);
            match standing(&lost.life) {
                _ if lost.calls.is_empty() => return false,
                LifeStanding::Leaving => return false,
                LifeStanding::Replaced => verdicts.push((lost.life.clone(), LifeVerdict::Ended)),
                LifeStanding::Missing if is_silent && !lost.is_probed => {
                    lost.is_probed = true;
                    verdicts.push((lost.life.clone(), LifeVerdict::NeedsProbe));
                }
                LifeStanding::Missing | LifeStanding::Current => {}
            }
            true
        });
        verdicts
    }
}
