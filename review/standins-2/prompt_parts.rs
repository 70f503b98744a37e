//! Requests of legal size whose `X-Prompt-Prefix` is made of very many short fields.

use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

use crate::platform::{Callers, Engine, Gateway, Record, Store, desired_state};
use crate::wire::Wire;
use crate::{Outcome, has_trouble};

/// `memoryMb` of a `front` machine of vcw-serve, in kB.
const MEMORY_KB: u64 = 120_000;

/// The entries in one `X-Prompt-Prefix`. The whole head stays below `maxHeaderBytes`, 16,384.
const ENTRIES: usize = 2_000;

/// The most requests that the unruly clients send, all together.
const REQUESTS: usize = 6_000;

const CLIENTS: usize = 4;

pub fn play(folder: &str, scratch: &PathBuf) -> Outcome {
    let record = Record::open(folder);
    let store = Store::open();
    store.put("op", "config", &desired_state(3));
    let mut engines = Vec::new();
    for number in 1..=3 {
        let gap = Duration::from_millis(20);
        engines.push(Engine::open(
            &store,
            &format!("i-model-{number}"),
            "models",
            10,
            gap,
        ));
        engines.push(Engine::open(&store, &format!("i-app-{number}"), "app", 0, gap));
    }
    let mut gateway = Gateway::open(scratch, &store, "front-a-1", "");
    if !gateway.wait_ready() {
        record.line("the gateway did not become ready");
        return Outcome::NotRun;
    }
    let callers = Callers::start(vec![gateway.front], 4, Duration::from_millis(100));
    thread::sleep(Duration::from_secs(5));
    record.line(&format!(
        "ready; ordinary callers for 5 s; resident memory {} kB",
        gateway.memory_kb()
    ));
    let front = gateway.front;
    let mut clients = Vec::new();
    if has_trouble() {
        for client in 0..CLIENTS {
            clients.push(thread::spawn(move || unruly(front, client)));
        }
    }
    let start = Instant::now();
    let mut peak = 0;
    let mut is_over = false;
    while start.elapsed() < Duration::from_secs(60) && !is_over {
        thread::sleep(Duration::from_secs(1));
        let memory = gateway.memory_kb();
        peak = peak.max(memory);
        record.line(&format!("resident memory {memory} kB"));
        is_over = memory > MEMORY_KB
            || !gateway.is_alive()
            || (has_trouble() && clients.iter().all(|client| client.is_finished()));
        if !has_trouble() && start.elapsed() > Duration::from_secs(30) {
            is_over = true;
        }
    }
    thread::sleep(Duration::from_secs(5));
    let after = gateway.memory_kb();
    let results = callers.stop();
    let served = results.iter().filter(|(.., status)| *status == 200).count();
    let runs: usize = engines
        .iter()
        .map(|engine| engine.runs.lock().unwrap().len())
        .sum();
    record.line(&format!(
        "ordinary requests: {} sent, {served} answered 200; {runs} runs at engines",
        results.len()
    ));
    for client in clients {
        if client.is_finished()
            && let Ok((sent, answered)) = client.join()
        {
            record.line(&format!(
                "an unruly client: {sent} requests sent, {answered} answered 200"
            ));
        }
    }
    record.line(&format!(
        "peak {peak} kB, 5 s later {after} kB, limit of the machine {MEMORY_KB} kB"
    ));
    if peak == 0 || !gateway.is_alive() {
        record.line("the gateway ended");
        return Outcome::Broken;
    }
    match peak.max(after) > MEMORY_KB {
        true => {
            record.line("BROKEN: the process exceeds the memory of its machine, and the platform kills it");
            Outcome::Broken
        }
        false => {
            record.line("held");
            Outcome::Held
        }
    }
}

/// Sends one request after another on one connection. Returns how many were sent and answered.
fn unruly(front: std::net::SocketAddr, client: usize) -> (usize, usize) {
    let limit = Duration::from_secs(5);
    let mut wire = None;
    let (mut sent, mut answered) = (0, 0);
    while sent < REQUESTS / CLIENTS {
        let Ok(mut open) = wire.take().map_or_else(|| Wire::connect(front, limit), Ok) else {
            thread::sleep(Duration::from_millis(50));
            sent += 1;
            continue;
        };
        let prefix: Vec<String> = (0..ENTRIES).map(|entry| format!("{:x}:0", entry % 16)).collect();
        let head = format!(
            "GET /look/1 HTTP/1.1\r\nHost: app.example\r\nX-Attempt-Id: u{client}r{sent}\r\nX-Deadline-Ms: 1200\r\n\
             X-Prompt-Prefix: {}\r\n\r\n",
            prefix.join(",")
        );
        sent += 1;
        if let Ok(Some(answer)) = open.exchange(head.as_bytes(), limit) {
            answered += usize::from(answer.status() == 200);
            wire = answer.is_whole.then_some(open);
        }
    }
    (sent, answered)
}
