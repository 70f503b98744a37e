//! The version of the configuration that a process has, and whether the process may serve with it.

use std::sync::Arc;
use std::time::Duration;

use ebony_types::ClockTime;

use crate::cell::ConfigCell;
use crate::document::ConfigDocument;
use crate::issue::Result;
use crate::update::{ConfigDelta, ConfigUpdate};

/// The time within which an accepted version is in force in every process.
pub const PROPAGATION_DEADLINE: Duration = Duration::from_secs(5);

/// Which part of the configuration a process receives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigAudience {
    /// An entry receives the whole document and reads the table service.
    Entry,
    /// A side process receives the document without callers and operators, and over links only.
    Side,
}

/// Where a process learned that a version exists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionSource {
    /// The table service, which always has the newest version.
    Table,
    /// Another process, which may be behind.
    Peer,
}

/// The result of offering an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The version is now in force or, while the process is still learning, stored.
    Accepted(u64),
    /// The version is not higher than the known one, which is kept.
    Old {
        /// The known version.
        known: u64,
    },
    /// Versions between the known one and the change are missing. The process requests them or a whole document.
    Gap {
        /// The known version; 0 if there is none.
        known: u64,
        /// The version of the change.
        offered: u64,
    },
}

/// Why a process may not serve yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum ServeBlock {
    /// The process has no document.
    #[error("no configuration is known yet")]
    NoDocument,
    /// A higher version exists than the process has.
    #[error("version {highest_seen} of the configuration exists, and version {known} is known")]
    Behind {
        /// The version that the process has.
        known: u64,
        /// The highest version that it knows to exist.
        highest_seen: u64,
    },
    /// Neither the table service nor, after [`PROPAGATION_DEADLINE`], another process has named the newest version.
    #[error("it is not known which version of the configuration is the newest")]
    Unconfirmed,
}

/// How far a process is behind the newest version that it knows to exist.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfigLag {
    /// The version in force.
    pub in_force: u64,
    /// The highest version that the process knows to exist.
    pub highest_seen: u64,
    /// The time since the process fell behind or, if later, last advanced to a newer version.
    pub duration: Duration,
}

impl ConfigLag {
    /// Returns `true` if the process has been behind for longer than [`PROPAGATION_DEADLINE`].
    pub fn is_overdue(&self) -> bool {
        self.duration > PROPAGATION_DEADLINE
    }
}

/// The state of a process that has not learned the configuration yet and may not serve.
#[derive(Debug)]
pub struct LearningState {
    document: Option<Arc<ConfigDocument>>,
    opened: ClockTime,
    is_confirmed_by_table: bool,
    is_confirmed_by_peer: bool,
}

/// The state of a process that has a configuration in force.
#[derive(Debug)]
pub struct ServingState {
    cell: ConfigCell,
    /// When the process fell behind or, if later, last advanced while still behind; `None` if it is up to date.
    behind_since: Option<ClockTime>,
}

/// The configuration of one process. Its version never decreases while the process runs.
///
/// ```
/// use ebony_config::{ConfigAudience, ConfigDocument, ConfigHolder, ConfigUpdate, OfferOutcome, VersionSource};
/// use ebony_types::ClockTime;
///
/// let now = ClockTime::default();
/// let document = |version| Box::new(ConfigDocument { version, ..ConfigDocument::default() });
/// let mut holder = ConfigHolder::open(ConfigAudience::Side, now);
/// holder.observe_version(3, VersionSource::Peer);
/// holder.offer(ConfigUpdate::Full(document(3)))?;
/// let mut holder = holder.into_serving(now).map_err(|blocked| blocked.reason).expect("version 3 is known");
/// let outcome = holder.offer(ConfigUpdate::Full(document(2)), now)?;
/// assert_eq!(outcome, OfferOutcome::Old { known: 3 });
/// # Ok::<(), ebony_config::ConfigReport>(())
/// ```
#[derive(Debug)]
pub struct ConfigHolder<S> {
    audience: ConfigAudience,
    highest_seen: u64,
    state: S,
}

/// A process that may not serve yet, with the reason.
#[derive(Debug)]
pub struct BlockedHolder {
    /// The holder, unchanged.
    pub holder: ConfigHolder<LearningState>,
    /// Why the process may not serve.
    pub reason: ServeBlock,
}

impl ConfigHolder<LearningState> {
    /// Starts to learn the configuration.
    pub fn open(audience: ConfigAudience, now: ClockTime) -> Self {
        Self {
            audience,
            highest_seen: 0,
            state: LearningState {
                document: None,
                opened: now,
                is_confirmed_by_table: false,
                is_confirmed_by_peer: false,
            },
        }
    }

    /// Records the highest version that a source has.
    pub fn observe_version(&mut self, version: u64, source: VersionSource) {
        self.highest_seen = self.highest_seen.max(version);
        match source {
            VersionSource::Table => self.state.is_confirmed_by_table = true,
            VersionSource::Peer => self.state.is_confirmed_by_peer = true,
        }
    }

