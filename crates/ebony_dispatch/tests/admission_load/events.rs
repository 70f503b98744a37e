//! The events of the simulation, in order of time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Microseconds since the start.
pub(crate) type Micros = u64;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Event {
    /// The next program of a route arrives.
    Arrival { route: usize },
    /// The caller sends a turn.
    Send { turn: usize },
    /// The gateway looks for an engine with room.
    Place { turn: usize },
    /// The turn reaches the engine.
    Reach { turn: usize },
    /// The engine ends the turn.
    End { turn: usize },
    /// The answer arrives at the gateway.
    Answer { turn: usize },
}

#[derive(Debug, Default)]
pub(crate) struct EventQueue {
    events: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    count: u64,
}

impl EventQueue {
    pub(crate) fn push(&mut self, at: Micros, event: Event) {
        self.count += 1;
        self.events.push(Reverse((at, self.count, event)));
    }

    pub(crate) fn pop(&mut self) -> Option<(Micros, Event)> {
        let Reverse((at, _, event)) = self.events.pop()?;
        Some((at, event))
    }
}
