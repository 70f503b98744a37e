//! Programs whose names are longer than usual, or contain a space.

use std::path::PathBuf;
use std::thread;
use std::time::Duration;

use crate::platform::{Engine, Gateway, Record, Store, desired_state};
use crate::wire::Wire;
use crate::{Outcome, has_trouble};

/// The tokens of one event, `chunkTokens` of the engines, and the events of a turn.
const EVENT_TOKENS: usize = 7;
const EVENTS: usize = 10;

/// The most tokens of one turn, the second number of `X-Token-Count`.
const TURN_TOKENS: usize = EVENT_TOKENS * EVENTS;

const BUDGET: usize = 420;

/// The turns that a looping program sends.
const TURNS: usize = 24;

pub fn play(folder: &str, scratch: &PathBuf) -> Outcome {
    let record = Record::open(folder);
    let store = Store::open();
    store.put("op", "config", &desired_state(3));
    let gap = Duration::from_millis(5);
    let engines: Vec<_> = (1..=3)
        .map(|number| Engine::open(&store, &format!("i-model-{number}"), "models", EVENTS, gap))
        .collect();
    let gateways: Vec<Gateway> = (1..=3)
        .map(|number| Gateway::open(scratch, &store, &format!("front-a-{number}"), ""))
        .collect();
    if !gateways.iter().all(Gateway::wait_ready) {
        record.line("the gateways did not become ready");
        return Outcome::NotRun;
    }
    thread::sleep(Duration::from_secs(3));
    let long = format!("dossier-{}", "0123456789abcdef".repeat(9));
    let names = match has_trouble() {
        true => [
            ("a name of 152 bytes", long.as_str()),
            ("a name with spaces", "permit dossier 17"),
        ],
        false => [
            ("a name of 24 bytes", &long[..24]),
            ("a name with dashes", "permit-dossier-17"),
        ],
    };
    let mut is_broken = false;
    for (kind, name) in names {
        let mut tokens = 0;
        let mut statuses = Vec::new();
        for turn in 0..TURNS {
            // The prompt of each turn contains everything that precedes it.
            let parts: Vec<String> = (0..turn).map(|part| format!("{:x}:70", 0xa000 + part)).collect();
            let prefix = ["5c1e07a2:512".to_owned(), "77d20b:100".to_owned()]
                .into_iter()
                .chain(parts);
            let prefix = prefix.collect::<Vec<_>>().join(",");
            let request = format!(
                "POST /chat/1 HTTP/1.1\r\nHost: app.example\r\nX-Attempt-Id: {:x}t{turn}\r\nX-Program-Id: {name}\r\n\
                 X-Session-Id: 77d20b\r\nX-Program-Deadline-Ms: 60000\r\nX-Token-Budget: {BUDGET}\r\nX-Model: m\r\n\
                 X-Token-Count: {},{TURN_TOKENS}\r\nX-Prompt-Prefix: {prefix}\r\nX-Deadline-Ms: 4000\r\n\
                 Content-Length: 2\r\n\r\n{{}}",
                name.len(),
                612 + 70 * turn
            );
            let limit = Duration::from_secs(4);
            let gateway = &gateways[turn % gateways.len()];
            let answer = Wire::connect(gateway.front, limit)
                .and_then(|mut wire| wire.exchange(request.as_bytes(), limit));
            let Ok(Some(answer)) = answer else {
                statuses.push("none".to_owned());
                continue;
            };
            statuses.push(answer.status().to_string());
            if answer.status() == 200 {
                let body = String::from_utf8_lossy(&answer.body).into_owned();
                tokens += body.matches("id: ").count() * EVENT_TOKENS;
            }
        }
        record.line(&format!(
            "{kind}, {name:?}: statuses of {TURNS} turns: {}",
            statuses.join(" ")
        ));
        record.line(&format!(
            "  {tokens} tokens were handed out; budget {BUDGET}, the most of one turn {TURN_TOKENS}"
        ));
        is_broken |= tokens > BUDGET + TURN_TOKENS;
    }
    let runs: usize = engines
        .iter()
        .map(|engine| engine.runs.lock().unwrap().len())
        .sum();
    record.line(&format!("{runs} runs at engines"));
    match is_broken {
        true => {
            record.line("BROKEN: a program got more tokens than its budget and the most of one turn");
            Outcome::Broken
        }
        false => {
            record.line("held");
            Outcome::Held
        }
    }
}
