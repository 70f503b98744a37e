//! The dispatcher: links to side processes and the calls that are under way at them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix::{Actor, AsyncContext, Context, Handler, Recipient};
use ebony_link::{LinkIdentity, LinkOptions};
use ebony_platform::{HostList, HostRole, HostState};
use ebony_types::{CallId, ProblemCode, ProblemReport, RunVerdict};
use ebony_wire::{AnswerFrame, ConfigPush, DispatchOrder, EntryFrame, SideFrame};
use slog::{Logger, info, warn};

use super::call::{CallStep, DispatchedCall};
use super::directory::{SideDirectory, SideKey};
use super::link;
use super::messages::{
    CallEnded, CallPlaced, ConfigPublished, PlaceCall, ReadReadiness, ReleaseProgram, SettleCall,
    SideDialFailed, SideEvent, SideLinkUp, VouchPrograms,
};
use crate::answer::{CancelCall, CreditGrant};

/// How often the host list is read and links are pinged.
const HEARTBEAT: Duration = Duration::from_millis(500);

/// The most attempts of one call.
const MAX_ATTEMPTS: u32 = 3;

/// The most calls under way at once in one entry.
const MAX_CALLS: usize = 65_536;

/// What the dispatcher needs to run.
pub struct DispatchOptions {
    /// Who this process is on its links.
    pub identity: LinkIdentity,
    /// Limits of links.
    pub link: LinkOptions,
    /// The platform's host list.
    pub hosts: Rc<dyn HostList>,
    /// Who is told where calls were sent.
    pub placed: Recipient<CallPlaced>,
    /// Who is told how calls end.
    pub ended: Recipient<CallEnded>,
    /// The process's logger.
    pub logger: Logger,
}

/// Sends calls to side processes and carries their answers back.
pub struct DispatchActor {
    options: DispatchOptions,
    directory: SideDirectory,
    calls: HashMap<CallId, DispatchedCall>,
    config: Option<ConfigPush>,
    next_generation: u64,
    /// Whether the host list was read.
    has_hosts: bool,
}

impl DispatchActor {
    /// Creates the dispatcher; it starts to dial when it is started as an actor.
    pub fn new(options: DispatchOptions) -> Self {
        Self {
            options,
            directory: SideDirectory::default(),
            calls: HashMap::new(),
            config: None,
            next_generation: 0,
            has_hosts: false,
        }
    }

    fn poll_hosts(&self, context: &mut Context<Self>) {
        let hosts = Rc::clone(&self.options.hosts);
        let address = context.address();
        actix::spawn(async move {
            if let Ok(entries) = hosts.fetch().await {
                let sides = entries.into_iter().filter(|entry| entry.role == HostRole::Side);
                let listed = sides.map(|entry| (entry.address, entry.state)).collect();
                address.do_send(HostsListed(listed));
            }
        });
    }

    fn dial(&self, key: SideKey, context: &mut Context<Self>) {
        let Some(record) = self.directory.get(key) else {
            return;
        };
        let (identity, options) = (self.options.identity.clone(), self.options.link.clone());
        link::spawn_dial(key, record.address, identity, options, context.address());
    }

    fn send(&self, key: SideKey, frame: &EntryFrame) -> bool {
        let sender = self.directory.get(key).and_then(|record| record.sender.as_ref());
        sender.is_some_and(|sender| sender.send(frame).is_ok())
    }

    fn broadcast(&self, keys: impl Iterator<Item = SideKey>, frame: &EntryFrame) {
        for key in keys {
            self.send(key, frame);
        }
    }

    fn linked(&mut self) -> Vec<SideKey> {
        self.directory
            .iter_mut()
            .filter(|(_, side)| side.sender.is_some())
            .map(|(key, _)| key)
            .collect()
    }

    /// Sends a call to the target that it names.
    fn dispatch(&mut self, call: DispatchedCall) {
        let id = call.order.request.call;
        let side = call.side;
        self.options.placed.do_send(CallPlaced {
            call: id,
            target: call.order.target.clone(),
        });
        let frame = EntryFrame::Dispatch(Box::new(call.order.clone()));
        self.calls.insert(id, call);
        if let Some(record) = self.directory.get_mut(side) {
            record.outstanding += 1;
        }
        if !self.send(side, &frame) {
            let problem = ProblemReport::not_run(ProblemCode::NoTarget, "the link to the target is closed");
            self.fail_attempt(id, problem);
        }
    }

    /// Handles a failed attempt: another one if that is safe and allowed, else the call's end.
    fn fail_attempt(&mut self, id: CallId, problem: ProblemReport) {
        let Some(mut call) = self.take(id) else { return };
        call.may_have_run |= !problem.run.is_safe_to_retry();
        let is_allowed = call.attempts < MAX_ATTEMPTS && Instant::now() < call.deadline;
        if is_allowed && is_retryable(&problem) && call.may_retry(problem.run) {
            let mut avoided = call.avoided.clone();
            avoided.push(call.order.target.clone());
            if let Some((side, target)) = self.directory.choose(&call.order.request.kind, &avoided) {
                call.reset(side, target);
                return self.dispatch(call);
            }
        }
        let mut problem = problem;
        if call.may_have_run && problem.run.is_safe_to_retry() {
            problem.run = RunVerdict::MayHaveRun;
        }
        self.end(id, Err(problem));
    }

