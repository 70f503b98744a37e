//! Which version of the configuration a process knows, and whether it may serve with it.

use std::sync::Arc;
use std::time::Duration;

use ebony_types::ClockTime;

use crate::cell::ConfigCell;
use crate::document::ConfigDocument;
use crate::issue::Result;
use crate::update::{ConfigDelta, ConfigUpdate};

/// An accepted version is in force everywhere within this time.
pub const PROPAGATION_DEADLINE: Duration = Duration::from_secs(5);

/// Which part of the configuration a process receives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigAudience {
    /// An entry has the whole document and reads the table.
    Entry,
    /// A side process has the document without callers and operators, and receives it over links only.
    Side,
}

/// Where a process heard of a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionSource {
    /// The table service, which has the newest version.
    Table,
    /// Another process, which may lag.
    Peer,
}

/// What became of an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The version is in force now, or known if the process is still learning.
    Accepted(u64),
    /// The version is not above the known one, which stays.
    Old {
        /// The known version.
        known: u64,
    },
    /// Versions between the known one and the change are missing; the process asks for them or for a whole document.
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
    /// The process has heard of a higher version than it has.
    #[error("version {heard} of the configuration exists, and version {known} is known")]
    Behind {
        /// The version that the process has.
        known: u64,
        /// The highest version that it has heard of.
        heard: u64,
    },
    /// Neither the table nor, after a wait, another process has said which version is the newest.
    #[error("it is not known which version of the configuration is the newest")]
    Unconfirmed,
}

/// How far a process is behind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfigLag {
    /// The version in force.
    pub in_force: u64,
    /// The highest version that the process has heard of.
    pub heard: u64,
    /// How long the process has been behind without progress.
    pub duration: Duration,
}

impl ConfigLag {
    /// Returns `true` if the version should have been in force by now.
    pub fn is_overdue(&self) -> bool {
        self.duration > PROPAGATION_DEADLINE
    }
}

/// Marks a process that has not learned the configuration yet. It may not serve.
#[derive(Debug)]
pub struct LearningState {
    document: Option<Arc<ConfigDocument>>,
    opened: ClockTime,
    is_confirmed_by_table: bool,
    is_confirmed_by_peer: bool,
}

/// Marks a process that has a configuration in force.
#[derive(Debug)]
pub struct ServingState {
    cell: ConfigCell,
    /// When the process heard of the next version, or made progress while behind.
    behind_since: Option<ClockTime>,
}

