//! One call: from the caller's request to a target's answer.

use std::rc::Rc;
use std::time::Duration;

use actix_web::web::{Data, Payload};
use actix_web::{HttpRequest, HttpResponse};
use bytes::Bytes;
use ebony_account::TurnRequest;
use ebony_dialect::{AnswerHead, AttemptHead, CallHead};
use ebony_dispatch::{CallShape, ProgramAdmission, ProgramGate, RunKey, TargetKey, place, service_load};
use ebony_routing::{CallNature, EngineRule, RouteRule};
use ebony_types::rendezvous::rendezvous_weight;
use ebony_types::{ClockTime, ProblemCode, ServiceName, TargetName};
use futures_util::future::try_join;
use http::Request;
use http_body_util::Full;
use slog::info;
use tokio::time::{sleep, timeout};

use crate::answer::{self, BegunAnswer};
use crate::channel::{OpenAnswer, SendFailure};
use crate::decision_log::LineKind;
use crate::gateway::{Gateway, OpenCallGuard};
use crate::intake::{self, RequestHead};
use crate::open_turn::{CoverError, OpenTurn};
use crate::refusal::{CallRefusal, Result};
use crate::story::{AttemptOutcome, CallOutcome, CallStory};

/// The pause before all targets are asked again after each turned the call away.
const FULL_PAUSE: Duration = Duration::from_millis(25);

/// The time after which a call that found no target may come back: a heartbeat of the list of targets.
const NO_TARGET_PAUSE: Duration = Duration::from_millis(500);

/// The time after which a call that meets a stopping gateway may come back: another gateway takes it at once.
const STOPPING_PAUSE: Duration = Duration::from_millis(10);

/// The mean time after which a program that was not admitted may come back: a part of the time that programs take, so that
/// slots have been given back by then.
const ADMISSION_PAUSE: Duration = Duration::from_millis(600);

/// The share of the latency objective that a call waits for a target to take it.
const WAITING_SHARE: f64 = 0.5;

/// Connections to a target that a gateway may use in any case, however many gateways there are.
const LEAST_CONNECTIONS: u32 = 2;

/// Parts of a program's first prompt: one that programs share, and its own. Each later turn adds parts.
const FIRST_TURN_PARTS: usize = 2;

/// A call whose route is known.
pub(crate) struct RoutedCall {
    pub(crate) gateway: Rc<Gateway>,
    pub(crate) request: RequestHead,
    pub(crate) head: CallHead,
    pub(crate) body: Bytes,
    pub(crate) route: Rc<RouteRule>,
    pub(crate) service: ServiceName,
    pub(crate) engine: Option<EngineRule>,
    /// Connections that a target takes from this gateway.
    pub(crate) most_connections: u32,
    pub(crate) arrived: ClockTime,
    pub(crate) deadline: ClockTime,
}

/// A call at one target. Dropping it ends the count of the call there.
pub(crate) struct TargetRun {
    gateway: Rc<Gateway>,
    pub(crate) target: TargetKey,
    pub(crate) name: TargetName,
    run: RunKey,
}

impl TargetRun {
    pub(crate) fn end_prefill(&self) {
        self.gateway.board.borrow_mut().end_prefill(self.run);
    }

    pub(crate) fn record_success(&self) {
        let failures = self.gateway.board.borrow_mut().record_success(self.target);
        if failures > 0 {
            self.record_health("recovered");
            if self.gateway.decisions.admits(LineKind::Belief) {
                info!(self.gateway.logger, "target answers again";
                    "target" => self.name.as_str(), "failures_before" => failures);
            }
        }
    }

    pub(crate) fn record_failure(&self) {
        let now = self.gateway.clock.now();
        let options = self.gateway.options.get();
        let failures = self
            .gateway
            .board
            .borrow_mut()
            .record_failure(self.target, &options, now);
        self.record_health("failed");
        if self.gateway.decisions.admits(LineKind::Belief) {
            info!(self.gateway.logger, "target is avoided";
                "target" => self.name.as_str(), "failures" => failures);
        }
    }

