//! Runs one call on a target and relays its answer to the actor.

mod messages;
mod usage;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix::Addr;
use bytes::Bytes;
use ebony_platform::protocol::{CALL_HEADER, IDEMPOTENCY_KEY_HEADER, INCARNATION_HEADER};
use ebony_platform::{
    EngineCall, EngineTarget, PlatformError, ProbeOutcome, ServiceAnswer, ServiceCall, ServiceTarget, probe,
};
use ebony_types::limits::MAX_CHUNK_BYTES;
use ebony_types::{CallKind, CallRequest, HeaderField, ProblemCode, ProblemReport, RunVerdict};
use ebony_wire::AnswerHead;
use futures_util::StreamExt;
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::actor::SideActor;
use crate::target::TargetAdapter;

pub(crate) use self::messages::{CrashSuspicion, RunChunk, RunEnded, RunHead, RunKey, RunOutcome, RunStep};
use self::usage::BodyTail;

/// The most consecutive attempts to resume an engine's answer without receiving a byte.
const MAX_RESUME_ATTEMPTS: u32 = 4;

/// Attempt n to resume an answer waits for this time multiplied by 2^n; the first attempt is immediate.
const RESUME_BACKOFF: Duration = Duration::from_millis(25);

/// The result of relaying a part of an answer.
type Result<T, E = RelayError> = std::result::Result<T, E>;

/// Why a part of the answer was not relayed.
enum RelayError {
    /// The target's answer ended with an error.
    TargetFailed(PlatformError),
    /// The call ended before its answer was complete.
    CallEnded,
}

/// A call that runs on its target.
pub(crate) struct CallRun {
    pub(crate) actor: Addr<SideActor>,
    pub(crate) key: RunKey,
    pub(crate) address: SocketAddr,
    pub(crate) adapter: TargetAdapter,
    pub(crate) request: CallRequest,
    pub(crate) buffer_room: Rc<Notify>,
}

/// The part of an answer that was relayed.
#[derive(Default)]
struct RelayedBody {
    has_head: bool,
    length: u64,
    tail: BodyTail,
}

impl CallRun {
    /// Runs the call and reports its outcome to the actor, unless the actor has already ended the call.
    pub(crate) async fn run(self) {
        let outcome = match (&self.adapter, &self.request.kind) {
            (TargetAdapter::Engine(engine), CallKind::Model { .. }) => self.run_engine(engine.as_ref()).await,
            (TargetAdapter::Service(service), CallKind::Service { method, path, .. }) => {
                let call = self.service_call(method, path);
                self.run_service(service.as_ref(), call).await
            }
            _ => {
                let detail = "the target does not serve this kind of call";
                let problem = ProblemReport::not_run(ProblemCode::NoTarget, detail);
                let suspicion = CrashSuspicion::NotSuspected;
                Some(RunOutcome::Failed { problem, suspicion })
            }
        };
        if let Some(outcome) = outcome {
            self.actor.do_send(RunEnded {
                key: self.key,
                outcome,
            });
        }
    }

    async fn run_engine(&self, engine: &dyn EngineTarget) -> Option<RunOutcome> {
        let mut relayed = RelayedBody::default();
        let call = EngineCall {
            call: self.request.call,
            program: self.request.program?,
            priority: 0,
            body: self.request.body.clone(),
        };
        let mut answer = match engine.complete(call).await {
            Err(error) if error.verdict() == RunVerdict::NotRun => return Some(self.failure(&error).await),
            answer => answer,
        };
        let mut attempts = 0;
        loop {
            let length = relayed.length;
            let error = match answer {
                Ok(answer) => match self.relay_answer(answer, &mut relayed).await {
                    Ok(()) => return Some(RunOutcome::Completed(relayed.tail.usage())),
                    Err(RelayError::CallEnded) => return None,
                    Err(RelayError::TargetFailed(error)) => error,
                },
                Err(error) => error,
            };
            if relayed.length > length {
                attempts = 0;
            }
            attempts += 1;
            if attempts > MAX_RESUME_ATTEMPTS || probe(self.address).await == ProbeOutcome::Refused {
                return Some(self.sent_failure(&error).await);
            }
            if attempts > 1 {
                sleep(RESUME_BACKOFF * (1 << attempts)).await;
            }
            answer = engine.resume(self.request.call, relayed.length).await;
            if let Err(PlatformError::Refused(_)) = &answer {
                // The engine is down or no longer knows the call.
                return Some(self.sent_failure(&error).await);
            }
        }
    }

