//! Prompts as chains of parts, and which parts a target has read.

use std::collections::{BTreeMap, HashMap};

/// One part of a prompt. Prompts share parts: a program's turns share all but the last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PromptPart {
    /// Identifies the content.
    pub part: u64,
    /// Tokens of the part.
    pub tokens: u32,
}

#[derive(Clone, Copy, Debug)]
struct HeldPart {
    tokens: u32,
    use_number: u64,
}

/// The parts that a target is expected to hold, least recently used first out.
///
/// The engine evicts in the same order, but serves other entries as well, so that the cache is a guess.
///
/// ```
/// use ebony_dispatch::prompt::{PromptCache, PromptPart};
///
/// let shared = PromptPart { part: 1, tokens: 512 };
/// let own = PromptPart { part: 2, tokens: 300 };
/// let mut cache = PromptCache::default();
/// cache.record(&[shared, own], 10_000);
/// assert_eq!(cache.held_tokens(&[shared, own]), 812);
/// // A part counts only behind parts that are held.
/// assert_eq!(cache.held_tokens(&[PromptPart { part: 3, tokens: 9 }, own]), 0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct PromptCache {
    parts: HashMap<u64, HeldPart>,
    by_use: BTreeMap<u64, u64>,
    tokens: u64,
    next_use: u64,
}

impl PromptCache {
    /// Notes that a prompt was read; drops the least recently used parts above `capacity` tokens.
    pub fn record(&mut self, prompt: &[PromptPart], capacity: u64) {
        for part in prompt {
            self.touch(*part);
        }
        while self.tokens > capacity {
            let Some((_, part)) = self.by_use.pop_first() else {
                return;
            };
            if let Some(held) = self.parts.remove(&part) {
                self.tokens -= u64::from(held.tokens);
            }
        }
    }

    /// Returns the tokens of the prompt that need not be read.
    pub fn held_tokens(&self, prompt: &[PromptPart]) -> u64 {
        let mut held_tokens = 0;
        for part in prompt {
            let Some(held) = self.parts.get(&part.part) else {
                break;
            };
            held_tokens += u64::from(held.tokens.min(part.tokens));
            if held.tokens < part.tokens {
                break;
            }
        }
        held_tokens
    }

    /// Returns how many parts at the start of the prompt are held.
    pub fn held_parts(&self, prompt: &[PromptPart]) -> usize {
        prompt
            .iter()
            .take_while(|part| self.parts.contains_key(&part.part))
            .count()
    }

    /// Forgets everything, as after a restart of the target.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    fn touch(&mut self, part: PromptPart) {
        let use_number = self.next_use;
        self.next_use += 1;
        let held = self.parts.entry(part.part).or_insert(HeldPart {
            tokens: 0,
            use_number,
        });
        if held.tokens > 0 {
            self.by_use.remove(&held.use_number);
        }
        let added = part.tokens.max(held.tokens);
        self.tokens += u64::from(added - held.tokens);
        held.tokens = added;
        held.use_number = use_number;
        self.by_use.insert(use_number, part.part);
    }
}
