//! Several owners on one platform, with callers and a target.

use std::time::Duration;

use bytes::Bytes;
use ebony_owner::{OwnerAction, OwnerCore, OwnerEvent, OwnerSettings, TurnBody, WallTime};
use ebony_types::{
    BudgetUse, CallId, CallUsage, ClockTime, ProblemCode, ProblemReport, ProgramBudget, ProgramId, SessionId,
    ShardKey,
};
use ebony_wire::{AnswerHead, ProgramOperation, ProgramView};

use super::facts::{CallFacts, ModelFacts, ProgramFacts, RunOutcome};
use crate::harness::fixture::is_storage;
use crate::harness::platform::{FakePlatform, Fault};
use crate::harness::{arrived, call, caller, chat, live_session, order, program, session};

pub(crate) const SHARDS: u16 = 3;

/// An entry process.
#[derive(Debug)]
pub(crate) struct ModelNode {
    pub(crate) core: OwnerCore,
    pub(crate) pending: Vec<OwnerAction>,
    pub(crate) is_paused: bool,
    pub(crate) is_draining: bool,
}

/// An operation whose reply is pending.
#[derive(Debug)]
enum ModelRequest {
    Open(ProgramId),
    Show(ProgramId),
    End,
}

#[derive(Debug)]
pub(crate) struct ModelCluster {
    pub(crate) platform: FakePlatform,
    pub(crate) facts: ModelFacts,
    pub(crate) nodes: Vec<ModelNode>,
    /// Requests of lost sessions, and requests reported as failed, that may still reach the platform.
    pub(crate) orphaned_requests: Vec<(SessionId, OwnerAction)>,
    pub(crate) now: ClockTime,
    pub(crate) shown: Vec<(ProgramId, Option<Box<ProgramView>>, serde_json::Value)>,
    requests: Vec<ModelRequest>,
    next_session: u8,
    next_call: u64,
    next_program: u8,
}

impl ModelCluster {
    pub(crate) fn open(nodes: usize) -> Self {
        let mut cluster = Self {
            platform: FakePlatform::default(),
            facts: ModelFacts::default(),
            nodes: Vec::new(),
            orphaned_requests: Vec::new(),
            now: ClockTime::from_millis(1_000),
            shown: Vec::new(),
            requests: Vec::new(),
            next_session: 1,
            next_call: 1,
            next_program: 1,
        };
        (0..nodes).for_each(|_| cluster.start_node());
        cluster
    }

    fn open_core(&mut self) -> OwnerCore {
        let number = self.next_session;
        self.next_session += 1;
        let settings = OwnerSettings {
            shard_count: SHARDS,
            checkpoint_rows: 4,
            max_undurable_turns: 6,
            // The clocks of the hosts differ by a minute.
            wall_start: WallTime::from_millis(10_000_000 + 60_000 * u64::from(number % 2)),
            ..OwnerSettings::default()
        };
        OwnerCore::open(session(number), settings, [number; 32])
    }

    pub(crate) fn start_node(&mut self) {
        let core = self.open_core();
        self.nodes.push(ModelNode {
            core,
            pending: Vec::new(),
            is_paused: false,
            is_draining: false,
        });
    }

    /// Kills a process. Its pending requests may still take effect.
    pub(crate) fn kill_node(&mut self, index: usize) {
        let node = self.nodes.remove(index);
        let session = node.core.session();
        self.orphaned_requests
            .extend(node.pending.into_iter().map(|action| (session, action)));
    }

    /// Tells all running processes which sessions are live. A paused process counts as lost unless `keeps_paused`.
    pub(crate) fn refresh_sessions(&mut self, keeps_paused: bool) {
        let listed = self.nodes.iter().filter(|node| keeps_paused || !node.is_paused);
        let sessions: Vec<_> = listed
            .map(|node| {
                let mut live = live_session(node.core.session(), "catania-1");
                live.is_draining = node.is_draining;
                live.shards = node
                    .core
                    .serving_shards()
                    .into_iter()
                    .map(|(shard, _)| shard)
                    .collect();
                live
            })
            .collect();
        for index in 0..self.nodes.len() {
            let sessions = sessions.clone();
            self.send(index, OwnerEvent::SessionsChanged { sessions });
        }
    }

