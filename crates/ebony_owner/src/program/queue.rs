//! The call queue of one program.

use std::collections::VecDeque;

use ebony_types::limits::MAX_WAITING_CALLS_PER_PROGRAM;

use crate::call::CallKey;

/// The outcome of adding a call to a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EnqueueOutcome {
    /// The queue was empty, and the call may start.
    Ready,
    /// The call waits for earlier calls.
    Waiting,
    /// The queue is full, and the call was not added.
    Full,
}

/// The calls of one program: at most one that runs, and up to [`MAX_WAITING_CALLS_PER_PROGRAM`] that wait in the
/// order of their arrival.
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

    /// Removes a call. Returns the next call to start if the removed call was the running one.
    pub fn remove(&mut self, call: CallKey) -> Option<CallKey> {
        if self.running == Some(call) {
            self.running = self.waiting.pop_front();
            return self.running;
        }
        self.waiting.retain(|&other| other != call);
        None
    }

    /// Removes and returns the waiting calls.
    pub fn drain_waiting(&mut self) -> Vec<CallKey> {
        self.waiting.drain(..).collect()
    }

    /// Returns the running call.
    pub fn running(&self) -> Option<CallKey> {
        self.running
    }

    /// Returns the running call and then the waiting calls in order.
    pub fn calls(&self) -> impl Iterator<Item = CallKey> {
        self.running.iter().chain(&self.waiting).copied()
    }

    /// Returns the bytes of heap memory that the queue takes.
    pub(crate) fn heap_bytes(&self) -> usize {
        self.waiting.capacity() * size_of::<CallKey>()
    }
}
