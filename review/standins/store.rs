//! A stand-in for the platform's store: rows, conditional transactions and the feed, as PROTOCOL.md describes them.
//!
//! Each gateway has an address of its own, so that the store can turn some of them away.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Request, read_request, write_answer};
use crate::json::Json;
use crate::random::below;

/// How the store treats the calls of one gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    Serving,
    /// No call is done or answered.
    Silent,
    /// Transactions are done 1 to 6 s later, if their condition still holds, and not answered. Reads are served.
    LateWrites,
}

type Name = (String, String, String);

#[derive(Default)]
struct State {
    rows: BTreeMap<Name, (String, u64)>,
    /// Version, row and value; `None` if the row was removed.
    changes: Vec<(u64, Name, Option<String>)>,
    /// When each version was written, for the history.
    written: Vec<(u64, Instant)>,
    /// Changes up to this version are no longer in the history.
    discarded: u64,
    version: u64,
}

pub struct Store {
    /// The transactions since [`Store::start_count`], and how many of them were not answered.
    counts: Mutex<(u64, u64)>,
    state: Mutex<State>,
    changed: Condvar,
    started: Instant,
}

pub struct Endpoint {
    pub address: SocketAddr,
    mode: Arc<Mutex<Mode>>,
}

impl Endpoint {
    pub fn set(&self, mode: Mode) {
        *self.mode.lock().unwrap() = mode;
    }
}

/// How long changes stay in the history.
const HISTORY: Duration = Duration::from_secs(20);

/// The time of an answer, and of a transaction on top of it.
const ANSWER_TIME: Duration = Duration::from_millis(4);
const TRANSACTION_TIME: Duration = Duration::from_millis(6);

impl Store {
    pub fn open() -> Arc<Self> {
        Arc::new(Self { counts: Mutex::default(), state: Mutex::default(), changed: Condvar::new(), started: Instant::now() })
    }

