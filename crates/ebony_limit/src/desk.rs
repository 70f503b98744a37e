//! The permits that one gateway issues, for all limited targets.

use std::collections::HashMap;
use std::time::Duration;

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
#[derive(Clone, Debug, Default)]
pub struct PermitDesk {
    entries: HashMap<TargetName, DeskEntry>,
}

impl PermitDesk {
    /// Issues a permit for a call to a target that waits `max_wait` at most, from this gateway's part of the limit.
    pub fn take(
        &mut self,
        target: &LimitedTarget,
        part: LimitPart,
        now: ClockTime,
        max_wait: Duration,
    ) -> DeskAnswer {
        let rate = part.of(target.rate);
        let open = || DeskEntry {
            born: target.born,
            part,
            bucket: PermitBucket::open(rate, now),
            used_at: now,
        };
        let known = self.entries.get(&target.name);
        let has_new_part = known.is_none_or(|entry| entry.part != part || entry.born < target.born);
        let entry = self.entries.entry(target.name.clone()).or_insert_with(open);
        if entry.born < target.born {
            *entry = open();
        }
        entry.part = part;
        entry.used_at = now;
        entry.bucket.set_rate(rate, now);
        DeskAnswer {
            decision: entry.bucket.take(now, max_wait),
            has_new_part,
        }
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
