//! Programs that begin while the store is down, lose their gateway before it is back, and return.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

use crate::platform::{Engine, Gateway, Record, Store, desired_state};
use crate::wire::Wire;
use crate::{Outcome, has_trouble};

/// The tokens of one event, and the events of a turn.
const EVENT_TOKENS: usize = 7;
const EVENTS: usize = 41;

/// `X-Token-Budget` and the second number of `X-Token-Count`, as `fleetbench wire` shows them for vcw-serve.
const BUDGET: usize = 2_304;
const TURN_TOKENS: usize = 288;

const PROGRAMS: usize = 45;

/// How long the store is down, as on the days of the site.
const OUTAGE: Duration = Duration::from_secs(7);

/// When, after the begin of the outage, programs begin and one gateway is killed, and for how long that one is away.
const BEGIN: Duration = Duration::from_millis(1_500);
const KILL: Duration = Duration::from_millis(5_900);
const AWAY: Duration = Duration::from_millis(3_500);

/// When the programs return, and when the case ends.
const RETURN: Duration = Duration::from_millis(8_000);
const END: Duration = Duration::from_secs(30);

pub fn play(folder: &str, scratch: &PathBuf) -> Outcome {
    let record = Record::open(folder);
    let store = Store::open();
    store.put("op", "config", &desired_state(3));
    let gap = Duration::from_millis(3);
    let _engines: Vec<_> = (1..=3)
        .map(|number| Engine::open(&store, &format!("i-model-{number}"), "models", EVENTS, gap))
        .collect();
    let mut gateways: Vec<Gateway> = (1..=3)
        .map(|number| Gateway::open(scratch, &store, &format!("front-a-{number}"), ""))
        .collect();
    if !gateways.iter().all(Gateway::wait_ready) {
        record.line("the gateways did not become ready");
        return Outcome::NotRun;
    }
    thread::sleep(Duration::from_secs(4));
    let (first, second) = (gateways[0].front, gateways[1].front);
    let start = Instant::now();
    if has_trouble() {
        record.line("the store falls silent");
        store.set_silent(true);
    }
    let programs: Vec<_> = (0..PROGRAMS)
        .map(|number| thread::spawn(move || run(number, first, second, start)))
        .collect();
    let until = |time: Duration| thread::sleep(time.saturating_sub(start.elapsed()));
    until(KILL);
    if has_trouble() {
        gateways[0].kill();
        record.line("the first gateway is killed");
        until(OUTAGE);
        store.set_silent(false);
        record.line("the store is back");
        until(KILL + AWAY);
        gateways[0].restart();
        record.line("the first gateway is started again");
    }
    let mut over = 0;
    for (number, program) in programs.into_iter().enumerate() {
        let Ok((before, after, statuses)) = program.join() else {
            return Outcome::NotRun;
        };
        let is_over = before + after > BUDGET + TURN_TOKENS;
        over += usize::from(is_over);
        record.line(&format!(
            "program {number}: {before} tokens before its return, {after} after it, {}{}; statuses {}",
            before + after,
            if is_over { ", OVER" } else { "" },
            statuses.join(" ")
        ));
    }
    record.line(&format!(
        "{over} of {PROGRAMS} programs got more than {BUDGET} + {TURN_TOKENS} tokens"
    ));
    match over > 0 {
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

/// Runs one program at the first gateway until it is stopped there, and again from its start at the second one.
fn run(number: usize, first: SocketAddr, second: SocketAddr, start: Instant) -> (usize, usize, Vec<String>) {
    let mut statuses = Vec::new();
    thread::sleep(BEGIN);
    let before = loop_turns(number, 'a', first, start, KILL, &mut statuses);
    thread::sleep(RETURN.saturating_sub(start.elapsed()));
    statuses.push("|".into());
    let after = loop_turns(number, 'b', second, start, END, &mut statuses);
    (before, after, statuses)
}

/// Sends turns until one has failed in three tries or the time is over. Returns the tokens that were handed out.
fn loop_turns(
    number: usize,
    life: char,
    gateway: SocketAddr,
    start: Instant,
    end: Duration,
    statuses: &mut Vec<String>,
) -> usize {
    let (mut tokens, mut turn, mut tries) = (0, 0, 0);
    while start.elapsed() < end && tries < 3 {
        // The prompt of each turn contains everything that precedes it.
        let parts = (0..turn).map(|part| format!("{number:x}{life}{part:03x}:287"));
        let prefix: Vec<String> = ["5c1e07a2:512".to_owned(), format!("{number:x}77d20b:100")]
            .into_iter()
            .chain(parts)
            .collect();
        let request = format!(
            "POST /chat/1 HTTP/1.1\r\nHost: app.example\r\nX-Attempt-Id: p{number}{life}{turn}t{tries}\r\n\
             X-Program-Id: 3fa8{number:03x}\r\nX-Session-Id: 77d2{number:03x}\r\nX-Program-Deadline-Ms: 30000\r\n\
             X-Token-Budget: {BUDGET}\r\nX-Model: m\r\nX-Token-Count: {},{TURN_TOKENS}\r\nX-Prompt-Prefix: {}\r\n\
             X-Deadline-Ms: 4000\r\nContent-Length: 2\r\n\r\n{{}}",
            612 + 287 * turn,
            prefix.join(",")
        );
        let limit = Duration::from_secs(4);
        let answer = Wire::connect(gateway, Duration::from_secs(1))
            .and_then(|mut wire| wire.exchange(request.as_bytes(), limit));
        let Ok(Some(answer)) = answer else {
            statuses.push("none".into());
            tries += 1;
            thread::sleep(Duration::from_millis(300));
            continue;
        };
        let events = String::from_utf8_lossy(&answer.body).matches("id: ").count();
        tokens += if answer.status() == 200 {
            events * EVENT_TOKENS
        } else {
            0
        };
        statuses.push(answer.status().to_string());
        if answer.status() == 200 && answer.is_whole {
            turn += 1;
            tries = 0;
            // The program calls a tool between its turns.
            thread::sleep(Duration::from_millis(100));
        } else {
            tries += 1;
            thread::sleep(Duration::from_millis(300));
        }
    }
    tokens
}
