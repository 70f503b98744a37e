//! Fencing by the highest token seen for each shard and each target.

use std::collections::{BTreeMap, BTreeSet};

use ebony_types::{FencingToken, ShardKey, TargetName};

/// The reason why an order was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum FenceError {
    /// A higher token has been seen.
    #[error("the fencing token is below the highest one seen, {}", highest.0)]
    Stale {
        /// The highest token seen.
        highest: FencingToken,
    },
    /// The target is not behind this side process.
    #[error("the target is not behind this side process")]
    UnknownTarget,
    /// Another order for a target that does not check tokens is in progress.
    #[error("another order for the target is in progress")]
    OrderInProgress,
}

/// The result of checking a token.
pub type Result<T, E = FenceError> = std::result::Result<T, E>;

#[derive(Clone, Copy, Debug)]
struct TargetFence {
    highest: FencingToken,
    checks_tokens: bool,
    has_order_in_progress: bool,
}

/// The highest tokens seen.
///
/// The number of shards is limited by the range of [`ShardKey`], that of targets by [`TokenFence::retain_targets`].
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
    /// Checks the token of an order for a shard, and raises the highest token of the shard to it.
    ///
    /// # Errors
    ///
    /// Returns [`FenceError::Stale`] if a higher token has been seen.
    pub fn check_shard(&mut self, shard: ShardKey, token: FencingToken) -> Result<()> {
        let highest = self.shards.entry(shard).or_default();
        raise(highest, token)
    }

    /// Returns the highest token seen for a shard.
    pub fn highest_shard_token(&self, shard: ShardKey) -> FencingToken {
        self.shards.get(&shard).copied().unwrap_or_default()
    }

    /// Returns the highest token seen for a target.
    pub fn highest_target_token(&self, target: &TargetName) -> FencingToken {
        self.targets
            .get(target)
            .map(|fence| fence.highest)
            .unwrap_or_default()
    }

    /// Adds a target; `checks_tokens` tells whether it refuses stale tokens itself. A known target keeps its highest
    /// token.
    pub fn add_target(&mut self, target: &TargetName, checks_tokens: bool) {
        let fence = self.targets.entry(target.clone()).or_insert(TargetFence {
            highest: FencingToken::default(),
            checks_tokens,
            has_order_in_progress: false,
        });
        fence.checks_tokens = checks_tokens;
    }

    /// Removes the targets that are not in `targets`.
    pub fn retain_targets(&mut self, targets: &BTreeSet<TargetName>) {
        self.targets.retain(|target, _| targets.contains(target));
    }

    /// Checks an order for a target, raises the target's highest token and marks the order as in progress.
    ///
    /// A target that does not check tokens gets one order at a time, because two concurrent orders could take effect in
    /// either order.
    ///
    /// # Errors
    ///
    /// Returns [`FenceError`] if the token is stale, the target is unknown, or another order is in progress.
    pub fn begin_order(&mut self, target: &TargetName, token: FencingToken) -> Result<()> {
        let fence = self.targets.get_mut(target).ok_or(FenceError::UnknownTarget)?;
        raise(&mut fence.highest, token)?;
        if fence.has_order_in_progress && !fence.checks_tokens {
            return Err(FenceError::OrderInProgress);
        }
        fence.has_order_in_progress = true;
        Ok(())
    }

    /// Records that an order ended. An order with an unknown outcome ends once the target's state was read back.
    pub fn end_order(&mut self, target: &TargetName) {
        if let Some(fence) = self.targets.get_mut(target) {
            fence.has_order_in_progress = false;
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
