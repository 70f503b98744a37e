//! A request crashes each engine that begins to run it. The engine falls silent, and is back some seconds later under the
//! name that it had.

use std::io::BufReader;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::engine::Engine;
use crate::floor::{Floor, HOST, MODELS, TURNS};
use crate::http::{call, read_request};
use crate::record::Record;
use crate::store::Store;

/// How long an engine is gone after a crash: shorter than three heartbeats, after which its entry is removed.
const GONE: Duration = Duration::from_millis(2_500);
const ENGINES: usize = 12;
const STABLE: Duration = Duration::from_secs(3);
const SENT_FOR: Duration = Duration::from_secs(50);
const PAUSE: Duration = Duration::from_millis(700);
/// Retries that may reach engines later than `stableMs` after the third crash.
const MOST_RETRIES: usize = 3;
const CRASHING: &[u8] = b"the request that crashes engines";

/// When the crashing request reached an engine.
type Arrivals = Arc<Mutex<Vec<Instant>>>;

/// An engine that a request can crash. Without trouble, it answers that request with 500 instead.
#[derive(Clone)]
struct FragileEngine {
    id: String,
    address: SocketAddr,
    store: Arc<Store>,
    record: Arc<Record>,
    arrivals: Arrivals,
    crashes: bool,
}

impl FragileEngine {
    fn entry(&self, born: u64) -> String {
        format!(
            "{{\"service\":\"{MODELS}\",\"address\":\"{}\",\"zone\":\"kgn-a\",\"version\":\"v1\",\"slots\":32,\
             \"state\":\"ready\",\"coldLeftMs\":0,\"seq\":1,\"born\":{born}}}",
            self.address
        )
    }

    /// Serves one lifetime after the other.
    fn live(self, mut listener: TcpListener) {
        let mut born = 1_764_900_000_000;
        loop {
            self.store.put("servers", &self.id, &self.entry(born));
            let open = self.serve(listener);
            // The port is closed, and the open connections are silent, until the engine is back.
            thread::sleep(GONE);
            listener = loop {
                match TcpListener::bind(self.address) {
                    Ok(listener) => break listener,
                    Err(_) => thread::sleep(Duration::from_millis(10)),
                }
            };
            born += 10_000;
            self.record.note(&format!("engine {} is back, born={born}", self.id));
            let store = Arc::clone(&self.store);
            store.put("servers", &self.id, &self.entry(born));
            // The machine answers what comes on connections of before with a reset.
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(300));
                open.iter().for_each(|stream| drop(stream.shutdown(Shutdown::Both)));
            });
        }
    }

    /// Serves until the engine crashes. Returns the connections that are open then.
    fn serve(&self, listener: TcpListener) -> Vec<TcpStream> {
        let open: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let (crash, crashed) = std::sync::mpsc::channel();
        listener.set_nonblocking(true).expect("a listener");
        loop {
            if crashed.try_recv().is_ok() {
                return std::mem::take(&mut *open.lock().unwrap());
            }
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            stream.set_nonblocking(false).ok();
            let Ok(copy) = stream.try_clone() else { continue };
            open.lock().unwrap().push(copy);
            let (engine, crash) = (self.clone(), crash.clone());
            thread::spawn(move || engine.serve_connection(stream, &crash));
        }
    }

    fn serve_connection(&self, mut stream: TcpStream, crash: &std::sync::mpsc::Sender<()>) {
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        while let Ok(Some(request)) = read_request(&mut reader) {
            let attempt = request.header("x-attempt-id").unwrap_or("").to_owned();
            if request.body == CRASHING {
                self.arrivals.lock().unwrap().push(Instant::now());
                self.record.note(&format!("run engine={} attempt={attempt} crashes={}", self.id, self.crashes));
                if self.crashes {
                    crash.send(()).ok();
                    // The connection stays open without a word.
                    std::mem::forget(stream);
                    return;
                }
            }
            let marks = format!("X-Attempt-Id: {attempt}\r\nX-Server-Stamp: {}.{attempt}\r\n", self.id);
            let status = if request.body == CRASHING { 500 } else { 200 };
            if crate::http::write_answer(&mut stream, status, &marks, b"id: 1\ndata: a\n\n").is_err() {
                return;
            }
        }
    }
}

pub fn play(folder: &Path, has_trouble: bool) -> bool {
    let floor = Floor::open(folder, 3);
    let record = Arc::clone(&floor.record);
    // The engines of the floor leave; fragile ones take their place.
    let arrivals = Arrivals::default();
    for number in 0..ENGINES {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let engine = FragileEngine {
            id: format!("i-f4a9{number:04x}"),
            address: listener.local_addr().expect("an address"),
            store: Arc::clone(&floor.store),
            record: Arc::clone(&record),
            arrivals: Arc::clone(&arrivals),
            crashes: has_trouble,
        };
        thread::spawn(move || engine.live(listener));
    }
    let models: Vec<&Engine> = floor.engines.iter().filter(|engine| engine.service == MODELS).collect();
    models.iter().for_each(|engine| floor.store.put("servers", &engine.id, ""));
    thread::sleep(Duration::from_secs(4));
    record.say("the request is sent again and again");
    let began = Instant::now();
    let mut senders = Vec::new();
    let mut number = 0;
    while began.elapsed() < SENT_FOR {
        number += 1;
        let gateway = floor.gateways[number % 3].callers;
        let record = Arc::clone(&record);
        senders.push(thread::spawn(move || {
            let head = format!(
                "POST {TURNS}7c HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: dead{number:08x}\r\nX-Model: m\r\n\
                 X-Token-Count: 1460,80\r\nX-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410\r\nX-Deadline-Ms: 4000\r\n"
            );
            record.note(&format!("sent attempt=dead{number:08x} to={gateway}"));
            let answer = call(gateway, &head, CRASHING, Duration::from_secs(4));
            record.note(&format!("answered attempt=dead{number:08x} {}", answer.summary()));
        }));
        thread::sleep(PAUSE);
    }
    senders.into_iter().for_each(|sender| sender.join().expect("a sender ends"));
    let mut arrivals = arrivals.lock().unwrap().clone();
    arrivals.sort();
    let after = match arrivals.get(2) {
        Some(third) if has_trouble => arrivals.iter().filter(|at| **at > *third + STABLE).count(),
        _ => 0,
    };
    record.say(&format!("{number} sent, {} reached engines, {after} of them later than stableMs after the third crash", arrivals.len()));
    let is_broken = after > MOST_RETRIES;
    record.say(if is_broken { "BUDGET is broken" } else { "BUDGET holds" });
    is_broken
}
