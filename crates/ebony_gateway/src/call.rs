//! Serves one call, from the caller's request to the answer.

use std::rc::Rc;
use std::time::Duration;

use actix_web::web::{Data, Payload};
use actix_web::{HttpRequest, HttpResponse};
use ebony_account::TurnRequest;
use ebony_conversation::TurnChain;
use ebony_dialect::CallHead;
use ebony_dispatch::{ProgramAdmission, ProgramGate, WorkRefusal, service_load};
use ebony_types::rendezvous::rendezvous_weight;
use ebony_types::{ClockTime, ProblemCode, RunVerdict, TurnName};
use futures_util::future::try_join;

use crate::admission;
use crate::answer::{self, StartedAnswer};
use crate::attempts::send_to_targets;
use crate::call_log::{CallLog, CallOutcome};
use crate::conversations::{FindError, KeptTurn};
use crate::crashes::RequestFingerprint;
use crate::gateway::{Gateway, OpenCallGuard};
use crate::identity;
use crate::intake::{self, CallerBody, RequestHead};
use crate::open_turn::{CoverError, OpenTurn};
use crate::refusal::{CallRefusal, NO_TARGET_RETRY_AFTER, Result};
use crate::routed_call::{RoutedCall, affinity_key, object_key};

/// The `Retry-After` of a call that a stopping gateway refuses. It is short because another gateway takes the call at
/// once.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(10);

/// The mean `Retry-After` of a program that was not admitted: a fraction of the time that programs run, so that some of
/// them have released their slots by then.
const ADMISSION_RETRY_AFTER: Duration = Duration::from_millis(600);

/// The minimum number of connections to a target for each gateway, however many gateways share the target's limit.
const MIN_TARGET_CONNECTIONS: u32 = 2;

/// How long a turn waits for a store that does not answer before it is refused: a quarter of the usual timeout of
/// callers for a turn, which leaves them time to retry.
const RESUME_TIMEOUT: Duration = Duration::from_secs(1);

