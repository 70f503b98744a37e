//! A budget of memory that connections and bodies share.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::sync::Notify;

/// A budget of memory. Clones share it.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    shared: Arc<BudgetShared>,
}

#[derive(Debug)]
struct BudgetShared {
    limit: usize,
    used: AtomicUsize,
    freed: Notify,
}

impl MemoryBudget {
    /// Opens a budget of this many bytes.
    ///
    /// ```
    /// use ebony_listener::MemoryBudget;
    ///
    /// let budget = MemoryBudget::open(1_000);
    /// let charge = budget.try_charge(900).expect("there is room");
    /// assert!(budget.try_charge(200).is_none());
    /// drop(charge);
    /// assert_eq!(budget.used(), 0);
    /// ```
    pub fn open(limit: usize) -> Self {
        Self {
            shared: Arc::new(BudgetShared {
                limit,
                used: AtomicUsize::new(0),
                freed: Notify::new(),
            }),
        }
    }

    /// Returns the bytes that are charged.
    pub fn used(&self) -> usize {
        self.shared.used.load(Ordering::Relaxed)
    }

    /// Returns the bytes that may be charged.
    pub fn limit(&self) -> usize {
        self.shared.limit
    }

    /// Charges bytes until the returned value is dropped. Returns `None` if they exceed what is left.
    pub fn try_charge(&self, bytes: usize) -> Option<BudgetCharge> {
        let add = |used: usize| used.checked_add(bytes).filter(|sum| *sum <= self.shared.limit);
        let added = self
            .shared
            .used
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
        added.ok().map(|_| self.charge_of(bytes))
    }

    /// Charges bytes although they may exceed the budget, for what was admitted in place of something that is closing.
    pub(crate) fn charge(&self, bytes: usize) -> BudgetCharge {
        self.shared.used.fetch_add(bytes, Ordering::Relaxed);
        self.charge_of(bytes)
    }

    /// Waits until bytes are released.
    pub(crate) async fn wait_freed(&self) {
        self.shared.freed.notified().await;
    }

    fn charge_of(&self, bytes: usize) -> BudgetCharge {
        BudgetCharge {
            shared: Arc::clone(&self.shared),
            bytes,
        }
    }
}

/// Bytes that are charged to a budget until the value is dropped.
#[derive(Debug)]
pub struct BudgetCharge {
    shared: Arc<BudgetShared>,
    bytes: usize,
}

impl BudgetCharge {
    /// Returns the charged bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Adds a charge to the same budget to this one.
    pub(crate) fn merge(&mut self, mut other: Self) {
        self.bytes += std::mem::take(&mut other.bytes);
    }
}

impl Drop for BudgetCharge {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.shared.used.fetch_sub(self.bytes, Ordering::Relaxed);
            self.shared.freed.notify_waiters();
        }
    }
}
