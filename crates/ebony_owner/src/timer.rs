//! A queue of timers.

use std::collections::BTreeMap;

use ebony_types::ClockTime;

/// Identifies one entry of a [`TimerQueue`], so that it can be cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerHandle {
    due: ClockTime,
    number: u64,
}

/// Tasks in the order of their due times; tasks with the same due time keep the order in which they were scheduled.
///
/// Code that schedules a task cancels it when it is no longer needed, so the queue holds a limited number of tasks
/// for each program, call and shard.
///
/// ```
/// use ebony_owner::timer::TimerQueue;
/// use ebony_types::ClockTime;
///
/// let mut queue = TimerQueue::default();
/// let handle = queue.schedule(ClockTime::from_millis(5), "late");
/// queue.schedule(ClockTime::from_millis(2), "early");
/// assert_eq!(queue.pop_due(ClockTime::from_millis(9)), Some("early"));
/// queue.cancel(handle);
/// assert_eq!(queue.pop_due(ClockTime::from_millis(9)), None);
/// ```
#[derive(Clone, Debug)]
pub struct TimerQueue<T> {
    tasks: BTreeMap<TimerHandle, T>,
    next_number: u64,
}

impl<T> Default for TimerQueue<T> {
    fn default() -> Self {
        Self {
            tasks: BTreeMap::new(),
            next_number: 0,
        }
    }
}

impl<T> TimerQueue<T> {
    /// Adds a task.
    pub fn schedule(&mut self, due: ClockTime, task: T) -> TimerHandle {
        let handle = TimerHandle {
            due,
            number: self.next_number,
        };
        self.next_number += 1;
        self.tasks.insert(handle, task);
        handle
    }

    /// Removes a task that has not run.
    pub fn cancel(&mut self, handle: TimerHandle) {
        self.tasks.remove(&handle);
    }

    /// Removes and returns the first task that is due.
    pub fn pop_due(&mut self, now: ClockTime) -> Option<T> {
        let entry = self.tasks.first_entry()?;
        (entry.key().due <= now).then(|| entry.remove())
    }

    /// Returns the time at which the first task is due.
    pub fn next_due(&self) -> Option<ClockTime> {
        self.tasks.first_key_value().map(|(handle, _)| handle.due)
    }
}