    /// Notes that the target has no room for a call.
    fn record_full(&self) {
        let now = self.gateway.clock.now();
        let options = self.gateway.options.get();
        self.gateway
            .board
            .borrow_mut()
            .record_full(self.target, &options, now);
        self.record_health("full");
    }

    fn record_health(&self, change: &str) {
        self.gateway
            .metrics
            .target_health
            .with_label_values(&[change])
            .inc();
    }
}

impl Drop for TargetRun {
    fn drop(&mut self) {
        self.gateway.board.borrow_mut().end(self.run);
    }
}

/// Answers a caller's request.
pub(crate) async fn serve(
    gateway: Data<Rc<Gateway>>,
    request: HttpRequest,
    payload: Payload,
) -> HttpResponse {
    let gateway = Rc::clone(&gateway);
    let arrived = gateway.clock.now();
    let guard = OpenCallGuard::open(&gateway);
    let mut response = match intake::read_head(&request) {
        Ok(head) => serve_head(&gateway, head, payload, arrived, guard).await,
        Err(refusal) => {
            let mut response = refusal.into_response(None, &*gateway.dialect);
            close_after(&mut response);
            response
        }
    };
    if gateway.is_draining.get() {
        close_after(&mut response);
    }
    response
}

/// Ends the connection behind the answer.
fn close_after(response: &mut HttpResponse) {
    response
        .head_mut()
        .set_connection_type(actix_http::ConnectionType::Close);
}

async fn serve_head(
    gateway: &Rc<Gateway>,
    request: RequestHead,
    payload: Payload,
    arrived: ClockTime,
    guard: OpenCallGuard,
) -> HttpResponse {
    let head = gateway.dialect.decode_call(&request.headers);
    let mark = head.call.clone();
    let program = head
        .program
        .as_ref()
        .map_or("", |program| program.program.as_str());
    let mut story = CallStory::open(gateway, mark.as_deref().unwrap_or_default(), program, arrived);
    let outcome = async {
        let call = route(gateway, request, head, payload, arrived, &mut story).await?;
        admit(&call, &mut story)?;
        let turn = open_turn(&call, &mut story)?;
        let answer = run_covered(&call, turn.as_ref(), &mut story).await?;
        Ok::<_, CallRefusal>((call, turn, answer))
    };
    match outcome.await {
        Ok((call, turn, answer)) => answer::hand_on(call, turn, answer, story, guard),
        Err(refusal) => {
            story.end(CallOutcome::Refused {
                code: refusal.report.code,
                run: refusal.report.run,
                cause: refusal.report.detail.to_string(),
            });
            refusal.into_response(mark.as_deref(), &*gateway.dialect)
        }
    }
}

async fn route(
    gateway: &Rc<Gateway>,
    request: RequestHead,
    head: CallHead,
    payload: Payload,
    arrived: ClockTime,
    story: &mut CallStory,
) -> Result<RoutedCall> {
    let unavailable = || {
        let refusal = CallRefusal::not_run(ProblemCode::PlatformUnavailable, "no configuration is known yet");
        refusal.come_back(NO_TARGET_PAUSE)
    };
    if gateway.is_closing.get() {
        let refusal = CallRefusal::not_run(ProblemCode::Draining, "the gateway is stopping");
        return Err(refusal.come_back(STOPPING_PAUSE));
    }
    let routing = gateway.routing().ok_or_else(unavailable)?;
    intake::check_size(&request, routing.limits())?;
    let limits = routing.limits();
    let body = intake::read_body(payload, limits).await?;
    // The configuration may have changed while the body arrived.
    let routing = gateway.routing().ok_or_else(unavailable)?;
    let no_route = || CallRefusal::not_run(ProblemCode::NotFound, "no route for the host and path");
    let route = routing
        .route(&request.host, request.path())
        .ok_or_else(no_route)?;
    story.set_route(&route.name, routing.version().0);
    let service = route
        .service_for(rendezvous_weight(affinity(&head), &route.name))
        .ok_or_else(no_route)?;
    let patience = head.patience.unwrap_or(route.timeout).min(route.timeout);
    let rule = routing.service(service);
    let engine = rule.and_then(|rule| rule.engine);
    let connections = rule.map_or(u32::MAX, |rule| rule.target_connections);
    let gateways = u32::try_from(gateway.fleet.len()).unwrap_or(u32::MAX);
    Ok(RoutedCall {
        gateway: Rc::clone(gateway),
        route: Rc::clone(route),
        service: service.clone(),
        engine,
        most_connections: (connections / gateways.max(1)).max(LEAST_CONNECTIONS),
        arrived,
        deadline: arrived + patience,
        request,
        head,
        body,
    })
}

