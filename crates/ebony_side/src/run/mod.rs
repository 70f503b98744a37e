//! Runs one call on a target and passes its answer to the actor.

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

pub(crate) use self::messages::{RunChunk, RunDoubt, RunEnded, RunHead, RunKey, RunOutcome, RunStep};
use self::usage::BodyTail;

/// Attempts to continue an engine's answer without a byte of progress.
const MAX_RESUMES: u32 = 4;

/// The wait before the second attempt; it doubles with each further one.
const RESUME_WAIT: Duration = Duration::from_millis(25);

/// The result of passing a part of an answer on.
type Result<T, E = RunStop> = std::result::Result<T, E>;

/// Why a part of the answer was not passed on.
enum RunStop {
    /// The target's answer broke off.
    Broken(PlatformError),
    /// The call has ended without its answer.
    Ended,
}

/// A call on its target.
pub(crate) struct CallRun {
    pub(crate) actor: Addr<SideActor>,
    pub(crate) key: RunKey,
    pub(crate) address: SocketAddr,
    pub(crate) adapter: TargetAdapter,
    pub(crate) request: CallRequest,
    pub(crate) gate: Rc<Notify>,
}

/// What has been passed on of an answer.
#[derive(Default)]
struct PassedBody {
    has_head: bool,
    length: u64,
    tail: BodyTail,
}

impl CallRun {
    /// Runs the call and tells the actor how it ended.
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
                let doubt = RunDoubt::Settled;
                Some(RunOutcome::Failed { problem, doubt })
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
        let mut passed = PassedBody::default();
        let call = EngineCall {
            call: self.request.call,
            program: self.request.program?,
            priority: 0,
            body: self.request.body.clone(),
        };
        let mut answer = match engine.complete(call).await {
            Err(error) if error.verdict() == RunVerdict::NotRun => return Some(self.fail(&error).await),
            answer => answer,
        };
        let mut attempts = 0;
        loop {
            let length = passed.length;
            let error = match answer {
                Ok(answer) => match self.pass_on(answer, &mut passed).await {
                    Ok(()) => return Some(RunOutcome::Whole(passed.tail.usage())),
                    Err(RunStop::Ended) => return None,
                    Err(RunStop::Broken(error)) => error,
                },
                Err(error) => error,
            };
            if passed.length > length {
                attempts = 0;
            }
            attempts += 1;
            if attempts > MAX_RESUMES || probe(self.address).await == ProbeOutcome::Refused {
                return Some(self.fail_sent(&error).await);
            }
            if attempts > 1 {
                sleep(RESUME_WAIT * (1 << attempts)).await;
            }
            answer = engine.resume(self.request.call, passed.length).await;
            if let Err(PlatformError::Refused(_)) = &answer {
                // The engine is down, or it lost the call.
                return Some(self.fail_sent(&error).await);
            }
        }
    }

    async fn run_service(&self, service: &dyn ServiceTarget, call: ServiceCall) -> Option<RunOutcome> {
        let answer = match service.send(call).await {
            Ok(answer) => answer,
            Err(error) => return Some(self.fail(&error).await),
        };
        let mut passed = PassedBody::default();
        match self.pass_on(answer, &mut passed).await {
            Ok(()) => Some(RunOutcome::Whole(passed.tail.usage())),
            Err(RunStop::Ended) => None,
            Err(RunStop::Broken(error)) => Some(self.fail_sent(&error).await),
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

    /// Returns the outcome of a call with the error's own verdict.
    async fn fail(&self, error: &PlatformError) -> RunOutcome {
        if error.verdict() != RunVerdict::NotRun {
            return self.fail_sent(error).await;
        }
        let problem = ProblemReport::not_run(ProblemCode::TargetFailed, error.to_string());
        let doubt = match probe(self.address).await {
            ProbeOutcome::Refused => RunDoubt::TargetGone,
            _ => RunDoubt::Settled,
        };
        RunOutcome::Failed { problem, doubt }
    }

    /// Returns the outcome of a call that the target may have received.
    async fn fail_sent(&self, error: &PlatformError) -> RunOutcome {
        let problem = ProblemReport::may_have_run(ProblemCode::TargetFailed, error.to_string());
        let doubt = match probe(self.address).await {
            ProbeOutcome::Refused => RunDoubt::TargetGone,
            _ => RunDoubt::Unresolved,
        };
        RunOutcome::Failed { problem, doubt }
    }

    async fn pass_on(&self, answer: ServiceAnswer, passed: &mut PassedBody) -> Result<()> {
        self.pass_head(answer.status, answer.headers, passed).await?;
        let mut body = answer.body;
        while let Some(part) = body.next().await {
            let bytes = part.map_err(RunStop::Broken)?;
            for start in (0..bytes.len()).step_by(MAX_CHUNK_BYTES) {
                let end = bytes.len().min(start + MAX_CHUNK_BYTES);
                self.pass_chunk(bytes.slice(start..end), passed).await?;
            }
        }
        Ok(())
    }

    /// Passes the first head on. The head of a resumed answer only shows the target's incarnation.
    async fn pass_head(&self, status: u16, headers: Vec<HeaderField>, passed: &mut PassedBody) -> Result<()> {
        let incarnation = headers.iter().find(|field| field.name == INCARNATION_HEADER);
        let incarnation = incarnation.and_then(|field| field.value.parse().ok());
        let is_internal = |field: &HeaderField| [INCARNATION_HEADER, CALL_HEADER].contains(&&*field.name);
        let headers = headers.into_iter().filter(|field| !is_internal(field)).collect();
        let is_first = !passed.has_head;
        passed.has_head = true;
        let message = RunHead {
            key: self.key.clone(),
            head: is_first.then_some(AnswerHead { status, headers }),
            incarnation,
        };
        match self.actor.send(message).await {
            Ok(true) => Ok(()),
            _ => Err(RunStop::Ended),
        }
    }

    /// Passes bytes on as soon as the answer's buffer has room.
    async fn pass_chunk(&self, bytes: Bytes, passed: &mut PassedBody) -> Result<()> {
        loop {
            let message = RunChunk {
                key: self.key.clone(),
                bytes: bytes.clone(),
            };
            match self.actor.send(message).await {
                Ok(RunStep::Taken) => break,
                Ok(RunStep::Full) => self.gate.notified().await,
                Ok(RunStep::Ended) | Err(_) => return Err(RunStop::Ended),
            }
        }
        passed.length += bytes.len() as u64;
        passed.tail.push(&bytes);
        Ok(())
    }
}
