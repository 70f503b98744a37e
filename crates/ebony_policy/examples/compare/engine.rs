//! A fake engine with virtual time: slots, prefill in order of start, a decode step that grows with the batch, and a
//! prefix cache that evicts the least recently used program.
//!
//! Between two events all rates are constant, so the engine jumps from event to event.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};

use ebony_policy::speed::EngineSpeed;

/// How much slower a decode step is while a prefill runs.
const PREFILL_INTERFERENCE: f64 = 1.4;

/// The share of its rate that prefill loses to a full batch of decoding calls.
const DECODE_INTERFERENCE: f64 = 0.25;

/// What a call needs of an engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EngineWork {
    pub(crate) attempt: usize,
    pub(crate) program: usize,
    pub(crate) prompt_tokens: u64,
    pub(crate) output_tokens: u64,
    /// Seconds before the prefill, for an import.
    pub(crate) setup_seconds: f64,
}

/// What happened on an engine.
#[derive(Clone, Copy, Debug)]
pub(crate) enum EngineEvent {
    FirstToken(EngineWork),
    Finished(EngineWork),
}

#[derive(Clone, Copy, Debug, Default)]
struct CacheRecord {
    tokens: u64,
    reused_tokens: u64,
    use_number: u64,
    is_pinned: bool,
    is_running: bool,
}

/// Tokens that the cache filled and wasted.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CacheTally {
    pub(crate) filled: u64,
    pub(crate) evicted: u64,
    pub(crate) never_reused: u64,
}

#[derive(Debug)]
pub(crate) struct FakeEngine {
    speed: EngineSpeed,
    slots: usize,
    kv_tokens: u64,
    /// How many times slower than its speed the engine is.
    pub(crate) pace: f64,
    clock: f64,
    prefilling: VecDeque<(EngineWork, f64)>,
    decoded: f64,
    decoding: BTreeMap<(u64, usize), EngineWork>,
    cache: HashMap<usize, CacheRecord>,
    evictable: BTreeSet<(u64, usize)>,
    held: u64,
    reserved: u64,
    next_use: u64,
    exported: HashMap<usize, CacheRecord>,
    /// Programs whose record changed since the last call of [`FakeEngine::take_changes`].
    changes: Vec<(usize, u64)>,
    ended: HashSet<usize>,
    pub(crate) tally: CacheTally,
}

/// Fixed-point decode positions keep the order of finishing exact.
fn position(tokens: f64) -> u64 {
    (tokens * 1_000.0) as u64
}

impl FakeEngine {
    pub(crate) fn open(speed: EngineSpeed, slots: usize, kv_tokens: u64) -> Self {
        Self {
            speed,
            slots,
            kv_tokens,
            pace: 1.0,
            clock: 0.0,
            prefilling: VecDeque::new(),
            decoded: 0.0,
            decoding: BTreeMap::new(),
            cache: HashMap::new(),
            evictable: BTreeSet::new(),
            held: 0,
            reserved: 0,
            next_use: 0,
            exported: HashMap::new(),
            changes: Vec::new(),
            ended: HashSet::new(),
            tally: CacheTally::default(),
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

    /// Uncached tokens that wait for prefill or are being filled.
    pub(crate) fn pending_tokens(&self) -> u64 {
        let rate = self.speed.prefill_tokens_per_second;
        let tokens = self.prefilling.iter().map(|(_, seconds)| seconds * rate);
        tokens.sum::<f64>() as u64
    }

    pub(crate) fn cached_tokens(&self, program: usize) -> u64 {
        self.cache.get(&program).map_or(0, |record| record.tokens)
    }

    /// Returns the tokens that are missing for a call before anything is evicted.
    pub(crate) fn missing_tokens(&self, work: &EngineWork) -> u64 {
        let own = self.cached_tokens(work.program);
        let need = (work.prompt_tokens + work.output_tokens).saturating_sub(own);
        (self.held_tokens() + need).saturating_sub(self.kv_tokens)
    }

    /// Returns the tokens that are missing for a call after all evictable records are gone; zero if it fits.
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

    /// Starts a call, which must fit.
    pub(crate) fn start(&mut self, work: EngineWork) {
        let mut record = self.cache.get(&work.program).copied().unwrap_or_default();
        let hit = record.tokens.min(work.prompt_tokens);
        record.reused_tokens = record.reused_tokens.max(hit);
        record.is_running = true;
        record.is_pinned = false;
        self.put(work.program, record);
        let need = (work.prompt_tokens + work.output_tokens).saturating_sub(record.tokens);
        while self.held_tokens() + need > self.kv_tokens
            && let Some((_, program)) = self.evictable.first().copied()
        {
            self.drop_record(program);
        }
        self.reserved += need;
        self.tally.filled += need;
        let seconds = self.speed.prefill_seconds(work.prompt_tokens - hit) + work.setup_seconds;
        self.prefilling.push_back((work, seconds));
    }

    /// Ends a call that has no first token yet. What was filled so far counts as filled.
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
            self.tally.evicted += need;
            self.settle(work.program, record.tokens);
        }
        true
    }

