//! Simulated engine in virtual time: slots, prefill in order of start, decode steps that grow with the batch, and a
//! prefix cache that evicts the least recently used program.
//!
//! All rates are constant between two events, so the simulation advances from event to event.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};

use ebony_policy::speed::EngineSpeed;

/// Factor by which a decode step is slower while a prefill runs.
const PREFILL_INTERFERENCE: f64 = 1.4;

/// Share of the prefill rate that is lost to a full batch of decoding calls.
const DECODE_INTERFERENCE: f64 = 0.25;

/// The work of one attempt of a call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EngineWork {
    pub(crate) attempt: usize,
    pub(crate) program: usize,
    pub(crate) prompt_tokens: u64,
    pub(crate) output_tokens: u64,
    /// Seconds before the prefill starts, for an import.
    pub(crate) setup_seconds: f64,
}

/// An event on an engine.
#[derive(Clone, Copy, Debug)]
pub(crate) enum EngineEvent {
    FirstToken(EngineWork),
    Finished(EngineWork),
}

#[derive(Clone, Copy, Debug, Default)]
struct CacheRecord {
    tokens: u64,
    reused_tokens: u64,
    use_sequence: u64,
    is_pinned: bool,
    is_running: bool,
}

/// Counters of tokens filled and wasted by the cache.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CacheCounters {
    pub(crate) filled: u64,
    pub(crate) evicted: u64,
    pub(crate) never_reused: u64,
}

#[derive(Debug)]
pub(crate) struct FakeEngine {
    speed: EngineSpeed,
    slots: usize,
    kv_tokens: u64,
    /// Factor by which the engine is slower than its nominal speed.
    pub(crate) slowdown: f64,
    clock: f64,
    prefilling: VecDeque<(EngineWork, f64)>,
    decoded: f64,
    decoding: BTreeMap<(u64, usize), EngineWork>,
    cache: HashMap<usize, CacheRecord>,
    evictable: BTreeSet<(u64, usize)>,
    held: u64,
    reserved: u64,
    last_use_sequence: u64,
    exported: HashMap<usize, CacheRecord>,
    /// Programs whose record has changed since the last [`FakeEngine::take_changes`], with their cached tokens.
    changes: Vec<(usize, u64)>,
    ended: HashSet<usize>,
    pub(crate) counters: CacheCounters,
}

/// Converts a decode position to fixed point, so that the order in which calls finish is exact.
fn fixed_point(tokens: f64) -> u64 {
    (tokens * 1_000.0) as u64
}

impl FakeEngine {
    pub(crate) fn open(speed: EngineSpeed, slots: usize, kv_tokens: u64) -> Self {
        Self {
            speed,
            slots,
            kv_tokens,
            slowdown: 1.0,
            clock: 0.0,
            prefilling: VecDeque::new(),
            decoded: 0.0,
            decoding: BTreeMap::new(),
            cache: HashMap::new(),
            evictable: BTreeSet::new(),
            held: 0,
            reserved: 0,
            last_use_sequence: 0,
            exported: HashMap::new(),
            changes: Vec::new(),
            ended: HashSet::new(),
            counters: CacheCounters::default(),
        }
    }

    pub(crate) fn running(&self) -> usize {
        self.prefilling.len() + self.decoding.len()
    }

    pub(crate) fn has_slot(&self) -> bool {
        self.running() < self.slots
    }

    pub(crate) fn held_tokens(&self) -> u64 {
        self.held + self.reserved
    }

    pub(crate) fn kv_tokens(&self) -> u64 {
        self.kv_tokens
    }

    /// Returns the uncached tokens that wait for prefill or are being filled.
    pub(crate) fn pending_tokens(&self) -> u64 {
        let rate = self.speed.prefill_tokens_per_second;
        let tokens = self.prefilling.iter().map(|(_, seconds)| seconds * rate);
        tokens.sum::<f64>() as u64
    }

    pub(crate) fn cached_tokens(&self, program: usize) -> u64 {
        self.cache.get(&program).map_or(0, |record| record.tokens)
    }

    /// Returns the tokens of memory that are missing for a call without evictions.
    pub(crate) fn missing_tokens(&self, work: &EngineWork) -> u64 {
        let own = self.cached_tokens(work.program);
        let need = (work.prompt_tokens + work.output_tokens).saturating_sub(own);
        (self.held_tokens() + need).saturating_sub(self.kv_tokens)
    }

