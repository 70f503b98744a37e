//! Weighted fair share between callers: start-time fair queueing with a bounded slack.
//!
//! Each caller has a tag: the service that it received, divided by its weight. The virtual time is the lowest tag of
//! a caller with waiting calls. A caller is *eligible* while its tag is at most the slack above the virtual time;
//! among eligible callers the best ranked call runs. A slack of zero is strict fair queueing, an unlimited slack
//! ignores callers. Each operation costs a logarithm of the number of waiting calls, amortized.

use std::collections::{BTreeSet, HashMap};

use ebony_types::CallerName;
use slotmap::SlotMap;

use super::QueueKey;
use super::rank::CallRank;

slotmap::new_key_type! {
    /// Names the flow of one caller.
    pub(crate) struct FlowKey;
}

/// The weight of a caller for which none was set.
pub const DEFAULT_WEIGHT: u32 = 100;

/// The most callers with a weight of their own; further ones keep the default.
const MAX_WEIGHTS: usize = 4_096;

/// The most callers without waiting calls whose tag is remembered; the lowest tags are forgotten first.
const MAX_IDLE_FLOWS: usize = 1_024;

#[derive(Debug)]
struct CallerFlow {
    caller: CallerName,
    weight: u32,
    tag: u64,
    calls: BTreeSet<(CallRank, QueueKey)>,
    is_eligible: bool,
}

#[derive(Debug)]
pub(crate) struct FlowTable {
    flows: SlotMap<FlowKey, CallerFlow>,
    by_caller: HashMap<CallerName, FlowKey>,
    weights: HashMap<CallerName, u32>,
    backlogged: BTreeSet<(u64, FlowKey)>,
    eligible: BTreeSet<(CallRank, FlowKey)>,
    ineligible: BTreeSet<(u64, FlowKey)>,
    idle: BTreeSet<(u64, FlowKey)>,
    virtual_time: u64,
    slack: u64,
}

impl FlowTable {
    pub(crate) fn open(slack: u64) -> Self {
        Self {
            flows: SlotMap::with_key(),
            by_caller: HashMap::new(),
            weights: HashMap::new(),
            backlogged: BTreeSet::new(),
            eligible: BTreeSet::new(),
            ineligible: BTreeSet::new(),
            idle: BTreeSet::new(),
            virtual_time: 0,
            slack,
        }
    }

    /// Returns the number of waiting calls of a caller.
    pub(crate) fn calls_of(&self, caller: &CallerName) -> usize {
        let flow = self.by_caller.get(caller);
        flow.map_or(0, |key| self.flows[*key].calls.len())
    }

    pub(crate) fn insert(&mut self, caller: &CallerName, rank: CallRank, call: QueueKey) -> FlowKey {
        let key = self.flow_of(caller);
        self.detach(key);
        let flow = &mut self.flows[key];
        if flow.calls.is_empty() {
            flow.tag = flow.tag.max(self.virtual_time);
        }
        flow.calls.insert((rank, call));
        self.attach(key);
        self.advance();
        key
    }

    pub(crate) fn remove(&mut self, key: FlowKey, rank: CallRank, call: QueueKey) {
        self.detach(key);
        self.flows[key].calls.remove(&(rank, call));
        self.attach(key);
        self.advance();
    }

