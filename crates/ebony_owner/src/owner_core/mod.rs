//! The state machine of one session: takes events and the current time, and returns actions.

mod arrival;
mod body_references;
mod checkpoint_cycle;
mod durability;
mod effect;
mod ending;
mod operation;
mod record;
mod release;
mod report;
mod running;
mod shard_table;
mod starting;
mod state;
mod takeover;

use ebony_types::{ClockTime, FencingToken, ProgramId, SessionId, ShardKey};

use crate::action::OwnerAction;
use crate::event::OwnerEvent;
use crate::journal::writer::{AppendRow, JournalWriter, SealedJournal};
use crate::settings::OwnerSettings;
pub use report::OwnerReport;
use state::ServingState;

#[derive(Debug)]
enum OwnerPhase {
    Serving(Box<ServingState>),
    Lost(JournalWriter<SealedJournal>),
}

/// Owns the programs in the shards of one session.
///
/// The core has no clock and does no I/O. The shell, which is the code that embeds it, passes events in the order in
/// which they happen, carries out the returned actions in order, and reports the outcomes of storage actions as
/// events. After [`OwnerAction::SessionLost`] the core refuses everything, and the shell opens a new core for a new
/// session.
///
/// ```
/// use ebony_owner::{OwnerAction, OwnerCore, OwnerEvent, OwnerSettings, LiveSession};
/// use ebony_types::{ClockTime, DomainName, SessionId};
///
/// let session = SessionId::from_bytes([1; 16]);
/// let settings = OwnerSettings { shard_count: 2, ..OwnerSettings::default() };
/// let mut core = OwnerCore::open(session, settings, [7; 32]);
/// let sessions = vec![LiveSession {
///     session,
///     domain: DomainName::parse("catania-1")?,
///     is_draining: false,
///     shards: Vec::new(),
/// }];
/// let actions = core.handle(OwnerEvent::SessionsChanged { sessions }, ClockTime::from_millis(1));
/// assert_eq!(actions.len(), 2, "the shard rows are read first");
/// assert!(actions.iter().all(|action| matches!(action, OwnerAction::Storage { .. })));
/// # Ok::<(), ebony_types::name::NameError>(())
/// ```
#[derive(Debug)]
pub struct OwnerCore {
    phase: OwnerPhase,
}

impl OwnerCore {
    /// Opens the owner of a new session, which owns no shard yet. `seed` determines nonces, the identifiers of
    /// one-call programs, and the jitter of retries.
    pub fn open(session: SessionId, settings: OwnerSettings, seed: [u8; 32]) -> Self {
        Self {
            phase: OwnerPhase::Serving(Box::new(ServingState::new(session, settings, seed))),
        }
    }

    /// Handles an event and returns the actions to carry out, in order.
    pub fn handle(&mut self, event: OwnerEvent, now: ClockTime) -> Vec<OwnerAction> {
        match &mut self.phase {
            OwnerPhase::Serving(state) => {
                let mut actions = state.handle(event, now);
                self.end_lost_session(&mut actions);
                actions
            }
            OwnerPhase::Lost(_) => report::refuse_lost(event),
        }
    }

    fn end_lost_session(&mut self, actions: &mut Vec<OwnerAction>) {
        let OwnerPhase::Serving(state) = &mut self.phase else {
            return;
        };
        if let Some(writer) = state.take_lost_writer() {
            actions.extend(state.end_session());
            self.phase = OwnerPhase::Lost(writer.seal());
        }
    }

    /// Ends the session for a successor that is about to seal its journal. Returns the rows that are not durable,
    /// which the successor appends before the seal, and the actions to carry out.
    pub fn relinquish_session(&mut self) -> (Vec<AppendRow>, Vec<OwnerAction>) {
        let OwnerPhase::Serving(state) = &mut self.phase else {
            return Default::default();
        };
        let rows = state.take_undurable_rows();
        let mut actions = Vec::new();
        self.end_lost_session(&mut actions);
        (rows, actions)
    }

    /// Returns the identifier of the session.
    pub fn session(&self) -> SessionId {
        match &self.phase {
            OwnerPhase::Serving(state) => state.writer.session(),
            OwnerPhase::Lost(writer) => writer.session(),
        }
    }

    /// Returns `true` after [`OwnerAction::SessionLost`].
    pub fn is_lost(&self) -> bool {
        matches!(self.phase, OwnerPhase::Lost(_))
    }

    /// Returns when the shell should send the next [`OwnerEvent::Tick`]; `None` if only another event can make
    /// anything due.
    pub fn next_wakeup(&self) -> Option<ClockTime> {
        match &self.phase {
            OwnerPhase::Serving(state) => state.next_wakeup(),
            OwnerPhase::Lost(_) => None,
        }
    }

    /// Returns the served shards and their epochs, for routing.
    pub fn serving_shards(&self) -> Vec<(ShardKey, FencingToken)> {
        match &self.phase {
            OwnerPhase::Serving(state) => state.shards.serving(),
            OwnerPhase::Lost(_) => Vec::new(),
        }
    }

    /// Returns the open programs whose engine memory the shell confirms to the side processes.
    pub fn vouched_programs(&self) -> Vec<ProgramId> {
        match &self.phase {
            OwnerPhase::Serving(state) => state.vouched_programs(),
            OwnerPhase::Lost(_) => Vec::new(),
        }
    }

    /// Returns counts for metrics.
    pub fn report(&self) -> OwnerReport {
        match &self.phase {
            OwnerPhase::Serving(state) => state.report(),
            OwnerPhase::Lost(_) => OwnerReport::default(),
        }
    }
}
