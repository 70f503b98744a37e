//! Attempts to run a call on targets, with retries on other targets.

use std::time::Duration;

use bytes::Bytes;
use ebony_dialect::{AnswerHead, AttemptHead};
use ebony_dispatch::{PlacementRequest, TargetKey, place};
use ebony_routing::CallSemantics;
use ebony_types::{ProblemCode, TargetName};
use http::Request;
use http_body_util::Full;
use tokio::time::{sleep, timeout};

use crate::answer::StartedAnswer;
use crate::call_log::{AttemptOutcome, CallLog};
use crate::crashes::registry::REQUEST_HELD_DETAIL;
use crate::refusal::{CallRefusal, NO_TARGET_RETRY_AFTER, Result};
use crate::routed_call::{RoutedCall, affinity_key};
use crate::target_client::{OpenAnswer, SendFailure};
use crate::target_run::TargetRun;
use crate::{leaving, limits};

/// The delay before all targets are tried again after each of them had no room for the call.
const ALL_FULL_RETRY_DELAY: Duration = Duration::from_millis(25);

/// The fraction of the latency objective for which a call waits for a target with room.
const WAITING_OBJECTIVE_SHARE: f64 = 0.5;

/// Sends a call to one target after another until one of them answers.
pub(crate) async fn send_to_targets(call: &RoutedCall, log: &mut CallLog) -> Result<StartedAnswer> {
    let mut attempts = AttemptSeries::open(call);
    loop {
        let target = attempts.next_target().await?;
        log.record_send();
        let (run, result) = attempts.send(target).await?;
        let name = run.name().clone();
        let (outcome, run) = match result {
            Ok((answer, head)) => match attempts.classify(&answer, &head) {
                AttemptOutcome::Answered => match StartedAnswer::read(call, answer, head, run).await {
                    Ok(answer) => {
                        log.record_attempt(name.as_str(), AttemptOutcome::Answered);
                        log.record_first_bytes();
                        return Ok(answer);
                    }
                    Err((outcome, run)) => (outcome, run),
                },
                outcome => (outcome, run),
            },
            Err(outcome) => (outcome, run),
        };
        log.record_attempt(name.as_str(), outcome);
        attempts.record_failure(&run, outcome)?;
    }
}

/// The attempts of one call.
struct AttemptSeries<'c> {
    call: &'c RoutedCall,
    /// Targets that are excluded from the next placement.
    tried: Vec<TargetKey>,
    /// The number of targets that may have run the call.
    reached: u32,
}

impl<'c> AttemptSeries<'c> {
    fn open(call: &'c RoutedCall) -> Self {
        Self {
            call,
            tried: Vec::new(),
            reached: 0,
        }
    }

    /// Waits until a target can be chosen for the call.
    async fn next_target(&mut self) -> Result<TargetKey> {
        let call = self.call;
        let waiting_limit = call.arrived + call.route.objective.mul_f64(WAITING_OBJECTIVE_SHARE);
        loop {
            let gateway = &call.gateway;
            if gateway.time_left(call.deadline).is_none() {
                return Err(self.refuse(ProblemCode::DeadlineExceeded, "the deadline passed"));
            }
            if !gateway.crashes.may_send(&call.fingerprint, call.permit) {
                return Err(self.refuse(ProblemCode::RequestHeld, REQUEST_HELD_DETAIL));
            }
            if let Some(target) = self.place() {
                return Ok(target);
            }
            if self.tried.is_empty() || gateway.time_left(waiting_limit).is_none() {
                return Err(self.refuse(ProblemCode::Overloaded, "no target takes the call at present"));
            }
            sleep(ALL_FULL_RETRY_DELAY).await;
            self.tried.clear();
        }
    }

    fn place(&self) -> Option<TargetKey> {
        let gateway = &self.call.gateway;
        let request = PlacementRequest {
            service: &self.call.service,
            domain: &gateway.domain,
            affinity: affinity_key(&self.call.head),
            prompt: &self.call.head.prompt,
            tried: &self.tried,
            max_connections: self.call.max_connections,
        };
        place(
            &gateway.board.borrow(),
            &request,
            &gateway.options.get(),
            gateway.clock.now(),
        )
    }

