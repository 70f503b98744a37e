//! The slots of an engine's batch, granted by priority.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::pending;
use std::rc::Rc;

use tokio::sync::oneshot;

/// Position of a call in the queue: lower `priority` values first, then earlier arrivals.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueuePlace {
    priority: u32,
    arrival: u64,
}

#[derive(Default)]
struct SlotState {
    slots: u32,
    running: u32,
    peak_running: u32,
    arrivals: u64,
    // Bounded by the setting `max_waiting` of the engine, which refuses further calls.
    waiting: BTreeMap<QueuePlace, oneshot::Sender<SlotGuard>>,
}

/// Grants slots to waiting calls.
#[derive(Clone, Default)]
pub(crate) struct SlotQueue {
    state: Rc<RefCell<SlotState>>,
}

impl SlotQueue {
    pub(crate) fn running(&self) -> u32 {
        self.state.borrow().running
    }

    pub(crate) fn peak_running(&self) -> u32 {
        self.state.borrow().peak_running
    }

    pub(crate) fn waiting(&self) -> u32 {
        self.state.borrow().waiting.len() as u32
    }

    /// Sets the number of slots.
    pub(crate) fn set_slots(&self, slots: u32) {
        self.state.borrow_mut().slots = slots;
        self.grant();
    }

    /// Waits for a slot. Dropping the future removes the call from the queue.
    pub(crate) async fn acquire(&self, priority: u32) -> SlotGuard {
        let (sender, granted) = oneshot::channel();
        let place = self.enqueue(priority, sender);
        let _waiting = WaitGuard { queue: self, place };
        self.grant();
        match granted.await {
            Ok(guard) => guard,
            // Unreachable: a sender is dropped unused only by the wait guard, which lives until this function returns.
            Err(_) => pending().await,
        }
    }

    fn enqueue(&self, priority: u32, sender: oneshot::Sender<SlotGuard>) -> QueuePlace {
        let mut state = self.state.borrow_mut();
        state.arrivals += 1;
        let place = QueuePlace {
            priority,
            arrival: state.arrivals,
        };
        state.waiting.insert(place, sender);
        place
    }

    fn grant(&self) {
        while let Some(sender) = self.take_free_slot() {
            // If the call no longer waits, the returned guard is dropped and frees the slot again.
            drop(sender.send(SlotGuard { queue: self.clone() }));
        }
    }

    fn take_free_slot(&self) -> Option<oneshot::Sender<SlotGuard>> {
        let mut state = self.state.borrow_mut();
        if state.running >= state.slots {
            return None;
        }
        let (_, sender) = state.waiting.pop_first()?;
        state.running += 1;
        state.peak_running = state.peak_running.max(state.running);
        Some(sender)
    }
}

/// Removes a call from the queue when dropped.
struct WaitGuard<'a> {
    queue: &'a SlotQueue,
    place: QueuePlace,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.queue.state.borrow_mut().waiting.remove(&self.place);
    }
}

/// A slot of the batch; freed when dropped.
pub(crate) struct SlotGuard {
    queue: SlotQueue,
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.queue.state.borrow_mut().running -= 1;
        self.queue.grant();
    }
}
