//! The drivers of the scripted cases: `cases NAME FOLDER`. Each starts the stand-ins and the gateways, plays one case,
//! writes the record to FOLDER and exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.

mod budget;
mod dark_crash;
mod engine;
mod floor;
mod gateway;
mod http;
mod json;
mod late_beat;
mod lost_writes;
mod random;
mod record;
mod store;

use std::path::Path;

/// Ends the case as one that could not run.
pub fn cannot_run(cause: &str) -> ! {
    println!("cannot run: {cause}");
    // Unwinding drops the gateways, which ends their processes.
    std::panic::resume_unwind(Box::new(2_i32));
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        println!("usage: cases NAME FOLDER");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = Path::new(folder);
    let played = std::panic::catch_unwind(|| match case.as_str() {
        "budget" => budget::play(folder, has_trouble),
        "dark-crash" => dark_crash::play(folder, has_trouble),
        "late-beat" => late_beat::play(folder, has_trouble),
        "lost-writes" => lost_writes::play(folder, has_trouble),
        _ => cannot_run("there is no such case"),
    });
    std::process::exit(match played {
        Ok(true) => 1,
        Ok(false) => 0,
        Err(_) => 2,
    });
}