    /// Returns the tokens of memory that are missing for a call after evicting all evictable records; zero if it fits.
    pub(crate) fn shortfall(&self, work: &EngineWork) -> u64 {
        let own = self.cached_tokens(work.program);
        let need = (work.prompt_tokens + work.output_tokens).saturating_sub(own);
        let evictable = self
            .evictable
            .iter()
            .filter(|(_, program)| *program != work.program);
        let evictable: u64 = evictable.map(|(_, program)| self.cache[program].tokens).sum();
        (self.held_tokens() + need).saturating_sub(self.kv_tokens + evictable)
    }

    /// Starts a call, for which [`FakeEngine::shortfall`] must be zero.
    pub(crate) fn start(&mut self, work: EngineWork) {
        let mut record = self.cache.get(&work.program).copied().unwrap_or_default();
        let hit = record.tokens.min(work.prompt_tokens);
        record.reused_tokens = record.reused_tokens.max(hit);
        record.is_running = true;
        record.is_pinned = false;
        self.insert_record(work.program, record);
        let need = (work.prompt_tokens + work.output_tokens).saturating_sub(record.tokens);
        while self.held_tokens() + need > self.kv_tokens
            && let Some((_, program)) = self.evictable.first().copied()
        {
            self.drop_record(program);
        }
        self.reserved += need;
        self.counters.filled += need;
        let seconds = self.speed.prefill_seconds(work.prompt_tokens - hit) + work.setup_seconds;
        self.prefilling.push_back((work, seconds));
    }

    /// Cancels a call that has no first token yet. Its uncached tokens count as filled and evicted.
    pub(crate) fn cancel(&mut self, attempt: usize) -> bool {
        let Some(index) = self
            .prefilling
            .iter()
            .position(|(work, _)| work.attempt == attempt)
        else {
            return false;
        };
        if let Some((work, _)) = self.prefilling.remove(index) {
            let record = self.cache.get(&work.program).copied().unwrap_or_default();
            let need = (work.prompt_tokens + work.output_tokens).saturating_sub(record.tokens);
            self.reserved -= need;
            self.counters.evicted += need;
            self.finish_use(work.program, record.tokens);
        }
        true
    }

    /// Fails all calls and returns their attempts. The tokens that they filled are wasted.
    pub(crate) fn fail(&mut self) -> Vec<usize> {
        let prefilling = self.prefilling.drain(..).map(|(work, _)| work);
        let works: Vec<EngineWork> = prefilling
            .chain(std::mem::take(&mut self.decoding).into_values())
            .collect();
        for work in &works {
            let tokens = self.cached_tokens(work.program);
            self.counters.evicted += (work.prompt_tokens + work.output_tokens).saturating_sub(tokens);
            self.finish_use(work.program, tokens);
        }
        self.reserved = 0;
        works.into_iter().map(|work| work.attempt).collect()
    }

    /// Returns the time of the next event, in seconds.
    pub(crate) fn next_event(&self) -> Option<f64> {
        let prefill = self
            .prefilling
            .front()
            .map(|(_, seconds)| self.clock + seconds / self.prefill_rate());
        let decode = self.decoding.first_key_value().map(|((end, _), _)| {
            let tokens = (*end as f64 / 1_000.0 - self.decoded).max(0.0);
            self.clock + tokens * self.step_seconds()
        });
        match (prefill, decode) {
            (Some(prefill), Some(decode)) => Some(prefill.min(decode)),
            (prefill, decode) => prefill.or(decode),
        }
    }

    /// Advances the clock to `now`, which must not exceed the time of the next event by more than rounding, and returns
    /// the events.
    pub(crate) fn advance(&mut self, now: f64) -> Vec<EngineEvent> {
        let elapsed = (now - self.clock).max(0.0);
        let (prefill_rate, step_seconds) = (self.prefill_rate(), self.step_seconds());
        self.clock = self.clock.max(now);
        if !self.decoding.is_empty() {
            self.decoded += elapsed / step_seconds;
        }
        let mut events = Vec::new();
        if let Some((_, seconds)) = self.prefilling.front_mut() {
            *seconds -= elapsed * prefill_rate;
            if *seconds <= 1e-6 {
                events.extend(self.finish_prefill());
            }
        }
        while let Some((key, work)) = self.decoding.first_key_value().map(|(key, work)| (*key, *work))
            && key.0 <= fixed_point(self.decoded + 1e-3)
        {
            self.decoding.remove(&key);
            self.finish_call(&work);
            events.push(EngineEvent::Finished(work));
        }
        events
    }

    pub(crate) fn pin(&mut self, program: usize, is_pinned: bool) {
        if let Some(mut record) = self.cache.get(&program).copied() {
            record.is_pinned = is_pinned;
            self.insert_record(program, record);
        }
    }