/// Serves a caller's request.
pub(crate) async fn serve(
    gateway: Data<Rc<Gateway>>,
    request: HttpRequest,
    payload: Payload,
) -> HttpResponse {
    let gateway = Rc::clone(&gateway);
    let arrived = gateway.clock.now();
    let guard = OpenCallGuard::open(&gateway);
    let body = CallerBody::open(&request, payload, gateway.body_time);
    let mut response = match intake::read_head(&request) {
        Ok(head) => serve_head(&gateway, head, body, arrived, guard).await,
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

/// Closes the connection after the answer.
fn close_after(response: &mut HttpResponse) {
    response
        .head_mut()
        .set_connection_type(actix_http::ConnectionType::Close);
}

async fn serve_head(
    gateway: &Rc<Gateway>,
    request: RequestHead,
    body: CallerBody,
    arrived: ClockTime,
    guard: OpenCallGuard,
) -> HttpResponse {
    let head = gateway.dialect.decode_call(&request.headers);
    let call_name = head.call.clone();
    let program = head
        .program
        .as_ref()
        .map_or("", |program| program.program.as_str());
    let mut log = CallLog::open(
        gateway,
        call_name.as_deref().unwrap_or_default(),
        program,
        arrived,
    );
    log.set_resumption(&head.resumption);
    let outcome = async {
        let mut call = route(gateway, request, head, body, arrived, &mut log).await?;
        resume(&mut call, &mut log).await?;
        call.version = gateway.streams.settle(&call, &mut log).await?;
        admit(&call, &mut log)?;
        let (turn, answer) = start(&call, &mut log).await?;
        Ok::<_, CallRefusal>((call, turn, answer))
    };
    let outcome = gateway.before_end(outcome).await;
    match outcome.unwrap_or_else(|| Err(refuse_at_end(&log))) {
        Ok((call, turn, mut answer)) => {
            if let Some(target) = answer.stream_target() {
                gateway.streams.record_begun(&call, target);
            }
            answer::forward(call, turn, answer, log, guard)
        }
        Err(refusal) => {
            log.end(CallOutcome::Refused {
                code: refusal.report.code,
                run: refusal.report.run,
                cause: refusal.report.detail.to_string(),
            });
            refusal.into_response(call_name.as_deref(), &*gateway.dialect)
        }
    }
}

/// Returns the refusal of a call that has no answer when the process is about to end.
fn refuse_at_end(log: &CallLog) -> CallRefusal {
    match log.was_sent() {
        true => CallRefusal::may_have_run(
            ProblemCode::DeadlineExceeded,
            "the gateway stopped before the target answered",
        ),
        false => refuse_stopping(),
    }
}

/// Returns the refusal of a call that comes too late for a stopping gateway.
pub(crate) fn refuse_stopping() -> CallRefusal {
    CallRefusal::not_run(ProblemCode::Draining, "the gateway is stopping").retry_after(STOPPING_RETRY_AFTER)
}

async fn route(
    gateway: &Rc<Gateway>,
    request: RequestHead,
    head: CallHead,
    body: CallerBody,
    arrived: ClockTime,
    log: &mut CallLog,
) -> Result<RoutedCall> {
    let unavailable = || {
        let refusal = CallRefusal::not_run(ProblemCode::PlatformUnavailable, "no configuration is known yet");
        refusal.retry_after(NO_TARGET_RETRY_AFTER)
    };
    if gateway.is_closing.get() {
        return Err(refuse_stopping());
    }
    let routing = gateway.routing().ok_or_else(unavailable)?;
    log.set_version(routing.version());
    let limits = routing.limits();
    if routing.has_customers() {
        // Refuses the call before its body is read.
        let checked = identity::check_head(gateway, &request, &routing, log);
        if let Err(refusal) = checked {
            let is_discarded = body.discard().await;
            return Err(refusal.close_connection(!is_discarded));
        }
    }
    intake::check_size(&request, limits)?;
    if let Err(refusal) = intake::find_route(&request, &routing) {
        let is_discarded = body.discard().await;
        return Err(refusal.close_connection(!is_discarded));
    }
    let body = body.read(limits).await?;
    // The configuration may have changed while the body arrived.
    let routing = gateway.routing().ok_or_else(unavailable)?;
    log.set_version(routing.version());
    let route = intake::find_route(&request, &routing)?;
    let identity = identity::identify(gateway, &request.headers, route, &routing, log)?;
    let urgency = routing.urgency(route, &identity);
    // Turns of programs stay at the engine that has their prompt cached, whatever object they are about.
    let object = match route.program {
        Some(_) => None,
        None => object_key(route, &identity, &head),
    };
    let seed = object.as_deref().unwrap_or_else(|| affinity_key(&head));
    let service = route
        .service_for(rendezvous_weight(seed, &route.name))
        .ok_or_else(intake::no_route)?;
    let timeout = head.time_left.unwrap_or(route.timeout).min(route.timeout);
    let rule = routing.service(service);
    let engine = rule.and_then(|rule| rule.engine);
    let connections = rule.map_or(u32::MAX, |rule| rule.target_connections);
    let gateways = u32::try_from(gateway.fleet.len()).unwrap_or(u32::MAX);
    let fingerprint = RequestFingerprint::open(&request, &identity, &body);
    log.set_fingerprint(&fingerprint);
    let permit = gateway.crashes.admit(&fingerprint)?;
    Ok(RoutedCall {
        gateway: Rc::clone(gateway),
        fingerprint,
        permit,
        route: Rc::clone(route),
        identity,
        object: object.filter(|_| engine.is_none()),
        urgency,
        service: service.clone(),
        version: None,
        engine,
        max_connections: (connections / gateways.max(1)).max(MIN_TARGET_CONNECTIONS),
        arrived,
        deadline: arrived + timeout,
        request,
        head,
        body,
        kept: None,
    })
}

/// Prepends the earlier turns of the conversation to the body, if the route keeps conversations.
async fn resume(call: &mut RoutedCall, log: &mut CallLog) -> Result<()> {
    if !call.route.program.is_some_and(|rule| rule.keeps_turns) {
        return Ok(());
    }
    let name = call.head.call.as_deref().map(TurnName::parse);
    let Some(Ok(name)) = name else {
        let detail = "a turn of a kept conversation needs a name";
        return Err(CallRefusal::not_run(ProblemCode::BadRequest, detail));
    };
    if call.head.resumption.is_resumed() {
        // The gateway lacks the output before that event, so it could not record the whole turn.
        let detail = "a turn of a kept conversation has to be sent from its start";
        return Err(CallRefusal::not_run(ProblemCode::Overloaded, detail).retry_after(Duration::ZERO));
    }
    let chain = match &call.head.previous_turn {
        Some(previous) => Some(find_chain(call, previous, log).await?),
        None => None,
    };
    let program = call.head.program.as_ref();
    let program = program.map(|program| program.program.clone());
    let turn = KeptTurn::open(name, program, chain, call.body.clone()).with_customer(call.customer());
    call.body = turn.prompt();
    call.kept = Some(turn);
    Ok(())
}

async fn find_chain(call: &RoutedCall, previous: &str, log: &mut CallLog) -> Result<TurnChain> {
    let gateway = &call.gateway;
    log.set_previous(previous);
    // Turns are recorded under valid names only.
    let name = TurnName::parse(previous).map_err(|_| FindError::Absent.into_refusal())?;
    let limit = call.deadline.min(gateway.clock.now() + RESUME_TIMEOUT);
    let program = call.head.program.as_ref().map(|program| &program.program);
    let reader = call.identity();
    let finding = gateway.conversations.find_chain(&name, program, reader, limit);
    let found = finding.await.inspect_err(|error| log.set_find_error(*error));
    let chain = found.map_err(FindError::into_refusal)?;
    log.set_chain(chain.len(), chain.bytes());
    Ok(chain)
}

/// Refuses the first turn of a program while the engines are busy with programs that have started.
fn admit(call: &RoutedCall, log: &mut CallLog) -> Result<()> {
    if !call.begins_program() {
        admission::record_call(call);
        return Ok(());
    }
    let gateway = &call.gateway;
    let time_left = gateway.time_left(call.deadline).unwrap_or_default();
    if time_left < call.route.objective {
        admission::record_decision(gateway, WorkRefusal::NoTime.as_str());
        log.set_admission(WorkRefusal::NoTime.as_str());
        let detail = "the caller leaves before the first turn of the program can be answered";
        return Err(CallRefusal::not_run(ProblemCode::Overloaded, detail).retry_after(ADMISSION_RETRY_AFTER));
    }
    if admission::is_by_work(call) {
        return admission::admit(call, log);
    }
    let (options, now) = (gateway.options.get(), gateway.clock.now());
    let load = service_load(&gateway.board.borrow(), &call.service, &options, now);
    let mut gates = gateway.gates.borrow_mut();
    let gate = gates
        .entry(call.service.clone())
        .or_insert_with(|| ProgramGate::open(now));
    match gate.admit(load, call.urgency(), &options, now) {
        ProgramAdmission::Admitted => {
            admission::record_decision(gateway, "admitted");
            Ok(())
        }
        ProgramAdmission::Refused { load } => {
            admission::record_decision(gateway, WorkRefusal::NoRoom.as_str());
            log.set_load(load);
            log.set_admission(WorkRefusal::NoRoom.as_str());
            let refusal = CallRefusal::not_run(
                ProblemCode::Overloaded,
                "the engines are busy with other programs",
            );
            Err(refusal.retry_after(gateway.jittered(ADMISSION_RETRY_AFTER)))
        }
    }
}

/// Runs a call that was admitted until its answer starts.
async fn start(call: &RoutedCall, log: &mut CallLog) -> Result<(Option<OpenTurn>, StartedAnswer)> {
    let starting = async {
        let turn = open_turn(call, log)?;
        let answer = run_covered(call, turn.as_ref(), log).await?;
        Ok((turn, answer))
    };
    starting.await.inspect_err(|refusal: &CallRefusal| {
        if refusal.report.run == RunVerdict::NotRun {
            admission::withdraw(call);
        }
    })
}

/// Opens the turn of a program with a budget.
fn open_turn(call: &RoutedCall, log: &mut CallLog) -> Result<Option<OpenTurn>> {
    let (Some(program), Some(engine)) = (&call.head.program, call.engine) else {
        return Ok(None);
    };
    let Some(budget) = program.budget else {
        return Ok(None);
    };
    let event_tokens = u64::from(engine.event_tokens);
    let max_output = call.head.tokens.map(|tokens| u64::from(tokens.max_output));
    let turn = TurnRequest {
        program: program.program.clone(),
        budget,
        most_tokens: max_output.unwrap_or(event_tokens).max(event_tokens),
        event_tokens,
        has_history: call.has_history(),
    };
    log.set_budget(turn.budget, turn.most_tokens);
    call.gateway.accounts.open_turn(&turn).map(Some)
}

/// Runs a call and waits until its tokens are covered. Unless little of the budget is left, the call is sent at once, so
/// that the target reads the prompt during the wait. No event is forwarded before the turn is covered.
async fn run_covered(call: &RoutedCall, turn: Option<&OpenTurn>, log: &mut CallLog) -> Result<StartedAnswer> {
    let Some(turn) = turn else {
        return send_to_targets(call, log).await;
    };
    if turn.needs_cover_first() {
        turn.reserve().await.map_err(CoverError::into_refusal)?;
        return send_to_targets(call, log).await;
    }
    let reserving = async { turn.reserve().await.map_err(RunError::Uncovered) };
    let running = async { send_to_targets(call, log).await.map_err(RunError::Refused) };
    match try_join(reserving, running).await {
        Ok(((), answer)) => Ok(answer),
        Err(RunError::Refused(refusal)) => Err(refusal),
        Err(RunError::Uncovered(error)) if log.was_sent() => Err(CallRefusal::may_have_run(
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
