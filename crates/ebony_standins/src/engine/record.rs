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

/// Maximum size of one part of a streamed answer.
const MAX_PART_BYTES: usize = 64 * 1024;

/// The call was cancelled before its answer was complete, or the stream was cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("the answer was interrupted")]
pub(crate) struct InterruptedAnswer;

/// The result of reading an answer.
pub(crate) type Result<T, E = InterruptedAnswer> = std::result::Result<T, E>;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallPhase {
    Running,
    Ended,
    Interrupted,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct CallProgress {
    phase: CallPhase,
    length: usize,
}

/// The answer of one call, as generated so far.
pub(crate) struct CallRecord {
    pub(crate) is_streamed: bool,
    // Bounded by the maximum number of words of an answer.
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

    /// Interrupts the answer unless it has ended. Returns whether it did.
    pub(crate) fn interrupt(&self) -> bool {
        let was_running = self.progress.borrow().phase == CallPhase::Running;
        if was_running {
            self.progress
                .send_modify(|progress| progress.phase = CallPhase::Interrupted);
        }
        was_running
    }

    /// Waits for the end of the answer and returns it from an offset; `None` if the answer is shorter.
    pub(crate) async fn complete(&self, offset: usize) -> Result<Option<Bytes>> {
        let progress = self
            .wait_for(|progress| progress.phase != CallPhase::Running)
            .await;
        if progress.phase == CallPhase::Interrupted {
            return Err(InterruptedAnswer);
        }
        let buffer = self.buffer.borrow();
        Ok(buffer.get(offset..).map(Bytes::copy_from_slice))
    }

    /// Returns whether the answer has ended and is shorter than an offset.
    pub(crate) fn ends_before(&self, offset: usize) -> bool {
        let progress = *self.progress.borrow();
        progress.phase != CallPhase::Running && progress.length < offset
    }

    /// Streams the answer from an offset as it is generated.
    pub(crate) fn parts(self: Rc<Self>, offset: usize) -> impl Stream<Item = Result<Bytes>> {
        stream::unfold(Some((self, offset)), |state| async {
            let (record, offset) = state?;
            match record.next_part(offset).await {
                Ok(Some(part)) => {
                    let next = offset + part.len();
                    Some((Ok(part), Some((record, next))))
                }
                Ok(None) => None,
                Err(error) => Some((Err(error), None)),
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
            CallPhase::Interrupted => Err(InterruptedAnswer),
            CallPhase::Ended | CallPhase::Running => Ok(None),
        }
    }

    async fn wait_for(&self, condition: impl FnMut(&CallProgress) -> bool) -> CallProgress {
        let mut receiver = self.progress.subscribe();
        // Cannot fail: the sender is a field of this record, so the channel stays open.
        receiver.wait_for(condition).await.ok();
        *self.progress.borrow()
    }
}

struct CallEntry {
    record: Rc<CallRecord>,
    task: Option<AbortHandle>,
}

/// Running and recently ended calls. [`CallTable::sweep`] removes ended calls by age and number.
#[derive(Default)]
pub(crate) struct CallTable {
    entries: HashMap<CallId, CallEntry>,
    ended: VecDeque<(Instant, CallId, Rc<CallRecord>)>,
}

impl CallTable {
    /// Adds a call, replacing an earlier one with the same identifier.
    pub(crate) fn insert(&mut self, call: CallId, record: Rc<CallRecord>) {
        self.entries.insert(call, CallEntry { record, task: None });
    }

    /// Stores the handle that cancels a call.
    pub(crate) fn set_task(&mut self, call: CallId, task: AbortHandle) {
        if let Some(entry) = self.entries.get_mut(&call) {
            entry.task = Some(task);
        }
    }

    /// Records the end of a call, which starts the retention period of its answer.
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
        let was_running = record.interrupt();
        if was_running {
            self.note_end(call, record);
        }
        was_running
    }

    /// Removes calls that ended at least `keep` ago, and the oldest ended calls above `max`.
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

    /// Aborts and removes all calls. Their answers neither end nor fail until their connections close.
    pub(crate) fn crash(&mut self) {
        for (_, entry) in self.entries.drain() {
            if let Some(task) = entry.task {
                task.abort();
            }
        }
        self.ended.clear();
    }
}
