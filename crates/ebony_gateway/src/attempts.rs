//! Attempts to run a call on targets, with retries on other targets.

use std::time::Duration;

use bytes::Bytes;
use ebony_dialect::{AnswerHead, AttemptHead};
use ebony_dispatch::{CallDemand, PlacementRequest, TargetKey, VersionRule, place_with};
use ebony_routing::{CallSemantics, CallerIdentity};
use ebony_types::{ClockTime, ProblemCode, RunVerdict, TargetName};
use http::Request;
use http_body_util::Full;
use tokio::time::{sleep, timeout};

use crate::answer::StartedAnswer;
use crate::call::refuse_stopping;
use crate::call_log::{AttemptOutcome, CallLog};
use crate::crashes::registry::REQUEST_HELD_DETAIL;
use crate::limits::permits::{self, CallPermit, PermitOutcome};
use crate::quotas::{self, QuotaRefusal, QuotaToken};
use crate::refusal::{CallRefusal, NO_TARGET_RETRY_AFTER, Result};
use crate::routed_call::RoutedCall;
use crate::target_client::{OpenAnswer, SendFailure};
use crate::target_run::TargetRun;
use crate::{admission, leaving, limits};

/// The delay before all targets are tried again after each of them had no room for the call.
const ALL_FULL_RETRY_DELAY: Duration = Duration::from_millis(25);

/// The fraction of the latency objective for which a call waits for a target with room.
const WAITING_OBJECTIVE_SHARE: f64 = 0.5;

/// The number of denied permits after which a call uses targets without a limit only. Each costs a round trip between
/// gateways.
const MAX_DENIED_PERMITS: u32 = 4;

