//! The permits that one gateway issues, for all limited targets.

use std::collections::HashMap;
use std::time::Duration;

use ebony_types::rendezvous::rendezvous_weight;
use ebony_types::{ClockTime, TargetName};

use crate::bucket::{PermitBucket, PermitDecision};
use crate::division::LimitPart;
use crate::rate::RequestRate;

/// A limited target as the desk sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitedTarget {
    /// The name.
    pub name: TargetName,
    /// The start of the incarnation that named the limit.
    pub born: u64,
    /// The limit for all gateways together.
    pub rate: RequestRate,
}

#[derive(Clone, Copy, Debug)]
struct DeskEntry {
    born: u64,
    part: LimitPart,
    bucket: PermitBucket,
    used_at: ClockTime,
}

/// The answer to a call that asks for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DeskAnswer {
    /// Whether the call may be sent.
    pub decision: PermitDecision,
    /// Whether the part of the limit that this gateway issues is another one than before.
    pub has_new_part: bool,
}

/// Issues the permits of limited targets.
///
/// ```
/// use std::time::Duration;
/// use ebony_limit::{LimitPart, LimitedTarget, PermitDecision, PermitDesk, RequestRate};
/// use ebony_types::{ClockTime, TargetName};
///
/// let (now, patience) = (ClockTime::default(), Duration::from_secs(1));
/// let target = LimitedTarget {
///     name: TargetName::parse("engine-1")?,
///     born: 1,
///     rate: RequestRate::per_second(5.0)?,
/// };
/// let mut desk = PermitDesk::open("gateway-1");
/// let answer = desk.take(&target, LimitPart::Whole, now, patience);
/// assert_eq!(answer.decision, PermitDecision::Granted { wait: Duration::from_millis(200) });
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Clone, Debug)]
pub struct PermitDesk {
    /// The name of the gateway.
    own: String,
    entries: HashMap<TargetName, DeskEntry>,
}

impl PermitDesk {
    /// Creates the desk of the gateway with this name.
    pub fn open(own: &str) -> Self {
        Self {
            own: own.to_owned(),
            entries: HashMap::new(),
        }
    }

    /// Issues a permit for a call to a target that waits `max_wait` at most, from this gateway's part of the limit.
    pub fn take(
        &mut self,
        target: &LimitedTarget,
        part: LimitPart,
        now: ClockTime,
        max_wait: Duration,
    ) -> DeskAnswer {
        let rate = part.of(target.rate);
        let known = self.entries.get(&target.name).copied();
        let known = known.filter(|entry| entry.born >= target.born);
        let before = known.map(|entry| entry.part);
        let is_share = |part: LimitPart| matches!(part, LimitPart::Share(_));
        let bucket = match known.map(|entry| entry.bucket) {
            Some(_) if before.is_some_and(is_share) != is_share(part) => None,
            Some(bucket) if is_share(part) && bucket.rate() != rate => None,
            bucket => bucket,
        };
        let mut bucket = bucket.unwrap_or_else(|| match part {
            LimitPart::Share(_) => PermitBucket::open_share(rate, now, self.phase(&target.name)),
            LimitPart::Whole | LimitPart::Half => PermitBucket::open(rate, now),
        });
        bucket.set_rate(rate, now);
        let decision = bucket.take(now, max_wait);
        let entry = DeskEntry {
            born: target.born,
            part,
            bucket,
            used_at: now,
        };
        self.entries.insert(target.name.clone(), entry);
        DeskAnswer {
            decision,
            has_new_part: before != Some(part),
        }
    }

    /// Returns at which part of an interval this gateway's share of a target's limit is due.
    fn phase(&self, target: &TargetName) -> f64 {
        rendezvous_weight(&self.own, target.as_str()) as f64 / u64::MAX as f64
    }

    /// Takes back a permit whose call was not sent.
    pub fn put_back(&mut self, target: &TargetName, born: u64) {
        if let Some(entry) = self.entries.get_mut(target)
            && entry.born == born
        {
            entry.bucket.put_back();
        }
    }

    /// Drops targets for which no permit was asked in a time. Asking again starts with an interval without permits.
    pub fn expire(&mut self, now: ClockTime, unused_time: Duration) {
        self.entries
            .retain(|_, entry| now.since(entry.used_at) < unused_time);
    }

    /// Returns the number of targets.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no targets.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
