//! Fencing tokens: the highest one seen for each shard and each target.

use std::collections::{BTreeMap, BTreeSet};

use ebony_types::{FencingToken, ShardKey, TargetName};

/// Says why an order was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum FenceError {
    /// A higher token has been seen.
    #[error("the token is below {}, the highest seen", highest.0)]
    Stale {
        /// The highest token seen.
        highest: FencingToken,
    },
    /// The target is not behind this side process.
    #[error("no such target")]
    UnknownTarget,
    /// An order for a target that ignores tokens is under way.
    #[error("another order for the target is under way")]
    OrderUnderWay,
}

/// The result of checking a token.
pub type Result<T, E = FenceError> = std::result::Result<T, E>;

#[derive(Clone, Copy, Debug)]
struct TargetFence {
    highest: FencingToken,
    checks_tokens: bool,
    has_order_under_way: bool,
}

/// The highest tokens seen.
///
/// Shards are bounded by the range of [`ShardKey`], targets by [`TokenFence::retain_targets`].
///
/// ```
/// use ebony_ledger::{FenceError, TokenFence};
/// use ebony_types::{FencingToken, ShardKey};
///
/// let mut fence = TokenFence::default();
/// assert_eq!(fence.check_shard(ShardKey(1), FencingToken(5)), Ok(()));
/// let stale = FenceError::Stale { highest: FencingToken(5) };
/// assert_eq!(fence.check_shard(ShardKey(1), FencingToken(4)), Err(stale));
/// ```
#[derive(Clone, Debug, Default)]
pub struct TokenFence {
    shards: BTreeMap<ShardKey, FencingToken>,
    targets: BTreeMap<TargetName, TargetFence>,
}

impl TokenFence {
    /// Checks an order of a shard's owner and raises the highest token of the shard.
    ///
    /// # Errors
    ///
    /// Returns [`FenceError::Stale`] if a higher token has been seen.
    pub fn check_shard(&mut self, shard: ShardKey, token: FencingToken) -> Result<()> {
        let highest = self.shards.entry(shard).or_default();
        raise(highest, token)
    }

    /// Returns the highest token seen for a shard.
    pub fn highest_of(&self, shard: ShardKey) -> FencingToken {
        self.shards.get(&shard).copied().unwrap_or_default()
    }

    /// Returns the highest token seen for a target.
    pub fn highest_for(&self, target: &TargetName) -> FencingToken {
        self.targets
            .get(target)
            .map(|fence| fence.highest)
            .unwrap_or_default()
    }

    /// Adds a target and whether it refuses stale tokens itself. A known target keeps its highest token.
    pub fn add_target(&mut self, target: &TargetName, checks_tokens: bool) {
        let fence = self.targets.entry(target.clone()).or_insert(TargetFence {
            highest: FencingToken::default(),
            checks_tokens,
            has_order_under_way: false,
        });
        fence.checks_tokens = checks_tokens;
    }

    /// Forgets the targets that are not in `targets`.
    pub fn retain_targets(&mut self, targets: &BTreeSet<TargetName>) {
        self.targets.retain(|target, _| targets.contains(target));
    }

    /// Checks an order for a target, raises the target's highest token and notes that the order is under way.
    ///
    /// A target that ignores tokens gets one order at a time: two orders under way could take effect in either order.
    ///
    /// # Errors
    ///
    /// Returns [`FenceError`] if the token is stale, the target unknown, or the order has to wait.
    pub fn begin_order(&mut self, target: &TargetName, token: FencingToken) -> Result<()> {
        let fence = self.targets.get_mut(target).ok_or(FenceError::UnknownTarget)?;
        raise(&mut fence.highest, token)?;
        if fence.has_order_under_way && !fence.checks_tokens {
            return Err(FenceError::OrderUnderWay);
        }
        fence.has_order_under_way = true;
        Ok(())
    }

    /// Notes that an order ended. An order whose outcome is unknown ends when the target's state was read back.
    pub fn end_order(&mut self, target: &TargetName) {
        if let Some(fence) = self.targets.get_mut(target) {
            fence.has_order_under_way = false;
        }
    }
}

fn raise(highest: &mut FencingToken, token: FencingToken) -> Result<()> {
    if token < *highest {
        return Err(FenceError::Stale { highest: *highest });
    }
    *highest = token;
    Ok(())
}