    /// Loses all calls and returns their attempts. What they filled is wasted.
    pub(crate) fn fail(&mut self) -> Vec<usize> {
        let prefilling = self.prefilling.drain(..).map(|(work, _)| work);
        let works: Vec<EngineWork> = prefilling
            .chain(std::mem::take(&mut self.decoding).into_values())
            .collect();
        for work in &works {
            let tokens = self.cached_tokens(work.program);
            self.tally.evicted += (work.prompt_tokens + work.output_tokens).saturating_sub(tokens);
            self.settle(work.program, tokens);
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

    /// Moves the clock to `now`, which must not lie behind the next event by more than rounding, and returns what
    /// happened.
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
            && key.0 <= position(self.decoded + 1e-3)
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
            self.put(program, record);
        }
    }

    /// Releases a program's record unless a call of it runs.
    pub(crate) fn release(&mut self, program: usize) {
        if self.cache.get(&program).is_some_and(|record| !record.is_running) {
            self.drop_record(program);
        }
    }

    pub(crate) fn export(&mut self, program: usize) {
        if let Some(record) = self.take(program) {
            self.exported.insert(program, record);
        }
    }

    /// Brings an exported record back and returns its tokens. It takes part of the room of the call that follows.
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
        self.put(program, record);
        record.tokens
    }

    pub(crate) fn drop_export(&mut self, program: usize) {
        if let Some(record) = self.exported.remove(&program) {
            self.count_waste(program, record);
        }
    }

    /// Notes that a program has ended: its record can no longer be needed.
    pub(crate) fn end_program(&mut self, program: usize) {
        self.ended.insert(program);
    }

    /// Drops everything that is cached, for a change of the model.
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

    /// Counts what is left in the cache at the end of a run.
    pub(crate) fn close(&mut self) {
        let mut programs: Vec<usize> = self.cache.keys().chain(self.exported.keys()).copied().collect();
        programs.sort_unstable();
        for program in programs {
            self.end_program(program);
            self.drop_record(program);
            self.drop_export(program);
        }
    }

    /// Returns programs with the tokens that are held of them now, for cache events.
    pub(crate) fn take_changes(&mut self) -> Vec<(usize, u64)> {
        std::mem::take(&mut self.changes)
    }

    fn prefill_rate(&self) -> f64 {
        let batch_share = self.decoding.len() as f64 / self.slots as f64;
        (1.0 - DECODE_INTERFERENCE * batch_share) / self.pace
    }

    fn step_seconds(&self) -> f64 {
        let batch = u32::try_from(self.decoding.len()).unwrap_or(u32::MAX);
        let interference = if self.prefilling.is_empty() {
            1.0
        } else {
            PREFILL_INTERFERENCE
        };
        self.speed.step_seconds(batch) * interference * self.pace
    }

    fn finish_prefill(&mut self) -> Option<EngineEvent> {
        let (work, _) = self.prefilling.pop_front()?;
        let end = position(self.decoded + work.output_tokens as f64);
        self.decoding.insert((end, work.attempt), work);
        Some(EngineEvent::FirstToken(work))
    }

    fn finish_call(&mut self, work: &EngineWork) {
        let held = self.cache.get(&work.program).map_or(0, |record| record.tokens);
        let total = work.prompt_tokens + work.output_tokens;
        self.reserved -= total.saturating_sub(held);
        self.settle(work.program, total.max(held));
    }

    fn settle(&mut self, program: usize, tokens: u64) {
        self.next_use += 1;
        let mut record = self.cache.get(&program).copied().unwrap_or_default();
        record.tokens = tokens;
        record.is_running = false;
        record.use_number = self.next_use;
        self.put(program, record);
        self.changes.push((program, tokens));
    }

    fn put(&mut self, program: usize, record: CacheRecord) {
        self.take(program);
        self.held += record.tokens;
        if !record.is_running && !record.is_pinned {
            self.evictable.insert((record.use_number, program));
        }
        self.cache.insert(program, record);
    }

    fn take(&mut self, program: usize) -> Option<CacheRecord> {
        let record = self.cache.remove(&program)?;
        self.evictable.remove(&(record.use_number, program));
        self.held -= record.tokens;
        Some(record)
    }

    fn drop_record(&mut self, program: usize) {
        if let Some(record) = self.take(program) {
            self.count_waste(program, record);
            self.changes.push((program, 0));
        }
    }

    fn count_waste(&mut self, program: usize, record: CacheRecord) {
        if self.ended.contains(&program) {
            self.tally.never_reused += record.tokens - record.reused_tokens.min(record.tokens);
        } else {
            self.tally.evicted += record.tokens;
        }
    }
}
