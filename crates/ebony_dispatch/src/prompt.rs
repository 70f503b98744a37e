//! Prompts as sequences of parts, and an estimate of the parts that a target has cached.

use std::collections::{BTreeMap, HashMap};

/// One part of a prompt. Prompts share leading parts: the turns of a program share all but the last one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PromptPart {
    /// Identifies the content.
    pub part: u64,
    /// Tokens of the part.
    pub tokens: u32,
}

#[derive(Clone, Copy, Debug)]
struct CachedPart {
    tokens: u32,
    use_number: u64,
}

/// The parts that a target is expected to have cached, with least-recently-used eviction.
///
/// This is an estimate: the engine evicts in the same order, but also serves other entries.
///
/// ```
/// use ebony_dispatch::prompt::{PromptCache, PromptPart};
///
/// let shared = PromptPart { part: 1, tokens: 512 };
/// let own = PromptPart { part: 2, tokens: 300 };
/// let mut cache = PromptCache::default();
/// cache.record(&[shared, own], 10_000);
/// assert_eq!(cache.cached_tokens(&[shared, own]), 812);
/// // A part counts only if all parts before it are cached.
/// assert_eq!(cache.cached_tokens(&[PromptPart { part: 3, tokens: 9 }, own]), 0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct PromptCache {
    parts: HashMap<u64, CachedPart>,
    parts_by_use: BTreeMap<u64, u64>,
    tokens: u64,
    next_use: u64,
}

impl PromptCache {
    /// Records that a prompt was prefilled, and evicts the least recently used parts beyond `capacity` tokens.
    pub fn record(&mut self, prompt: &[PromptPart], capacity: u64) {
        for part in prompt {
            self.touch(*part);
        }
        while self.tokens > capacity {
            let Some((_, part)) = self.parts_by_use.pop_first() else {
                return;
            };
            if let Some(cached) = self.parts.remove(&part) {
                self.tokens -= u64::from(cached.tokens);
            }
        }
    }

    /// Returns the tokens of the prompt that need no prefill.
    pub fn cached_tokens(&self, prompt: &[PromptPart]) -> u64 {
        let mut cached_tokens = 0;
        for part in prompt {
            let Some(cached) = self.parts.get(&part.part) else {
                break;
            };
            cached_tokens += u64::from(cached.tokens.min(part.tokens));
            if cached.tokens < part.tokens {
                break;
            }
        }
        cached_tokens
    }

    /// Returns the number of leading parts of the prompt that are cached.
    pub fn cached_parts(&self, prompt: &[PromptPart]) -> usize {
        prompt
            .iter()
            .take_while(|part| self.parts.contains_key(&part.part))
            .count()
    }

    /// Empties the cache, as after a restart of the target.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    fn touch(&mut self, part: PromptPart) {
        let use_number = self.next_use;
        self.next_use += 1;
        let cached = self.parts.entry(part.part).or_insert(CachedPart {
            tokens: 0,
            use_number,
        });
        if cached.tokens > 0 {
            self.parts_by_use.remove(&cached.use_number);
        }
        let added = part.tokens.max(cached.tokens);
        self.tokens += u64::from(added - cached.tokens);
        cached.tokens = added;
        cached.use_number = use_number;
        self.parts_by_use.insert(use_number, part.part);
    }
}
