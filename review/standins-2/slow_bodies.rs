//! A crowd of clients that send bodies of legal size very slowly, while ordinary callers send their requests.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::platform::{Callers, Engine, Gateway, Record, Store, desired_state};
use crate::wire::Wire;
use crate::{Outcome, has_trouble};

/// What a gateway on a machine of 120 MB, a `front` of vcw-serve, takes for its callers by itself: a quarter. Without
/// this setting it would use a quarter of the memory of the machine that plays the case.
const CALLERS_MEMORY: &str = ",\"memory\":\"28MiB\"";

/// The clients of the crowd: how many, the length of their bodies, all within `maxBodyBytes` (4,194,304), and how much of
/// it they send at once.
const CROWD: [(usize, usize, usize); 4] = [
    (5, 4_000_000, 3_600_000),
    (5, 1_000_000, 900_000),
    (5, 250_000, 200_000),
    (60, 30_000, 0),
];

/// The pause between two bytes of a body.
const PAUSE: Duration = Duration::from_millis(250);

/// The pause of a client of the crowd whose connection was closed or refused.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Callers count as not served if less than a quarter of their requests is answered, the figure of the rule RECOVER.
const SERVED_DIVISOR: usize = 4;

/// How long the crowd is there before the ordinary callers come.
const LEAD: Duration = Duration::from_secs(6);

/// How long the ordinary callers send requests.
const TRAFFIC: Duration = Duration::from_secs(24);

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
    let mut gateway = Gateway::open(scratch, &store, "front-a-1", CALLERS_MEMORY);
    if !gateway.wait_ready() {
        record.line("the gateway did not become ready");
        return Outcome::NotRun;
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let (opened, bytes_sent) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let mut crowd = Vec::new();
    if has_trouble() {
        for (clients, length, at_once) in CROWD {
            for client in 0..clients {
                let slow = SlowClient {
                    front: gateway.front,
                    length,
                    at_once,
                    client,
                    is_over: Arc::clone(&is_over),
                    opened: Arc::clone(&opened),
                    bytes_sent: Arc::clone(&bytes_sent),
                };
                crowd.push(thread::spawn(move || slow.play()));
            }
        }
        record.line(&format!(
            "a crowd of {} clients begins to send bodies slowly",
            crowd.len()
        ));
    }
    thread::sleep(LEAD);
    let began = Instant::now();
    let callers = Callers::start(vec![gateway.front], 8, Duration::from_millis(200));
    let mut misses = 0;
    while began.elapsed() < TRAFFIC {
        thread::sleep(Duration::from_secs(3));
        let ended = callers.results.lock().unwrap().clone();
        let served = ended.iter().filter(|(.., status)| *status == 200).count();
        misses += usize::from(!gateway.is_ready());
        record.line(&format!(
            "ordinary requests so far: {} ended, {served} answered 200; requests of the crowd: {} heads, {} body bytes",
            ended.len(),
            opened.load(Ordering::SeqCst),
            bytes_sent.load(Ordering::SeqCst)
        ));
    }
    let results = callers.stop();
    is_over.store(true, Ordering::SeqCst);
    for kind in ["turn", "order", "lookup"] {
        let of_kind = results.iter().filter(|(_, known, ..)| *known == kind);
        let statuses: Vec<u16> = of_kind.map(|(.., status)| *status).collect();
        let of = |status: u16| statuses.iter().filter(|known| **known == status).count();
        record.line(&format!(
            "{kind}: {} sent, {} answered 200, {} answered 503, {} closed without an answer",
            statuses.len(),
            of(200),
            of(503),
            of(0)
        ));
    }
    for client in crowd {
        client.join().ok();
    }
    let is_alive = gateway.is_alive();
    let served = results.iter().filter(|(.., status)| *status == 200).count();
    let runs: usize = engines
        .iter()
        .map(|engine| engine.runs.lock().unwrap().len())
        .sum();
    record.line(&format!(
        "{served} of {} ordinary requests were served; {runs} runs at engines",
        results.len()
    ));
    record.line(&format!(
        "process alive: {is_alive}; readiness missed {misses} times"
    ));
    if results.is_empty() {
        return Outcome::NotRun;
    }
    match is_alive && served * SERVED_DIVISOR >= results.len() {
        true => {
            record.line("held");
            Outcome::Held
        }
        false => {
            record.line("BROKEN: ordinary callers are not served while the crowd is there");
            Outcome::Broken
        }
    }
}

struct SlowClient {
    front: SocketAddr,
    length: usize,
    at_once: usize,
    client: usize,
    is_over: Arc<AtomicBool>,
    opened: Arc<AtomicUsize>,
    bytes_sent: Arc<AtomicUsize>,
}

impl SlowClient {
    /// Sends one body after another until it is over: a part of it at once, and the rest one byte at a time.
    fn play(&self) {
        let mut request = 0;
        while !self.is_over.load(Ordering::SeqCst) {
            if self.send(request).is_none() {
                thread::sleep(RETRY_PAUSE);
            }
            request += 1;
        }
    }

    fn send(&self, request: usize) -> Option<()> {
        let mut wire = Wire::connect(self.front, Duration::from_secs(1)).ok()?;
        let head = format!(
            "POST /order/1 HTTP/1.1\r\nHost: app.example\r\nX-Attempt-Id: u{}c{}r{request}\r\nX-Deadline-Ms: 3000\r\n\
             Content-Length: {}\r\n\r\n",
            self.length, self.client, self.length
        );
        wire.stream.set_write_timeout(Some(Duration::from_secs(5))).ok();
        wire.write(head.as_bytes()).ok()?;
        self.opened.fetch_add(1, Ordering::SeqCst);
        let piece = vec![b's'; self.at_once];
        wire.write(&piece).ok()?;
        self.bytes_sent.fetch_add(piece.len(), Ordering::SeqCst);
        wire.stream.set_read_timeout(Some(PAUSE)).ok();
        for _ in piece.len()..self.length - 1 {
            if self.is_over.load(Ordering::SeqCst) {
                return Some(());
            }
            wire.write(b"s").ok()?;
            self.bytes_sent.fetch_add(1, Ordering::SeqCst);
            // The pause is also a look for an answer or the end of the connection.
            let mut byte = [0];
            match std::io::Read::read(&mut wire.stream, &mut byte) {
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                _ => return None,
            }
        }
        None
    }
}