/// Returns what ties calls to a target: their program, or else the call itself.
fn affinity(head: &CallHead) -> &str {
    match &head.program {
        Some(program) => program.program.as_str(),
        None => head.call.as_deref().unwrap_or_default(),
    }
}

/// Refuses the first turn of a program while the engines are busy with those that began.
fn admit(call: &RoutedCall, story: &mut CallStory) -> Result<()> {
    let begins = call.engine.is_some() && call.head.program.is_some() && !has_history(&call.head);
    if !begins {
        return Ok(());
    }
    let gateway = &call.gateway;
    let time_left = gateway.time_left(call.deadline).unwrap_or_default();
    if time_left < call.route.objective {
        let detail = "the caller leaves before the first turn of the program can be answered";
        return Err(CallRefusal::not_run(ProblemCode::Overloaded, detail).come_back(ADMISSION_PAUSE));
    }
    let (options, now) = (gateway.options.get(), gateway.clock.now());
    let load = service_load(&gateway.board.borrow(), &call.service, &options, now);
    let mut gates = gateway.gates.borrow_mut();
    let gate = gates
        .entry(call.service.clone())
        .or_insert_with(|| ProgramGate::open(now));
    match gate.admit(load, call.route.urgency, &options, now) {
        ProgramAdmission::Admitted => Ok(()),
        ProgramAdmission::Refused { load } => {
            story.set_load(load);
            let refusal = CallRefusal::not_run(
                ProblemCode::Overloaded,
                "the engines are busy with other programs",
            );
            Err(refusal.come_back(gateway.spread_pause(ADMISSION_PAUSE)))
        }
    }
}

/// Returns whether the prompt shows earlier turns of the program.
fn has_history(head: &CallHead) -> bool {
    head.prompt.len() > FIRST_TURN_PARTS
}

/// Opens the turn of a program with a budget.
fn open_turn(call: &RoutedCall, story: &mut CallStory) -> Result<Option<OpenTurn>> {
    let (Some(program), Some(engine)) = (&call.head.program, call.engine) else {
        return Ok(None);
    };
    let Some(budget) = program.budget else {
        return Ok(None);
    };
    let event_tokens = u64::from(engine.event_tokens);
    let most_output = call.head.tokens.map(|tokens| u64::from(tokens.most_output));
    let turn = TurnRequest {
        program: program.program.clone(),
        budget,
        most_tokens: most_output.unwrap_or(event_tokens).max(event_tokens),
        event_tokens,
        has_history: has_history(&call.head),
    };
    story.set_budget(turn.budget, turn.most_tokens);
    call.gateway.accounts.open_turn(&turn).map(Some)
}

