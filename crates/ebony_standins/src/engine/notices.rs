//! Cache notices, with simulated delay and loss.

use std::collections::VecDeque;
use std::time::Duration;

use ebony_platform::CacheNotice;
use tokio::time::Instant;

use super::cache::CacheChange;

/// Maximum number of notices that are kept; the oldest are dropped, which readers see as a gap.
const MAX_NOTICES: usize = 10_000;

/// Maximum number of notices in one reply.
const MAX_REPLY_NOTICES: usize = 1_000;

/// The notices of an engine.
#[derive(Default)]
pub(crate) struct NoticeLog {
    sequence: u64,
    notices: VecDeque<(Instant, CacheNotice)>,
}

impl NoticeLog {
    /// Adds a notice. Every `gap_every`-th notice is lost; 0 loses none.
    pub(crate) fn push(&mut self, change: CacheChange, gap_every: u64) {
        self.sequence += 1;
        if gap_every > 0 && self.sequence.is_multiple_of(gap_every) {
            return;
        }
        let notice = CacheNotice {
            sequence: self.sequence,
            program: change.program,
            held_tokens: change.held_tokens,
        };
        self.notices.push_back((Instant::now(), notice));
        if self.notices.len() > MAX_NOTICES {
            self.notices.pop_front();
        }
    }

    /// Returns the notices after a sequence number that are at least as old as the delay.
    pub(crate) fn after(&self, sequence: u64, delay: Duration) -> Vec<CacheNotice> {
        self.notices
            .iter()
            .filter(|(pushed_at, notice)| notice.sequence > sequence && pushed_at.elapsed() >= delay)
            .map(|(_, notice)| notice.clone())
            .take(MAX_REPLY_NOTICES)
            .collect()
    }
}
