//! Answers of the store are lost at one of three gateways, while programs loop until their budget is spent.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::engine::CHUNK_TOKENS;
use crate::floor::{Floor, HOST, KEPT, TURNS};
use crate::http::{Answer, call_with_gap};
use crate::random::below;
use crate::record::Record;
use crate::store::Mode;

/// The values of the turn that `fleetbench wire` shows for bmrc-switch.
const BUDGET: u64 = 4712;
const MOST_OF_ONE_TURN: u64 = 589;
/// Programs that run at the same time.
const PROGRAMS: usize = 24;
const SUB_AGENTS: usize = 2;
/// `platform_lost` with `for_s = 4.5`, and the pause after it.
const LOST: Duration = Duration::from_millis(4_500);
const CALM: Duration = Duration::from_millis(1_500);
const EPISODES: usize = 14;
const STREAM_GAP: Duration = Duration::from_secs(2);
const DEADLINE: Duration = Duration::from_secs(4);
const MOST_ATTEMPTS: usize = 6;

/// The client's side of one program, with all tokens that it was handed.
struct Program {
    id: String,
    /// Whether its turns go to the route that keeps them.
    is_kept: bool,
    tokens: AtomicU64,
    attempts: AtomicUsize,
    gateways: Vec<SocketAddr>,
    record: Arc<Record>,
}

impl Program {
    /// Sends a turn with `earlier` turns before it. Lines of turns arrive at any gateway.
    fn turn(&self, line: usize, earlier: usize, previous: Option<&str>) -> (Answer, String) {
        let number = self.attempts.fetch_add(1, Ordering::SeqCst);
        let attempt = format!("{}{number:04x}", self.id);
        let gateway = self.gateways[below(self.gateways.len() as u64) as usize];
        let (route, previous) = match (self.is_kept, previous) {
            (true, Some(turn)) => (KEPT, format!("X-Previous-Turn: {turn}\r\n")),
            (true, None) => (KEPT, String::new()),
            (false, _) => (TURNS, String::new()),
        };
        let mut parts = vec!["5c1e07a2:12600".to_owned(), format!("{}:1680", self.id)];
        parts.extend((0..earlier).map(|turn| format!("{}{turn:02x}:600", self.id)));
        let head = format!(
            "POST {route}4b HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\n{previous}X-Program-Id: {0}\r\n\
             X-Session-Id: {0}{line}\r\nX-Program-Deadline-Ms: 20000\r\nX-Token-Budget: {BUDGET}\r\nX-Model: m\r\n\
             X-Token-Count: {1},{MOST_OF_ONE_TURN}\r\nX-Prompt-Prefix: {2}\r\nX-Deadline-Ms: {3}\r\n",
            self.id,
            14280 + 600 * earlier,
            parts.join(","),
            DEADLINE.as_millis()
        );
        self.record.note(&format!("sent attempt={attempt} line={line} earlier={earlier} to={gateway}"));
        let answer = call_with_gap(gateway, &head, b"the prompt", DEADLINE, STREAM_GAP);
        let handed = answer.events() as u64 * CHUNK_TOKENS;
        let tokens = self.tokens.fetch_add(handed, Ordering::SeqCst) + handed;
        self.record.note(&format!("answered attempt={attempt} {} tokens_so_far={tokens}", answer.summary()));
        (answer, attempt)
    }

    /// Runs turns, each followed by sub-agents with one turn each, until the budget is spent or a turn fails.
    fn run(&self) {
        let (mut earlier, mut failures, mut previous) = (0, 0, None);
        loop {
            let (answer, attempt) = self.turn(0, earlier, previous.as_deref());
            match answer.status {
                402 => return,
                200 if answer.is_whole => (earlier, failures, previous) = (earlier + 1, 0, Some(attempt)),
                _ => {
                    failures += 1;
                    if failures == MOST_ATTEMPTS {
                        return;
                    }
                    thread::sleep(Duration::from_millis(100 + below(300)));
                    continue;
                }
            }
            let is_stopped = AtomicBool::new(false);
            thread::scope(|scope| {
                for line in 1..=SUB_AGENTS {
                    let (is_stopped, previous) = (&is_stopped, previous.as_deref());
                    scope.spawn(move || {
                        if self.turn(line, earlier + line, previous).0.status == 402 {
                            is_stopped.store(true, Ordering::SeqCst);
                        }
                    });
                }
            });
            if is_stopped.load(Ordering::SeqCst) {
                return;
            }
        }
    }
}

pub fn play(folder: &Path, has_trouble: bool) -> bool {
    let floor = Floor::open(folder, 3);
    let record = Arc::clone(&floor.record);
    let gateways: Vec<SocketAddr> = floor.gateways.iter().map(|gateway| gateway.callers).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let ended = Arc::new(Mutex::new(Vec::new()));
    let runners: Vec<_> = (0..PROGRAMS)
        .map(|runner| {
            let (gateways, is_over, ended) = (gateways.clone(), Arc::clone(&is_over), Arc::clone(&ended));
            let record = Arc::clone(&record);
            thread::spawn(move || {
                while !is_over.load(Ordering::SeqCst) {
                    let program = Program {
                        id: format!("{:07x}{runner:02x}", below(1 << 28)),
                        is_kept: below(2) == 0,
                        tokens: AtomicU64::new(0),
                        attempts: AtomicUsize::new(0),
                        gateways: gateways.clone(),
                        record: Arc::clone(&record),
                    };
                    program.run();
                    ended.lock().unwrap().push((program.id.clone(), program.tokens.into_inner()));
                }
            })
        })
        .collect();
    for _ in 0..EPISODES {
        thread::sleep(CALM);
        floor.store.start_count();
        if has_trouble {
            record.note("writes of the first gateway are done late and not answered");
            floor.endpoints[0].set(Mode::LateWrites);
        }
        let began = Instant::now();
        thread::sleep(LOST.saturating_sub(began.elapsed()));
        floor.endpoints[0].set(Mode::Serving);
        let (all, lost) = floor.store.counts();
        record.note(&format!("the store answers all again; {lost} of {all} writes were not answered"));
        if lost * 100 > all * 35 {
            record.say(&format!("more than 35% of the writes were lost: {lost} of {all}"));
        }
    }
    is_over.store(true, Ordering::SeqCst);
    runners.into_iter().for_each(|runner| runner.join().expect("a runner ends"));
    let ended = ended.lock().unwrap();
    let over: Vec<_> = ended.iter().filter(|(_, tokens)| *tokens > BUDGET + MOST_OF_ONE_TURN).collect();
    for (program, tokens) in &over {
        record.say(&format!("program={program} tokens={tokens} budget={BUDGET} most_of_one_turn={MOST_OF_ONE_TURN}"));
    }
    record.say(&format!("{} programs ended, {} got more than their budget and one turn", ended.len(), over.len()));
    record.say(if over.is_empty() { "BUDGET holds" } else { "BUDGET is broken" });
    !over.is_empty()
}