    pub fn endpoint(self: &Arc<Self>) -> Endpoint {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let mode = Arc::new(Mutex::new(Mode::Serving));
        let (store, endpoint_mode) = (Arc::clone(self), Arc::clone(&mode));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, mode) = (Arc::clone(&store), Arc::clone(&endpoint_mode));
                thread::spawn(move || store.serve(stream, &mode));
            }
        });
        Endpoint { address, mode }
    }

    /// Writes a row of the operator or of an engine; an empty value removes it.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let name = (table.to_owned(), String::new(), key.to_owned());
        let value = (!value.is_empty()).then(|| base64(value.as_bytes()));
        self.state.lock().unwrap().apply(vec![(name, value)]);
        self.changed.notify_all();
    }

    pub fn start_count(&self) {
        *self.counts.lock().unwrap() = (0, 0);
    }

    /// Returns the transactions since [`Store::start_count`], and how many of them were not answered.
    pub fn counts(&self) -> (u64, u64) {
        *self.counts.lock().unwrap()
    }

    fn count(&self, lost: u64) {
        let mut counts = self.counts.lock().unwrap();
        *counts = (counts.0 + 1, counts.1 + lost);
    }

    fn serve(&self, mut stream: TcpStream, mode: &Mutex<Mode>) {
        stream.set_nodelay(true).ok();
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        while let Ok(Some(request)) = read_request(&mut reader) {
            let now = *mode.lock().unwrap();
            let is_write = request.path() == "/rows-tx";
            match now {
                Mode::Silent => return hold(stream),
                Mode::LateWrites if is_write => {
                    self.count(1);
                    thread::sleep(Duration::from_millis(1_000 + below(5_000)));
                    self.answer(&request, mode);
                    return hold(stream);
                }
                _ if is_write => self.count(0),
                _ => {}
            }
            thread::sleep(if is_write { ANSWER_TIME + TRANSACTION_TIME } else { ANSWER_TIME });
            let Some((status, body)) = self.answer(&request, mode) else { return hold(stream) };
            let kind = "Content-Type: application/json\r\n";
            if write_answer(&mut stream, status, kind, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Returns `None` if the answer is lost because the store fell silent meanwhile.
    fn answer(&self, request: &Request, mode: &Mutex<Mode>) -> Option<(u16, String)> {
        let answer = match request.path() {
            "/rows-tx" => self.transact(&request.body),
            "/rows-get" => self.read(request),
            "/rows-feed" => self.feed(request, mode)?,
            _ => (404, "{}".to_owned()),
        };
        Some(answer)
    }

    fn now_ms(&self) -> u128 {
        self.started.elapsed().as_millis()
    }

    fn transact(&self, body: &[u8]) -> (u16, String) {
        let Some(call) = std::str::from_utf8(body).ok().and_then(Json::parse) else {
            return (400, "{}".to_owned());
        };
        let name = |entry: &Json| (entry.text("table"), entry.text("part"), entry.text("key"));
        let mut state = self.state.lock().unwrap();
        let conditions = call.list("expectedRevision");
        let version = |state: &State, name: &Name| state.rows.get(name).map_or(0, |(_, version)| *version);
        if conditions.iter().any(|entry| version(&state, &name(entry)) != entry.number("ver")) {
            let rows: Vec<String> = conditions.iter().filter_map(|entry| state.row(&name(entry))).collect();
            return (412, format!("{{\"rows\":[{}],\"ver\":{},\"nowMs\":{}}}", rows.join(","), state.version, self.now_ms()));
        }
        let puts = call.list("put").iter().map(|entry| (name(entry), Some(entry.text("value"))));
        let removals = call.list("remove").iter().map(|entry| (name(entry), None));
        state.apply(puts.chain(removals).collect());
        let answer = format!("{{\"ver\":{},\"nowMs\":{}}}", state.version, self.now_ms());
        drop(state);
        self.changed.notify_all();
        (200, answer)
    }

    fn read(&self, request: &Request) -> (u16, String) {
        let (table, part) = (request.query("table"), request.query("part"));
        let (from, to) = (request.query("from"), request.query("to"));
        let limit = request.query("limit").parse().unwrap_or(500).min(500);
        let state = self.state.lock().unwrap();
        let names = state.rows.keys().filter(|(in_table, in_part, key)| {
            *in_table == table && *in_part == part && *key >= from && (to.is_empty() || *key < to)
        });
        let names: Vec<&Name> = names.collect();
        let rows: Vec<String> = names.iter().take(limit).filter_map(|name| state.row(name)).collect();
        let more = names.len() > limit;
        let body = format!(
            "{{\"rows\":[{}],\"hasMore\":{more},\"ver\":{},\"nowMs\":{}}}",
            rows.join(","),
            state.version,
            self.now_ms()
        );
        (200, body)
    }

    fn feed(&self, request: &Request, mode: &Mutex<Mode>) -> Option<(u16, String)> {
        let table = request.query("table");
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait = Duration::from_millis(request.query("waitMs").parse().unwrap_or(0));
        let end = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            if *mode.lock().unwrap() == Mode::Silent {
                return None;
            }
            state.discard_old();
            if after < state.discarded {
                return Some((410, "{}".to_owned()));
            }
            let changed: Vec<String> = state.changed_rows(&table, after);
            let left = end.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() {
                let (rows, version) = (changed.join(","), state.version);
                return Some((200, format!("{{\"rows\":[{rows}],\"ver\":{version},\"nowMs\":{}}}", self.now_ms())));
            }
            state = self.changed.wait_timeout(state, left.min(Duration::from_millis(20))).unwrap().0;
        }
    }
}

impl State {
    /// Drops changes that are older than the history.
    fn discard_old(&mut self) {
        let old = self.written.iter().take_while(|(_, at)| at.elapsed() > HISTORY).count();
        if let Some((version, _)) = self.written.drain(..old).last() {
            self.discarded = version;
            self.changes.retain(|(changed, ..)| *changed > version);
        }
    }

    fn apply(&mut self, entries: Vec<(Name, Option<String>)>) {
        self.version += 1;
        self.written.push((self.version, Instant::now()));
        for (name, value) in entries {
            match &value {
                Some(value) => self.rows.insert(name.clone(), (value.clone(), self.version)),
                None => self.rows.remove(&name),
            };
            self.changes.push((self.version, name, value));
        }
    }

    fn row(&self, name: &Name) -> Option<String> {
        let (value, version) = self.rows.get(name)?;
        let (table, part, key) = name;
        Some(format!(
            "{{\"table\":\"{table}\",\"part\":\"{part}\",\"key\":\"{key}\",\"value\":\"{value}\",\"ver\":{version}}}"
        ))
    }

    fn changed_rows(&self, table: &str, after: u64) -> Vec<String> {
        let later = self.changes.iter().filter(|(version, (name, ..), _)| *version > after && name == table);
        let rows = later.map(|(version, (table, part, key), value)| match value {
            Some(value) => format!(
                "{{\"table\":\"{table}\",\"part\":\"{part}\",\"key\":\"{key}\",\"value\":\"{value}\",\"ver\":{version}}}"
            ),
            None => format!(
                "{{\"table\":\"{table}\",\"part\":\"{part}\",\"key\":\"{key}\",\"ver\":{version},\"removed\":true}}"
            ),
        });
        rows.collect()
    }
}

/// Leaves a connection open without an answer until the other end closes it.
fn hold(stream: TcpStream) {
    let mut byte = [0; 1];
    while let Ok(1..) = std::io::Read::read(&mut &stream, &mut byte) {}
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let bits = group.iter().fold(0_u32, |bits, byte| bits << 8 | u32::from(*byte)) << (8 * (3 - group.len()));
        for index in 0..4 {
            match index <= group.len() {
                true => text.push(char::from(DIGITS[(bits >> (18 - 6 * index)) as usize & 63])),
                false => text.push('='),
            }
        }
    }
    text
}
