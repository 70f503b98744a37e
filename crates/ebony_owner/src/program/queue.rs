//! The waiting line of one program.

use std::collections::VecDeque;

use ebony_types::limits::MAX_WAITING_CALLS_PER_PROGRAM;

use crate::call::CallKey;

/// What happens to a call that joins a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EnqueueOutcome {
    /// The call is first and may start.
    Ready,
    /// The call waits.
    Waiting,
    /// The line is full.
    Full,
}

/// The calls of one program: at most one that runs, and a bounded number that wait in the order of their arrival.
#[derive(Clone, Debug, Default)]
pub struct CallQueue {
    running: Option<CallKey>,
    waiting: VecDeque<CallKey>,
}

impl CallQueue {
    /// Adds a call at the end.
    pub fn push(&mut self, call: CallKey) -> EnqueueOutcome {
        if self.running.is_none() {
            self.running = Some(call);
            EnqueueOutcome::Ready
        } else if self.waiting.len() < MAX_WAITING_CALLS_PER_PROGRAM {
            self.waiting.push_back(call);
            EnqueueOutcome::Waiting
        } else {
            EnqueueOutcome::Full
        }
    }

    /// Removes a call. Returns the call that becomes first by that.
    pub fn remove(&mut self, call: CallKey) -> Option<CallKey> {
        if self.running == Some(call) {
            self.running = self.waiting.pop_front();
            return self.running;
        }
        self.waiting.retain(|&other| other != call);
        None
    }

    /// Removes and returns the calls that wait.
    pub fn drain_waiting(&mut self) -> Vec<CallKey> {
        self.waiting.drain(..).collect()
    }

    /// Returns the call that runs.
    pub fn running(&self) -> Option<CallKey> {
        self.running
    }

    /// Returns all calls in order.
    pub fn calls(&self) -> impl Iterator<Item = CallKey> {
        self.running.iter().chain(&self.waiting).copied()
    }

    /// Returns the bytes of memory behind the fixed part.
    pub(crate) fn heap_bytes(&self) -> usize {
        self.waiting.capacity() * size_of::<CallKey>()
    }
}