    /// Stores an update if it is newer than the known document.
    ///
    /// # Errors
    ///
    /// Returns a [`crate::ConfigReport`] if the update is invalid; no part of it is kept.
    pub fn offer(&mut self, update: ConfigUpdate) -> Result<OfferOutcome> {
        self.highest_seen = self.highest_seen.max(update.version());
        let known = self.state.document.as_deref();
        match next_document(self.audience, known, update)? {
            NextDocument::Accepted(document) => {
                let version = document.version;
                self.state.document = Some(document);
                Ok(OfferOutcome::Accepted(version))
            }
            NextDocument::Refused(outcome) => Ok(outcome),
        }
    }

    /// Puts the document in force if no newer version is known to exist.
    ///
    /// An entry learns the newest version from the table service. If the table service does not answer for
    /// [`PROPAGATION_DEADLINE`], the versions of other processes count, because any version that was accepted before
    /// this process started is in force there by then. A side process learns it from entries only and does not wait.
    ///
    /// # Errors
    ///
    /// Returns the holder and the reason why the process may not serve yet.
    pub fn into_serving(self, now: ClockTime) -> Result<ConfigHolder<ServingState>, Box<BlockedHolder>> {
        match self.document_to_serve(now) {
            Ok(document) => Ok(ConfigHolder {
                audience: self.audience,
                highest_seen: self.highest_seen,
                state: ServingState {
                    cell: ConfigCell::new(document),
                    behind_since: None,
                },
            }),
            Err(reason) => Err(Box::new(BlockedHolder { holder: self, reason })),
        }
    }

    fn document_to_serve(&self, now: ClockTime) -> Result<Arc<ConfigDocument>, ServeBlock> {
        let document = self.state.document.as_ref().ok_or(ServeBlock::NoDocument)?;
        if document.version < self.highest_seen {
            return Err(ServeBlock::Behind {
                known: document.version,
                highest_seen: self.highest_seen,
            });
        }
        let has_waited = now.since(self.state.opened) >= PROPAGATION_DEADLINE;
        let trusts_peers = has_waited || self.audience == ConfigAudience::Side;
        if self.state.is_confirmed_by_table || (trusts_peers && self.state.is_confirmed_by_peer) {
            Ok(Arc::clone(document))
        } else {
            Err(ServeBlock::Unconfirmed)
        }
    }
}

impl ConfigHolder<ServingState> {
    /// Returns a handle on the document in force for other threads.
    pub fn cell(&self) -> ConfigCell {
        self.state.cell.clone()
    }

    /// Returns the document in force.
    pub fn document(&self) -> Arc<ConfigDocument> {
        self.state.cell.load()
    }

    /// Returns the version in force.
    pub fn version(&self) -> u64 {
        self.document().version
    }

    /// Records that another process or the table service has a version.
    pub fn observe_version(&mut self, version: u64, now: ClockTime) {
        self.highest_seen = self.highest_seen.max(version);
        if self.highest_seen > self.version() {
            self.state.behind_since.get_or_insert(now);
        }
    }

    /// Puts an update in force if it is newer than the document in force.
    ///
    /// # Errors
    ///
    /// Returns a [`crate::ConfigReport`] if the update is invalid; the document in force is kept.
    pub fn offer(&mut self, update: ConfigUpdate, now: ClockTime) -> Result<OfferOutcome> {
        self.observe_version(update.version(), now);
        let known = self.document();
        match next_document(self.audience, Some(&known), update)? {
            NextDocument::Accepted(document) => {
                let version = document.version;
                self.state.cell.advance(document);
                // Restarts the measurement of the lag, because the versions that are still missing are newer.
                self.state.behind_since = (self.highest_seen > version).then_some(now);
                Ok(OfferOutcome::Accepted(version))
            }
            NextDocument::Refused(outcome) => Ok(outcome),
        }
    }

    /// Returns how far the process is behind; `None` if it knows of no higher version.
    pub fn lag(&self, now: ClockTime) -> Option<ConfigLag> {
        let since = self.state.behind_since?;
        Some(ConfigLag {
            in_force: self.version(),
            highest_seen: self.highest_seen,
            duration: now.since(since),
        })
    }
}

/// The document that an update leads to, or the reason why the update is not applied.
enum NextDocument {
    Accepted(Arc<ConfigDocument>),
    Refused(OfferOutcome),
}

fn next_document(
    audience: ConfigAudience,
    known: Option<&ConfigDocument>,
    update: ConfigUpdate,
) -> Result<NextDocument> {
    let version = known.map_or(0, |document| document.version);
    if update.version() <= version {
        return Ok(NextDocument::Refused(OfferOutcome::Old { known: version }));
    }
    let document = match (update, known) {
        (ConfigUpdate::Full(document), _) => document,
        (ConfigUpdate::Delta(delta), Some(known)) if delta.version == version + 1 => {
            apply_delta(known, &delta)?
        }
        (ConfigUpdate::Delta(delta), _) => {
            let offered = delta.version;
            return Ok(NextDocument::Refused(OfferOutcome::Gap {
                known: version,
                offered,
            }));
        }
    };
    match audience {
        ConfigAudience::Entry => document.validate()?,
        ConfigAudience::Side => document.validate_values()?,
    }
    Ok(NextDocument::Accepted(Arc::from(document)))
}

fn apply_delta(known: &ConfigDocument, delta: &ConfigDelta) -> Result<Box<ConfigDocument>> {
    delta.patch.apply(known).map(Box::new)
}