    /// Sends an event to a process, unless it is paused.
    pub(crate) fn send(&mut self, index: usize, event: OwnerEvent) {
        if self.nodes[index].is_paused {
            return;
        }
        let session = self.nodes[index].core.session();
        let actions = self.nodes[index].core.handle(event, self.now);
        for action in actions {
            if is_storage(&action) {
                self.nodes[index].pending.push(action);
            } else {
                self.carry_out(index, session, action);
            }
        }
    }

    fn carry_out(&mut self, index: usize, session: SessionId, action: OwnerAction) {
        match action {
            OwnerAction::Dispatch {
                call, program, token, ..
            } => {
                let is_accepted = self.facts.dispatch(session, call, program, token);
                if !is_accepted {
                    let problem = ProblemReport::not_run(ProblemCode::OwnerUnavailable, "fenced");
                    self.send(index, OwnerEvent::CallFailed { call, problem });
                }
            }
            OwnerAction::Refuse { call, problem } => self.facts.refuse(call, &problem),
            OwnerAction::Finish { call } => self.facts.finish(call, &self.platform.recorded),
            OwnerAction::Replay { call, place } => {
                let object = &self.platform.bodies[&(place.session, place.sequence)];
                let body = TurnBody::from_object(object, place).expect("a turn's body");
                let answer = String::from_utf8(body.answer.to_vec()).expect("an answer in text");
                self.facts.replay(call, body.call, &answer);
            }
            OwnerAction::CancelCall { call } => self.facts.cancel_run(call),
            OwnerAction::Reply { request, result } => self.reply(request, result),
            OwnerAction::ReadHistory { request, view, plan } => {
                let history = self.platform.history(&plan);
                self.show(request, Some(view), history);
            }
            OwnerAction::SessionLost => {
                let core = self.open_core();
                let lost = std::mem::replace(&mut self.nodes[index].core, core);
                let pending = std::mem::take(&mut self.nodes[index].pending);
                self.orphaned_requests
                    .extend(pending.into_iter().map(|action| (lost.session(), action)));
            }
            OwnerAction::TakeoverFailed { shard, detail } => panic!("takeover of {shard}: {detail}"),
            _ => {}
        }
    }

    fn reply(&mut self, request: u64, result: Result<Box<ProgramView>, ProblemReport>) {
        match (&self.requests[request as usize], result) {
            (&ModelRequest::Open(program), Ok(_)) => {
                self.facts
                    .programs
                    .get_mut(&program)
                    .expect("an opened program")
                    .is_open = true;
            }
            (ModelRequest::Show(_), Err(_)) => self.show(request, None, serde_json::Value::Null),
            _ => {}
        }
    }

    fn show(&mut self, request: u64, view: Option<Box<ProgramView>>, history: serde_json::Value) {
        if let ModelRequest::Show(program) = self.requests[request as usize] {
            self.shown.push((program, view, history));
        }
    }

    /// Carries out one pending storage request of a process.
    pub(crate) fn perform(&mut self, index: usize, position: usize, fault: Fault) {
        if self.nodes[index].is_paused {
            return;
        }
        let action = self.nodes[index].pending.remove(position);
        let session = self.nodes[index].core.session();
        let event = self.platform.perform(session, &action, fault);
        if fault == Fault::Refused {
            // The request may still reach the platform later.
            self.orphaned_requests.push((session, action));
        }
        if let Some(event) = event {
            self.send(index, event);
        }
    }

    pub(crate) fn perform_orphaned(&mut self, position: usize) {
        let (session, action) = self.orphaned_requests.remove(position);
        self.platform.perform(session, &action, Fault::LostReply);
    }

    pub(crate) fn operate(&mut self, index: usize, operation: ProgramOperation) {
        let request = self.requests.len() as u64;
        self.requests.push(match &operation {
            ProgramOperation::Open { program, .. } => ModelRequest::Open(*program),
            ProgramOperation::Show { program, .. } => ModelRequest::Show(*program),
            _ => ModelRequest::End,
        });
        self.send(index, OwnerEvent::Operation { request, operation });
    }

