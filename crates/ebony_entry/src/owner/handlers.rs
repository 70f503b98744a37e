//! Message handlers of the owner.

use std::time::Duration;

use actix::{Actor, AsyncContext, Context, Handler, MessageResult, ResponseFuture};
use ebony_owner::OwnerEvent;
use ebony_owner::program::MessageList;
use ebony_types::limits::MAX_ANSWER_BYTES;
use ebony_types::{CallKind, ProblemCode, ProblemReport, RunVerdict};
use tokio::sync::oneshot;

use super::actor::{OwnerActor, OwnerRecipients};
use super::messages::{ConnectOwner, OwnerStatus, ReadStatus, SessionsListed, StartDrain, StorageEvent};
use super::open_call::OpenCall;
use crate::answer::{AnswerPart, CancelCall};
use crate::dispatch::{CallEnded, CallPlaced, VouchPrograms};
use crate::peers::{
    CopyHeld, CopyLost, OperateProgram, OperationResult, PeerPresence, RelinquishSession, StartCall, held_of,
};

/// The interval at which ownership of programs is confirmed to side processes.
const VOUCH_INTERVAL: Duration = Duration::from_secs(5);

impl Actor for OwnerActor {
    type Context = Context<Self>;
}

impl Handler<ConnectOwner> for OwnerActor {
    type Result = ();

    fn handle(&mut self, message: ConnectOwner, context: &mut Context<Self>) {
        self.recipients = Some(OwnerRecipients {
            dispatch: message.dispatch,
            presence: message.presence,
            copies: message.copies,
            drops: message.drops,
            collect: message.collect,
        });
        self.publish_presence();
        self.write_session(context);
        context.run_interval(VOUCH_INTERVAL, |actor, _| {
            let programs = actor.core.vouched_programs();
            actor.with_dispatch(|dispatch| dispatch.do_send(VouchPrograms { programs }));
        });
    }
}

impl Handler<SessionsListed> for OwnerActor {
    type Result = ();

    fn handle(&mut self, SessionsListed(rows): SessionsListed, context: &mut Context<Self>) {
        let rows = rows.into_iter().filter_map(|record| {
            let session = record.key.0.strip_prefix("sessions/")?.parse().ok()?;
            let row = serde_json::from_slice(&record.value).ok()?;
            Some((session, record.version.0, row))
        });
        let now = self.now();
        self.members.list(rows.collect(), now);
        self.publish_sessions(context);
        self.delete_expired();
    }
}

impl Handler<PeerPresence> for OwnerActor {
    type Result = ();

    fn handle(&mut self, PeerPresence { peer, presence }: PeerPresence, context: &mut Context<Self>) {
        self.members.set_presence(peer, presence);
        self.publish_sessions(context);
    }
}

impl Handler<StorageEvent> for OwnerActor {
    type Result = ();

    fn handle(&mut self, StorageEvent { session, event }: StorageEvent, context: &mut Context<Self>) {
        // Ignores results of an earlier session.
        if session != self.core.session() {
            return;
        }
        self.drop_copies(&event);
        self.handle_event(event, context);
    }
}

impl Handler<CopyHeld> for OwnerActor {
    type Result = ();

    fn handle(&mut self, CopyHeld { session, sequence }: CopyHeld, context: &mut Context<Self>) {
        if session == self.core.session() {
            self.handle_event(OwnerEvent::RowCopied { sequence }, context);
        }
    }
}

impl Handler<CopyLost> for OwnerActor {
    type Result = ();

    fn handle(&mut self, CopyLost { session, sequence }: CopyLost, context: &mut Context<Self>) {
        if session == self.core.session() {
            self.handle_event(OwnerEvent::CopyLost { sequence }, context);
        }
    }
}

impl Handler<RelinquishSession> for OwnerActor {
    type Result = MessageResult<RelinquishSession>;

    fn handle(&mut self, message: RelinquishSession, context: &mut Context<Self>) -> Self::Result {
        let session = message.session;
        if session != self.core.session() {
            return MessageResult(Vec::new());
        }
        let rows = self.relinquish_session(context);
        MessageResult(rows.into_iter().map(|row| held_of(session, row)).collect())
    }
}