    async fn run_service(&self, service: &dyn ServiceTarget, call: ServiceCall) -> Option<RunOutcome> {
        let answer = match service.send(call).await {
            Ok(answer) => answer,
            Err(error) => return Some(self.failure(&error).await),
        };
        let mut relayed = RelayedBody::default();
        match self.relay_answer(answer, &mut relayed).await {
            Ok(()) => Some(RunOutcome::Completed(relayed.tail.usage())),
            Err(RelayError::CallEnded) => None,
            Err(RelayError::TargetFailed(error)) => Some(self.sent_failure(&error).await),
        }
    }

    fn service_call(&self, method: &str, path: &str) -> ServiceCall {
        let mut headers = self.request.headers.clone();
        if let Some(key) = &self.request.idempotency_key {
            headers.push(HeaderField {
                name: IDEMPOTENCY_KEY_HEADER.to_owned(),
                value: key.to_string(),
            });
        }
        ServiceCall {
            method: method.to_owned(),
            path: path.to_owned(),
            headers,
            body: self.request.body.clone(),
        }
    }

    /// Returns the outcome of a failed call, with the run verdict of the error.
    async fn failure(&self, error: &PlatformError) -> RunOutcome {
        if error.verdict() != RunVerdict::NotRun {
            return self.sent_failure(error).await;
        }
        let problem = ProblemReport::not_run(ProblemCode::TargetFailed, error.to_string());
        let suspicion = match probe(self.address).await {
            ProbeOutcome::Refused => CrashSuspicion::PortClosed,
            _ => CrashSuspicion::NotSuspected,
        };
        RunOutcome::Failed { problem, suspicion }
    }

    /// Returns the outcome of a failed call that may have run on the target.
    async fn sent_failure(&self, error: &PlatformError) -> RunOutcome {
        let problem = ProblemReport::may_have_run(ProblemCode::TargetFailed, error.to_string());
        let suspicion = match probe(self.address).await {
            ProbeOutcome::Refused => CrashSuspicion::PortClosed,
            _ => CrashSuspicion::Unconfirmed,
        };
        RunOutcome::Failed { problem, suspicion }
    }

    async fn relay_answer(&self, answer: ServiceAnswer, relayed: &mut RelayedBody) -> Result<()> {
        self.relay_head(answer.status, answer.headers, relayed).await?;
        let mut body = answer.body;
        while let Some(part) = body.next().await {
            let bytes = part.map_err(RelayError::TargetFailed)?;
            for start in (0..bytes.len()).step_by(MAX_CHUNK_BYTES) {
                let end = bytes.len().min(start + MAX_CHUNK_BYTES);
                self.relay_chunk(bytes.slice(start..end), relayed).await?;
            }
        }
        Ok(())
    }

    /// Relays the first head. From the head of a resumed answer, only the target's incarnation is used.
    async fn relay_head(
        &self,
        status: u16,
        headers: Vec<HeaderField>,
        relayed: &mut RelayedBody,
    ) -> Result<()> {
        let incarnation = headers.iter().find(|field| field.name == INCARNATION_HEADER);
        let incarnation = incarnation.and_then(|field| field.value.parse().ok());
        let is_internal = |field: &HeaderField| [INCARNATION_HEADER, CALL_HEADER].contains(&&*field.name);
        let headers = headers.into_iter().filter(|field| !is_internal(field)).collect();
        let is_first = !relayed.has_head;
        relayed.has_head = true;
        let message = RunHead {
            key: self.key.clone(),
            head: is_first.then_some(AnswerHead { status, headers }),
            incarnation,
        };
        match self.actor.send(message).await {
            Ok(true) => Ok(()),
            _ => Err(RelayError::CallEnded),
        }
    }

    /// Relays bytes as soon as the answer buffer has room.
    async fn relay_chunk(&self, bytes: Bytes, relayed: &mut RelayedBody) -> Result<()> {
        loop {
            let message = RunChunk {
                key: self.key.clone(),
                bytes: bytes.clone(),
            };
            match self.actor.send(message).await {
                Ok(RunStep::Taken) => break,
                Ok(RunStep::Full) => self.buffer_room.notified().await,
                Ok(RunStep::Ended) | Err(_) => return Err(RelayError::CallEnded),
            }
        }
        relayed.length += bytes.len() as u64;
        relayed.tail.push(&bytes);
        Ok(())
    }
}
