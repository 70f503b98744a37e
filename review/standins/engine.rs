//! A stand-in for a model engine and for a plain service.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Request, read_request, write_answer};
use crate::record::Record;

pub const CHUNK_TOKENS: u64 = 19;

#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub service: String,
    pub slots: u32,
    /// The time to the first event, and between events.
    pub event_gap: Duration,
    record: Arc<Record>,
    running: Arc<AtomicUsize>,
    pub address: SocketAddr,
    /// Whether all answers say that the engine leaves.
    is_leaving: Arc<AtomicBool>,
    /// When each request arrived, and its attempt.
    pub arrivals: Arc<Mutex<Vec<(Instant, String)>>>,
}

impl Engine {
    pub fn open(id: &str, service: &str, record: &Arc<Record>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let engine = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            slots: 32,
            event_gap: Duration::from_millis(8),
            record: Arc::clone(record),
            running: Arc::default(),
            address,
            is_leaving: Arc::default(),
            arrivals: Arc::default(),
        };
        let serving = engine.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = serving.clone();
                thread::spawn(move || engine.serve(stream));
            }
        });
        engine
    }

    /// Returns the engine's entry in the store.
    pub fn entry(&self) -> String {
        self.entry_with(1, "ready")
    }

    /// Returns a heartbeat with a number and a state.
    pub fn entry_with(&self, seq: u64, state: &str) -> String {
        let address = self.address;
        format!(
            "{{\"service\":\"{}\",\"address\":\"{address}\",\"zone\":\"kgn-a\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"{state}\",\"coldLeftMs\":0,\"seq\":{seq},\"born\":1764900000000}}",
            self.service, self.slots
        )
    }

    pub fn leave(&self) {
        self.is_leaving.store(true, Ordering::SeqCst);
    }

    fn serve(&self, mut stream: TcpStream) {
        stream.set_nodelay(true).ok();
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        while let Ok(Some(request)) = read_request(&mut reader) {
            if self.answer(&mut stream, &request).is_err() {
                return;
            }
        }
    }

    fn answer(&self, stream: &mut TcpStream, request: &Request) -> std::io::Result<()> {
        if request.path() == "/healthz" {
            return write_answer(stream, 200, &format!("X-Instance-Id: {}\r\n", self.id), b"");
        }
        let attempt = request.header("x-attempt-id").unwrap_or("").to_owned();
        if request.header("x-expect-instance").is_some_and(|expected| expected != self.id) {
            return write_answer(stream, 421, &format!("X-Instance-Id: {}\r\n", self.id), b"");
        }
        self.record.note(&format!("run engine={} attempt={attempt} target={}", self.id, request.target));
        self.arrivals.lock().unwrap().push((Instant::now(), attempt.clone()));
        let running = self.running.fetch_add(1, Ordering::SeqCst) + 1;
        let leaving = if self.is_leaving.load(Ordering::SeqCst) { "Server-Leaving: 1\r\n" } else { "" };
        let marks = format!(
            "{leaving}X-Attempt-Id: {attempt}\r\nX-Server-Stamp: {}.{attempt}\r\nX-Instance-Load: {running},0,{}\r\n",
            self.id, self.slots
        );
        let result = match request.header("x-token-count") {
            Some(count) => self.stream_events(stream, &marks, count),
            None => {
                thread::sleep(Duration::from_millis(20));
                write_answer(stream, 200, &marks, format!("answer to {attempt}").as_bytes())
            }
        };
        self.running.fetch_sub(1, Ordering::SeqCst);
        result
    }

    /// Sends as many events as the request allows at most.
    fn stream_events(&self, stream: &mut TcpStream, marks: &str, count: &str) -> std::io::Result<()> {
        let most: u64 = count.split(',').nth(1).and_then(|most| most.trim().parse().ok()).unwrap_or(0);
        let head =
            format!("HTTP/1.1 200 OK\r\n{marks}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        stream.write_all(head.as_bytes())?;
        for number in 1..=most / CHUNK_TOKENS {
            thread::sleep(self.event_gap);
            let event = format!("id: {number}\ndata: piece {number}\n\n");
            stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        stream.write_all(b"0\r\n\r\n")
    }
}
