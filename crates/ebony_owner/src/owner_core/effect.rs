//! Effects that are deferred until their row is durable.

use std::collections::BTreeMap;

use ebony_types::{BudgetUse, FencingToken, ProgramId, ShardKey};
use ebony_wire::ProgramView;

use crate::call::CallKey;
use crate::program::table::ProgramKey;
use crate::program::turn_body::HistoryPlan;

/// The most effects that may wait. Operations are refused at this limit; calls have limits of their own.
pub(super) const MAX_EFFECTS: usize = 65_536;

/// An effect that is carried out when its record is durable.
#[derive(Clone, Debug)]
pub(super) enum DurableEffect {
    /// Finishes the call's answer.
    FinishCall(CallKey),
    /// Dispatches the call, whose intent is now recorded.
    DispatchCall(CallKey),
    /// Lets the program spend up to the ceiling, unless the ceiling was lowered after the record.
    RaiseCeiling {
        program: ProgramKey,
        ceiling: BudgetUse,
        ceiling_decreases: u32,
    },
    /// Replies to an operation.
    Reply {
        request: u64,
        view: Box<ProgramView>,
        plan: Option<HistoryPlan>,
    },
    /// Releases the engine memory of an ended program.
    ReleaseProgram { program: ProgramId, token: FencingToken },
    /// Starts to serve an adopted shard.
    ServeShard(ShardKey),
    /// Announces that another session may adopt a released shard.
    AnnounceRelease(ShardKey),
}

/// Deferred effects in the order of their rows.
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

    /// Removes the effects that finish calls, for rows up to `sequence`, and returns the calls.
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

    /// Removes the pending replies and returns their request numbers.
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