/// The version of the configuration in one process. It never goes down while the process runs.
///
/// ```
/// use ebony_config::{ConfigAudience, ConfigDocument, ConfigHolder, ConfigUpdate, OfferOutcome, VersionSource};
/// use ebony_types::ClockTime;
///
/// let now = ClockTime::default();
/// let document = |version| Box::new(ConfigDocument { version, ..ConfigDocument::default() });
/// let mut holder = ConfigHolder::open(ConfigAudience::Side, now);
/// holder.hear(3, VersionSource::Peer);
/// holder.offer(ConfigUpdate::Full(document(3)))?;
/// let mut holder = holder.into_serving(now).map_err(|blocked| blocked.reason).expect("version 3 is known");
/// let outcome = holder.offer(ConfigUpdate::Full(document(2)), now)?;
/// assert_eq!(outcome, OfferOutcome::Old { known: 3 });
/// # Ok::<(), ebony_config::ConfigReport>(())
/// ```
#[derive(Debug)]
pub struct ConfigHolder<S> {
    audience: ConfigAudience,
    heard: u64,
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
            heard: 0,
            state: LearningState {
                document: None,
                opened: now,
                is_confirmed_by_table: false,
                is_confirmed_by_peer: false,
            },
        }
    }

    /// Notes that a source named its highest version.
    pub fn hear(&mut self, version: u64, source: VersionSource) {
        self.heard = self.heard.max(version);
        match source {
            VersionSource::Table => self.state.is_confirmed_by_table = true,
            VersionSource::Peer => self.state.is_confirmed_by_peer = true,
        }
    }

    /// Takes an update if it is newer than what is known.
    ///
    /// # Errors
    ///
    /// Returns a [`crate::ConfigReport`] if the update breaks a rule; nothing of it is kept.
    pub fn offer(&mut self, update: ConfigUpdate) -> Result<OfferOutcome> {
        self.heard = self.heard.max(update.version());
        let known = self.state.document.as_deref();
        match next_document(self.audience, known, update)? {
            Offered::Next(document) => {
                let version = document.version;
                self.state.document = Some(document);
                Ok(OfferOutcome::Accepted(version))
            }
            Offered::Refused(outcome) => Ok(outcome),
        }
    }

    /// Puts the document in force if it is the newest that the process has heard of.
    ///
    /// An entry hears of the newest version from the table. If the table does not answer for
    /// [`PROPAGATION_DEADLINE`], the versions of other processes count, because any version that was accepted before
    /// this process started is in force there by then. A side process hears of it from entries only.
    ///
    /// # Errors
    ///
    /// Returns the holder and the reason why the process may not serve yet.
    pub fn into_serving(self, now: ClockTime) -> Result<ConfigHolder<ServingState>, Box<BlockedHolder>> {
        match self.servable(now) {
            Ok(document) => Ok(ConfigHolder {
                audience: self.audience,
                heard: self.heard,
                state: ServingState {
                    cell: ConfigCell::new(document),
                    behind_since: None,
                },
            }),
            Err(reason) => Err(Box::new(BlockedHolder { holder: self, reason })),
        }
    }

    fn servable(&self, now: ClockTime) -> Result<Arc<ConfigDocument>, ServeBlock> {
        let document = self.state.document.as_ref().ok_or(ServeBlock::NoDocument)?;
        if document.version < self.heard {
            return Err(ServeBlock::Behind {
                known: document.version,
                heard: self.heard,
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

    /// Notes that another process or the table has a version.
    pub fn hear(&mut self, version: u64, now: ClockTime) {
        self.heard = self.heard.max(version);
        if self.heard > self.version() {
            self.state.behind_since.get_or_insert(now);
        }
    }

    /// Puts an update in force if it is newer than the document in force.
    ///
    /// # Errors
    ///
    /// Returns a [`crate::ConfigReport`] if the update breaks a rule; the document in force stays.
    pub fn offer(&mut self, update: ConfigUpdate, now: ClockTime) -> Result<OfferOutcome> {
        self.hear(update.version(), now);
        let known = self.document();
        match next_document(self.audience, Some(&known), update)? {
            Offered::Next(document) => {
                let version = document.version;
                self.state.cell.advance(document);
                // Progress starts the time anew, because the versions that are still missing are younger.
                self.state.behind_since = (self.heard > version).then_some(now);
                Ok(OfferOutcome::Accepted(version))
            }
            Offered::Refused(outcome) => Ok(outcome),
        }
    }

    /// Returns how far the process is behind; `None` if it has heard of no higher version.
    pub fn lag(&self, now: ClockTime) -> Option<ConfigLag> {
        let since = self.state.behind_since?;
        Some(ConfigLag {
            in_force: self.version(),
            heard: self.heard,
            duration: now.since(since),
        })
    }
}

enum Offered {
    Next(Arc<ConfigDocument>),
    Refused(OfferOutcome),
}

fn next_document(
    audience: ConfigAudience,
    known: Option<&ConfigDocument>,
    update: ConfigUpdate,
) -> Result<Offered> {
    let version = known.map_or(0, |document| document.version);
    if update.version() <= version {
        return Ok(Offered::Refused(OfferOutcome::Old { known: version }));
    }
    let document = match (update, known) {
        (ConfigUpdate::Full(document), _) => document,
        (ConfigUpdate::Delta(delta), Some(known)) if delta.version == version + 1 => {
            apply_delta(known, &delta)?
        }
        (ConfigUpdate::Delta(delta), _) => {
            let offered = delta.version;
            return Ok(Offered::Refused(OfferOutcome::Gap {
                known: version,
                offered,
            }));
        }
    };
    match audience {
        ConfigAudience::Entry => document.validate()?,
        ConfigAudience::Side => document.validate_values()?,
    }
    Ok(Offered::Next(Arc::from(document)))
}

fn apply_delta(known: &ConfigDocument, delta: &ConfigDelta) -> Result<Box<ConfigDocument>> {
    delta.patch.apply(known).map(Box::new)
}
