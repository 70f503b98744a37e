//! Engines with slots and a short queue, and a plain service for tool calls.

use std::collections::VecDeque;

use ebony_dispatch::load::LoadNotice;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::events::Micros;

pub(crate) const ENGINES: usize = 40;
pub(crate) const SLOTS: u32 = 6;
/// Calls that an engine queues; it turns further ones away.
const QUEUE: usize = 6;
/// How much longer than usual the engines take, by turns.
const ENGINE_PACE: [f64; 3] = [0.7, 0.7, 1.7];
/// A part of the hosts is slower for a spell.
const SPELL: Micros = 600_000;
const SPELL_SHARE: f64 = 0.15;
const SPELL_PACE: f64 = 2.5;

/// A call at an engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EngineCall {
    pub(crate) call: usize,
    pub(crate) work: Micros,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Engine {
    running: u32,
    queue: VecDeque<EngineCall>,
    pace: f64,
    spell_until: Micros,
    is_slow: bool,
}

/// What became of a call that reached an engine.
pub(crate) enum Arrival {
    /// It ends after this time.
    Runs(Micros),
    Queued,
    TurnedAway,
}

impl Engine {
    pub(crate) fn open(number: usize) -> Self {
        Self {
            pace: ENGINE_PACE[number % ENGINE_PACE.len()],
            ..Self::default()
        }
    }

    pub(crate) fn arrive(&mut self, call: EngineCall, now: Micros, rng: &mut ChaCha8Rng) -> Arrival {
        if self.running < SLOTS {
            return Arrival::Runs(self.start(call, now, rng));
        }
        if self.queue.len() >= QUEUE {
            return Arrival::TurnedAway;
        }
        self.queue.push_back(call);
        Arrival::Queued
    }

    /// Ends a call. Returns the queued call that starts, and the time that it takes.
    pub(crate) fn end(&mut self, now: Micros, rng: &mut ChaCha8Rng) -> Option<(usize, Micros)> {
        self.running -= 1;
        let next = self.queue.pop_front()?;
        Some((next.call, self.start(next, now, rng)))
    }

    pub(crate) fn notice(&self) -> LoadNotice {
        LoadNotice {
            running: self.running,
            waiting: self.queue.len() as u32,
            slots: SLOTS,
            ..LoadNotice::default()
        }
    }

    fn start(&mut self, call: EngineCall, now: Micros, rng: &mut ChaCha8Rng) -> Micros {
        if now >= self.spell_until {
            self.spell_until = now + SPELL;
            self.is_slow = rng.random_bool(SPELL_SHARE);
        }
        self.running += 1;
        let spell = if self.is_slow { SPELL_PACE } else { 1.0 };
        (call.work as f64 * self.pace * spell) as Micros
    }
}

/// The targets of tool calls, each with its slots by the time at which they are free.
pub(crate) struct ToolService(Vec<[Micros; SLOTS as usize]>);

impl ToolService {
    pub(crate) fn open(targets: usize) -> Self {
        Self(vec![[0; SLOTS as usize]; targets])
    }

    /// Returns when a tool call ends that is sent now. Of two random targets, the one that is free first gets it.
    pub(crate) fn call(&mut self, work: Micros, now: Micros, rng: &mut ChaCha8Rng) -> Micros {
        let count = self.0.len();
        let free_at = |target: usize| self.0[target].iter().min().copied().unwrap_or_default();
        let (one, other) = (rng.random_range(0..count), rng.random_range(0..count));
        let target = if free_at(one) <= free_at(other) {
            one
        } else {
            other
        };
        let slot = self.0[target].iter_mut().min().expect("a target has slots");
        *slot = now.max(*slot) + work;
        *slot
    }
}
