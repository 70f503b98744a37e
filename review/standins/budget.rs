//! Programs begin on a route that keeps turns while the store is down, and their owner is killed before it is back.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::engine::CHUNK_TOKENS;
use crate::floor::{Floor, HOST, KEPT};
use crate::http::{Answer, call_with_gap};
use crate::record::Record;
use crate::store::Mode;

/// The values of the turn that `fleetbench wire` shows for bmrc-switch.
const BUDGET: u64 = 4712;
const MOST_OF_ONE_TURN: u64 = 589;
const PROGRAMS: u64 = 60;
/// How long the store is down, and when the first gateway is killed. Programs begin at [`BEGIN`].
const DOWN: Duration = Duration::from_secs(7);
const BEGIN: Duration = Duration::from_millis(1_500);
const KILL: Duration = Duration::from_millis(5_900);
/// `node_kill` with `for_s = 3.5`.
const RESTART: Duration = Duration::from_millis(9_400);
/// A consumer abandons a stream after this pause.
const STREAM_GAP: Duration = Duration::from_secs(2);
const DEADLINE: Duration = Duration::from_secs(4);
/// A turn has one retry, and is sent again from its start twice at most: six attempts.
const MOST_ATTEMPTS: usize = 6;

/// The client's side of one program that loops until it is stopped, with all tokens that it was handed.
struct Program {
    id: String,
    tokens: u64,
    attempts: usize,
    /// The last turn that was answered whole.
    previous: Option<String>,
    record: Arc<Record>,
}

impl Program {
    fn attempt(&mut self, gateway: SocketAddr, turn: usize) -> Answer {
        self.attempts += 1;
        let attempt = format!("{}{:04x}", self.id, self.attempts);
        let previous = match &self.previous {
            Some(previous) => format!("X-Previous-Turn: {previous}\r\n"),
            None => String::new(),
        };
        // The parts: a shared one, the program's own one, and one for each earlier turn.
        let mut parts = vec!["5c1e07a2:12600".to_owned(), format!("{}:1680", self.id)];
        parts.extend((1..turn).map(|earlier| format!("{}{earlier:02x}:600", self.id)));
        let head = format!(
            "POST {KEPT}4b HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\n{previous}X-Program-Id: {0}\r\n\
             X-Session-Id: {0}\r\nX-Program-Deadline-Ms: 20000\r\nX-Token-Budget: {BUDGET}\r\nX-Model: m\r\n\
             X-Token-Count: {1},{MOST_OF_ONE_TURN}\r\nX-Prompt-Prefix: {2}\r\nX-Deadline-Ms: {3}\r\n",
            self.id,
            14280 + 600 * (turn - 1),
            parts.join(","),
            DEADLINE.as_millis()
        );
        self.record.note(&format!("sent attempt={attempt} program={} turn={turn} to={gateway}", self.id));
        let answer = call_with_gap(gateway, &head, format!("input {turn}").as_bytes(), DEADLINE, STREAM_GAP);
        self.tokens += answer.events() as u64 * CHUNK_TOKENS;
        self.record.note(&format!("answered attempt={attempt} {} tokens_so_far={}", answer.summary(), self.tokens));
        if answer.status == 200 && answer.is_whole {
            self.previous = Some(attempt);
        }
        answer
    }

    /// Runs turns until one of them is refused for the budget or fails in all attempts. The first attempt goes to the
    /// first gateway, its retry to the second one, and everything after that to the third.
    fn run(&mut self, gateways: &[SocketAddr]) -> &'static str {
        let (mut turn, mut tried) = (1, 0);
        loop {
            let gateway = gateways[self.attempts.min(2)];
            let answer = self.attempt(gateway, turn);
            if answer.status == 402 {
                return "the budget is spent";
            }
            if answer.status == 200 && answer.is_whole {
                (turn, tried) = (turn + 1, 0);
                continue;
            }
            tried += 1;
            if tried == MOST_ATTEMPTS {
                return "a turn failed";
            }
            let after: f64 = answer.header("retry-after").and_then(|after| after.parse().ok()).unwrap_or(0.0);
            let pause = if tried % 2 == 0 { 0.3 } else { 0.05 };
            thread::sleep(Duration::from_secs_f64(f64::max(after, pause)));
        }
    }
}

pub fn play(folder: &Path, has_trouble: bool) -> bool {
    let mut floor = Floor::open(folder, 3);
    let record = Arc::clone(&floor.record);
    let seed = u64::from(std::process::id());
    let gateways: Vec<SocketAddr> = floor.gateways.iter().map(|gateway| gateway.callers).collect();
    let began = Instant::now();
    let wait_until = |after: Duration| thread::sleep(after.saturating_sub(began.elapsed()));
    if has_trouble {
        floor.set_store(Mode::Silent);
    }
    wait_until(BEGIN);
    let runs = (0..PROGRAMS).map(|number| {
        let mut program = Program {
            id: format!("{:06x}", (seed + number).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40),
            tokens: 0,
            attempts: 0,
            previous: None,
            record: Arc::clone(&record),
        };
        let gateways = gateways.clone();
        thread::spawn(move || {
            let stop = program.run(&gateways);
            program.record.note(&format!("program={} stopped: {stop}", program.id));
            program
        })
    });
    let runs: Vec<_> = runs.collect();
    if has_trouble {
        wait_until(KILL);
        record.say("the first gateway is killed");
        floor.gateways[0].kill();
        wait_until(DOWN);
        floor.set_store(Mode::Serving);
        wait_until(RESTART);
        record.say("the first gateway is started again");
        floor.gateways[0].start(false);
    }
    let programs: Vec<Program> = runs.into_iter().map(|run| run.join().expect("a program runs")).collect();
    let mut is_broken = false;
    for program in &programs {
        let is_over = program.tokens > BUDGET + MOST_OF_ONE_TURN;
        is_broken |= is_over;
        record.say(&format!(
            "program={} tokens={} budget={BUDGET} most_of_one_turn={MOST_OF_ONE_TURN} broken={is_over}",
            program.id, program.tokens
        ));
    }
    record.say(if is_broken { "BUDGET is broken" } else { "BUDGET holds" });
    is_broken
}
