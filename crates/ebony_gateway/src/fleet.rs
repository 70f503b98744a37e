//! The table of the store through which gateways know each other: their names, their link addresses and the key for
//! links.
//!
//! All gateways derive the owner of a program from this list; see [`ebony_account`].

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use ebony_platform::table::{create_resolved, replace_resolved};
use ebony_platform::{FeedRow, PlatformError, RowKey, TableService, WriteNonce};
use ebony_types::ProgramName;
use ebony_types::rendezvous::rendezvous_weight;
use ebony_wire::ClusterKey;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use slog::{Logger, info, warn};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

/// The table of the store.
pub(crate) const TABLE: &str = "fleet";

/// The key prefix of the gateways' rows.
const ENTRY_PREFIX: &str = "entry:";

/// The row with the key for links.
const LINK_KEY_ROW: &str = "link-key";

/// The size of the key for links.
const LINK_KEY_BYTES: usize = 32;

/// The delay before the next attempt to register after a failed one.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// The result of a request to the store.
type Result<T, E = PlatformError> = std::result::Result<T, E>;

/// The number of renewals of a gateway's row in one retention time, so that several may fail before the row is removed.
const RENEWALS_PER_RETENTION: u32 = 6;

/// The gateway that covers the turns of a program.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CoverHolder {
    /// This one, as the owner of the program.
    Own,
    /// This one, in place of the owner, which has been unreachable for some time. It spends only tokens that are
    /// recorded, because the owner may be spending unrecorded ones.
    ActingOwner,
    /// Another one.
    Peer(String),
    /// The list of gateways is not known yet or does not contain this one.
    Unknown,
}

/// The list of registered gateways, as this one last read it.
pub(crate) struct FleetView {
    store: Rc<dyn TableService>,
    process: String,
    link: SocketAddr,
    /// Link addresses of all registered gateways, including this one.
    entries: RefCell<BTreeMap<String, SocketAddr>>,
    cluster_key: RefCell<Option<ClusterKey>>,
    /// Rows that have not been written for this long are removed.
    retention: Duration,
    /// Notified when the list of gateways or the key for links changed.
    pub(crate) changed: Notify,
    /// Notified when the row of this gateway was removed.
    own_row_lost: Notify,
    logger: Logger,
}

impl FleetView {
    pub(crate) fn open(
        store: Rc<dyn TableService>,
        process: String,
        link: SocketAddr,
        retention: Duration,
        logger: Logger,
    ) -> Rc<Self> {
        Rc::new(Self {
            store,
            process,
            link,
            entries: RefCell::default(),
            cluster_key: RefCell::default(),
            retention,
            changed: Notify::new(),
            own_row_lost: Notify::new(),
            logger,
        })
    }

    /// Registers this gateway, with retries until that succeeds, and then renews its row.
    pub(crate) async fn keep_registered(self: Rc<Self>) {
        loop {
            let row_lost = self.own_row_lost.notified();
            while let Err(error) = self.try_register().await {
                warn!(self.logger, "the gateway is not registered yet"; "error" => %error);
                sleep(RETRY_DELAY).await;
            }
            info!(self.logger, "the gateway is registered"; "link" => %self.link);
            // The row is renewed when that is due, or at once if it was removed.
            timeout(self.retention / RENEWALS_PER_RETENTION, row_lost)
                .await
                .ok();
        }
    }

    /// Writes the row of this gateway, and creates the key for links if there is none.
    async fn try_register(&self) -> Result<()> {
        let mut source = StdRng::from_os_rng();
        let key: [u8; LINK_KEY_BYTES] = source.random();
        self.create(&row_key(LINK_KEY_ROW), Bytes::copy_from_slice(&key))
            .await?;
        let row = row_key(&format!("{ENTRY_PREFIX}{}", self.process));
        let address = Bytes::from(self.link.to_string());
        let nonce = WriteNonce(source.random());
        match self.store.read(&row).await? {
            Some(known) => replace_resolved(&*self.store, &row, known.version, address, nonce)
                .await
                .map(drop),
            None => create_resolved(&*self.store, &row, address, nonce)
                .await
                .map(drop),
        }
    }

    /// Returns the name of this gateway.
    pub(crate) fn process(&self) -> &str {
        &self.process
    }

    /// Returns the key for links, once it is known.
    pub(crate) fn cluster_key(&self) -> Option<ClusterKey> {
        self.cluster_key.borrow().clone()
    }

