//! The entry addresses that a load balancer would route callers to.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The addresses of the entries that accept calls. Clones share the list.
///
/// ```
/// use ebony_fleet::EntryDirectory;
///
/// let directory = EntryDirectory::default();
/// directory.set(vec![([127, 0, 0, 1], 1).into(), ([127, 0, 0, 1], 2).into()]);
/// assert_ne!(directory.pick(0), directory.pick(1));
/// assert_eq!(directory.pick(0), directory.pick(2));
/// ```
#[derive(Clone, Debug, Default)]
pub struct EntryDirectory {
    addresses: Arc<Mutex<Vec<SocketAddr>>>,
}

impl EntryDirectory {
    /// Replaces the addresses.
    pub fn set(&self, addresses: Vec<SocketAddr>) {
        *self.lock() = addresses;
    }

    /// Returns the address at `number` modulo the number of addresses; `None` if the list is empty.
    pub fn pick(&self, number: u64) -> Option<SocketAddr> {
        let addresses = self.lock();
        let count = u64::try_from(addresses.len()).ok().filter(|count| *count > 0)?;
        let index = usize::try_from(number % count).ok()?;
        addresses.get(index).copied()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<SocketAddr>> {
        // The list is replaced in one assignment, so a panic can't leave it in an inconsistent state.
        self.addresses.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