    /// Sends the call to a target and waits for the head of its answer.
    async fn send(
        &self,
        target: TargetKey,
    ) -> Result<(TargetRun, Result<(OpenAnswer, AnswerHead), AttemptOutcome>)> {
        let gateway = &self.call.gateway;
        let delisted = || self.refuse(ProblemCode::NoTarget, "the target left");
        let record = gateway
            .board
            .borrow()
            .target(target)
            .map(|entry| entry.record.clone());
        let record = record.ok_or_else(delisted)?;
        let deadline_passed = || self.refuse(ProblemCode::DeadlineExceeded, "the deadline passed");
        let time_left = gateway
            .time_left(self.call.deadline)
            .ok_or_else(deadline_passed)?;
        let request = self.request(&record.name, time_left);
        let run = TargetRun::begin(self.call, target, record.clone());
        let sent_at = gateway.clock.now();
        let sending = gateway.client.send(target, record.address, request);
        let attempt_timeout = self.attempt_timeout(time_left);
        let result = match timeout(attempt_timeout, sending).await {
            Err(_) if attempt_timeout < time_left => Err(AttemptOutcome::Silent),
            Err(_) => Err(AttemptOutcome::TimedOut),
            Ok(Err(SendFailure::NotSent(_))) => Err(AttemptOutcome::NotSent),
            Ok(Err(SendFailure::Broken(_))) => Err(AttemptOutcome::Broken),
            Ok(Ok(answer)) => {
                let head = gateway.dialect.decode_answer(&answer.head.headers);
                let call = self.call.head.call.as_deref();
                leaving::apply_answer_notice(gateway, &record, call, answer.head.status, &head);
                limits::apply_answer_limit(gateway, &record, call, answer.head.status, &head, sent_at);
                if let Some(notice) = head.load {
                    let now = gateway.clock.now();
                    gateway.board.borrow_mut().record_notice(target, notice, now);
                }
                Ok((answer, head))
            }
        };
        Ok((run, result))
    }

    /// Returns how long a target may take to start its answer. An idempotent call goes to another target once the
    /// latency objective has passed, because the answer may have been lost.
    fn attempt_timeout(&self, time_left: Duration) -> Duration {
        let route = &self.call.route;
        let has_next = self.reached + 1 < self.call.max_targets();
        if route.semantics == CallSemantics::Idempotent && has_next {
            return time_left.min(route.objective);
        }
        time_left
    }

    fn request(&self, target: &TargetName, time_left: Duration) -> Request<Full<Bytes>> {
        let call = self.call;
        let dialect = &call.gateway.dialect;
        let mut request = Request::new(Full::new(call.body.clone()));
        *request.method_mut() = call.request.method.clone();
        *request.uri_mut() = call.request.uri.clone();
        let headers = request.headers_mut();
        for (name, value) in &call.request.headers {
            if !dialect.is_reserved(name) {
                headers.append(name, value.clone());
            }
        }
        let attempt = AttemptHead {
            target,
            time_left,
            urgency: None,
            resumes_after: None,
        };
        for (name, value) in dialect.encode_attempt(&attempt) {
            headers.insert(name, value);
        }
        request
    }

    /// Classifies an answer by whether its target ran this call.
    fn classify(&self, answer: &OpenAnswer, head: &AnswerHead) -> AttemptOutcome {
        let is_own = head.call == self.call.head.call;
        match head {
            _ if !is_own => AttemptOutcome::Foreign,
            head if head.is_not_run => AttemptOutcome::NotRun,
            head if !head.has_server_stamp && answer.head.status.is_success() => AttemptOutcome::Foreign,
            _ => AttemptOutcome::Answered,
        }
    }

    /// Records an attempt without an answer.
    ///
    /// # Errors
    ///
    /// Returns the refusal of the call if it must not be sent to another target.
    fn record_failure(&mut self, run: &TargetRun, outcome: AttemptOutcome) -> Result<()> {
        self.tried.push(run.target);
        if outcome == AttemptOutcome::NotRun {
            run.record_full();
            return Ok(());
        }
        match outcome {
            AttemptOutcome::Broken => run.record_break(),
            AttemptOutcome::Silent | AttemptOutcome::TimedOut => run.record_silence(),
            _ => run.record_failure(),
        }
        if outcome == AttemptOutcome::NotSent {
            return Ok(());
        }
        self.reached += 1;
        let may_retry = self.call.route.semantics.is_repeatable() && self.reached < self.call.max_targets();
        match outcome {
            AttemptOutcome::Silent if may_retry => Ok(()),
            AttemptOutcome::TimedOut | AttemptOutcome::Silent => {
                Err(self.refuse(ProblemCode::DeadlineExceeded, "the target did not answer in time"))
            }
            _ if may_retry => Ok(()),
            _ => Err(self.refuse(
                ProblemCode::TargetFailed,
                "the target broke off before its answer",
            )),
        }
    }

    /// Returns the refusal of the call. A call that reached a target is reported as one that may have run.
    fn refuse(&self, code: ProblemCode, detail: &'static str) -> CallRefusal {
        if self.reached > 0 {
            let code = match code {
                ProblemCode::DeadlineExceeded => ProblemCode::DeadlineExceeded,
                _ => ProblemCode::TargetFailed,
            };
            return CallRefusal::may_have_run(code, detail);
        }
        let code = match code {
            ProblemCode::DeadlineExceeded => ProblemCode::Overloaded,
            code => code,
        };
        CallRefusal::not_run(code, detail).retry_after(NO_TARGET_RETRY_AFTER)
    }
}
