//! Blocks of tokens that one gateway holds.

use std::collections::VecDeque;
use std::time::Duration;

use ebony_types::ClockTime;

use super::message::QuotaGrant;

/// How long the tokens of a block may be used, from the time at which the gateway asked for them.
pub const BLOCK_LIFETIME: Duration = Duration::from_millis(500);

/// The maximum number of blocks of one customer. Requests follow each other, and blocks expire soon.
const MAX_BLOCKS: usize = 64;

#[derive(Clone, Copy, Debug)]
struct TokenBlock {
    tokens: u32,
    programs: u32,
    usable_at: ClockTime,
    expires_at: ClockTime,
}

/// The unused tokens of one customer.
#[derive(Clone, Debug, Default)]
pub struct BlockList {
    blocks: VecDeque<TokenBlock>,
    /// Tokens and programs that expired and were not reported yet.
    expired: (u32, u32),
}

impl BlockList {
    /// Adds the tokens of a grant that was asked for at a time.
    ///
    /// ```
    /// use ebony_limit::quota::QuotaGrant;
    /// use ebony_limit::quota::block::BlockList;
    /// use ebony_types::ClockTime;
    ///
    /// let at = ClockTime::from_millis;
    /// let mut list = BlockList::default();
    /// let grant = QuotaGrant { tokens: 2, ..QuotaGrant::default() };
    /// list.add(&grant, at(0), at(3));
    /// assert_eq!(list.take(false, at(3)), Some(at(500)));
    /// assert_eq!(list.take(false, at(500)), None);
    /// assert_eq!(list.take_expired(), (1, 0));
    /// ```
    pub fn add(&mut self, grant: &QuotaGrant, asked_at: ClockTime, now: ClockTime) {
        if grant.tokens == 0 && grant.programs == 0 {
            return;
        }
        self.push(TokenBlock {
            tokens: grant.tokens,
            programs: grant.programs,
            usable_at: now + grant.wait(),
            expires_at: asked_at + BLOCK_LIFETIME,
        });
    }

    /// Takes back a token that expires at a time.
    pub fn put_back(&mut self, has_program: bool, expires_at: ClockTime, now: ClockTime) {
        self.push(TokenBlock {
            tokens: 1,
            programs: u32::from(has_program),
            usable_at: now,
            expires_at,
        });
    }

    fn push(&mut self, block: TokenBlock) {
        if self.blocks.len() >= MAX_BLOCKS
            && let Some(oldest) = self.blocks.pop_front()
        {
            self.discard(oldest);
        }
        self.blocks.push_back(block);
    }

    fn discard(&mut self, block: TokenBlock) {
        self.expired.0 = self.expired.0.saturating_add(block.tokens);
        self.expired.1 = self.expired.1.saturating_add(block.programs);
    }

    /// Discards the blocks that expired.
    pub fn expire(&mut self, now: ClockTime) {
        let (kept, expired): (VecDeque<_>, VecDeque<_>) = self
            .blocks
            .drain(..)
            .partition(|block| block.expires_at > now && (block.tokens > 0 || block.programs > 0));
        self.blocks = kept;
        for block in expired {
            self.discard(block);
        }
    }

    /// Takes a token, with a program for a first turn. Returns when the token expires.
    pub fn take(&mut self, is_first_turn: bool, now: ClockTime) -> Option<ClockTime> {
        self.expire(now);
        let is_usable = |block: &&mut TokenBlock| block.usable_at <= now;
        if is_first_turn
            && !self
                .usable()
                .any(|block| block.usable_at <= now && block.programs > 0)
        {
            return None;
        }
        let token = self
            .blocks
            .iter_mut()
            .filter(is_usable)
            .find(|block| block.tokens > 0)?;
        token.tokens -= 1;
        let expires_at = token.expires_at;
        if is_first_turn {
            let program = self
                .blocks
                .iter_mut()
                .filter(is_usable)
                .find(|block| block.programs > 0);
            if let Some(program) = program {
                program.programs -= 1;
            }
        }
        Some(expires_at)
    }

    fn usable(&self) -> impl Iterator<Item = &TokenBlock> {
        self.blocks.iter()
    }

    /// Returns the number of tokens and of programs, also those that may be used a little later.
    pub fn held(&self) -> (u32, u32) {
        self.blocks.iter().fold((0, 0), |(tokens, programs), block| {
            (tokens + block.tokens, programs + block.programs)
        })
    }

    /// Returns when the next block becomes usable or expires.
    pub fn next_change(&self, now: ClockTime) -> Option<ClockTime> {
        let times = self.blocks.iter().map(|block| {
            if block.usable_at > now {
                block.usable_at
            } else {
                block.expires_at
            }
        });
        times.min()
    }

    /// Returns the expired tokens and programs that were not reported yet, and counts them as reported.
    pub fn take_expired(&mut self) -> (u32, u32) {
        std::mem::take(&mut self.expired)
    }
}