impl Handler<StartCall> for OwnerActor {
    type Result = ();

    fn handle(&mut self, StartCall { request, pipe }: StartCall, context: &mut Context<Self>) {
        let messages = match request.kind {
            CallKind::Model { .. } => MessageList::parse(&request.body),
            CallKind::Service { .. } => Ok(MessageList::default()),
        };
        let messages = match messages {
            Ok(messages) => messages,
            Err(error) => {
                let problem = ProblemReport::not_run(ProblemCode::BadRequest, error.to_string());
                pipe.push(AnswerPart::Failed(problem));
                return;
            }
        };
        pipe.set_cancel(context.address().recipient::<CancelCall>());
        self.calls
            .insert(request.call, OpenCall::new(request.clone(), pipe));
        self.handle_event(
            OwnerEvent::CallArrived {
                request: Box::new(request),
                messages,
            },
            context,
        );
    }
}

impl Handler<CancelCall> for OwnerActor {
    type Result = ();

    fn handle(&mut self, CancelCall { call }: CancelCall, context: &mut Context<Self>) {
        self.handle_event(OwnerEvent::CallCancelled { call }, context);
    }
}

impl Handler<CallPlaced> for OwnerActor {
    type Result = ();

    fn handle(&mut self, CallPlaced { call, target }: CallPlaced, context: &mut Context<Self>) {
        self.handle_event(OwnerEvent::CallPlaced { call, target }, context);
    }
}

impl Handler<CallEnded> for OwnerActor {
    type Result = ();

    fn handle(&mut self, ended: CallEnded, context: &mut Context<Self>) {
        let call = ended.call;
        let event = match ended.outcome {
            Ok(answer) if answer.body.len() <= MAX_ANSWER_BYTES => {
                if let Some(open) = self.calls.get_mut(&call) {
                    open.withhold_end(&answer);
                }
                OwnerEvent::CallFinished {
                    call,
                    head: answer.head,
                    answer: answer.body,
                    usage: answer.usage,
                }
            }
            Ok(_) => {
                let detail = "the answer is larger than the limit";
                let problem = ProblemReport::new(ProblemCode::TargetFailed, RunVerdict::Ran, detail);
                OwnerEvent::CallFailed { call, problem }
            }
            Err(problem) if ended.was_placed => OwnerEvent::CallFailed { call, problem },
            Err(problem) => OwnerEvent::CallNotPlaced { call, problem },
        };
        self.handle_event(event, context);
    }
}

impl Handler<OperateProgram> for OwnerActor {
    type Result = ResponseFuture<OperationResult>;

    fn handle(
        &mut self,
        OperateProgram(operation): OperateProgram,
        context: &mut Context<Self>,
    ) -> Self::Result {
        let (reply, result) = oneshot::channel();
        self.next_operation += 1;
        let request = self.next_operation;
        self.operations.insert(request, reply);
        self.handle_event(OwnerEvent::Operation { request, operation }, context);
        Box::pin(async move {
            result.await.unwrap_or_else(|_| {
                let detail = "the owner of the program was replaced";
                Err(ProblemReport::may_have_run(ProblemCode::OwnerUnavailable, detail).retry_after(1))
            })
        })
    }
}

impl Handler<StartDrain> for OwnerActor {
    type Result = ();

    fn handle(&mut self, _: StartDrain, context: &mut Context<Self>) {
        self.is_draining = true;
        self.publish_presence();
        self.publish_sessions(context);
    }
}

impl Handler<ReadStatus> for OwnerActor {
    type Result = OwnerStatus;

    fn handle(&mut self, _: ReadStatus, _: &mut Context<Self>) -> OwnerStatus {
        let report = self.core.report();
        OwnerStatus {
            shards: report.shards_serving,
            calls: self.calls.len(),
            has_undurable: report.undurable_bytes > 0,
        }
    }
}
