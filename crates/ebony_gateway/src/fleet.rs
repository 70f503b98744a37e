//! What gateways know of each other, through a table of the store: which of them there are, and which programs are
//! heavy.
//!
//! Both bound what a gateway may hand on while the store does not answer; see [`ebony_account`].

use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use ebony_platform::{FeedRow, PlatformError, RowKey, TableService, WriteNonce};
use ebony_types::ProgramName;
use slog::{Logger, info, warn};
use tokio::time::sleep;

/// The table of the store.
pub(crate) const TABLE: &str = "fleet";

const ENTRY_PREFIX: &str = "entry:";
const HEAVY_PREFIX: &str = "heavy:";

/// The pause before the store is asked again after a failure.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// The result of a request to the store.
type Result<T, E = PlatformError> = std::result::Result<T, E>;

/// What this gateway knows of the others.
pub(crate) struct FleetView {
    store: Rc<dyn TableService>,
    entries: RefCell<HashSet<String>>,
    heavy: RefCell<HashSet<ProgramName>>,
    logger: Logger,
}

impl FleetView {
    pub(crate) fn open(store: Rc<dyn TableService>, logger: Logger) -> Rc<Self> {
        Rc::new(Self {
            store,
            entries: RefCell::default(),
            heavy: RefCell::default(),
            logger,
        })
    }

    /// Registers this gateway, and tries until it is registered.
    pub(crate) async fn register(self: Rc<Self>, process: String) {
        let key = RowKey(format!("{TABLE}//{ENTRY_PREFIX}{process}"));
        while let Err(error) = self.create(&key).await {
            warn!(self.logger, "the gateway is not registered yet"; "error" => %error);
            sleep(RETRY_PAUSE).await;
        }
        info!(self.logger, "the gateway is registered");
    }

    /// Marks a program as heavy, for all gateways.
    pub(crate) async fn mark_heavy(&self, program: &ProgramName) -> Result<()> {
        if self.is_heavy(program) {
            return Ok(());
        }
        let key = RowKey(format!("{TABLE}//{HEAVY_PREFIX}{program}"));
        self.create(&key).await?;
        self.heavy.borrow_mut().insert(program.clone());
        info!(self.logger, "a program is heavy"; "program" => program.as_str());
        Ok(())
    }

    /// Returns whether a program is marked as heavy.
    pub(crate) fn is_heavy(&self, program: &ProgramName) -> bool {
        self.heavy.borrow().contains(program)
    }

    /// Returns how many gateways are registered; at least one.
    pub(crate) fn entries(&self) -> u64 {
        self.entries.borrow().len().max(1) as u64
    }

    /// Takes over all rows of the table.
    pub(crate) fn replace(&self, rows: &[FeedRow]) {
        self.entries.borrow_mut().clear();
        self.heavy.borrow_mut().clear();
        self.apply(rows);
    }

    /// Takes over rows that changed.
    pub(crate) fn apply(&self, rows: &[FeedRow]) {
        for row in rows {
            if let Some(entry) = row.key.strip_prefix(ENTRY_PREFIX) {
                set(
                    &mut self.entries.borrow_mut(),
                    entry.to_owned(),
                    row.value.is_some(),
                );
            } else if let Some(Ok(program)) = row.key.strip_prefix(HEAVY_PREFIX).map(ProgramName::parse) {
                set(&mut self.heavy.borrow_mut(), program, row.value.is_some());
            }
        }
    }

    /// Creates a row; one that exists already serves as well.
    async fn create(&self, key: &RowKey) -> Result<()> {
        match self.store.create(key, Bytes::new(), WriteNonce(0)).await {
            Ok(_) | Err(PlatformError::Conflict) => Ok(()),
            Err(error) => Err(error),
        }
    }
}

fn set<T: std::hash::Hash + Eq>(items: &mut HashSet<T>, item: T, is_present: bool) {
    if is_present {
        items.insert(item);
    } else {
        items.remove(&item);
    }
}