    fn take(&mut self, id: CallId) -> Option<DispatchedCall> {
        let call = self.calls.remove(&id)?;
        if let Some(record) = self.directory.get_mut(call.side) {
            record.outstanding = record.outstanding.saturating_sub(1);
        }
        Some(call)
    }

    fn end(&self, call: CallId, outcome: Result<super::FinishedAnswer, ProblemReport>) {
        self.options.ended.do_send(CallEnded {
            call,
            was_placed: true,
            outcome,
        });
    }

    fn refuse(&self, call: CallId, problem: ProblemReport) {
        self.options.ended.do_send(CallEnded {
            call,
            was_placed: false,
            outcome: Err(problem),
        });
    }

    fn accept_answer(&mut self, key: SideKey, frame: AnswerFrame) {
        let id = frame.call();
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        // An answer of an earlier attempt on another side process is late.
        if call.side != key {
            return;
        }
        match call.accept(frame) {
            CallStep::Continue => {}
            CallStep::Finished(answer) => {
                self.take(id);
                self.end(id, Ok(answer));
            }
            CallStep::Failed(problem) => self.fail_attempt(id, problem),
            CallStep::Abandoned => {
                self.send(key, &EntryFrame::Cancel { call: id });
            }
        }
    }

    fn lose_calls(&mut self, key: SideKey) {
        let lost: Vec<CallId> = self
            .calls
            .iter()
            .filter(|(_, call)| call.side == key)
            .map(|(id, _)| *id)
            .collect();
        for id in lost {
            let Some(problem) = self.calls.get(&id).map(DispatchedCall::loss) else {
                continue;
            };
            self.fail_attempt(id, problem);
        }
    }

    fn resume_calls(&self, key: SideKey) {
        for (id, call) in self.calls.iter().filter(|(_, call)| call.side == key) {
            self.send(
                key,
                &EntryFrame::Resume {
                    call: *id,
                    offset: call.received(),
                },
            );
        }
    }

    fn accept_frame(&mut self, key: SideKey, frame: SideFrame) {
        match frame {
            SideFrame::Welcome {
                domain,
                targets,
                is_draining,
            } => {
                if let Some(record) = self.directory.get_mut(key) {
                    record.domain = Some(domain);
                    record.was_dialed = true;
                    record.targets = targets;
                    record.is_draining = is_draining;
                }
            }
            SideFrame::Answer(frame) => self.accept_answer(key, frame),
            SideFrame::Draining => {
                if let Some(record) = self.directory.get_mut(key) {
                    record.is_draining = true;
                }
            }
            SideFrame::Fenced { .. }
            | SideFrame::ConfigWanted { .. }
            | SideFrame::Crashes(_)
            | SideFrame::Load(_)
            | SideFrame::Cache(_)
            | SideFrame::ConfigInForce(_)
            | SideFrame::Pong { .. } => {}
        }
    }
}

/// Returns `true` if another target may do better.
fn is_retryable(problem: &ProblemReport) -> bool {
    matches!(
        problem.code,
        ProblemCode::NoTarget | ProblemCode::Draining | ProblemCode::Overloaded | ProblemCode::TargetFailed
    )
}

impl Actor for DispatchActor {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        self.poll_hosts(context);
        context.run_interval(HEARTBEAT, |actor, context| {
            actor.poll_hosts(context);
            let linked = actor.linked();
            actor.broadcast(linked.into_iter(), &EntryFrame::Ping { nonce: 0 });
        });
    }
}

/// The side processes in the platform's host list.
#[derive(actix::Message)]
#[rtype(result = "()")]
struct HostsListed(Vec<(SocketAddr, HostState)>);

impl Handler<HostsListed> for DispatchActor {
    type Result = ();

    fn handle(&mut self, HostsListed(listed): HostsListed, context: &mut Context<Self>) {
        self.has_hosts = true;
        for (address, state) in listed {
            if let Some(key) = self.directory.add(address) {
                self.dial(key, context);
            }
            let known = self
                .directory
                .iter_mut()
                .find(|(_, side)| side.address == address);
            if let Some((_, record)) = known
                && state == HostState::Leaving
            {
                record.is_draining = true;
            }
        }
    }
}

impl Handler<SideLinkUp> for DispatchActor {
    type Result = ();

