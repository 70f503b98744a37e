//! Fake entry that behaves like one with echoing targets, except for one injected fault.

use std::sync::{Arc, Mutex};

use actix_web::web::{Bytes, Data, Path};
use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use ebony_replay::TargetRun;
use ebony_standins::engine::{ChatMessage, ChatRequest, EchoAnswer};
use ebony_trace::plan::prompt::tagged_step;
use ebony_types::CallId;
use futures_util::{StreamExt, stream};
use serde_json::{Value, json};
use sha2::{Digest, Sha256};

/// The injected fault, and the step that it affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EntryFault {
    None,
    RefuseFirst(&'static str),
    OtherAnswer(&'static str),
    ShortAnswer(&'static str),
    NoFinalMarker(&'static str),
    WrongEcho(&'static str),
    CutAlways(&'static str),
    StreamProblem(&'static str),
}

#[derive(Clone, Debug, Default)]
pub(crate) struct SeenCalls {
    /// Parents of opened programs.
    pub(crate) opened: Vec<Option<String>>,
    /// The step of each received call, and its number of messages.
    pub(crate) calls: Vec<(String, usize)>,
    pub(crate) idempotency_keys: Vec<String>,
    pub(crate) finished: u32,
    pub(crate) cancelled: u32,
    runs: Vec<TargetRun>,
    has_refused: bool,
}

impl SeenCalls {
    /// Returns the number of messages of the last attempt of a step.
    pub(crate) fn messages_of(&self, step: &str) -> usize {
        let mut calls = self.calls.iter().rev();
        calls
            .find(|(seen, _)| seen == step)
            .map_or(0, |(_, count)| *count)
    }
}

struct EntryState {
    fault: EntryFault,
    seen: Mutex<SeenCalls>,
}

pub(crate) struct FakeEntry {
    state: Arc<EntryState>,
    url: String,
}

impl FakeEntry {
    pub(crate) async fn spawn(fault: EntryFault) -> Self {
        let seen = Mutex::default();
        let state = Arc::new(EntryState { fault, seen });
        let data = Data::from(state.clone());
        let server = HttpServer::new(move || {
            App::new()
                .app_data(data.clone())
                .route("/v1/programs", web::post().to(open))
                .route("/v1/programs/{id}/finish", web::post().to(finish))
                .route("/v1/programs/{id}", web::delete().to(cancel))
                .route("/v1/chat/completions", web::post().to(complete))
                .route("/v1/services/orders/{path:.*}", web::post().to(serve))
        });
        let server = server.workers(1).bind(("127.0.0.1", 0)).expect("a port");
        let url = format!("http://{}", server.addrs()[0]);
        actix_rt::spawn(server.run());
        Self { state, url }
    }

    pub(crate) fn url(&self) -> String {
        self.url.clone()
    }

    /// Returns the runs since the last call of this method.
    pub(crate) fn take_runs(&self) -> Vec<TargetRun> {
        std::mem::take(&mut self.state.seen.lock().expect("a lock").runs)
    }

    pub(crate) fn seen(&self) -> SeenCalls {
        self.state.seen.lock().expect("a lock").clone()
    }
}

async fn open(state: Data<EntryState>, body: Bytes) -> HttpResponse {
    let body: Value = serde_json::from_slice(&body).expect("JSON");
    let mut seen = state.seen.lock().expect("a lock");
    seen.opened.push(body["parent"].as_str().map(str::to_owned));
    let id = format!("p-0001-{:028x}", seen.opened.len());
    HttpResponse::Created().json(json!({"id": id}))
}

async fn finish(state: Data<EntryState>) -> HttpResponse {
    state.seen.lock().expect("a lock").finished += 1;
    HttpResponse::Ok().finish()
}

async fn cancel(state: Data<EntryState>) -> HttpResponse {
    state.seen.lock().expect("a lock").cancelled += 1;
    HttpResponse::Ok().finish()
}

fn event(text: &str) -> String {
    format!("data: {}\n\n", json!({"choices": [{"delta": {"content": text}}]}))
}

async fn complete(state: Data<EntryState>, http: HttpRequest, body: Bytes) -> HttpResponse {
    assert!(http.headers().contains_key("ebony-program"));
    let request = ChatRequest::parse(&body).expect("a chat request");
    let prompt = request
        .messages
        .last()
        .and_then(|message| message.content.as_str());
    let step = prompt.and_then(tagged_step).expect("a step").to_string();
    {
        let mut seen = state.seen.lock().expect("a lock");
        seen.calls.push((step.clone(), request.messages.len()));
        let is_refused = matches!(state.fault, EntryFault::RefuseFirst(at) if at == step);
        if is_refused && !seen.has_refused {
            seen.has_refused = true;
            return HttpResponse::TooManyRequests()
                .insert_header(("retry-after", "0"))
                .json(json!({"code": "too_many_calls", "run": "not_run"}));
        }
        let digest = request.messages_digest();
        seen.runs.push(TargetRun::Model { digest });
    }
    answer(state.fault, &step, &request)
}

fn answer(fault: EntryFault, step: &str, request: &ChatRequest) -> HttpResponse {
    let echo = |request: &ChatRequest| EchoAnswer::for_request(request, None, CallId::from_bytes([7; 16]));
    let mut events: Vec<Result<Bytes, actix_web::Error>> = Vec::new();
    let mut push = |text: String| events.push(Ok(Bytes::from(text)));
    let answer = echo(request);
    match fault {
        EntryFault::OtherAnswer(at) if at == step => {
            let mut other = request.clone();
            other.messages = vec![ChatMessage::text("user", "another call")];
            push(event(&echo(&other).text()));
        }
        EntryFault::ShortAnswer(at) if at == step => push(event(&answer.header())),
        _ => {
            push(event(&answer.header()));
            (0..answer.words).for_each(|word| push(event(&answer.word(word))));
        }
    }
    match fault {
        EntryFault::NoFinalMarker(at) if at == step => {}
        EntryFault::CutAlways(at) if at == step => {
            events.push(Err(actix_web::error::ErrorBadGateway("cut")));
        }
        EntryFault::StreamProblem(at) if at == step => {
            let problem = json!({"code": "bad_request", "run": "may_have_run"});
            push(format!("event: error\ndata: {problem}\n\n"));
            events.push(Err(actix_web::error::ErrorBadGateway("cut")));
        }
        _ => push("data: [DONE]\n\n".to_owned()),
    }
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .streaming(stream::iter(events).then(async |event| {
            // Lets the connection send the earlier events before an error closes it.
            tokio::task::yield_now().await;
            event
        }))
}

async fn serve(state: Data<EntryState>, http: HttpRequest, path: Path<String>, body: Bytes) -> HttpResponse {
    let step = path.rsplit('/').next().unwrap_or_default().to_owned();
    let mut seen = state.seen.lock().expect("a lock");
    seen.calls.push((step.clone(), 0));
    seen.runs.push(TargetRun::Service {
        path: format!("POST /{path}"),
    });
    let key = http.headers().get("idempotency-key");
    seen.idempotency_keys
        .extend(key.and_then(|key| key.to_str().ok()).map(str::to_owned));
    let is_wrong = matches!(state.fault, EntryFault::WrongEcho(at) if at == step);
    let digest = match is_wrong {
        true => String::new(),
        false => format!("{:x}", Sha256::digest(&body)),
    };
    HttpResponse::Ok().json(json!({"method": "POST", "path": format!("/{path}"), "body_digest": digest}))
}
