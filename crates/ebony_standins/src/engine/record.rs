//! The answers of running and recent calls.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use ebony_types::CallId;
use futures_util::stream::{self, Stream};
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// The largest part of an answer that is read at once, in bytes.
const MAX_PART_BYTES: usize = 64 * 1024;

/// Says that an answer ended before it was whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("the answer was broken off")]
pub(crate) struct BrokenAnswer;

/// The result of reading an answer.
pub(crate) type Result<T, E = BrokenAnswer> = std::result::Result<T, E>;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallPhase {
    Running,
    Ended,
    Broken,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct CallProgress {
    phase: CallPhase,
    length: usize,
}

/// The answer of one call, as far as it exists.
pub(crate) struct CallRecord {
    pub(crate) is_streamed: bool,
    // Bounded by the most words of an answer.
    buffer: RefCell<Vec<u8>>,
    progress: watch::Sender<CallProgress>,
}

impl CallRecord {
    pub(crate) fn open(is_streamed: bool) -> Rc<Self> {
        let progress = CallProgress {
            phase: CallPhase::Running,
            length: 0,
        };
        Rc::new(Self {
            is_streamed,
            buffer: RefCell::default(),
            progress: watch::Sender::new(progress),
        })
    }

    pub(crate) fn push(&self, bytes: &[u8]) {
        self.buffer.borrow_mut().extend_from_slice(bytes);
        self.progress
            .send_modify(|progress| progress.length += bytes.len());
    }

    pub(crate) fn end(&self) {
        self.progress
            .send_modify(|progress| progress.phase = CallPhase::Ended);
    }

    /// Breaks the answer off unless it has ended. Returns whether it did.
    pub(crate) fn break_off(&self) -> bool {
        let was_running = self.progress.borrow().phase == CallPhase::Running;
        if was_running {
            self.progress
                .send_modify(|progress| progress.phase = CallPhase::Broken);
        }
        was_running
    }

    /// Waits for the end and returns the answer from an offset; `None` if the answer is shorter.
    pub(crate) async fn whole(&self, offset: usize) -> Result<Option<Bytes>> {
        let progress = self
            .wait_for(|progress| progress.phase != CallPhase::Running)
            .await;
        if progress.phase == CallPhase::Broken {
            return Err(BrokenAnswer);
        }
        let buffer = self.buffer.borrow();
        Ok(buffer.get(offset..).map(Bytes::copy_from_slice))
    }

    /// Tells whether an answer that has ended is shorter than an offset.
    pub(crate) fn ends_before(&self, offset: usize) -> bool {
        let progress = *self.progress.borrow();
        progress.phase != CallPhase::Running && progress.length < offset
    }

    /// Returns the answer from an offset as it grows.
    pub(crate) fn parts(self: Rc<Self>, offset: usize) -> impl Stream<Item = Result<Bytes>> {
        stream::unfold(Some((self, offset)), |state| async {
            let (record, offset) = state?;
            match record.next_part(offset).await {
                Ok(Some(part)) => {
                    let next = offset + part.len();
                    Some((Ok(part), Some((record, next))))
                }
                Ok(None) => None,
                Err(broken) => Some((Err(broken), None)),
            }
        })
    }

    async fn next_part(&self, offset: usize) -> Result<Option<Bytes>> {
        let progress = self
            .wait_for(|progress| progress.length > offset || progress.phase != CallPhase::Running)
            .await;
        if progress.length > offset {
            let end = progress.length.min(offset + MAX_PART_BYTES);
            let buffer = self.buffer.borrow();
            return Ok(buffer.get(offset..end).map(Bytes::copy_from_slice));
        }
        match progress.phase {
            CallPhase::Broken => Err(BrokenAnswer),
            CallPhase::Ended | CallPhase::Running => Ok(None),
        }
    }

    async fn wait_for(&self, condition: impl FnMut(&CallProgress) -> bool) -> CallProgress {
        let mut receiver = self.progress.subscribe();
        // The sender is part of this record, so that the channel cannot be closed.
        receiver.wait_for(condition).await.ok();
        *self.progress.borrow()
    }
}

struct CallEntry {
    record: Rc<CallRecord>,
    task: Option<AbortHandle>,
}

/// Running and recent calls. An ended call leaves after a time, or when there are too many.
#[derive(Default)]
pub(crate) struct CallTable {
    entries: HashMap<CallId, CallEntry>,
    ended: VecDeque<(Instant, CallId, Rc<CallRecord>)>,
}

impl CallTable {
    /// Adds a call; a call that ran under the same identifier is forgotten.
    pub(crate) fn insert(&mut self, call: CallId, record: Rc<CallRecord>) {
        self.entries.insert(call, CallEntry { record, task: None });
    }

    /// Keeps the handle by which a call is cancelled.
    pub(crate) fn set_task(&mut self, call: CallId, task: AbortHandle) {
        if let Some(entry) = self.entries.get_mut(&call) {
            entry.task = Some(task);
        }
    }

    /// Notes that a call has ended, which starts the time that its answer is kept.
    pub(crate) fn note_end(&mut self, call: CallId, record: Rc<CallRecord>) {
        self.ended.push_back((Instant::now(), call, record));
    }

    pub(crate) fn get(&self, call: CallId) -> Option<Rc<CallRecord>> {
        Some(Rc::clone(&self.entries.get(&call)?.record))
    }

    /// Cancels a call. Returns whether it was running.
    pub(crate) fn cancel(&mut self, call: CallId) -> bool {
        let Some(entry) = self.entries.get_mut(&call) else {
            return false;
        };
        if let Some(task) = entry.task.take() {
            task.abort();
        }
        let record = Rc::clone(&entry.record);
        let was_running = record.break_off();
        if was_running {
            self.note_end(call, record);
        }
        was_running
    }

    /// Forgets calls that ended longer ago than `keep`, and the oldest ones over `max`.
    pub(crate) fn sweep(&mut self, keep: Duration, max: usize) {
        while let Some((ended_at, _, _)) = self.ended.front() {
            if ended_at.elapsed() < keep && self.ended.len() <= max {
                return;
            }
            let Some((_, call, record)) = self.ended.pop_front() else {
                return;
            };
            let entry = self.entries.get(&call);
            if entry.is_some_and(|entry| Rc::ptr_eq(&entry.record, &record)) {
                self.entries.remove(&call);
            }
        }
    }

    /// Forgets all calls. Their answers stay without an end until their connections close.
    pub(crate) fn crash(&mut self) {
        for (_, entry) in self.entries.drain() {
            if let Some(task) = entry.task {
                task.abort();
            }
        }
        self.ended.clear();
    }
}
