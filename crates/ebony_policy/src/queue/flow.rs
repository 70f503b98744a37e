//! Weighted fair sharing between callers: start-time fair queueing with a bounded slack.
//!
//! Each caller has a tag: the service that it received, divided by its weight. The virtual time is the lowest tag of
//! a caller with waiting calls. A caller is eligible while its tag exceeds the virtual time by at most the slack, and
//! the best ranked call of all eligible callers runs next. A slack of zero is strict fair queueing; with an unlimited
//! slack, callers do not matter. Operations take amortized logarithmic time in the number of waiting calls.

use std::collections::{BTreeSet, HashMap};

use ebony_types::CallerName;
use slotmap::SlotMap;

use super::QueueKey;
use super::rank::CallRank;

slotmap::new_key_type! {
    /// Key of the flow of one caller.
    pub(crate) struct FlowKey;
}

/// Weight of a caller for which none was set.
pub const DEFAULT_WEIGHT: u32 = 100;

/// Maximum callers with a weight other than the default; further ones keep the default.
const MAX_WEIGHTS: usize = 4_096;

/// Maximum callers without waiting calls whose tag is kept; the lowest tags are removed first.
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
    pub(crate) fn waiting_calls(&self, caller: &CallerName) -> usize {
        let flow = self.by_caller.get(caller);
        flow.map_or(0, |key| self.flows[*key].calls.len())
    }

    pub(crate) fn insert(&mut self, caller: &CallerName, rank: CallRank, call: QueueKey) -> FlowKey {
        let key = self.find_or_insert(caller);
        self.remove_from_sets(key);
        let flow = &mut self.flows[key];
        if flow.calls.is_empty() {
            flow.tag = flow.tag.max(self.virtual_time);
        }
        flow.calls.insert((rank, call));
        self.add_to_sets(key);
        self.advance_virtual_time();
        key
    }

    pub(crate) fn remove(&mut self, key: FlowKey, rank: CallRank, call: QueueKey) {
        self.remove_from_sets(key);
        self.flows[key].calls.remove(&(rank, call));
        self.add_to_sets(key);
        self.advance_virtual_time();
    }

    /// Returns up to `limit` calls in the order in which they would run: the best call of each eligible flow, then the
    /// other calls of these flows.
    pub(crate) fn first_calls(&self, limit: usize) -> impl Iterator<Item = QueueKey> + '_ {
        let keys = || self.eligible.iter().map(|(_, key)| *key);
        let calls = |key: FlowKey| self.flows[key].calls.iter().map(|(_, call)| *call);
        let heads = keys().filter_map(move |key| calls(key).next());
        let others = keys().flat_map(move |key| calls(key).skip(1));
        heads.chain(others).take(limit)
    }

    /// Adds to the service that a caller received. Does nothing if its flow was removed.
    pub(crate) fn charge(&mut self, caller: &CallerName, tokens: u64) {
        self.adjust_tag(caller, |tag, service| tag.saturating_add(service), tokens);
    }

    /// Subtracts service that was charged but not received.
    pub(crate) fn refund(&mut self, caller: &CallerName, tokens: u64) {
        self.adjust_tag(caller, |tag, service| tag.saturating_sub(service), tokens);
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

    fn adjust_tag(&mut self, caller: &CallerName, adjust: fn(u64, u64) -> u64, tokens: u64) {
        let Some(key) = self.by_caller.get(caller).copied() else {
            return;
        };
        self.remove_from_sets(key);
        let flow = &mut self.flows[key];
        let service = tokens.saturating_mul(u64::from(DEFAULT_WEIGHT)) / u64::from(flow.weight);
        flow.tag = adjust(flow.tag, service).max(self.virtual_time);
        self.add_to_sets(key);
        self.advance_virtual_time();
    }

    fn find_or_insert(&mut self, caller: &CallerName) -> FlowKey {
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

    /// Removes a flow from the ordered sets. Must precede any change of its tag or calls.
    fn remove_from_sets(&mut self, key: FlowKey) {
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

    /// Adds a flow to the ordered sets. [`FlowTable::advance_virtual_time`] then makes it eligible if it is.
    fn add_to_sets(&mut self, key: FlowKey) {
        let flow = &self.flows[key];
        if flow.calls.is_empty() {
            self.idle.insert((flow.tag, key));
            return;
        }
        self.backlogged.insert((flow.tag, key));
        self.ineligible.insert((flow.tag, key));
    }

    /// Advances the virtual time to the lowest tag and marks the flows within the slack as eligible.
    fn advance_virtual_time(&mut self) {
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
        self.remove_idle();
    }

    fn remove_idle(&mut self) {
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
