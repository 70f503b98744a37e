//! Stand-ins for the platform's store and for engines, and gateways as child processes.

use std::collections::{BTreeMap, HashMap};
use std::fs;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::wire::{Json, Message, Wire, base64, percent_decoded, quoted};

type Name = (String, String, String);

#[derive(Default)]
struct Rows {
    rows: BTreeMap<Name, (String, u64)>,
    changes: Vec<(u64, Name, Option<String>)>,
    version: u64,
}

impl Rows {
    fn apply(&mut self, name: Name, value: Option<String>) {
        match &value {
            Some(value) => self.rows.insert(name.clone(), (value.clone(), self.version)),
            None => self.rows.remove(&name),
        };
        self.changes.push((self.version, name, value));
    }
}

/// The platform's store: rows, transactions and feeds as PROTOCOL.md describes them.
pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    pub address: SocketAddr,
    start: Instant,
    is_silent: AtomicBool,
}

/// How long the store takes for an answer, as in the site files.
const STORE_TIME: Duration = Duration::from_millis(4);

impl Store {
    pub fn open() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("bound");
        let store = Arc::new(Self {
            rows: Mutex::default(),
            changed: Condvar::new(),
            address,
            start: Instant::now(),
            is_silent: AtomicBool::new(false),
        });
        let serving = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&serving);
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        rows.apply(
            (table.into(), String::new(), key.into()),
            Some(base64(value.as_bytes())),
        );
        self.changed.notify_all();
    }

    pub fn remove(&self, table: &str, key: &str) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        rows.apply((table.into(), String::new(), key.into()), None);
        self.changed.notify_all();
    }

    /// Sets whether the store is down and says nothing. Calls of that time are not performed, and their channels close
    /// when it is back.
    pub fn set_silent(&self, is_silent: bool) {
        self.is_silent.store(is_silent, Ordering::SeqCst);
        self.changed.notify_all();
    }

    fn waited_in_silence(&self) -> bool {
        let has_waited = self.is_silent.load(Ordering::SeqCst);
        while self.is_silent.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(10));
        }
        has_waited
    }

    fn serve(&self, stream: TcpStream) {
        let mut wire = Wire::new(stream);
        while let Ok(Some(request)) = wire.request() {
            if self.waited_in_silence() {
                return;
            }
            let (status, body) = self.answer(&request);
            if self.waited_in_silence() {
                return;
            }
            thread::sleep(STORE_TIME);
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if wire
                .write(head.as_bytes())
                .and_then(|()| wire.write(body.as_bytes()))
                .is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let (path, query) = request.path().split_once('?').unwrap_or((request.path(), ""));
        let query: HashMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(key, value)| (key.to_owned(), percent_decoded(value)))
            .collect();
        match path {
            "/rows-tx" => self.transact(&request.body),
            "/rows-get" => self.read(&query),
            "/rows-feed" => self.feed(&query),
            "/rows-parts" => {
                let table = query.get("table").cloned().unwrap_or_default();
                let rows = self.rows.lock().unwrap();
                let mut parts: Vec<&String> = rows
                    .rows
                    .keys()
                    .filter(|name| name.0 == table)
                    .map(|name| &name.1)
                    .collect();
                parts.dedup();
                let parts: Vec<String> = parts.into_iter().map(|part| quoted(part)).collect();
                (
                    200,
                    format!("{{\"parts\":[{}],\"hasMore\":false}}", parts.join(",")),
                )
            }
            _ => (404, "{}".into()),
        }
    }

    fn row_json(name: &Name, value: Option<&str>, version: u64) -> String {
        let (table, part, key) = (quoted(&name.0), quoted(&name.1), quoted(&name.2));
        let rest = match value {
            Some(value) => format!("\"value\":{}", quoted(value)),
            None => "\"removed\":true".into(),
        };
        format!("{{\"table\":{table},\"part\":{part},\"key\":{key},\"ver\":{version},{rest}}}")
    }

    fn page(&self, rows: &[String], version: u64) -> String {
        let now = self.start.elapsed().as_millis();
        format!(
            "{{\"rows\":[{}],\"hasMore\":false,\"ver\":{version},\"nowMs\":{now}}}",
            rows.join(",")
        )
    }

    fn read(&self, query: &HashMap<String, String>) -> (u16, String) {
        let text = |key: &str| query.get(key).cloned().unwrap_or_default();
        let (table, part, from) = (text("table"), text("part"), text("from"));
        let to = query.get("to");
        let limit = query
            .get("limit")
            .and_then(|limit| limit.parse().ok())
            .unwrap_or(500);
        let rows = self.rows.lock().unwrap();
        let found = rows.rows.iter().filter(|(name, _)| {
            name.0 == table && name.1 == part && name.2 >= from && to.is_none_or(|to| name.2 < *to)
        });
        let found = found
            .take(limit)
            .map(|(name, (value, version))| Self::row_json(name, Some(value), *version));
        let found: Vec<String> = found.collect();
        (200, self.page(&found, rows.version))
    }

    fn feed(&self, query: &HashMap<String, String>) -> (u16, String) {
        let table = query.get("table").cloned().unwrap_or_default();
        let after: u64 = query
            .get("after")
            .and_then(|after| after.parse().ok())
            .unwrap_or(0);
        let wait: u64 = query
            .get("waitMs")
            .and_then(|wait| wait.parse().ok())
            .unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut rows = self.rows.lock().unwrap();
        loop {
            let changed = rows
                .changes
                .iter()
                .filter(|(version, name, _)| *version > after && name.0 == table);
            let changed =
                changed.map(|(version, name, value)| Self::row_json(name, value.as_deref(), *version));
            let changed: Vec<String> = changed.collect();
            let now = Instant::now();
            if !changed.is_empty() || now >= end {
                return (200, self.page(&changed, rows.version));
            }
            rows = self.changed.wait_timeout(rows, end - now).unwrap().0;
        }
    }

    fn transact(&self, body: &[u8]) -> (u16, String) {
        let Some(call) = Json::parse(body) else {
            return (400, "{}".into());
        };
        let name = |entry: &Json| -> Name {
            let text = |key: &str| {
                entry
                    .get(key)
                    .map(|value| value.text().to_owned())
                    .unwrap_or_default()
            };
            (text("table"), text("part"), text("key"))
        };
        let list = |key: &str| call.get(key).map(|list| list.list().to_vec()).unwrap_or_default();
        let mut rows = self.rows.lock().unwrap();
        let expected = list("expectedRevision");
        let is_met = expected.iter().all(|entry| {
            let known = rows.rows.get(&name(entry)).map_or(0, |(_, version)| *version);
            known == entry.get("ver").map_or(0, Json::number)
        });
        if !is_met {
            let known = expected.iter().filter_map(|entry| {
                let name = name(entry);
                let (value, version) = rows.rows.get(&name)?;
                Some(Self::row_json(&name, Some(value), *version))
            });
            let known: Vec<String> = known.collect();
            return (412, self.page(&known, rows.version));
        }
        rows.version += 1;
        for entry in list("put") {
            let value = entry
                .get("value")
                .map(|value| value.text().to_owned())
                .unwrap_or_default();
            rows.apply(name(&entry), Some(value));
        }
        for entry in list("remove") {
            rows.apply(name(&entry), None);
        }
        self.changed.notify_all();
        (200, self.page(&[], rows.version))
    }
}