    /// Returns up to `limit` calls in the order in which they would run: first the best call of each eligible flow, then
    /// the further calls of these flows.
    pub(crate) fn first_calls(&self, limit: usize) -> impl Iterator<Item = QueueKey> + '_ {
        let keys = || self.eligible.iter().map(|(_, key)| *key);
        let calls = |key: FlowKey| self.flows[key].calls.iter().map(|(_, call)| *call);
        let heads = keys().filter_map(move |key| calls(key).next());
        let others = keys().flat_map(move |key| calls(key).skip(1));
        heads.chain(others).take(limit)
    }

    /// Adds to the service that a caller received. A flow that was forgotten is not charged.
    pub(crate) fn charge(&mut self, caller: &CallerName, tokens: u64) {
        self.shift_tag(caller, |tag, share| tag.saturating_add(share), tokens);
    }

    /// Takes back service that was charged and not received.
    pub(crate) fn refund(&mut self, caller: &CallerName, tokens: u64) {
        self.shift_tag(caller, |tag, share| tag.saturating_sub(share), tokens);
    }

    /// Sets the weight of a caller; zero counts as one. Returns `false` if the table of weights is full.
    pub(crate) fn set_weight(&mut self, caller: &CallerName, weight: u32) -> bool {
        let weight = weight.max(1);
        if weight == DEFAULT_WEIGHT {
            self.weights.remove(caller);
        } else if self.weights.len() < MAX_WEIGHTS || self.weights.contains_key(caller) {
            self.weights.insert(caller.clone(), weight);
        } else {
            return false;
        }
        if let Some(key) = self.by_caller.get(caller) {
            self.flows[*key].weight = weight;
        }
        true
    }

    fn shift_tag(&mut self, caller: &CallerName, shift: fn(u64, u64) -> u64, tokens: u64) {
        let Some(key) = self.by_caller.get(caller).copied() else {
            return;
        };
        self.detach(key);
        let flow = &mut self.flows[key];
        let share = tokens.saturating_mul(u64::from(DEFAULT_WEIGHT)) / u64::from(flow.weight);
        flow.tag = shift(flow.tag, share).max(self.virtual_time);
        self.attach(key);
        self.advance();
    }

    fn flow_of(&mut self, caller: &CallerName) -> FlowKey {
        if let Some(key) = self.by_caller.get(caller) {
            return *key;
        }
        let weight = self.weights.get(caller).copied().unwrap_or(DEFAULT_WEIGHT);
        let key = self.flows.insert(CallerFlow {
            caller: caller.clone(),
            weight,
            tag: self.virtual_time,
            calls: BTreeSet::new(),
            is_eligible: false,
        });
        self.by_caller.insert(caller.clone(), key);
        key
    }

    /// Takes a flow out of the ordered sets, so that its tag and calls can change.
    fn detach(&mut self, key: FlowKey) {
        let flow = &mut self.flows[key];
        let Some((rank, _)) = flow.calls.first() else {
            self.idle.remove(&(flow.tag, key));
            return;
        };
        self.backlogged.remove(&(flow.tag, key));
        if flow.is_eligible {
            self.eligible.remove(&(*rank, key));
        } else {
            self.ineligible.remove(&(flow.tag, key));
        }
        flow.is_eligible = false;
    }

    fn attach(&mut self, key: FlowKey) {
        let flow = &self.flows[key];
        if flow.calls.is_empty() {
            self.idle.insert((flow.tag, key));
            return;
        }
        self.backlogged.insert((flow.tag, key));
        self.ineligible.insert((flow.tag, key));
    }

    /// Moves the virtual time to the lowest tag, and makes flows eligible that it has come close to.
    fn advance(&mut self) {
        if let Some((tag, _)) = self.backlogged.first() {
            self.virtual_time = self.virtual_time.max(*tag);
        }
        let limit = self.virtual_time.saturating_add(self.slack);
        while let Some((tag, key)) = self.ineligible.first().copied()
            && tag <= limit
        {
            self.ineligible.pop_first();
            let flow = &mut self.flows[key];
            flow.is_eligible = true;
            if let Some((rank, _)) = flow.calls.first() {
                self.eligible.insert((*rank, key));
            }
        }
        self.forget_idle();
    }

    fn forget_idle(&mut self) {
        while let Some((tag, key)) = self.idle.first().copied()
            && (tag <= self.virtual_time || self.idle.len() > MAX_IDLE_FLOWS)
        {
            self.idle.pop_first();
            if let Some(flow) = self.flows.remove(key) {
                self.by_caller.remove(&flow.caller);
            }
        }
    }
}
