//! Tracks the open connections of a stand-in.

use std::cell::RefCell;
use std::collections::HashMap;
use std::convert::Infallible;
use std::future::pending;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::task::{AbortHandle, yield_now};

/// Maximum number of connections of one port. Further ones are closed immediately.
pub(crate) const MAX_CONNECTIONS: usize = 4_096;

/// The open connections of one port by peer address. An entry is removed when its connection ends.
#[derive(Clone, Default)]
pub(crate) struct ConnectionTable {
    handles: Rc<RefCell<HashMap<SocketAddr, AbortHandle>>>,
}

impl ConnectionTable {
    pub(crate) fn is_full(&self) -> bool {
        self.handles.borrow().len() >= MAX_CONNECTIONS
    }

    pub(crate) fn insert(&self, peer: SocketAddr, handle: AbortHandle) {
        self.handles.borrow_mut().insert(peer, handle);
    }

    /// Returns a guard that removes the connection when it is dropped.
    pub(crate) fn guard(&self, peer: SocketAddr) -> ConnectionGuard {
        ConnectionGuard {
            table: self.clone(),
            peer,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.handles.borrow().len()
    }

    /// Closes all connections and returns once they have ended.
    pub(crate) async fn close_all(&self) {
        let handles: Vec<AbortHandle> = self.handles.borrow().values().cloned().collect();
        for handle in &handles {
            handle.abort();
        }
        while handles.iter().any(|handle| !handle.is_finished()) {
            yield_now().await;
        }
    }

    /// Closes the connection of the current request. Never returns, because the request's handler runs in the task of
    /// the connection.
    pub(crate) async fn close_current(&self, peer: Option<SocketAddr>) -> ! {
        if let Some(peer) = peer {
            let handle = self.handles.borrow().get(&peer).cloned();
            if let Some(handle) = handle {
                handle.abort();
            }
        }
        match pending::<Infallible>().await {}
    }
}

/// Removes a connection from its table when it is dropped.
pub(crate) struct ConnectionGuard {
    table: ConnectionTable,
    peer: SocketAddr,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.table.handles.borrow_mut().remove(&self.peer);
    }
}
