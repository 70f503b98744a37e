//! Clients that offer another protocol with a request, as HTTP/1.1 allows. A server that does not speak it answers as usual.

use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

use crate::platform::{Callers, Engine, Gateway, Record, Store, desired_state};
use crate::wire::Wire;
use crate::{Outcome, has_trouble};

/// The clients, each with one channel of its own.
const CLIENTS: usize = 16;

/// `timeoutMs` of the route, and the time after it within which the rule wants a final answer.
const TIMEOUT: Duration = Duration::from_millis(1_200);
const SLACK: Duration = Duration::from_millis(500);

/// How long a client waits.
const PATIENCE: Duration = Duration::from_secs(15);

const OFFER: &str = "Connection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Version: 13\r\n\
                     Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n";

pub fn play(folder: &str, scratch: &PathBuf) -> Outcome {
    let record = Record::open(folder);
    let store = Store::open();
    store.put("op", "config", &desired_state(3));
    let mut engines = Vec::new();
    for number in 1..=3 {
        let gap = Duration::from_millis(20);
        engines.push(Engine::open(&store, &format!("i-model-{number}"), "models", 10, gap));
        engines.push(Engine::open(&store, &format!("i-app-{number}"), "app", 0, gap));
    }
    let gateway = Gateway::open(scratch, &store, "front-a-1", "");
    if !gateway.wait_ready() {
        record.line("the gateway did not become ready");
        return Outcome::NotRun;
    }
    let callers = Callers::start(vec![gateway.front], 2, Duration::from_millis(200));
    thread::sleep(Duration::from_secs(5));
    let front = gateway.front;
    let ask = |client: usize| {
        thread::spawn(move || {
            let offer = if has_trouble() { OFFER } else { "" };
            let request = format!(
                "GET /look/{client} HTTP/1.1\r\nHost: app.example\r\nX-Attempt-Id: o{client:03}\r\n\
                 X-Deadline-Ms: 1200\r\n{offer}\r\n"
            );
            let Ok(mut wire) = Wire::connect(front, Duration::from_secs(1)) else { return (None, Duration::ZERO) };
            let sent = Instant::now();
            let answer = wire.exchange(request.as_bytes(), PATIENCE).ok().flatten();
            (answer, sent.elapsed())
        })
    };
    let clients: Vec<_> = (0..CLIENTS).map(ask).collect();
    let mut late = 0;
    for (client, thread) in clients.into_iter().enumerate() {
        let Ok((answer, time)) = thread.join() else { return Outcome::NotRun };
        let is_late = time > TIMEOUT + SLACK;
        late += usize::from(is_late);
        let status = answer.map_or("no answer".to_owned(), |answer| answer.status().to_string());
        record.line(&format!("o{client:03}: {status} after {} ms{}", time.as_millis(), if is_late { ", late" } else { "" }));
    }
    let results = callers.stop();
    let served = results.iter().filter(|(.., status)| *status == 200).count();
    let runs = engines.iter().flat_map(|engine| engine.runs.lock().unwrap().clone());
    let runs = runs.filter(|(_, id)| id.starts_with('o')).count();
    record.line(&format!("{runs} of the {CLIENTS} requests ran; ordinary callers: {served} of {} served", results.len()));
    record.line(&format!("{late} of {CLIENTS} had no final answer 0.5 s after the route's timeoutMs"));
    match late >= 8 && late * 4 > CLIENTS {
        true => {
            record.line("BROKEN: eight or more, and over a quarter, have no final answer 0.5 s after timeoutMs");
            Outcome::Broken
        }
        false => {
            record.line("held");
            Outcome::Held
        }
    }
}