/// An engine, or a server of a plain service.
pub struct Engine {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    /// The events of a stream; 0 for a plain service.
    pub events: usize,
    pub gap: Duration,
    pub runs: Mutex<Vec<(Duration, String)>>,
    pub start: Instant,
    running: AtomicUsize,
    born: u128,
    /// Whether it writes heartbeats, and whether it leaves, which it says in all its answers.
    pub beats: AtomicBool,
    pub is_leaving: AtomicBool,
}

/// The length of a plain answer, as in the site files.
const ANSWER_BYTES: usize = 800;

impl Engine {
    pub fn open(store: &Arc<Store>, id: &str, service: &str, events: usize, gap: Duration) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("bound");
        let engine = Arc::new(Self {
            id: id.into(),
            service: service.into(),
            address,
            events,
            gap,
            runs: Mutex::default(),
            start: Instant::now(),
            running: AtomicUsize::new(0),
            born: SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis(),
            beats: AtomicBool::new(true),
            is_leaving: AtomicBool::new(false),
        });
        let serving = Arc::clone(&engine);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = Arc::clone(&serving);
                thread::spawn(move || engine.serve(stream));
            }
        });
        let (beating, store) = (Arc::clone(&engine), Arc::clone(store));
        beating.write_heartbeat(&store, 1);
        thread::spawn(move || {
            for seq in 2.. {
                thread::sleep(Duration::from_millis(1_200));
                if beating.beats.load(Ordering::SeqCst) {
                    beating.write_heartbeat(&store, seq);
                }
            }
        });
        engine
    }

    /// Writes the entry of the engine, as ready.
    pub fn write_heartbeat(&self, store: &Store, seq: u64) {
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":24,\
             \"state\":\"ready\",\"coldLeftMs\":0,\"seq\":{seq},\"born\":{}}}",
            self.service, self.address, self.born
        );
        store.put("servers", &self.id, &entry);
    }

    fn serve(&self, stream: TcpStream) {
        let mut wire = Wire::new(stream);
        while let Ok(Some(request)) = wire.request() {
            self.running.fetch_add(1, Ordering::SeqCst);
            let served = self.answer(&mut wire, &request);
            self.running.fetch_sub(1, Ordering::SeqCst);
            if served.is_err() {
                return;
            }
        }
    }

    fn answer(&self, wire: &mut Wire, request: &Message) -> std::io::Result<()> {
        let id = request.field("x-attempt-id").unwrap_or("").to_owned();
        let leaving = if self.is_leaving.load(Ordering::SeqCst) {
            "Server-Leaving: 1\r\n"
        } else {
            ""
        };
        let load = format!(
            "X-Instance-Load: {},0,24\r\n{leaving}",
            self.running.load(Ordering::SeqCst)
        );
        if request
            .field("x-expect-instance")
            .is_some_and(|expected| expected != self.id)
        {
            let head = "HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
            return wire.write(head.as_bytes());
        }
        self.runs.lock().unwrap().push((self.start.elapsed(), id.clone()));
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Stamp: s.{}.{id}\r\n{load}",
            self.id
        );
        if self.events == 0 {
            thread::sleep(self.gap);
            let body = "b".repeat(ANSWER_BYTES);
            return wire.write(format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()).as_bytes());
        }
        wire.write(
            format!("{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").as_bytes(),
        )?;
        for number in 1..=self.events {
            thread::sleep(self.gap);
            let event = format!("id: {number}\ndata: {}\n\n", "e".repeat(70));
            wire.write(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        wire.write(b"0\r\n\r\n")
    }
}