    /// Returns the number of registered gateways.
    pub(crate) fn len(&self) -> usize {
        self.entries.borrow().len()
    }

    /// Returns the link addresses of the other gateways.
    pub(crate) fn peers(&self) -> Vec<(String, SocketAddr)> {
        let entries = self.entries.borrow();
        let others = entries.iter().filter(|(name, _)| **name != self.process);
        others.map(|(name, address)| (name.clone(), *address)).collect()
    }

    /// Returns whether a gateway is registered.
    pub(crate) fn is_registered(&self, name: &str) -> bool {
        self.entries.borrow().contains_key(name)
    }

    /// Returns whether this gateway owns an item, by rendezvous hashing over all registered gateways. Every gateway
    /// computes the same owner, whether the owner is alive or not.
    pub(crate) fn owns(&self, item: &str) -> bool {
        self.is_listed() && self.highest_weighted(item, |_| true).as_deref() == Some(&self.process)
    }

    /// Returns the gateway that covers the turns of a program: the one with the highest weight that is not presumed
    /// gone.
    pub(crate) fn holder(
        &self,
        program: &ProgramName,
        is_presumed_gone: impl Fn(&str) -> bool,
    ) -> CoverHolder {
        if !self.is_listed() {
            return CoverHolder::Unknown;
        }
        let is_candidate = |name: &str| name == self.process || !is_presumed_gone(name);
        match self.highest_weighted(program.as_str(), is_candidate) {
            Some(holder) if holder != self.process => CoverHolder::Peer(holder),
            _ if self.owns(program.as_str()) => CoverHolder::Own,
            _ => CoverHolder::ActingOwner,
        }
    }

    /// Returns the candidate with the highest rendezvous weight for an item.
    fn highest_weighted(&self, item: &str, is_candidate: impl Fn(&str) -> bool) -> Option<String> {
        let entries = self.entries.borrow();
        let candidates = entries.keys().filter(|name| is_candidate(name));
        candidates
            .max_by_key(|name| rendezvous_weight(item, name))
            .cloned()
    }

    /// Returns whether the list contains this gateway.
    fn is_listed(&self) -> bool {
        self.entries.borrow().contains_key(&self.process)
    }

    /// Replaces the list by all rows of the table.
    pub(crate) fn replace(&self, rows: &[FeedRow]) {
        let was_listed = self.is_listed();
        self.entries.borrow_mut().clear();
        self.apply(rows);
        if was_listed && !self.is_listed() {
            self.own_row_lost.notify_one();
        }
    }

    /// Applies changed rows.
    pub(crate) fn apply(&self, rows: &[FeedRow]) {
        for row in rows {
            if let Some(entry) = row.key.strip_prefix(ENTRY_PREFIX) {
                self.apply_entry(entry, row.value.as_deref());
            } else if row.key == LINK_KEY_ROW {
                let key = row.value.as_deref().map(ClusterKey::from_bytes);
                *self.cluster_key.borrow_mut() = key.and_then(std::result::Result::ok);
            }
        }
        self.changed.notify_one();
    }

    fn apply_entry(&self, name: &str, value: Option<&[u8]>) {
        let address = value.map(|value| String::from_utf8_lossy(value).parse());
        match address {
            Some(Ok(address)) => {
                self.entries.borrow_mut().insert(name.to_owned(), address);
            }
            Some(Err(_)) => warn!(self.logger, "the row of a gateway cannot be read"; "gateway" => name),
            None => {
                let is_known = self.entries.borrow_mut().remove(name).is_some();
                if is_known && name == self.process {
                    self.own_row_lost.notify_one();
                }
            }
        }
    }

    /// Creates a row unless it exists.
    async fn create(&self, key: &RowKey, value: Bytes) -> Result<()> {
        match self.store.create(key, value, WriteNonce(0)).await {
            Ok(_) | Err(PlatformError::Conflict) => Ok(()),
            Err(error) => Err(error),
        }
    }
}

/// Returns the full key prefix of the gateways' rows.
pub(crate) fn entry_prefix() -> String {
    row_key(ENTRY_PREFIX).0
}

/// Returns the key of a row in the table.
pub(crate) fn row_key(name: &str) -> RowKey {
    RowKey(format!("{TABLE}//{name}"))
}