    fn handle(&mut self, SideLinkUp { key, link }: SideLinkUp, context: &mut Context<Self>) {
        self.next_generation += 1;
        let generation = self.next_generation;
        let incarnation = link.peer().incarnation;
        let Some(record) = self.directory.get_mut(key) else {
            return;
        };
        let is_same = record.incarnation == Some(incarnation);
        info!(self.options.logger, "link to side process opened"; "side" => &link.peer().process);
        let (sender, receiver) = link.split();
        record.sender = Some(sender);
        record.incarnation = Some(incarnation);
        record.generation = generation;
        record.is_draining = false;
        context.add_message_stream(link::events(key, generation, receiver));
        if is_same {
            self.resume_calls(key);
        } else {
            self.lose_calls(key);
        }
        if let Some(push) = &self.config {
            self.send(key, &EntryFrame::Config(push.clone()));
        }
    }
}

impl Handler<SideDialFailed> for DispatchActor {
    type Result = ();

    fn handle(&mut self, SideDialFailed { key }: SideDialFailed, context: &mut Context<Self>) {
        if let Some(record) = self.directory.get_mut(key) {
            record.was_dialed = true;
        }
        self.lose_calls(key);
        context.run_later(HEARTBEAT, move |actor, context| actor.dial(key, context));
    }
}

impl Handler<SideEvent> for DispatchActor {
    type Result = ();

    fn handle(&mut self, event: SideEvent, context: &mut Context<Self>) {
        let key = event.key;
        let is_present = self
            .directory
            .get(key)
            .is_some_and(|side| side.generation == event.generation);
        if !is_present {
            return;
        }
        match event.frame {
            Some(frame) => self.accept_frame(key, frame),
            None => {
                warn!(self.options.logger, "link to side process lost");
                if let Some(record) = self.directory.get_mut(key) {
                    record.sender = None;
                }
                self.dial(key, context);
            }
        }
    }
}

impl Handler<PlaceCall> for DispatchActor {
    type Result = ();

    fn handle(&mut self, place: PlaceCall, context: &mut Context<Self>) {
        let id = place.request.call;
        if self.calls.len() >= MAX_CALLS {
            let problem = ProblemReport::not_run(ProblemCode::Overloaded, "too many calls are under way");
            return self.refuse(id, problem.retry_after(1));
        }
        let Some((side, target)) = self.directory.choose(&place.request.kind, &[]) else {
            let problem =
                ProblemReport::not_run(ProblemCode::NoTarget, "no target serves the request at present");
            return self.refuse(id, problem.retry_after(1));
        };
        place
            .pipe
            .set_credit(context.address().recipient::<CreditGrant>());
        let timeout = Duration::from_millis(u64::from(place.request.timeout_ms));
        let order = DispatchOrder {
            request: place.request,
            target,
            session: place.session,
            token: place.token,
            rank: place.rank,
        };
        let deadline = Instant::now() + timeout;
        self.dispatch(DispatchedCall::new(order, place.pipe, side, deadline));
    }
}

impl Handler<CancelCall> for DispatchActor {
    type Result = ();

    fn handle(&mut self, CancelCall { call }: CancelCall, _: &mut Context<Self>) {
        if let Some(side) = self.calls.get(&call).map(|dispatched| dispatched.side) {
            self.send(side, &EntryFrame::Cancel { call });
        }
    }
}

impl Handler<CreditGrant> for DispatchActor {
    type Result = ();

    fn handle(&mut self, CreditGrant { call, bytes }: CreditGrant, _: &mut Context<Self>) {
        if let Some(side) = self.calls.get(&call).map(|dispatched| dispatched.side) {
            self.send(side, &EntryFrame::Credit { call, bytes });
        }
    }
}

impl Handler<SettleCall> for DispatchActor {
    type Result = ();

    fn handle(&mut self, SettleCall { call, side }: SettleCall, _: &mut Context<Self>) {
        self.send(side, &EntryFrame::Settled { call });
    }
}

impl Handler<ReleaseProgram> for DispatchActor {
    type Result = ();

    fn handle(&mut self, ReleaseProgram { program, token }: ReleaseProgram, _: &mut Context<Self>) {
        let linked = self.linked();
        self.broadcast(linked.into_iter(), &EntryFrame::Release { program, token });
    }
}

impl Handler<VouchPrograms> for DispatchActor {
    type Result = ();

    fn handle(&mut self, VouchPrograms { programs }: VouchPrograms, _: &mut Context<Self>) {
        let linked = self.linked();
        self.broadcast(linked.into_iter(), &EntryFrame::Vouch { programs });
    }
}

impl Handler<ConfigPublished> for DispatchActor {
    type Result = ();

    fn handle(&mut self, ConfigPublished(push): ConfigPublished, _: &mut Context<Self>) {
        let linked = self.linked();
        self.broadcast(linked.into_iter(), &EntryFrame::Config(push.clone()));
        self.config = Some(push);
    }
}

impl Handler<ReadReadiness> for DispatchActor {
    type Result = bool;

    /// Returns `true` once the host list was read and each side process in it has been tried.
    fn handle(&mut self, _: ReadReadiness, _: &mut Context<Self>) -> bool {
        self.has_hosts && self.directory.iter_mut().all(|(_, side)| side.was_dialed)
    }
}