/// The desired state of a small deployment: one stream route to the engines, one safe and one unsafe route to the app.
pub fn desired_state(version: u64) -> String {
    let route = |name: &str, kind: &str, service: &str, timeout: u64, target: u64, more: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"app.example\",\"prefix\":\"/{name}/\",\"routeKind\":\"{kind}\",\
             \"timeoutMs\":{timeout},\"targetLatencyMs\":{target},\"priority\":1,\"service\":\"{service}\"{more}}}"
        )
    };
    let stream = ",\"maxAttempts\":1,\"resumable\":true,\"retained\":false,\"retentionS\":60,\"targetGapMs\":200,\
                  \"sticky\":true";
    let routes = [
        route("chat", "stream", "models", 4_000, 250, stream),
        route("look", "safe", "app", 1_200, 150, ""),
        route("order", "unsafe", "app", 3_000, 500, ",\"maxAttempts\":1"),
    ];
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"models\",\"healthPath\":\"/healthz\",\
         \"maxConns\":210,\"engine\":{{\"slots\":24,\"kvCapacity\":144781,\"chunkTokens\":7}}}},\
         {{\"name\":\"app\",\"healthPath\":\"/healthz\",\"maxConns\":110}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}}}}",
        routes.join(",")
    )
}

/// A gateway as a separate process, started with the command of the deploy file. Killed when dropped.
pub struct Gateway {
    child: Child,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
}

pub fn free_port() -> u16 {
    TcpListener::bind("127.0.0.1:0")
        .expect("a port is free")
        .local_addr()
        .expect("bound")
        .port()
}

/// Starts the program of `run` in `deploy/system.toml`, whose settings file is the first argument after the role.
fn start(settings: &PathBuf, log: &PathBuf) -> Child {
    let deploy = fs::read_to_string("deploy/system.toml").expect("run from the repository's root");
    let run = deploy
        .lines()
        .find_map(|line| line.strip_prefix("run = \""))
        .expect("a role runs a program");
    let words: Vec<&str> = run.trim_end_matches('"').split(' ').collect();
    let output = fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(log)
        .expect("a log file");
    Command::new(words[0])
        .args(&words[1..words.len() - 1])
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(output.try_clone().expect("a file"))
        .stderr(output)
        .spawn()
        .expect("the gateway starts; build it with the command of the deploy file")
}

impl Gateway {
    /// Starts a gateway with settings like `deploy/gateway.jsonc`, with free ports on loopback. `more` is added to the
    /// section `callers`.
    pub fn open(folder: &PathBuf, store: &Store, name: &str, more: &str) -> Self {
        let [front, ready, link, collector] = [free_port(), free_port(), free_port(), free_port()];
        let text = format!(
            "{{\"process\":\"{name}\",\"role\":\"gateway\",\"host\":\"{name}\",\"region\":\"r\",\
             \"failure_domain\":\"a\",\"callers\":{{\"listen\":\"127.0.0.1:{front}\"{more}}},\
             \"links\":{{\"listen\":\"127.0.0.1:{link}\"}},\
             \"metrics\":{{\"listen\":\"127.0.0.1:{ready}\",\"collector_listen\":\"127.0.0.1:{collector}\"}},\
             \"store\":{{\"url\":\"http://{}\",\"retention\":\"10m\"}},\"first_start\":true,\"drain_time\":\"8s\"}}",
            store.address
        );
        let settings = folder.join(format!("{name}.jsonc"));
        let log = folder.join(format!("{name}.log"));
        fs::write(&settings, text).expect("a settings file");
        let child = start(&settings, &log);
        let at = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        Self {
            child,
            front: at(front),
            ready: at(ready),
            settings,
            log,
        }
    }