    pub(crate) fn open_program(&mut self, index: usize, shard: u16, parent: Option<ProgramId>) {
        let shard = parent.map_or(ShardKey(shard), ProgramId::shard);
        let id = program(shard.0, self.next_program);
        self.next_program += 1;
        let budget = ProgramBudget {
            tokens: 400,
            calls: 12,
            ..ProgramBudget::default()
        };
        let facts = ProgramFacts {
            parent,
            budget,
            is_open: false,
            messages: Vec::new(),
            finished: Vec::new(),
            used: BudgetUse::default(),
        };
        self.facts.programs.insert(id, facts);
        self.operate(
            index,
            ProgramOperation::Open {
                program: id,
                parent,
                caller: caller("shop-fiji"),
                budget,
            },
        );
    }

    /// Sends a call of a program, or of none. A call with a key is an order of a plain service.
    pub(crate) fn call(&mut self, index: usize, program: Option<ProgramId>, key: Option<String>) -> CallId {
        if self.nodes[index].is_paused {
            return call(0);
        }
        let number = self.next_call;
        self.next_call += 1;
        let known = program.and_then(|program| self.facts.programs.get(&program));
        let mut messages = known.map(|known| known.messages.clone()).unwrap_or_default();
        messages.push(format!("message {number}"));
        let texts: Vec<&str> = messages.iter().map(String::as_str).collect();
        let mut request = match &key {
            Some(key) => order(number, program, key),
            None => chat(number, program, &texts),
        };
        request.timeout_ms = 15_000;
        let tokens = if key.is_some() { 0 } else { 20 };
        let facts = CallFacts {
            session: self.nodes[index].core.session(),
            program,
            messages: if key.is_some() { Vec::new() } else { messages },
            key,
            need: BudgetUse { tokens, calls: 1 },
            run: None,
            answer: None,
            answers: 0,
            is_reported_not_run: false,
        };
        self.facts.calls.insert(request.call, facts);
        let id = request.call;
        self.send(index, arrived(request));
        id
    }

    /// Ends a run on the target and tells the owner that dispatched it, if that owner still exists.
    pub(crate) fn end_run(&mut self, position: usize, outcome: RunOutcome, has_answer: bool) {
        let run = self.facts.runs[position];
        let need = self.facts.calls[&run.call].need;
        let used = if has_answer {
            BudgetUse {
                tokens: need.tokens * 3 / 4,
                ..need
            }
        } else {
            need
        };
        self.facts.end_run(position, outcome, used);
        let event = match (outcome, has_answer) {
            (RunOutcome::Ran, true) => {
                let answer = format!("answer to {}", run.call);
                self.facts.calls.get_mut(&run.call).expect("a call").answer = Some(answer.clone());
                finished_with(run.call, answer, used)
            }
            (RunOutcome::Ran, false) => OwnerEvent::CallFailed {
                call: run.call,
                problem: ProblemReport::may_have_run(ProblemCode::TargetFailed, "lost"),
            },
            _ => OwnerEvent::CallFailed {
                call: run.call,
                problem: ProblemReport::not_run(ProblemCode::NoTarget, "no target"),
            },
        };
        let owner = self
            .nodes
            .iter()
            .position(|node| node.core.session() == run.session);
        if let Some(owner) = owner {
            // A paused process receives the answer when it resumes.
            let was_paused = std::mem::replace(&mut self.nodes[owner].is_paused, false);
            self.send(owner, event);
            if self.nodes[owner].core.session() == run.session {
                self.nodes[owner].is_paused = was_paused;
            }
        }
    }

    pub(crate) fn advance(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);
        for index in 0..self.nodes.len() {
            self.send(index, OwnerEvent::Tick);
        }
    }

    /// Returns the process that serves a shard.
    pub(crate) fn server_of(&self, shard: ShardKey) -> Option<usize> {
        let serves = |node: &ModelNode| {
            node.core
                .serving_shards()
                .iter()
                .any(|&(served, _)| served == shard)
                && !node.is_paused
        };
        self.nodes.iter().position(serves)
    }
}

fn finished_with(call: CallId, answer: String, used: BudgetUse) -> OwnerEvent {
    OwnerEvent::CallFinished {
        call,
        head: AnswerHead {
            status: 200,
            headers: Vec::new(),
        },
        answer: Bytes::from(answer),
        usage: CallUsage {
            prompt_tokens: u32::try_from(used.tokens).expect("few tokens"),
            cached_tokens: 0,
            output_tokens: 0,
        },
    }
}