/// Runs a call whose tokens are covered. The cover is awaited while the target reads the prompt, unless little is left of
/// the budget; no event is handed on before it is there.
async fn run_covered(
    call: &RoutedCall,
    turn: Option<&OpenTurn>,
    story: &mut CallStory,
) -> Result<BegunAnswer> {
    let Some(turn) = turn else {
        return run(call, story).await;
    };
    if turn.is_scarce() {
        turn.secure().await.map_err(CoverError::into_refusal)?;
        return run(call, story).await;
    }
    let securing = async { turn.secure().await.map_err(RunError::Uncovered) };
    let running = async { run(call, story).await.map_err(RunError::Refused) };
    match try_join(securing, running).await {
        Ok(((), answer)) => Ok(answer),
        Err(RunError::Refused(refusal)) => Err(refusal),
        Err(RunError::Uncovered(error)) if story.was_sent() => Err(CallRefusal::may_have_run(
            ProblemCode::TargetFailed,
            error.detail(),
        )),
        Err(RunError::Uncovered(error)) => Err(error.into_refusal()),
    }
}

/// Why a call with a budget got no answer.
enum RunError {
    Refused(CallRefusal),
    Uncovered(CoverError),
}

/// Sends the call to targets until one of them answers it.
async fn run(call: &RoutedCall, story: &mut CallStory) -> Result<BegunAnswer> {
    let mut attempts = AttemptSeries::open(call);
    loop {
        let target = attempts.next_target().await?;
        story.record_send();
        let (run, result) = attempts.send(target).await?;
        let name = run.name.clone();
        let (outcome, run) = match result {
            Ok((answer, head)) => match attempts.judge(&answer, &head) {
                AttemptOutcome::Answered => match BegunAnswer::read(call, answer, head, run).await {
                    Ok(answer) => {
                        story.record_attempt(name.as_str(), AttemptOutcome::Answered);
                        story.record_first_bytes();
                        return Ok(answer);
                    }
                    Err((outcome, run)) => (outcome, run),
                },
                outcome => (outcome, run),
            },
            Err(outcome) => (outcome, run),
        };
        story.record_attempt(name.as_str(), outcome);
        attempts.settle(&run, outcome)?;
    }
}

