//! One owner, and a platform that answers immediately.

use std::time::Duration;

use ebony_owner::{LiveSession, OwnerAction, OwnerCore, OwnerEvent, OwnerSettings};
use ebony_types::{CallId, CallerName, ClockTime, ProblemReport, ProgramBudget, ProgramId, SessionId};
use ebony_wire::{ProgramOperation, ProgramView};

use super::platform::{FakePlatform, Fault};
use super::{caller, live_session};

pub(crate) struct OwnerFixture {
    pub(crate) core: OwnerCore,
    pub(crate) platform: FakePlatform,
    pub(crate) now: ClockTime,
    pending: Vec<OwnerAction>,
}

impl OwnerFixture {
    /// Opens an owner that serves all shards.
    pub(crate) fn open(session: SessionId, settings: OwnerSettings) -> Self {
        Self::on_platform(session, settings, FakePlatform::default())
    }

    /// Opens an owner that takes over all shards on a platform with the state of former owners.
    pub(crate) fn on_platform(session: SessionId, settings: OwnerSettings, platform: FakePlatform) -> Self {
        Self::join(
            session,
            settings,
            platform,
            vec![live_session(session, "catania-1")],
        )
    }

    /// Opens an owner that sees the given live sessions.
    pub(crate) fn join(
        session: SessionId,
        settings: OwnerSettings,
        platform: FakePlatform,
        sessions: Vec<LiveSession>,
    ) -> Self {
        let mut fixture = Self {
            core: OwnerCore::open(session, settings, [1; 32]),
            platform,
            now: ClockTime::from_millis(1_000),
            pending: Vec::new(),
        };
        fixture.send(OwnerEvent::SessionsChanged { sessions });
        fixture.advance(Duration::from_secs(1));
        fixture
    }

    /// Sends an event and returns the actions that are not storage actions. Storage actions are carried out
    /// immediately, or stay pending while the platform is down.
    pub(crate) fn send(&mut self, event: OwnerEvent) -> Vec<OwnerAction> {
        let mut visible = Vec::new();
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for action in self.core.handle(event, self.now) {
                if is_storage(&action) {
                    self.pending.push(action);
                } else {
                    visible.push(action);
                }
            }
            if !self.platform.is_down {
                events.extend(self.perform_pending(Fault::None));
            }
        }
        visible
    }

    fn perform_pending(&mut self, fault: Fault) -> Vec<OwnerEvent> {
        let session = self.core.session();
        let pending = std::mem::take(&mut self.pending);
        let mut events: Vec<OwnerEvent> = pending
            .iter()
            .filter_map(|action| self.platform.perform(session, action, fault))
            .collect();
        events.reverse();
        events
    }

    /// Completes the pending storage actions with a fault, and passes the outcomes to the owner.
    pub(crate) fn complete_pending(&mut self, fault: Fault) -> Vec<OwnerAction> {
        let events = self.perform_pending(fault);
        events.into_iter().flat_map(|event| self.send(event)).collect()
    }

    /// Advances the clock in the steps that the owner asks for.
    pub(crate) fn advance(&mut self, time: Duration) -> Vec<OwnerAction> {
        let end = self.now + time;
        let mut visible = Vec::new();
        while let Some(due) = self.core.next_wakeup().filter(|&due| due <= end) {
            self.now = self.now.max(due);
            visible.extend(self.send(OwnerEvent::Tick));
        }
        self.now = end;
        visible.extend(self.send(OwnerEvent::Tick));
        visible
    }

    pub(crate) fn operate(&mut self, operation: ProgramOperation) -> Vec<OwnerAction> {
        let mut actions = self.send(OwnerEvent::Operation {
            request: 1,
            operation,
        });
        actions.extend(self.advance(Duration::from_millis(50)));
        actions
    }

    pub(crate) fn open_program(
        &mut self,
        program: ProgramId,
        parent: Option<ProgramId>,
        budget: ProgramBudget,
    ) -> Result<Box<ProgramView>, ProblemReport> {
        let actions = self.operate(ProgramOperation::Open {
            program,
            parent,
            caller: caller("shop-fiji"),
            budget,
        });
        reply_of(actions)
    }

    pub(crate) fn show(&mut self, program: ProgramId) -> Box<ProgramView> {
        let actions = self.operate(ProgramOperation::Show {
            program,
            caller: None,
            with_history: false,
        });
        reply_of(actions).expect("the program is known")
    }

    pub(crate) fn history(&mut self, program: ProgramId) -> serde_json::Value {
        let actions = self.operate(ProgramOperation::Show {
            program,
            caller: None,
            with_history: true,
        });
        let plan = actions.iter().find_map(|action| match action {
            OwnerAction::ReadHistory { plan, .. } => Some(plan),
            _ => None,
        });
        self.platform.history(plan.expect("a plan of the history"))
    }

    pub(crate) fn finish(&mut self, program: ProgramId, caller: CallerName) -> Vec<OwnerAction> {
        self.operate(ProgramOperation::Finish { program, caller })
    }
}

pub(crate) fn is_storage(action: &OwnerAction) -> bool {
    matches!(
        action,
        OwnerAction::Append(_)
            | OwnerAction::Checkpoint { .. }
            | OwnerAction::Truncate { .. }
            | OwnerAction::DeleteBodies { .. }
            | OwnerAction::Storage { .. }
    )
}

fn reply_of(actions: Vec<OwnerAction>) -> Result<Box<ProgramView>, ProblemReport> {
    let replies = actions.into_iter().filter_map(|action| match action {
        OwnerAction::Reply { result, .. } => Some(result),
        _ => None,
    });
    replies.last().expect("a reply")
}

/// Returns the dispatched calls.
pub(crate) fn dispatched(actions: &[OwnerAction]) -> Vec<CallId> {
    let calls = actions.iter().filter_map(|action| match action {
        OwnerAction::Dispatch { call, .. } => Some(*call),
        _ => None,
    });
    calls.collect()
}

/// Returns one line for each final answer to a call.
pub(crate) fn answers(actions: &[OwnerAction]) -> Vec<String> {
    let lines = actions.iter().filter_map(|action| match action {
        OwnerAction::Finish { call } => Some(format!("{call} finish")),
        OwnerAction::Replay { call, .. } => Some(format!("{call} replay")),
        OwnerAction::Refuse { call, problem } => {
            let (code, run) = (problem.code.as_str(), problem.run.as_str());
            Some(format!("{call} {code} {run}"))
        }
        _ => None,
    });
    lines.collect()
}