    pub fn is_ready(&self) -> bool {
        let request = b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let limit = Duration::from_secs(1);
        let answer = Wire::connect(self.ready, limit).and_then(|mut wire| wire.exchange(request, limit));
        matches!(answer, Ok(Some(answer)) if answer.status() == 200)
    }

    pub fn wait_ready(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(15);
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn is_alive(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    pub fn kill(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }

    /// Starts the process again after its end, as the platform does: with `first_start` off.
    pub fn restart(&mut self) {
        self.kill();
        let text = fs::read_to_string(&self.settings).expect("the settings file");
        fs::write(
            &self.settings,
            text.replace("\"first_start\":true", "\"first_start\":false"),
        )
        .expect("written");
        self.child = start(&self.settings, &self.log);
    }

    /// The resident memory in kB; 0 if the process has ended.
    pub fn memory_kb(&self) -> u64 {
        let text = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        line.and_then(|line| line.trim().split(' ').next()?.parse().ok())
            .unwrap_or(0)
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

/// `record.txt` of a case.
pub struct Record {
    file: Mutex<fs::File>,
    start: Instant,
}

impl Record {
    pub fn open(folder: &str) -> Arc<Self> {
        let file = fs::File::create(format!("{folder}/record.txt")).expect("the record can be written");
        Arc::new(Self {
            file: Mutex::new(file),
            start: Instant::now(),
        })
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}", self.start.elapsed().as_secs_f64());
        println!("{line}");
        writeln!(self.file.lock().unwrap(), "{line}").ok();
    }
}

/// Ordinary callers: each sends one request after another on a new connection, with a pause.
pub struct Callers {
    pub results: Arc<Mutex<Vec<(Instant, &'static str, String, u16)>>>,
    is_over: Arc<AtomicBool>,
    threads: Vec<thread::JoinHandle<()>>,
}

pub fn chat_request(id: &str, prefix: &str) -> Vec<u8> {
    let body = "p".repeat(4_300);
    format!(
        "POST /chat/1 HTTP/1.1\r\nHost: app.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 4000\r\nX-Model: m\r\n\
         X-Token-Count: 1160,70\r\nX-Prompt-Prefix: {prefix}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

pub fn order_request(id: &str) -> Vec<u8> {
    let body = "o".repeat(600);
    format!(
        "POST /order/1 HTTP/1.1\r\nHost: app.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 3000\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

pub fn look_request(id: &str) -> Vec<u8> {
    format!("GET /look/1 HTTP/1.1\r\nHost: app.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 1200\r\n\r\n")
        .into_bytes()
}

impl Callers {
    /// Starts `count` callers. Each sends a turn, an order and a lookup by turns.
    pub fn start(gateways: Vec<SocketAddr>, count: usize, pause: Duration) -> Self {
        let results = Arc::new(Mutex::new(Vec::new()));
        let is_over = Arc::new(AtomicBool::new(false));
        let caller = |number: usize| {
            let (results, is_over) = (Arc::clone(&results), Arc::clone(&is_over));
            let gateways = gateways.clone();
            thread::spawn(move || {
                for turn in 0.. {
                    if is_over.load(Ordering::SeqCst) {
                        return;
                    }
                    let id = format!("c{number:03}t{turn:05}");
                    let prefix = format!("5c1e07a2:512,{number:x}{turn:05x}:654");
                    let (kind, request, limit) = match (turn + number) % 3 {
                        0 => ("turn", chat_request(&id, &prefix), 4_000),
                        1 => ("order", order_request(&id), 3_000),
                        _ => ("lookup", look_request(&id), 1_200),
                    };
                    let gateway = gateways[(number + turn) % gateways.len()];
                    let sent = Instant::now();
                    let answer = Wire::connect(gateway, Duration::from_secs(1))
                        .and_then(|mut wire| wire.exchange(&request, Duration::from_millis(limit)));
                    let status = match answer {
                        Ok(Some(answer)) if answer.is_whole => answer.status(),
                        _ => 0,
                    };
                    results.lock().unwrap().push((sent, kind, id, status));
                    thread::sleep(pause);
                }
            })
        };
        let threads = (0..count).map(caller).collect();
        Self {
            results,
            is_over,
            threads,
        }
    }

    pub fn stop(self) -> Vec<(Instant, &'static str, String, u16)> {
        self.is_over.store(true, Ordering::SeqCst);
        for thread in self.threads {
            thread.join().ok();
        }
        self.results.lock().unwrap().clone()
    }
}
