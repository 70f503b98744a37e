//! The state of each shard in this session, and the live sessions.

use ebony_types::{ClockTime, FencingToken, SessionId, ShardKey};
use rand::{Rng, RngCore};

use crate::journal::checkpoint::ReleasedShard;
use crate::session::LiveSession;
use crate::storage::StorageRequest;
use crate::takeover::ShardTakeover;
use crate::timer::TimerHandle;

/// The progress of a shard towards or away from ownership by this session.
#[derive(Debug, Default)]
pub(super) enum ShardPhase {
    /// The session does not own the shard.
    #[default]
    NotOwned,
    /// The session is claiming the shard and reading its state.
    TakingOver(Box<ShardTakeover>),
    /// The record of the adoption is queued for the journal or being appended.
    Adopting {
        epoch: FencingToken,
        version: u64,
        has_origins: bool,
    },
    /// Its programs take calls.
    Serving { epoch: FencingToken },
    /// Its programs take no new calls, and the shard is released when the last call ends. An unforced release is
    /// abandoned after [`crate::settings::REBALANCE_DRAIN_TIMEOUT`].
    Releasing { epoch: FencingToken, is_forced: bool },
}

/// The state of one shard.
#[derive(Debug, Default)]
pub(super) struct ShardSlot {
    pub(super) phase: ShardPhase,
    /// Open calls of the shard's programs.
    pub(super) calls: u32,
    /// Failed takeovers since the last successful one.
    pub(super) failures: u32,
    pub(super) retry: Option<TimerHandle>,
    /// When the last release began.
    pub(super) last_drain: Option<ClockTime>,
    pub(super) released: Option<ReleasedShard>,
    /// The write that removes the origins from the shard's row.
    pub(super) clearing: Option<StorageRequest>,
}

impl ShardSlot {
    fn epoch(&self) -> Option<FencingToken> {
        match self.phase {
            ShardPhase::Adopting { epoch, .. }
            | ShardPhase::Serving { epoch }
            | ShardPhase::Releasing { epoch, .. } => Some(epoch),
            ShardPhase::NotOwned | ShardPhase::TakingOver(_) => None,
        }
    }
}

/// All shards, and the live sessions that share them.
#[derive(Debug)]
pub(super) struct ShardTable {
    slots: Vec<ShardSlot>,
    pub(super) sessions: Vec<LiveSession>,
}

impl ShardTable {
    pub(super) fn new(shard_count: u16) -> Self {
        Self {
            slots: (0..shard_count).map(|_| ShardSlot::default()).collect(),
            sessions: Vec::new(),
        }
    }

    pub(super) fn slot(&self, shard: ShardKey) -> Option<&ShardSlot> {
        self.slots.get(usize::from(shard.0))
    }

    pub(super) fn slot_mut(&mut self, shard: ShardKey) -> Option<&mut ShardSlot> {
        self.slots.get_mut(usize::from(shard.0))
    }

    pub(super) fn slots(&self) -> impl Iterator<Item = (ShardKey, &ShardSlot)> {
        (0..).map(ShardKey).zip(&self.slots)
    }

    /// Returns the served shards and their epochs.
    pub(super) fn serving(&self) -> Vec<(ShardKey, FencingToken)> {
        let is_serving = |slot: &ShardSlot| {
            matches!(
                slot.phase,
                ShardPhase::Serving { .. } | ShardPhase::Releasing { .. }
            )
        };
        self.owned_slots(is_serving)
    }

    /// Returns the shards whose adoption was committed, durable or not, and their epochs.
    pub(super) fn owned(&self) -> Vec<(ShardKey, FencingToken)> {
        self.owned_slots(|_| true)
    }

    fn owned_slots(&self, filter: impl Fn(&ShardSlot) -> bool) -> Vec<(ShardKey, FencingToken)> {
        let slots = self.slots().filter(|(_, slot)| filter(slot));
        slots
            .filter_map(|(shard, slot)| Some((shard, slot.epoch()?)))
            .collect()
    }

    /// Returns the shards that the session has released and not adopted again.
    pub(super) fn released(&self) -> Vec<ReleasedShard> {
        self.slots.iter().filter_map(|slot| slot.released).collect()
    }

    /// Returns a random shard that takes calls.
    pub(super) fn pick_serving(&self, rng: &mut impl RngCore) -> Option<ShardKey> {
        let shards: Vec<ShardKey> = self
            .slots()
            .map(|(shard, _)| shard)
            .filter(|&shard| self.is_admitting(shard))
            .collect();
        (!shards.is_empty()).then(|| shards[rng.random_range(0..shards.len())])
    }

    /// Returns `true` if the shard's programs take calls.
    pub(super) fn is_admitting(&self, shard: ShardKey) -> bool {
        let phase = self.slot(shard).map(|slot| &slot.phase);
        matches!(phase, Some(ShardPhase::Serving { .. }))
    }

    /// Returns `true` if the shard's programs can be shown and ended.
    pub(super) fn is_serving(&self, shard: ShardKey) -> bool {
        let phase = self.slot(shard).map(|slot| &slot.phase);
        matches!(
            phase,
            Some(ShardPhase::Serving { .. } | ShardPhase::Releasing { .. })
        )
    }

    /// Returns the epoch at which the session owns the shard; zero if it does not.
    pub(super) fn epoch(&self, shard: ShardKey) -> FencingToken {
        self.slot(shard).and_then(ShardSlot::epoch).unwrap_or_default()
    }

    pub(super) fn add_call(&mut self, shard: ShardKey) {
        if let Some(slot) = self.slot_mut(shard) {
            slot.calls += 1;
        }
    }

    pub(super) fn remove_call(&mut self, shard: ShardKey) {
        if let Some(slot) = self.slot_mut(shard) {
            slot.calls = slot.calls.saturating_sub(1);
        }
    }

    pub(super) fn is_live(&self, session: SessionId) -> bool {
        self.sessions.iter().any(|live| live.session == session)
    }

    pub(super) fn is_draining(&self, session: SessionId) -> bool {
        self.sessions
            .iter()
            .any(|live| live.session == session && live.is_draining)
    }

    /// Returns `true` if a session other than `session` reports that it serves the shard.
    pub(super) fn is_claimed_by_other(&self, shard: ShardKey, session: SessionId) -> bool {
        let others = self.sessions.iter().filter(|live| live.session != session);
        others.into_iter().any(|live| live.shards.contains(&shard))
    }
}