/// Sends a call to one target after another until one of them answers.
pub(crate) async fn send_to_targets(call: &RoutedCall, log: &mut CallLog) -> Result<StartedAnswer> {
    let mut attempts = AttemptSeries::open(call);
    call.record_expected_output();
    loop {
        let (target, permit) = attempts.next_target(log).await?;
        log.record_send();
        let (run, result) = attempts.send(target, permit).await?;
        let name = run.name().clone();
        log.set_target_version(&run.record().version);
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

/// Whether a call may be sent to the chosen target.
enum PermitStep {
    /// It may, with a permit if the target limits its rate.
    Ready(Option<CallPermit>),
    /// Another target has to be chosen.
    Denied,
}

/// The attempts of one call.
struct AttemptSeries<'c> {
    call: &'c RoutedCall,
    /// Targets that are excluded from the next placement.
    tried: Vec<TargetKey>,
    /// The number of targets that may have run the call.
    reached: u32,
    /// The number of permits that were asked for and denied.
    denied_permits: u32,
    /// The token of the customer's quota for the next attempt; `None` if there is no quota, or it has not been taken.
    token: Option<QuotaToken>,
}

impl<'c> AttemptSeries<'c> {
    fn open(call: &'c RoutedCall) -> Self {
        Self {
            call,
            tried: Vec::new(),
            reached: 0,
            denied_permits: 0,
            token: None,
        }
    }

    /// Waits until a target can be chosen for the call, and has a permit for it if the target limits its rate.
    async fn next_target(&mut self, log: &mut CallLog) -> Result<(TargetKey, Option<CallPermit>)> {
        let call = self.call;
        let waiting_limit = call.arrived + call.route.objective.mul_f64(WAITING_OBJECTIVE_SHARE);
        loop {
            self.check_may_send()?;
            self.take_token(log).await?;
            if let Some(target) = self.place() {
                match self.take_permit(target, log).await? {
                    PermitStep::Ready(permit) => return Ok((target, permit)),
                    PermitStep::Denied => continue,
                }
            }
            let has_time = self.can_wait_until(waiting_limit);
            if self.tried.is_empty() || !has_time {
                return Err(self.refuse_unplaced());
            }
            sleep(ALL_FULL_RETRY_DELAY).await;
            self.tried.clear();
        }
    }

    /// Returns whether the call may wait for a target with room. A call whose deadline passes meanwhile is refused at once,
    /// so that its caller learns in time that it has not run.
    fn can_wait_until(&self, waiting_limit: ClockTime) -> bool {
        let gateway = &self.call.gateway;
        let time_left = gateway.time_left(self.call.deadline).unwrap_or_default();
        gateway.time_left(waiting_limit).is_some() && time_left > ALL_FULL_RETRY_DELAY
    }

    /// Takes a token of the customer's quota unless the call has one.
    async fn take_token(&mut self, log: &mut CallLog) -> Result<()> {
        if self.token.as_ref().is_some_and(|token| !token.has_expired()) {
            return Ok(());
        }
        self.token = None;
        let clock = self.call.gateway.clock;
        let asked_at = clock.now();
        let Some(taken) = quotas::take(self.call, self.reached > 0).await else {
            return Ok(());
        };
        log.record_quota_wait(clock.now().since(asked_at));
        match taken {
            Ok(token) => {
                self.token = Some(token);
                self.check_may_send()
            }
            Err(refusal) => {
                log.record_quota_refusal(refusal);
                Err(self.refuse_over_quota(refusal))
            }
        }
    }

    /// Returns the refusal of a call that is over its customer's quota.
    fn refuse_over_quota(&self, refusal: QuotaRefusal) -> CallRefusal {
        let detail = match refusal.is_first_turn {
            true => "the customer's quota carries no further program at present",
            false => "the customer's quota is used up",
        };
        let refused = self.refuse(ProblemCode::QuotaExceeded, detail);
        match refused.report.run {
            RunVerdict::NotRun => refused.retry_after(refusal.retry_after),
            _ => refused,
        }
    }

    /// Checks that the call is still wanted and may run.
    fn check_may_send(&self) -> Result<()> {
        let call = self.call;
        let gateway = &call.gateway;
        // The process may end before the answer of a call whose body or target came late.
        if gateway.is_closing.get() && self.reached == 0 {
            return Err(refuse_stopping());
        }
        if gateway.time_left(call.deadline).is_none() {
            return Err(self.refuse(ProblemCode::DeadlineExceeded, "the deadline passed"));
        }
        if !gateway.crashes.may_send(&call.fingerprint, call.permit) {
            return Err(self.refuse(ProblemCode::RequestHeld, REQUEST_HELD_DETAIL));
        }
        Ok(())
    }

    /// Waits for a permit if the target limits its rate.
    async fn take_permit(&mut self, target: TargetKey, log: &mut CallLog) -> Result<PermitStep> {
        let gateway = &self.call.gateway;
        let Some(record) = gateway.board.borrow().limited_record(target) else {
            return Ok(PermitStep::Ready(None));
        };
        let max_wait = self.call.permit_patience();
        let Some(outcome) = permits::take(gateway, &record, max_wait).await else {
            return Ok(PermitStep::Ready(None));
        };
        self.call.record_permit(target, &outcome);
        let (permit, wait) = match outcome {
            PermitOutcome::Granted(permit, wait) => (permit, wait),
            PermitOutcome::Denied(wait) => {
                self.denied_permits += 1;
                log.record_denied_permit(record.name.as_str(), wait);
                return Ok(PermitStep::Denied);
            }
        };
        if wait.is_zero() {
            return Ok(PermitStep::Ready(Some(permit)));
        }
        log.record_permit_wait(wait);
        sleep(wait).await;
        self.check_may_send()?;
        let is_ready = gateway.board.borrow().is_ready(target);
        Ok(match is_ready {
            true => PermitStep::Ready(Some(permit)),
            false => PermitStep::Denied,
        })
    }

    /// Returns the refusal of a call for which there is no target.
    fn refuse_unplaced(&self) -> CallRefusal {
        let gateway = &self.call.gateway;
        let wait = gateway
            .board
            .borrow()
            .permit_wait(&self.call.service, gateway.clock.now());
        let lacks_permit = |wait: &Duration| self.denied_permits > 0 || *wait > self.call.permit_patience();
        let Some(wait) = wait.filter(|wait| self.reached == 0 && lacks_permit(wait)) else {
            return self.refuse(ProblemCode::Overloaded, "no target takes the call at present");
        };
        let detail = "the targets limit their rate, and no permit is due in time";
        let retry_after = limits::return_delay(gateway, &self.call.service, wait);
        self.refuse(ProblemCode::Overloaded, detail)
            .retry_after(retry_after)
    }

    /// Chooses a target. A resumed stream goes on at the version that began it only; others begin at versions that the
    /// store has, if there are any.
    fn place(&self) -> Option<TargetKey> {
        let call = self.call;
        if let Some(version) = &call.version {
            return self.place_by_permits(VersionRule::Only(version));
        }
        let unconfirmed = match call.is_stream() {
            true => call.gateway.streams.unconfirmed_versions(&call.service),
            false => Vec::new(),
        };
        let confirmed = self.place_by_permits(VersionRule::Except(&unconfirmed));
        match unconfirmed.is_empty() {
            true => confirmed,
            false => confirmed.or_else(|| self.place_by_permits(VersionRule::Any)),
        }
    }

    /// Chooses a target. A call that leaves the permits of limited targets to others uses them if there is no other
    /// choice.
    fn place_by_permits(&self, versions: VersionRule<'_>) -> Option<TargetKey> {
        let may_ask = self.denied_permits < MAX_DENIED_PERMITS;
        let patience = may_ask.then(|| self.call.permit_patience());
        if self.call.leaves_permits_to_others() {
            let without = self.place_within(None, versions);
            return without.or_else(|| self.place_within(patience, versions));
        }
        self.place_within(patience, versions)
    }

    fn place_within(
        &self,
        max_permit_wait: Option<Duration>,
        versions: VersionRule<'_>,
    ) -> Option<TargetKey> {
        let gateway = &self.call.gateway;
        let request = PlacementRequest {
            service: &self.call.service,
            domain: &gateway.domain,
            affinity: self.call.affinity(),
            is_sticky: self.call.object.is_some(),
            prompt: &self.call.head.prompt,
            tried: &self.tried,
            max_connections: self.call.max_connections,
            max_permit_wait,
            versions,
        };
        let demand = CallDemand {
            max_output: self.call.max_output(),
            memory_tokens: self.call.engine.map(|engine| engine.memory_tokens),
            runs_once: !self.call.route.semantics.is_repeatable(),
            has_idle: &|target| gateway.client.has_idle(target),
        };
        let board = gateway.board.borrow();
        place_with(
            &board,
            &request,
            &demand,
            &gateway.placement_options(),
            gateway.clock.now(),
        )
    }

    /// Sends the call to a target and waits for the head of its answer.
    async fn send(
        &mut self,
        target: TargetKey,
        permit: Option<CallPermit>,
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
        // A call that is abandoned while it is sent may reach the target.
        let permit = permit.and_then(CallPermit::mark_used);
        if let Some(token) = &mut self.token {
            token.set_used(true);
        }
        let sent = timeout(attempt_timeout, sending).await;
        if let (Some(permit), Ok(Err(SendFailure::NotSent(_)))) = (permit, &sent) {
            permit.put_back();
        }
        let result = match sent {
            Err(_) if attempt_timeout < time_left => Err(AttemptOutcome::Silent),
            Err(_) => Err(AttemptOutcome::TimedOut),
            Ok(Err(SendFailure::NotSent(_))) => Err(AttemptOutcome::NotSent),
            Ok(Err(SendFailure::Broken(_))) => Err(AttemptOutcome::Broken),
            Ok(Ok(answer)) => {
                let head = gateway.dialect.decode_answer(&answer.head.headers);
                let call = self.call.head.call.as_deref();
                leaving::apply_answer_notice(gateway, &record, call, answer.head.status, &head);
                limits::apply_answer_limit(gateway, &record, call, answer.head.status, &head, sent_at);
                if let Some(fault) = head.load_fault {
                    let faults = &gateway.metrics.load_faults;
                    faults.with_label_values(&[fault.as_str()]).inc();
                }
                if let Some(notice) = head.load {
                    let now = gateway.clock.now();
                    gateway.board.borrow_mut().record_notice(target, notice, now);
                    run.record_notice(notice);
                    admission::record_load(self.call, notice);
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
        // With customers configured, a credential is an API key, which concerns the gateways only.
        let hides_credential = *call.identity() != CallerIdentity::Unrestricted;
        let headers = request.headers_mut();
        for (name, value) in &call.request.headers {
            let is_dropped = dialect.is_reserved(name) || (hides_credential && dialect.is_credential(name));
            if !is_dropped {
                headers.append(name, value.clone());
            }
        }
        let attempt = AttemptHead {
            target,
            time_left,
            urgency: None,
            customer: call.customer(),
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
        match (&mut self.token, outcome) {
            // The next attempt uses the same token.
            (Some(token), AttemptOutcome::NotRun | AttemptOutcome::NotSent) => token.set_used(false),
            _ => self.token = None,
        }
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