/// The attempts of one call.
struct AttemptSeries<'c> {
    call: &'c RoutedCall,
    /// Targets that are not asked again.
    tried: Vec<TargetKey>,
    /// Targets that may have run the call.
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

    /// Waits for a target that takes the call.
    async fn next_target(&mut self) -> Result<TargetKey> {
        let call = self.call;
        let waiting_limit = call.arrived + call.route.objective.mul_f64(WAITING_SHARE);
        loop {
            let gateway = &call.gateway;
            if gateway.time_left(call.deadline).is_none() {
                return Err(self.give_up(ProblemCode::DeadlineExceeded, "the deadline passed"));
            }
            if let Some(target) = self.place() {
                return Ok(target);
            }
            if self.tried.is_empty() || gateway.time_left(waiting_limit).is_none() {
                return Err(self.give_up(ProblemCode::Overloaded, "no target takes the call at present"));
            }
            sleep(FULL_PAUSE).await;
            self.tried.clear();
        }
    }

    fn place(&self) -> Option<TargetKey> {
        let gateway = &self.call.gateway;
        let shape = CallShape {
            service: &self.call.service,
            domain: &gateway.domain,
            affinity: affinity(&self.call.head),
            prompt: &self.call.head.prompt,
            tried: &self.tried,
            most_connections: self.call.most_connections,
        };
        place(
            &gateway.board.borrow(),
            &shape,
            &gateway.options.get(),
            gateway.clock.now(),
        )
    }

    /// Sends the call to a target and waits for the head of the answer.
    async fn send(
        &self,
        target: TargetKey,
    ) -> Result<(TargetRun, Result<(OpenAnswer, AnswerHead), AttemptOutcome>)> {
        let gateway = &self.call.gateway;
        let gone = || self.give_up(ProblemCode::NoTarget, "the target left");
        let record = gateway
            .board
            .borrow()
            .target(target)
            .map(|entry| entry.record.clone());
        let record = record.ok_or_else(gone)?;
        let late = || self.give_up(ProblemCode::DeadlineExceeded, "the deadline passed");
        let time_left = gateway.time_left(self.call.deadline).ok_or_else(late)?;
        let request = self.request(&record.name, time_left);
        let memory = self.call.engine.map(|engine| engine.memory_tokens);
        let run_key = gateway
            .board
            .borrow_mut()
            .begin(target, &self.call.head.prompt, memory);
        let run = TargetRun {
            gateway: Rc::clone(gateway),
            target,
            name: record.name,
            run: run_key,
        };
        let sending = gateway.client.send(target, record.address, request);
        let patience = self.attempt_patience(time_left);
        let result = match timeout(patience, sending).await {
            Err(_) if patience < time_left => Err(AttemptOutcome::Silent),
            Err(_) => Err(AttemptOutcome::TimedOut),
            Ok(Err(SendFailure::NotSent(_))) => Err(AttemptOutcome::NotSent),
            Ok(Err(SendFailure::Broken(_))) => Err(AttemptOutcome::Broken),
            Ok(Ok(answer)) => {
                let head = gateway.dialect.decode_answer(&answer.head.headers);
                if let Some(notice) = head.load {
                    let now = gateway.clock.now();
                    gateway.board.borrow_mut().record_notice(target, notice, now);
                }
                Ok((answer, head))
            }
        };
        Ok((run, result))
    }

    /// Returns how long a target may take to begin its answer. Another target gets a call that may run again once the
    /// latency objective has passed: an answer that was lost never comes.
    fn attempt_patience(&self, time_left: Duration) -> Duration {
        let route = &self.call.route;
        let has_next = self.reached + 1 < route.most_targets;
        if route.nature == CallNature::Idempotent && has_next {
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

    /// Says what an answer is worth.
    fn judge(&self, answer: &OpenAnswer, head: &AnswerHead) -> AttemptOutcome {
        let is_own = head.call == self.call.head.call;
        match head {
            _ if !is_own => AttemptOutcome::Foreign,
            head if head.is_not_run => AttemptOutcome::NotRun,
            head if !head.is_stamped && answer.head.status.is_success() => AttemptOutcome::Foreign,
            _ => AttemptOutcome::Answered,
        }
    }

    /// Draws the conclusions from an attempt without an answer, and says whether the call can be sent again.
    fn settle(&mut self, run: &TargetRun, outcome: AttemptOutcome) -> Result<()> {
        self.tried.push(run.target);
        if outcome == AttemptOutcome::NotRun {
            run.record_full();
            return Ok(());
        }
        run.record_failure();
        if outcome == AttemptOutcome::NotSent {
            return Ok(());
        }
        self.reached += 1;
        let may_go_on = self.call.route.nature.is_repeatable() && self.reached < self.call.route.most_targets;
        match outcome {
            AttemptOutcome::Silent if may_go_on => Ok(()),
            AttemptOutcome::TimedOut | AttemptOutcome::Silent => {
                Err(self.give_up(ProblemCode::DeadlineExceeded, "the target did not answer in time"))
            }
            _ if may_go_on => Ok(()),
            _ => Err(self.give_up(
                ProblemCode::TargetFailed,
                "the target broke off before its answer",
            )),
        }
    }

    /// Returns the refusal with a true verdict: a call that reached a target may have run.
    fn give_up(&self, code: ProblemCode, detail: &'static str) -> CallRefusal {
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
        CallRefusal::not_run(code, detail).come_back(NO_TARGET_PAUSE)
    }
}

impl RoutedCall {
    /// Returns whether the answer is a stream of events.
    pub(crate) fn is_stream(&self) -> bool {
        matches!(self.route.nature, CallNature::Stream { .. })
    }

    /// Returns the tokens that one event stands for.
    pub(crate) fn event_tokens(&self) -> u64 {
        self.engine.map_or(1, |engine| u64::from(engine.event_tokens))
    }
}
