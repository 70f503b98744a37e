//! What waits for a row to become durable.

use std::collections::BTreeMap;

use ebony_types::{BudgetUse, FencingToken, ProgramId, ShardKey};
use ebony_wire::ProgramView;

use crate::call::CallKey;
use crate::program::table::ProgramKey;
use crate::program::turn_body::HistoryPlan;

/// The most effects that wait. Operations are refused above it; calls have bounds of their own.
pub(super) const MAX_EFFECTS: usize = 65_536;

/// Something that takes effect when its record is durable.
#[derive(Clone, Debug)]
pub(super) enum DurableEffect {
    /// The call's answer may be completed.
    FinishCall(CallKey),
    /// The call's intent is recorded; it may run.
    DispatchCall(CallKey),
    /// The program may spend up to the ceiling, unless it was lowered since.
    RaiseCeiling {
        program: ProgramKey,
        ceiling: BudgetUse,
        ceiling_decreases: u32,
    },
    /// An operation is answered.
    Reply {
        request: u64,
        view: Box<ProgramView>,
        plan: Option<HistoryPlan>,
    },
    /// The engine memory of an ended program is released.
    ReleaseProgram { program: ProgramId, token: FencingToken },
    /// An adopted shard is served.
    ServeShard(ShardKey),
    /// A released shard may be adopted by another session.
    AnnounceRelease(ShardKey),
}

/// Effects in the order of their rows.
#[derive(Clone, Debug, Default)]
pub(super) struct EffectQueue {
    effects: BTreeMap<(u64, u64), DurableEffect>,
    next_number: u64,
}

impl EffectQueue {
    pub(super) fn push(&mut self, sequence: u64, effect: DurableEffect) {
        self.effects.insert((sequence, self.next_number), effect);
        self.next_number += 1;
    }

    /// Removes and returns the next effect whose row is durable.
    pub(super) fn pop(&mut self, durable: u64) -> Option<DurableEffect> {
        let entry = self.effects.first_entry()?;
        (entry.key().0 <= durable).then(|| entry.remove())
    }

    /// Removes and returns the calls whose answers wait for rows up to `sequence`.
    pub(super) fn take_finishes(&mut self, sequence: u64) -> Vec<CallKey> {
        let is_finish = |effect: &DurableEffect| matches!(effect, DurableEffect::FinishCall(_));
        let taken = self
            .effects
            .extract_if(..=(sequence, u64::MAX), |_, effect| is_finish(effect));
        let call = |(_, effect)| match effect {
            DurableEffect::FinishCall(call) => Some(call),
            _ => None,
        };
        taken.filter_map(call).collect()
    }

    /// Removes and returns the replies that wait.
    pub(super) fn take_replies(&mut self) -> Vec<u64> {
        let mut requests = Vec::new();
        self.effects.retain(|_, effect| match effect {
            DurableEffect::Reply { request, .. } => {
                requests.push(*request);
                false
            }
            _ => true,
        });
        requests
    }

    pub(super) fn len(&self) -> usize {
        self.effects.len()
    }
}
