//! A heartbeat of an engine gets no response and is performed six seconds later, after the engine has reported draining.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::engine::Engine;
use crate::floor::{Floor, HOST, SAFE, SERVICE};
use crate::http::call;

const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// `platform_lost` with `late`: a write is done 1 to 6 s later.
const LATE: Duration = Duration::from_secs(6);
/// When the engine reports draining after the lost heartbeat: longer than `stableMs`, so that the store is stable.
const REPORT: Duration = Duration::from_millis(3_200);
const DRAIN: Duration = Duration::from_secs(2);
const CALLERS: usize = 6;
const PAUSE: Duration = Duration::from_millis(120);

pub fn play(folder: &Path, has_trouble: bool) -> bool {
    let floor = Floor::open(folder, 3);
    let record = Arc::clone(&floor.record);
    let services: Vec<&Engine> = floor.engines.iter().filter(|engine| engine.service == SERVICE).collect();
    let engine = services[0].clone();
    let beat = |seq: u64, state: &str| engine.entry_with(seq, state);
    let mut seq = 40;
    floor.store.put("servers", &engine.id, &beat(seq, "ready"));
    thread::sleep(HEARTBEAT);

    let is_over = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLERS)
        .map(|index| {
            let (address, is_over) = (floor.gateways[index % 3].callers, Arc::clone(&is_over));
            let record = Arc::clone(&record);
            thread::spawn(move || {
                let mut number = 0;
                while !is_over.load(Ordering::SeqCst) {
                    number += 1;
                    let attempt = format!("ca{index}{number:06x}");
                    let head = format!(
                        "GET {SAFE}2f HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: 1200\r\n"
                    );
                    record.note(&format!("sent attempt={attempt}"));
                    let answer = call(address, &head, b"", Duration::from_millis(1_200));
                    record.note(&format!("answered attempt={attempt} {}", answer.summary()));
                    thread::sleep(PAUSE);
                }
            })
        })
        .collect();

    // The heartbeat that gets no response.
    let lost_at = Instant::now();
    seq += 1;
    let late = beat(seq, "ready");
    record.say(&format!("heartbeat seq={seq} state=ready of {} is sent", engine.id));
    if !has_trouble {
        floor.store.put("servers", &engine.id, &late);
    }
    let (mut next, mut drained_at) = (lost_at + HEARTBEAT, None);
    let mut is_late_done = !has_trouble;
    while lost_at.elapsed() < Duration::from_secs(10) {
        let now = Instant::now();
        if now >= lost_at + REPORT && drained_at.is_none() {
            seq += 1;
            // From here on, all answers of the engine say that it leaves.
            engine.leave();
            floor.store.put("servers", &engine.id, &beat(seq, "draining"));
            drained_at = Some(Instant::now());
            record.say(&format!("heartbeat seq={seq} state=draining is acknowledged"));
            next = now + HEARTBEAT;
        } else if now >= next {
            seq += 1;
            let state = if drained_at.is_some() { "draining" } else { "ready" };
            floor.store.put("servers", &engine.id, &beat(seq, state));
            record.note(&format!("heartbeat seq={seq} state={state} is acknowledged"));
            next += HEARTBEAT;
        }
        if !is_late_done && now >= lost_at + LATE {
            is_late_done = true;
            floor.store.put("servers", &engine.id, &late);
            record.say("the heartbeat without a response is performed now");
        }
        thread::sleep(Duration::from_millis(5));
    }
    is_over.store(true, Ordering::SeqCst);
    callers.into_iter().for_each(|caller| caller.join().expect("a caller runs"));
    let limit = drained_at.expect("the engine reported draining") + DRAIN;
    let arrivals = engine.arrivals.lock().unwrap();
    let after: Vec<&(Instant, String)> = arrivals.iter().filter(|(at, _)| *at > limit).collect();
    for (at, attempt) in &after {
        let ms = at.duration_since(limit - DRAIN).as_millis();
        record.note(&format!("attempt={attempt} reached the draining engine {ms} ms after the ack"));
    }
    record.say(&format!("{} requests reached the engine in all, {} later than drainMs after the ack", arrivals.len(), after.len()));
    record.say(if after.is_empty() { "DRAIN holds" } else { "DRAIN is broken" });
    !after.is_empty()
}
