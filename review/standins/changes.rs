//! The store turns one gateway away for some seconds, while the operator changes a large desired state.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::floor::{Floor, HOST, config};
use crate::http::call;
use crate::store::Mode;

/// The routes by which the desired state grows: `big_config` of vcw-serve-large.
const MORE_ROUTES: usize = 1_400;
/// Two `config_storm`s of 4 s, one after the other.
const CHANGES: u64 = 24;
const CHANGE_GAP: Duration = Duration::from_millis(330);
/// `platform_down` with `nodes`, at one of three gateways.
const AWAY: Duration = Duration::from_secs(9);
/// `stableMs` and `configDeadlineMs` of vcw-serve-large.
const STABLE: Duration = Duration::from_secs(5);
const CONFIG_DEADLINE: Duration = Duration::from_secs(4);
/// How long requests are sent once the gateway is in touch again.
const ASKED_FOR: Duration = Duration::from_secs(8);

pub fn play(folder: &Path, has_trouble: bool) -> bool {
    let floor = Floor::open(folder, 3);
    let record = Arc::clone(&floor.record);
    let mut prefixes: Vec<String> = (0..MORE_ROUTES).map(|number| format!("/grown{number:04}x/")).collect();
    let size = config(8, &prefixes).len();
    floor.store.put("op", "config", &config(8, &prefixes));
    record.say(&format!("version 8 is written: {MORE_ROUTES} more routes, {size} bytes"));
    thread::sleep(Duration::from_secs(4));
    if has_trouble {
        record.say("the store turns the first gateway away");
        floor.endpoints[0].set(Mode::Silent);
    }
    let began = Instant::now();
    for version in 9..9 + CHANGES {
        // Each version adds a route.
        prefixes.push(format!("/added{version}/"));
        floor.store.put("op", "config", &config(version, &prefixes));
        record.note(&format!("ack of version {version}"));
        thread::sleep(CHANGE_GAP);
    }
    let last_ack = Instant::now();
    thread::sleep(AWAY.saturating_sub(began.elapsed()));
    floor.endpoints[0].set(Mode::Serving);
    record.say("the store serves all gateways");
    // From here on, the first gateway is in touch.
    let in_touch = Instant::now() + STABLE;
    let due = in_touch.max(last_ack + CONFIG_DEADLINE);
    thread::sleep(due.saturating_duration_since(Instant::now()));
    let path = format!("/added{}/2f", 8 + CHANGES);
    let (mut number, mut refused) = (0, [0, 0, 0]);
    while due.elapsed() < ASKED_FOR {
        number += 1;
        for (index, gateway) in floor.gateways.iter().enumerate() {
            let head = format!(
                "GET {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: c{index}{number:06x}\r\nX-Deadline-Ms: 1200\r\n"
            );
            let answer = call(gateway.callers, &head, b"", Duration::from_millis(1_200));
            record.note(&format!("request {number} for {path} to {}: {}", gateway.name, answer.summary()));
            refused[index] += usize::from(answer.status == 404);
        }
        thread::sleep(Duration::from_millis(250));
    }
    record.say(&format!(
        "{number} requests to each gateway for the newest route, refused with 404: {refused:?}"
    ));
    let is_broken = refused.iter().sum::<usize>() > 0;
    record.say(if is_broken { "CONFIG is broken" } else { "CONFIG holds" });
    is_broken
}
