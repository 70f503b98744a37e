//! One call: from the caller's request to its answer.

use std::rc::Rc;
use std::time::Duration;

use actix_web::web::{Data, Payload};
use actix_web::{HttpRequest, HttpResponse};
use ebony_account::TurnRequest;
use ebony_conversation::TurnChain;
use ebony_dialect::CallHead;
use ebony_dispatch::{ProgramAdmission, ProgramGate, service_load};
use ebony_types::rendezvous::rendezvous_weight;
use ebony_types::{ClockTime, ProblemCode, TurnName};
use futures_util::future::try_join;

use crate::answer::{self, BegunAnswer};
use crate::attempts::run;
use crate::conversations::KeptTurn;
use crate::conversations::desk::FindError;
use crate::crashes::RequestMark;
use crate::gateway::{Gateway, OpenCallGuard};
use crate::intake::{self, RequestHead};
use crate::open_turn::{CoverError, OpenTurn};
use crate::refusal::{CallRefusal, NO_TARGET_PAUSE, Result};
use crate::routed_call::{RoutedCall, affinity};
use crate::story::{CallOutcome, CallStory};

/// The time after which a call that meets a stopping gateway may come back: another gateway takes it at once.
const STOPPING_PAUSE: Duration = Duration::from_millis(10);

/// The mean time after which a program that was not admitted may come back: a part of the time that programs take, so that
/// slots have been given back by then.
const ADMISSION_PAUSE: Duration = Duration::from_millis(600);

/// Connections to a target that a gateway may use in any case, however many gateways there are.
const LEAST_CONNECTIONS: u32 = 2;

/// How long a turn waits for a store that does not answer before it is refused: a quarter of the time that callers of today
/// have for a turn, so that they can come back.
const RESUME_PATIENCE: Duration = Duration::from_secs(1);

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
        let mut call = route(gateway, request, head, payload, arrived, &mut story).await?;
        resume(&mut call, &mut story).await?;
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
    let limits = routing.limits();
    intake::check_size(&request, limits)?;
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
    let mark = RequestMark::open(&request, &body);
    story.set_mark(&mark);
    let permit = gateway.crashes.admit(&mark)?;
    Ok(RoutedCall {
        gateway: Rc::clone(gateway),
        mark,
        permit,
        route: Rc::clone(route),
        service: service.clone(),
        engine,
        most_connections: (connections / gateways.max(1)).max(LEAST_CONNECTIONS),
        arrived,
        deadline: arrived + patience,
        request,
        head,
        body,
        kept: None,
    })
}

/// Puts what came before in front of the body, if the route keeps conversations.
async fn resume(call: &mut RoutedCall, story: &mut CallStory) -> Result<()> {
    if !call.route.program.is_some_and(|rule| rule.keeps_turns) {
        return Ok(());
    }
    let name = call.head.call.as_deref().map(TurnName::parse);
    let Some(Ok(name)) = name else {
        let detail = "a turn of a kept conversation needs a name";
        return Err(CallRefusal::not_run(ProblemCode::BadRequest, detail));
    };
    if call.head.resumes_after.is_some() {
        // The output before that event is not known here, and the turn could not be kept.
        let detail = "a turn of a kept conversation has to be sent from its start";
        return Err(CallRefusal::not_run(ProblemCode::Overloaded, detail).come_back(Duration::ZERO));
    }
    let chain = match &call.head.previous_turn {
        Some(previous) => Some(find_chain(call, previous, story).await?),
        None => None,
    };
    let program = call.head.program.as_ref();
    let program = program.map(|program| program.program.clone());
    let turn = KeptTurn::open(name, program, chain, call.body.clone());
    call.body = turn.prompt();
    call.kept = Some(turn);
    Ok(())
}

async fn find_chain(call: &RoutedCall, previous: &str, story: &mut CallStory) -> Result<TurnChain> {
    let gateway = &call.gateway;
    story.set_previous(previous);
    // No turn was ever kept under what is no name.
    let name = TurnName::parse(previous).map_err(|_| FindError::Absent.into_refusal())?;
    let limit = call.deadline.min(gateway.clock.now() + RESUME_PATIENCE);
    let program = call.head.program.as_ref().map(|program| &program.program);
    let found = gateway.conversations.find(&name, program, limit).await;
    let chain = found.map_err(FindError::into_refusal)?;
    story.set_chain(chain.len(), chain.bytes());
    Ok(chain)
}

/// Refuses the first turn of a program while the engines are busy with those that began.
fn admit(call: &RoutedCall, story: &mut CallStory) -> Result<()> {
    let begins = call.engine.is_some() && call.head.program.is_some() && !call.has_history();
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
        has_history: call.has_history(),
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
