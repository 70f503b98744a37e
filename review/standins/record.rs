//! The record of a case: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn open(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt")).expect("the record can be written");
        Self { file: Mutex::new(file), started: Instant::now() }
    }

    pub fn note(&self, line: &str) {
        let text = format!("{:9.3} {line}\n", self.started.elapsed().as_secs_f64());
        self.file.lock().unwrap().write_all(text.as_bytes()).ok();
    }

    /// Writes a line to the record and to the standard output.
    pub fn say(&self, line: &str) {
        println!("{line}");
        self.note(line);
    }
}
