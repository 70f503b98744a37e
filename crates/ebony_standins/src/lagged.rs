//! Values that are reported with a lag.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Maximum number of past values. If the value changes more often than this within the lag, the lag is shorter.
const MAX_PAST_VALUES: usize = 4_096;

/// A value and its history.
pub(crate) struct LaggedValue<T> {
    past: VecDeque<(Instant, T)>,
    current: T,
}

impl<T: Clone> LaggedValue<T> {
    pub(crate) fn open(value: T) -> Self {
        Self {
            past: VecDeque::new(),
            current: value,
        }
    }

    pub(crate) fn current(&self) -> &T {
        &self.current
    }

    /// Sets a new value. [`LaggedValue::get`] returns the previous one until the lag has passed.
    pub(crate) fn set(&mut self, value: T) {
        let previous = std::mem::replace(&mut self.current, value);
        self.past.push_back((Instant::now(), previous));
        if self.past.len() > MAX_PAST_VALUES {
            self.past.pop_front();
        }
    }

    /// Returns the value as it was `lag` ago.
    pub(crate) fn get(&self, lag: Duration) -> T {
        let now = Instant::now();
        self.past
            .iter()
            .find(|(replaced_at, _)| now.duration_since(*replaced_at) < lag)
            .map_or_else(|| self.current.clone(), |(_, value)| value.clone())
    }
}