    /// Releases a program's record unless the program has a running call.
    pub(crate) fn release(&mut self, program: usize) {
        if self.cache.get(&program).is_some_and(|record| !record.is_running) {
            self.drop_record(program);
        }
    }

    pub(crate) fn export(&mut self, program: usize) {
        if let Some(record) = self.remove_record(program) {
            self.exported.insert(program, record);
        }
    }

    /// Imports an exported record and returns its tokens. They are part of the memory that the following call needs.
    pub(crate) fn import(&mut self, program: usize) -> u64 {
        let Some(record) = self.exported.remove(&program) else {
            return 0;
        };
        self.drop_record(program);
        while self.held_tokens() + record.tokens > self.kv_tokens
            && let Some((_, victim)) = self.evictable.first().copied()
        {
            self.drop_record(victim);
        }
        self.insert_record(program, record);
        record.tokens
    }

    pub(crate) fn drop_export(&mut self, program: usize) {
        if let Some(record) = self.exported.remove(&program) {
            self.count_waste(program, record);
        }
    }

    /// Records that a program has ended, so that its record is no longer needed.
    pub(crate) fn end_program(&mut self, program: usize) {
        self.ended.insert(program);
    }

    /// Drops all cached records, for a change of the model.
    pub(crate) fn flush(&mut self) {
        while let Some((_, program)) = self.evictable.first().copied() {
            self.drop_record(program);
        }
        let mut programs: Vec<usize> = self.cache.keys().copied().collect();
        programs.sort_unstable();
        for program in programs {
            self.release(program);
        }
    }

    /// Counts the waste of the records that are left at the end of a run.
    pub(crate) fn close(&mut self) {
        let mut programs: Vec<usize> = self.cache.keys().chain(self.exported.keys()).copied().collect();
        programs.sort_unstable();
        for program in programs {
            self.end_program(program);
            self.drop_record(program);
            self.drop_export(program);
        }
    }

    /// Returns the changed programs with their cached tokens, for cache events.
    pub(crate) fn take_changes(&mut self) -> Vec<(usize, u64)> {
        std::mem::take(&mut self.changes)
    }

    fn prefill_rate(&self) -> f64 {
        let batch_share = self.decoding.len() as f64 / self.slots as f64;
        (1.0 - DECODE_INTERFERENCE * batch_share) / self.slowdown
    }

    fn step_seconds(&self) -> f64 {
        let batch = u32::try_from(self.decoding.len()).unwrap_or(u32::MAX);
        let interference = if self.prefilling.is_empty() {
            1.0
        } else {
            PREFILL_INTERFERENCE
        };
        self.speed.step_seconds(batch) * interference * self.slowdown
    }

    fn finish_prefill(&mut self) -> Option<EngineEvent> {
        let (work, _) = self.prefilling.pop_front()?;
        let end = fixed_point(self.decoded + work.output_tokens as f64);
        self.decoding.insert((end, work.attempt), work);
        Some(EngineEvent::FirstToken(work))
    }

    fn finish_call(&mut self, work: &EngineWork) {
        let held = self.cache.get(&work.program).map_or(0, |record| record.tokens);
        let total = work.prompt_tokens + work.output_tokens;
        self.reserved -= total.saturating_sub(held);
        self.finish_use(work.program, total.max(held));
    }

    fn finish_use(&mut self, program: usize, tokens: u64) {
        self.last_use_sequence += 1;
        let mut record = self.cache.get(&program).copied().unwrap_or_default();
        record.tokens = tokens;
        record.is_running = false;
        record.use_sequence = self.last_use_sequence;
        self.insert_record(program, record);
        self.changes.push((program, tokens));
    }

    fn insert_record(&mut self, program: usize, record: CacheRecord) {
        self.remove_record(program);
        self.held += record.tokens;
        if !record.is_running && !record.is_pinned {
            self.evictable.insert((record.use_sequence, program));
        }
        self.cache.insert(program, record);
    }

    fn remove_record(&mut self, program: usize) -> Option<CacheRecord> {
        let record = self.cache.remove(&program)?;
        self.evictable.remove(&(record.use_sequence, program));
        self.held -= record.tokens;
        Some(record)
    }

    fn drop_record(&mut self, program: usize) {
        if let Some(record) = self.remove_record(program) {
            self.count_waste(program, record);
            self.changes.push((program, 0));
        }
    }

    fn count_waste(&mut self, program: usize, record: CacheRecord) {
        if self.ended.contains(&program) {
            self.counters.never_reused += record.tokens - record.reused_tokens.min(record.tokens);
        } else {
            self.counters.evicted += record.tokens;
        }
    }
}
