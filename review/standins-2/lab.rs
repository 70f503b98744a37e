//! The cases of the second review that are no days. `lab CASE FOLDER` plays one of them and writes FOLDER/record.txt.
//! Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run. With `TROUBLE=0` the disruption is left out.

mod platform;
mod wire;

mod late_return;
mod program_names;
mod prompt_parts;
mod returning;
mod slow_bodies;

use std::path::PathBuf;
use std::process::exit;

/// The result of a case.
pub enum Outcome {
    Broken,
    Held,
    NotRun,
}

pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: lab CASE FOLDER");
        exit(2);
    };
    let scratch: PathBuf = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    std::fs::create_dir_all(&scratch).expect("a temporary folder");
    let outcome = match case.as_str() {
        "prompt-parts" => prompt_parts::play(folder, &scratch),
        "slow-bodies" => slow_bodies::play(folder, &scratch),
        "program-names" => program_names::play(folder, &scratch),
        "returning" => returning::play(folder, &scratch),
        "late-return" => late_return::play(folder, &scratch),
        _ => Outcome::NotRun,
    };
    if std::env::var("KEEP").is_err() {
        std::fs::remove_dir_all(&scratch).ok();
    }
    exit(match outcome {
        Outcome::Broken => 1,
        Outcome::Held => 0,
        Outcome::NotRun => 2,
    });
}
